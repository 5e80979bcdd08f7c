// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_RECORDFAULT_H_HEADER_GUARD
#define SEDGECART_BASE_RECORDFAULT_H_HEADER_GUARD

namespace sedgecart
{

/// Why a record of another writer is skipped.
struct RecordFault
{
	enum Enum
	{
		None,           //!< The record is valid.
		Unreadable,     //!< The bytes are not a record of this kind.
		FieldMissing,   //!< A required field is missing.
		WrongType,      //!< A required field has the wrong type.
		UnknownState,   //!< It names a state that does not exist.
		UnknownService, //!< It names a service that is not in the desired state.
		AbsurdValue,    //!< A value cannot be true: it is out of range, or its author is not entitled to claim it.
		TooLarge,       //!< The record is larger than one of its kind can be.

		Count
	};
};

/// What a skipped record was meant to be.
struct RecordKind
{
	enum Enum
	{
		Target,         //!< A target's entry in the registry.
		DesiredState,   //!< The operator's document.
		Node,           //!< Where a node is.
		Layout,         //!< A change of the layout.
		LogRecord,      //!< A record of the log whose key cannot be read.
		PeerMessage,    //!< A message of another node.
		BlockedRequest, //!< A request that crashes targets.

		Count
	};
};

/// @returns "unreadable" and so on, as logs, metrics and the dump show it.
const char* nameOf(RecordFault::Enum _fault);

/// @returns "target" and so on, as logs, metrics and the dump show it.
const char* nameOf(RecordKind::Enum _kind);

} // namespace sedgecart

#endif // SEDGECART_BASE_RECORDFAULT_H_HEADER_GUARD
