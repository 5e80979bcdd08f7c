// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_CONFIG_H_HEADER_GUARD
#define SEDGECART_BASE_CONFIG_H_HEADER_GUARD

/// @file
/// Every tunable of the product, each with its unit. Override one at build time with -DSEDGECART_CONFIG_...=value.
/// What an operator changes from site to site is a setting of `sedgecartd` instead: see docs/REFERENCE.md.

/// Targets a node can know in its lifetime; slots of counters, never reused while the process lives.
#ifndef SEDGECART_CONFIG_MAX_TARGETS
#define SEDGECART_CONFIG_MAX_TARGETS 32768
#endif

/// Largest body of a caller's request, bytes.
#ifndef SEDGECART_CONFIG_MAX_BODY_BYTES
#define SEDGECART_CONFIG_MAX_BODY_BYTES (1024 * 1024)
#endif

/// Largest outcome of a keyed call that is kept in the log, bytes.
#ifndef SEDGECART_CONFIG_MAX_KEPT_BODY_BYTES
#define SEDGECART_CONFIG_MAX_KEPT_BODY_BYTES (16 * 1024)
#endif

/// Most tokens that one request may ask for.
#ifndef SEDGECART_CONFIG_MAX_TOKENS
#define SEDGECART_CONFIG_MAX_TOKENS 4096
#endif

/// Tokens generated when a request names no number.
#ifndef SEDGECART_CONFIG_DEFAULT_TOKENS
#define SEDGECART_CONFIG_DEFAULT_TOKENS 16
#endif

/// Deadline of a request that names none, milliseconds.
#ifndef SEDGECART_CONFIG_DEFAULT_DEADLINE_MS
#define SEDGECART_CONFIG_DEFAULT_DEADLINE_MS 60000
#endif

/// Requests of one customer that may wait on one route.
#ifndef SEDGECART_CONFIG_MAX_WAITING_PER_CUSTOMER
#define SEDGECART_CONFIG_MAX_WAITING_PER_CUSTOMER 256
#endif

/// Longest time that a request waits for a free slot before it is refused, milliseconds.
#ifndef SEDGECART_CONFIG_MAX_WAIT_MS
#define SEDGECART_CONFIG_MAX_WAIT_MS 2000
#endif

/// Time between two polls of a target's load, milliseconds.
#ifndef SEDGECART_CONFIG_LOAD_POLL_MS
#define SEDGECART_CONFIG_LOAD_POLL_MS 250
#endif

/// A load report older than this says nothing any more, milliseconds.
#ifndef SEDGECART_CONFIG_LOAD_STALE_MS
#define SEDGECART_CONFIG_LOAD_STALE_MS 2000
#endif

/// Time between two ticks of the controllers, milliseconds.
#ifndef SEDGECART_CONFIG_TICK_MS
#define SEDGECART_CONFIG_TICK_MS 50
#endif

/// Time between two heartbeats to a peer, milliseconds.
#ifndef SEDGECART_CONFIG_HEARTBEAT_MS
#define SEDGECART_CONFIG_HEARTBEAT_MS 500
#endif

/// A peer that was silent for this long counts as dead, milliseconds.
#ifndef SEDGECART_CONFIG_PEER_DEAD_MS
#define SEDGECART_CONFIG_PEER_DEAD_MS 2500
#endif

/// First time that a failed target gets no work, milliseconds; doubles with each failure in a row.
#ifndef SEDGECART_CONFIG_EJECT_MS
#define SEDGECART_CONFIG_EJECT_MS 500
#endif

/// Longest time that a failed target gets no work, milliseconds.
#ifndef SEDGECART_CONFIG_EJECT_MAX_MS
#define SEDGECART_CONFIG_EJECT_MAX_MS 8000
#endif

/// Token gaps of a chain after which silence counts as a break, as a multiple of the chain's slowest gap.
#ifndef SEDGECART_CONFIG_GAP_FACTOR
#define SEDGECART_CONFIG_GAP_FACTOR 4
#endif

/// Shortest silence that counts as a break, milliseconds.
#ifndef SEDGECART_CONFIG_GAP_MIN_MS
#define SEDGECART_CONFIG_GAP_MIN_MS 400
#endif

/// Longest silence that is borne, milliseconds; also the bound on the first token of a chain.
#ifndef SEDGECART_CONFIG_GAP_MAX_MS
#define SEDGECART_CONFIG_GAP_MAX_MS 5000
#endif

/// Chains that one request may be tried on.
#ifndef SEDGECART_CONFIG_MAX_ATTEMPTS
#define SEDGECART_CONFIG_MAX_ATTEMPTS 6
#endif

/// Gaps between a stream's tokens that call for a faster chain, as a multiple of what the planner expected.
#ifndef SEDGECART_CONFIG_SLOW_FACTOR
#define SEDGECART_CONFIG_SLOW_FACTOR 3
#endif

/// Times that one stream may be moved to a faster chain.
#ifndef SEDGECART_CONFIG_MAX_MOVES
#define SEDGECART_CONFIG_MAX_MOVES 3
#endif

/// Time that a layer range must be without a live copy before another target is given it, milliseconds.
#ifndef SEDGECART_CONFIG_PLACE_AFTER_MS
#define SEDGECART_CONFIG_PLACE_AFTER_MS 3000
#endif

/// Longest time that a target may take to load its layers before it counts as lost too, milliseconds.
#ifndef SEDGECART_CONFIG_LOADING_MS
#define SEDGECART_CONFIG_LOADING_MS 120000
#endif

/// Targets that may load at the same time: weights come from a rate-limited store.
#ifndef SEDGECART_CONFIG_MOST_LOADING
#define SEDGECART_CONFIG_MOST_LOADING 2
#endif

/// Longest pause before a request's third and later chains, milliseconds; the first of them is an eighth of it.
#ifndef SEDGECART_CONFIG_RETRY_PAUSE_MS
#define SEDGECART_CONFIG_RETRY_PAUSE_MS 400
#endif

/// Retries allowed for each hundred requests begun.
#ifndef SEDGECART_CONFIG_RETRY_PERCENT
#define SEDGECART_CONFIG_RETRY_PERCENT 10
#endif

/// Retries that are always allowed before the percentage counts.
#ifndef SEDGECART_CONFIG_RETRY_RESERVE
#define SEDGECART_CONFIG_RETRY_RESERVE 32
#endif

/// Records asked for in one read of the log.
#ifndef SEDGECART_CONFIG_LOG_READ_RECORDS
#define SEDGECART_CONFIG_LOG_READ_RECORDS 512
#endif

/// Latest records of the config stream that a node holds to hand on to others.
#ifndef SEDGECART_CONFIG_HANDED_RECORDS
#define SEDGECART_CONFIG_HANDED_RECORDS 4096
#endif

/// Least records between two images of the configuration in the log; with many objects an eighth of their number.
#ifndef SEDGECART_CONFIG_IMAGE_RECORDS
#define SEDGECART_CONFIG_IMAGE_RECORDS 16
#endif

/// Longest time between two images, so that one always stands within the log's retention, milliseconds.
#ifndef SEDGECART_CONFIG_IMAGE_MS
#define SEDGECART_CONFIG_IMAGE_MS 600000
#endif

/// Latest changes that a node can list and take back.
#ifndef SEDGECART_CONFIG_KEPT_CHANGES
#define SEDGECART_CONFIG_KEPT_CHANGES 256
#endif

/// Time a read of the log may wait for a new record, milliseconds.
#ifndef SEDGECART_CONFIG_LOG_POLL_MS
#define SEDGECART_CONFIG_LOG_POLL_MS 1000
#endif

/// Bound on one call to the log, milliseconds, beyond any wait it asked for.
#ifndef SEDGECART_CONFIG_LOG_TIMEOUT_MS
#define SEDGECART_CONFIG_LOG_TIMEOUT_MS 1500
#endif

/// Longest time that a keyed call waits for its claim to be seen in the log, milliseconds.
#ifndef SEDGECART_CONFIG_CLAIM_WAIT_MS
#define SEDGECART_CONFIG_CLAIM_WAIT_MS 3000
#endif

/// Claims that one append may carry.
#ifndef SEDGECART_CONFIG_CLAIM_BATCH
#define SEDGECART_CONFIG_CLAIM_BATCH 256
#endif

/// Bound on connecting to a target, milliseconds.
#ifndef SEDGECART_CONFIG_CONNECT_MS
#define SEDGECART_CONFIG_CONNECT_MS 500
#endif

/// Read space of a thread of the event-driven request path, bytes. Holds some hundred events of a stream.
#ifndef SEDGECART_CONFIG_SCRATCH_BYTES
#define SEDGECART_CONFIG_SCRATCH_BYTES (64 * 1024)
#endif

/// Longest time that sent bytes may stay unacknowledged before a connection is taken as broken, milliseconds. Several
/// retransmissions on a lossy link fit in.
#ifndef SEDGECART_CONFIG_UNACKNOWLEDGED_MS
#define SEDGECART_CONFIG_UNACKNOWLEDGED_MS 4000
#endif

/// The same for a peer that has received much on its connection: its system acknowledges in large steps.
#ifndef SEDGECART_CONFIG_MOST_STALL_MS
#define SEDGECART_CONFIG_MOST_STALL_MS 20000
#endif

/// A peer that receives more is not given up for being slow, bytes a second.
#ifndef SEDGECART_CONFIG_SLOW_PEER_BYTES
#define SEDGECART_CONFIG_SLOW_PEER_BYTES (64 * 1024)
#endif

/// Largest header of a target's answer, bytes.
#ifndef SEDGECART_CONFIG_ANSWER_HEADER_BYTES
#define SEDGECART_CONFIG_ANSWER_HEADER_BYTES (32 * 1024)
#endif

/// Bytes of a next request that are kept while one is answered.
#ifndef SEDGECART_CONFIG_PIPELINED_BYTES
#define SEDGECART_CONFIG_PIPELINED_BYTES (64 * 1024)
#endif

/// How long a caller gets to close its side after the last answer on a connection, milliseconds.
#ifndef SEDGECART_CONFIG_LINGER_MS
#define SEDGECART_CONFIG_LINGER_MS 1000
#endif

#endif // SEDGECART_BASE_CONFIG_H_HEADER_GUARD
