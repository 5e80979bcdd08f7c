// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_CONFIG_H_HEADER_GUARD
#define SEDGECART_BASE_CONFIG_H_HEADER_GUARD

/// @file
/// Compile-time tunables, each with its unit. Override one at build time with -DSEDGECART_CONFIG_...=value. What
/// differs between sites is a setting of `sedgecartd` instead: see docs/REFERENCE.md.

/// Targets that a node can register while its process runs. Each takes a slot of counters, which is never reused.
#ifndef SEDGECART_CONFIG_MAX_TARGETS
#define SEDGECART_CONFIG_MAX_TARGETS 32768
#endif

/// Largest body of a caller's request, bytes.
#ifndef SEDGECART_CONFIG_MAX_BODY_BYTES
#define SEDGECART_CONFIG_MAX_BODY_BYTES (1024 * 1024)
#endif

/// Largest outcome of a keyed call that is stored in the log, bytes.
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

/// Age at which a load report expires, milliseconds.
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

/// Time without a heartbeat after which a peer counts as dead, milliseconds.
#ifndef SEDGECART_CONFIG_PEER_DEAD_MS
#define SEDGECART_CONFIG_PEER_DEAD_MS 2500
#endif

/// First ejection of a failed target, during which it gets no work, milliseconds; doubles with each consecutive
/// failure.
#ifndef SEDGECART_CONFIG_EJECT_MS
#define SEDGECART_CONFIG_EJECT_MS 500
#endif

/// Longest ejection of a failed target, milliseconds.
#ifndef SEDGECART_CONFIG_EJECT_MAX_MS
#define SEDGECART_CONFIG_EJECT_MAX_MS 8000
#endif

/// Silence after which a chain's stream counts as broken, as a multiple of the chain's longest gap between two tokens.
#ifndef SEDGECART_CONFIG_GAP_FACTOR
#define SEDGECART_CONFIG_GAP_FACTOR 4
#endif

/// Lower bound of the silence after which a stream counts as broken, milliseconds.
#ifndef SEDGECART_CONFIG_GAP_MIN_MS
#define SEDGECART_CONFIG_GAP_MIN_MS 400
#endif

/// Upper bound of the silence after which a stream counts as broken, milliseconds; also the bound on the first token of
/// a chain.
#ifndef SEDGECART_CONFIG_GAP_MAX_MS
#define SEDGECART_CONFIG_GAP_MAX_MS 5000
#endif

/// Chains that one request may be sent to.
#ifndef SEDGECART_CONFIG_MAX_ATTEMPTS
#define SEDGECART_CONFIG_MAX_ATTEMPTS 6
#endif

/// Gap between a stream's tokens from which it is moved to a faster chain, as a multiple of the gap that the planner
/// estimated.
#ifndef SEDGECART_CONFIG_SLOW_FACTOR
#define SEDGECART_CONFIG_SLOW_FACTOR 3
#endif

/// Times that one stream may be moved to a faster chain.
#ifndef SEDGECART_CONFIG_MAX_MOVES
#define SEDGECART_CONFIG_MAX_MOVES 3
#endif

/// Time that a layer range must be without a live copy before it is assigned to another target, milliseconds.
#ifndef SEDGECART_CONFIG_PLACE_AFTER_MS
#define SEDGECART_CONFIG_PLACE_AFTER_MS 3000
#endif

/// Longest time that a target may take to load its layers before it counts as lost too, milliseconds.
#ifndef SEDGECART_CONFIG_LOADING_MS
#define SEDGECART_CONFIG_LOADING_MS 120000
#endif

/// Targets that may load at the same time: the store of the weights is rate-limited.
#ifndef SEDGECART_CONFIG_MOST_LOADING
#define SEDGECART_CONFIG_MOST_LOADING 2
#endif

/// Longest delay before a request is sent to its third and later chains, milliseconds; the first such delay is an
/// eighth of it.
#ifndef SEDGECART_CONFIG_RETRY_PAUSE_MS
#define SEDGECART_CONFIG_RETRY_PAUSE_MS 400
#endif

/// Retries allowed for each hundred requests started.
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

/// Latest records of the config stream that a node retains to forward to other nodes.
#ifndef SEDGECART_CONFIG_HANDED_RECORDS
#define SEDGECART_CONFIG_HANDED_RECORDS 4096
#endif

/// Fewest records between two images of the configuration in the log; an eighth of the number of objects if that is
/// more.
#ifndef SEDGECART_CONFIG_IMAGE_RECORDS
#define SEDGECART_CONFIG_IMAGE_RECORDS 16
#endif

/// Longest time between two images, so that the log always retains one, milliseconds.
#ifndef SEDGECART_CONFIG_IMAGE_MS
#define SEDGECART_CONFIG_IMAGE_MS 600000
#endif

/// Latest changes that a node can list and undo.
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

/// Longest time that a keyed call waits for its claim to appear in the log, milliseconds.
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

/// Read buffer of each thread of the event-driven request path, bytes. Holds some hundred events of a stream.
#ifndef SEDGECART_CONFIG_SCRATCH_BYTES
#define SEDGECART_CONFIG_SCRATCH_BYTES (64 * 1024)
#endif

/// Longest time that sent bytes may stay unacknowledged before a connection counts as broken, milliseconds. Leaves time
/// for several retransmissions on a lossy link.
#ifndef SEDGECART_CONFIG_UNACKNOWLEDGED_MS
#define SEDGECART_CONFIG_UNACKNOWLEDGED_MS 4000
#endif

/// The same for a peer that has received much data on its connection, since its system acknowledges in large steps,
/// milliseconds.
#ifndef SEDGECART_CONFIG_MOST_STALL_MS
#define SEDGECART_CONFIG_MOST_STALL_MS 20000
#endif

/// Receive rate above which a connection is not closed because its peer is slow, bytes per second.
#ifndef SEDGECART_CONFIG_SLOW_PEER_BYTES
#define SEDGECART_CONFIG_SLOW_PEER_BYTES (64 * 1024)
#endif

/// Largest header of a target's answer, bytes.
#ifndef SEDGECART_CONFIG_ANSWER_HEADER_BYTES
#define SEDGECART_CONFIG_ANSWER_HEADER_BYTES (32 * 1024)
#endif

/// Bytes of a pipelined request that are buffered while the previous one is answered.
#ifndef SEDGECART_CONFIG_PIPELINED_BYTES
#define SEDGECART_CONFIG_PIPELINED_BYTES (16 * 1024)
#endif

/// Time that a caller has to close its side after the last answer on a connection, milliseconds.
#ifndef SEDGECART_CONFIG_LINGER_MS
#define SEDGECART_CONFIG_LINGER_MS 1000
#endif

#endif // SEDGECART_BASE_CONFIG_H_HEADER_GUARD
