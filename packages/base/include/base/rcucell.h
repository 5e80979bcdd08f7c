// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_RCUCELL_H_HEADER_GUARD
#define SEDGECART_BASE_RCUCELL_H_HEADER_GUARD

#include <urcu/urcu-bp.h>

#include <memory>

namespace sedgecart
{

/// Holds a value that is replaced by read-copy-update (liburcu, bulletproof flavour: threads need no registration).
/// @remarks T must be a complete type where it is used.
template <typename T> class RcuCell
{
public:
	RcuCell() : current_(new T())
	{
	}
	~RcuCell()
	{
		delete current_;
	}

	RcuCell(const RcuCell&) = delete;
	RcuCell& operator=(const RcuCell&) = delete;

	/// Replaces the value and frees the old one once no reader uses it. Must be called from one thread only.
	void publish(std::unique_ptr<const T> _value)
	{
		const T* const old = current_;
		__atomic_store_n(&current_, _value.release(), __ATOMIC_RELEASE);
		urcu_bp_synchronize_rcu();
		delete old;
	}

	/// Read-side critical section that keeps the current value alive. Must be short-lived: never block while one
	/// exists.
	class Reader
	{
	public:
		explicit Reader(const RcuCell& _cell)
		{
			urcu_bp_read_lock();
			value_ = __atomic_load_n(&_cell.current_, __ATOMIC_CONSUME);
		}
		~Reader()
		{
			urcu_bp_read_unlock();
		}

		Reader(const Reader&) = delete;
		Reader& operator=(const Reader&) = delete;

		const T& operator*() const
		{
			return *value_;
		}
		const T* operator->() const
		{
			return value_;
		}

	private:
		const T* value_;
	};

private:
	const T* current_;
};

} // namespace sedgecart

#endif // SEDGECART_BASE_RCUCELL_H_HEADER_GUARD
