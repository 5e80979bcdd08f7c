// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_AIO_BODYMEMORY_H_HEADER_GUARD
#define SEDGECART_AIO_BODYMEMORY_H_HEADER_GUARD

#include <cstdint>
#include <memory>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace sedgecart
{

class BodyLease;

/// Waits for memory for a body.
class BodyWaiterI
{
public:
	virtual ~BodyWaiterI() = default;

	/// @returns false once it has given up.
	virtual bool waitsForMemory() const = 0;

	/// The memory was reserved: the body may be read. Called from the loop.
	virtual void onBodyMemory(std::shared_ptr<BodyLease> _lease) = 0;
};

/// Bounds the memory that the requests of callers take, all connections together: a burst of large uploads, each within
/// the limits, would otherwise exhaust the node's memory and end every request on it. Memory is reserved for a whole
/// body before it is read, so that no two bodies that are read in part wait for each other. Loop thread only.
class BodyMemory
{
public:
	/// Bodies up to this size, bytes, are read without a reservation. They take little, and must not wait for large
	/// ones. Those above `kMaxUncounted` are counted.
	static constexpr uint64_t kMaxUnreserved = 16ULL * 1024;

	/// What takes no more than this, bytes, is not counted: many requests have small bodies.
	static constexpr uint64_t kMaxUncounted = 4ULL * 1024;

	/// What becomes of a body.
	struct Admission
	{
		enum Enum
		{
			Read,   //!< Its memory is reserved.
			Wait,   //!< Its waiter is called once its memory is reserved.
			Refuse, //!< So much is waited for already that it would wait for too long.

			Count
		};
	};

	/// @param _limit bytes.
	BodyMemory(boost::asio::io_context& _loop, uint64_t _limit);
	~BodyMemory();

	BodyMemory(const BodyMemory&) = delete;
	BodyMemory& operator=(const BodyMemory&) = delete;

	/// Reserves memory for a body, or waits for it behind those that wait already.
	/// @param _lease set if the result is `Read`.
	Admission::Enum reserve(uint64_t _bytes, std::weak_ptr<BodyWaiterI> _waiter, std::shared_ptr<BodyLease>& _lease);

	/// Reserves more for a body of unknown length. Does not wait, since it holds memory that others may wait for.
	/// @param _bytes together with what the lease holds already.
	/// @param _lease null at first.
	/// @returns false if there is no memory.
	bool extendTo(uint64_t _bytes, std::shared_ptr<BodyLease>& _lease);

	/// Counts memory that is taken in any case, so that less is left for bodies.
	/// @param _bytes together with what the lease holds already.
	/// @param _lease null at first.
	void countTo(uint64_t _bytes, std::shared_ptr<BodyLease>& _lease);

	/// @returns the bytes that are reserved.
	uint64_t reserved() const;

private:
	friend class BodyLease;
	class State;
	std::shared_ptr<State> state_;
};

/// Memory that is reserved for one body; returned when the last reference is gone.
class BodyLease
{
public:
	BodyLease(std::weak_ptr<BodyMemory::State> _state, uint64_t _bytes);
	~BodyLease();

	BodyLease(const BodyLease&) = delete;
	BodyLease& operator=(const BodyLease&) = delete;

	uint64_t bytes() const
	{
		return bytes_;
	}

private:
	friend class BodyMemory;
	std::weak_ptr<BodyMemory::State> state_;
	uint64_t bytes_;
};

} // namespace sedgecart

#endif // SEDGECART_AIO_BODYMEMORY_H_HEADER_GUARD
