// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_TARGETLIFE_H_HEADER_GUARD
#define SEDGECART_BASE_TARGETLIFE_H_HEADER_GUARD

#include <base/birthtime.h>
#include <base/instanceid.h>

/// @file
/// Which start of a target is meant, and the one rule that tells a restart from old news.

namespace sedgecart
{

/// One start of a target, up to its end. Layers, requests, loads and marks belong to a life: the next one under the
/// same instance holds and knows nothing of them.
struct TargetLife
{
	InstanceId instance;
	BirthTime born;
};

inline bool operator==(const TargetLife& _a, const TargetLife& _b)
{
	return _a.instance == _b.instance && _a.born == _b.born;
}

inline bool operator!=(const TargetLife& _a, const TargetLife& _b)
{
	return !(_a == _b);
}

/// An order for sorted containers; which life is the later one is for `compareLives` to say.
inline bool operator<(const TargetLife& _a, const TargetLife& _b)
{
	return _a.instance == _b.instance ? _a.born < _b.born : _a.instance < _b.instance;
}

/// What is known of when a word about a life was said.
struct LifeEvidence
{
	enum Enum
	{
		After,   //!< Surely later than what is known: a later record of the registry, or the answer to a question that
		         //!< was asked after what is known had been read.
		Unknown, //!< It may have been under way for long: what peers tell, answers to earlier questions.

		Count
	};
};

/// What a word says beside the life that is known.
struct LifeOrder
{
	enum Enum
	{
		Same,
		Newer,     //!< The known life has ended.
		Older,     //!< Old news: nothing in it counts.
		Unrelated, //!< Of another target.

		Count
	};
};

/// Decides whether a word is about the life that is known, a later or an earlier one. A word without a birth, or beside
/// a life without one, is no sign of a restart. Births only order words whose own order is not known: they are of the
/// target's clock, which may have been set back.
LifeOrder::Enum compareLives(const TargetLife& _known, const TargetLife& _told, LifeEvidence::Enum _evidence);

/// @returns the life to go by after a word: a later one, or the known one, whose birth the word may be the first to
/// tell.
TargetLife lifeAfter(const TargetLife& _known, const TargetLife& _told, LifeEvidence::Enum _evidence);

} // namespace sedgecart

#endif // SEDGECART_BASE_TARGETLIFE_H_HEADER_GUARD
