// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/tokensequence.h>

namespace sedgecart
{

namespace
{

constexpr const char* kVerdictNames[] = {"deliver", "finished", "foreign", "repeated", "gap", "bad layers", "short"};
static_assert(EventVerdict::Count == sizeof(kVerdictNames) / sizeof(kVerdictNames[0]), "each verdict needs its name");

} // namespace

const char* nameOf(EventVerdict::Enum _verdict)
{
	return kVerdictNames[_verdict];
}

TokenSequence::TokenSequence(uint32_t _layers, uint32_t _tokens) : layers_(_layers), tokens_(_tokens)
{
}

void TokenSequence::startAttempt(const std::string& _attempt, const Chain& _chain)
{
	attempt_ = _attempt;
	stages_ = _chain.stages;
}

EventVerdict::Enum TokenSequence::check(const StreamEvent& _event)
{
	if (_event.attempt != attempt_)
	{
		return EventVerdict::Foreign;
	}
	if (_event.end)
	{
		const bool whole = _event.count == next_.value && next_.value == tokens_;
		return whole ? EventVerdict::Finished : EventVerdict::Short;
	}
	if (_event.position.value < next_.value)
	{
		return EventVerdict::Repeated;
	}
	if (next_.value < _event.position.value || tokens_ <= _event.position.value)
	{
		return EventVerdict::Gap;
	}
	if (!layersRan(_event.receipts))
	{
		return EventVerdict::BadLayers;
	}
	++next_.value;
	return EventVerdict::Deliver;
}

bool TokenSequence::layersRan(const std::vector<LayerReceipt>& _receipts) const
{
	if (_receipts.size() != stages_.size())
	{
		return false;
	}
	uint32_t nextLayer = 0;
	for (std::size_t index = 0; index < _receipts.size(); ++index)
	{
		const LayerReceipt& receipt = _receipts[index];
		const bool sameTarget = receipt.target == stages_[index].name;
		const bool inOrder = receipt.layers.first == nextLayer && receipt.layers.first <= receipt.layers.last;
		// Detects a stage that swapped two responses or sent one late.
		const bool sameToken = receipt.attempt == attempt_ && receipt.position.value == next_.value;
		if (!sameTarget || !inOrder || !sameToken)
		{
			return false;
		}
		nextLayer = receipt.layers.last + 1;
	}
	return nextLayer == layers_;
}

} // namespace sedgecart
