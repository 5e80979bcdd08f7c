// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_UNHEARDLOAD_H_HEADER_GUARD
#define SEDGECART_CORE_UNHEARDLOAD_H_HEADER_GUARD

#include <cstdint>

namespace sedgecart
{

/// What the other nodes of a hall have put on targets since this node last heard of them, guessed from what it has put
/// there itself: like nodes with like callers choose alike.
///
/// Answers the load in which all nodes of a hall begin at once, after a loss of power or at the start of a burst: by
/// the last word the cheapest target is idle, each node sends what it has there, and the target turns most of it away
/// or reads its prompts for seconds while others stand idle.
class UnheardLoad
{
public:
	/// @param _peers other nodes that choose among the same targets by the same word.
	explicit UnheardLoad(uint32_t _peers) : peers_(_peers)
	{
	}

	/// Counts the requests of this node at one target.
	/// @param _own under way now.
	/// @param _heard of these, what the last word of the others rests on.
	void count(uint32_t _own, uint32_t _heard);

	/// @returns what all others have put on a target since their last word.
	/// @param _own amount of this node there now, requests or tokens.
	/// @param _heard of it, what the last word of the others rests on.
	double at(double _own, double _heard) const;

	/// @returns true if nothing is guessed.
	bool isNothing() const
	{
		return 0 == peers_ || change_ <= 0;
	}

private:
	/// @returns how far this node's own change tells of the others', from 0 to 1: a change that is small beside its
	/// chance spread says nothing of them.
	double weight() const;

	uint32_t peers_;
	double change_ = 0; //!< Requests of this node beyond those of its last word.
	double spread_ = 0; //!< Square of what that differs by from chance alone.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_UNHEARDLOAD_H_HEADER_GUARD
