#pragma once

/**
 * medlarramp upstream: clients of model engines, stage pools, plain services and the VM list.
 *
 * Index of sections:
 *  [SECTION] Attempts       one call of one replica
 *  [SECTION] Connections    pooled connections and their trust
 *  [SECTION] VM list        Prometheus HTTP service discovery
 */

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core.h"
#include "model.h"
#include "policy.h"

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Attempts
//-----------------------------------------------------------------------------

/** One call of one replica, complete in itself. */
struct AttemptRequest {
    Identifier m_request; ///< identifier of the caller's request
    size_t m_stage = 0; ///< index of the stage
    int m_attempt = 0; ///< number of the attempt, from 0
    Address m_address;
    UpstreamKind m_kind = UpstreamKind::StagePool;
    std::string m_model; ///< model engine and stage pool
    std::string m_path; ///< plain service
    std::string m_prompt; ///< model engine
    std::string m_generated; ///< model engine: text of an earlier attempt, which the engine continues
    nlohmann::json m_input; ///< stage pool and plain service
    int64_t m_maxOutputTokens = 256;
    RequestClass m_class = RequestClass::Urgent; ///< becomes the engine's priority
    std::string m_organisation; ///< salt of the engine's prefix cache, so that organisations share no entries
    std::string m_idempotencyKey; ///< sent on when not empty
    TimePoint m_deadline; ///< end of the attempt; sent on as the time left
};

/** Load that a replica reports with an answer. */
struct LoadReport {
    double m_running = 0; ///< requests being served
    double m_waiting = 0; ///< requests queued on the replica
    TimePoint m_at; ///< when the report arrived

    bool operator==(const LoadReport &) const = default;
};

struct AttemptResult {
    AttemptEvidence m_evidence;
    nlohmann::json m_output; ///< stage pool and plain service
    std::string m_text; ///< model engine: the text so far
    int64_t m_tokens = 0; ///< model engine: tokens generated
    std::optional<Duration> m_firstToken; ///< since the start of the attempt
    Duration m_duration{}; ///< of the whole attempt
    std::optional<LoadReport> m_load;
    std::optional<Duration> m_retryAfter; ///< the replica's own word
};

/** Set by the entry to give an attempt up. */
struct CancelToken {
    std::atomic<bool> m_cancelled = false;
};

/** Receives each piece of generated text. Returning false cancels the attempt. */
using TokenSink = std::function<bool(const std::string &text)>;

/** The calls of an upstream. Tests and benches replace them. */
struct UpstreamClient {
    std::function<AttemptResult(const AttemptRequest &, const TokenSink &, CancelToken &)> m_run;
};

//-----------------------------------------------------------------------------
// [SECTION] Connections
//-----------------------------------------------------------------------------

/** Bounds of the connections to upstreams and of what is read from them. */
struct ConnectionSettings {
    Duration m_connectTimeout = seconds(1); ///< a lost SYN is sent again after 1 s, so more would rarely help
    Duration m_firstEventLimit = seconds(5); ///< stream: from the request to the first event, queueing included
    Duration m_progressLimit = seconds(1); ///< stream: between events; target is 37 ms at the 95th percentile
    Duration m_silenceLimit = milliseconds(250); ///< shortest wait without a byte that counts as a silence
    Duration m_maxIdleAge = seconds(4); ///< common servers close idle connections after 5 s
    Duration m_maxIdleAgeWithKey = seconds(1); ///< for requests with an idempotency key, whose loss is costly
    size_t m_maxOpenPerAddress = 512; ///< in use; the largest concurrency limit of an upstream
    size_t m_maxIdlePerAddress = 64;
    size_t m_maxIdle = 4096; ///< over all addresses
    size_t m_maxAnswerBytes = 1024 * 1024; ///< body of an answer that is not a stream
    size_t m_maxStreamBytes = 8 * 1024 * 1024; ///< 32,768 tokens at 256 bytes an event
    size_t m_maxEventBytes = 64 * 1024; ///< one line of a stream

    bool operator==(const ConnectionSettings &) const = default;
};

/** What the pools hold and have done. */
struct ConnectionCounts {
    size_t m_idle = 0; ///< now
    size_t m_inUse = 0; ///< now
    uint64_t m_opened = 0; ///< sockets created
    uint64_t m_reused = 0; ///< attempts on a pooled connection
    uint64_t m_expired = 0; ///< closed for their idle age
    uint64_t m_stale = 0; ///< found closed by the peer, or with bytes that nobody asked for
    uint64_t m_distrusted = 0; ///< closed because a connection to the same address was silent
    uint64_t m_refused = 0; ///< attempts above m_maxOpenPerAddress

    bool operator==(const ConnectionCounts &) const = default;
};

struct ConnectionPoolsState;

/**
 * Connections to all upstreams, pooled by address, and the thread that interrupts attempts.
 * Must outlive the clients made from it; no attempt may run when it is destroyed.
 */
struct ConnectionPools {
    explicit ConnectionPools(const ConnectionSettings &settings = {});
    ~ConnectionPools();
    ConnectionPools(const ConnectionPools &) = delete;
    ConnectionPools &operator=(const ConnectionPools &) = delete;

    std::unique_ptr<ConnectionPoolsState> m_state;
};

ConnectionCounts connectionCounts(ConnectionPools &pools);

/** What an attempt saw of its connection. */
struct ConnectionObservation {
    bool m_reused = false; ///< the connection came from the pool
    bool m_interrupted = false; ///< ended by a time limit of this entry, not by the caller or the upstream
    TimePoint m_sentAt; ///< when the request was sent
    std::optional<TimePoint> m_lastByteAt; ///< last byte of the answer; nothing: none arrived
    TimePoint m_endedAt;

    bool operator==(const ConnectionObservation &) const = default;
};

/**
 * Decides whether a silence discredits the pooled connections to the same address. It does when the connection had
 * carried bytes before, in an earlier answer or in this one. A connection that was silent from its start speaks for a
 * slow upstream.
 * @return the begin of the silence: connections opened before it are dropped.
 */
std::optional<TimePoint> distrustBefore(const ConnectionObservation &observation, Duration silenceLimit);

/** Decides whether an idle connection may carry another request. */
bool mayReuse(TimePoint openedAt, TimePoint idleSince, std::optional<TimePoint> distrustedBefore, Duration maxIdleAge, TimePoint now);

/**
 * Calls replicas over HTTP/1.1. Each attempt is sent at most once.
 *
 * An attempt blocks its thread and ends at its deadline, when the token is set, or at a progress limit; interruption
 * takes at most InterruptionPeriod longer. An attempt that is not a stream has no progress limit but its deadline; its
 * evidence says both m_timedOut and m_silent when distrustBefore() finds its connection silent. Headers sent: X-Request-Id,
 * X-Request-Stage, X-Request-Attempt, X-Request-Timeout-Ms (time left), Idempotency-Key, Endpoint-Load-Metrics-Format. Headers read:
 * Retry-After, Endpoint-Load-Metrics (Open Request Cost Aggregation, num_requests_running and num_requests_waiting) and X-Upstream-State,
 * where "leaving" asks for no new work.
 */
UpstreamClient makeUpstreamClient(ConnectionPools &pools, const Clock &clock);
constexpr milliseconds InterruptionPeriod{10}; ///< between two looks at the running attempts

//-----------------------------------------------------------------------------
// [SECTION] VM list
//-----------------------------------------------------------------------------

constexpr size_t MaxVmListBytes = 8 * 1024 * 1024; ///< 12,610 VMs with about 200 bytes each, threefold
constexpr size_t MaxVms = 50'000;
constexpr seconds VmListTimeout{5}; ///< for one read of the list

/** Reads the VM list. Tests and benches replace it. */
struct VmListClient {
    std::function<absl::StatusOr<std::vector<Replica>>()> m_fetch;
};

/**
 * Client of a Prometheus HTTP service discovery endpoint. Errors: Unavailable without an answer, InvalidArgument with
 * the findings of a malformed list. A malformed list is refused as a whole, because a part of it would look like a
 * removal of VMs.
 */
VmListClient makeVmListClient(const Address &address, const std::string &path, const Clock &clock);

/**
 * Parses [{"targets":[..],"labels":{..}}]. Entries (role "entry") have an empty pool; groups with another role than
 * "entry" and "upstream" are left out; a missing state means live.
 */
std::optional<std::vector<Replica>> parseVmList(std::string_view text, Findings &findings);

} // namespace Medlarramp
