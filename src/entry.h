#pragma once

/**
 * medlarramp entry: the process between callers and upstreams.
 *
 * Index of sections:
 *  [SECTION] Metrics      counters and histograms, with bounded label sets
 *  [SECTION] Pools        the replicas of each pool and who may use them
 *  [SECTION] Blackboard   what request threads and controllers share
 *  [SECTION] Pipelines    a request from its first stage to its answer
 *  [SECTION] Process      start, readiness and shutdown
 *
 * A request thread reads snapshots of the blackboard by read-copy-update. Controllers are functions on threads of their
 * own that read and write the blackboard.
 */

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core.h"
#include "model.h"
#include "policy.h"
#include "upstream.h"

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Metrics
//-----------------------------------------------------------------------------

/** What the cost of an attempt was good for. */
enum class CostUse : uint8_t {
    Useful, ///< its result is part of an answer that was given
    Retried, ///< it failed and another attempt followed
    Hedged, ///< the other attempt of a hedge won
    Wasted, ///< nobody got the answer
};

std::string_view toString(CostUse use);

/** Registry and families of prometheus-cpp; see entry_metrics.cpp for names and labels. */
struct Metrics;

std::shared_ptr<Metrics> makeMetrics();
void countRefusal(Metrics &metrics, Reason reason, RequestClass requestClass);
void countRetry(Metrics &metrics, Reason reason, const std::string &pool);
/** A dropped message, a late result, a replica set aside. */
void countDrop(Metrics &metrics, Reason reason);

/** What is known of a request when it ends. */
struct RequestRecord {
    std::string m_pipeline;
    std::string m_tier; ///< organisation class by weight: "small", "medium" or "large"
    RequestClass m_class = RequestClass::Urgent;
    Outcome m_outcome = Outcome::Unknown;
    bool m_inDeadline = false;
    Duration m_duration{};
    std::optional<Duration> m_firstToken;
};

void recordRequest(Metrics &metrics, const RequestRecord &record);
void recordCost(Metrics &metrics, const std::string &pipeline, const std::string &stage, CostUse use, Duration time, int64_t tokens);
void recordTokenGap(Metrics &metrics, Duration gap);
void setGauge(Metrics &metrics, const std::string &name, double value);
/** Text exposition format of Prometheus. */
std::string exposeMetrics(Metrics &metrics);

/** One line of the attainment table. */
struct AttainmentRow {
    std::string m_pipeline;
    RequestClass m_class = RequestClass::Urgent;
    int64_t m_requests = 0;
    int64_t m_inDeadline = 0;
};

/** One line of the cost table. */
struct CostRow {
    std::string m_pipeline;
    std::string m_stage;
    CostUse m_use = CostUse::Useful;
    double m_seconds = 0;
    int64_t m_tokens = 0;
};

std::vector<AttainmentRow> attainmentTable(Metrics &metrics);
std::vector<CostRow> costTable(Metrics &metrics);

//-----------------------------------------------------------------------------
// [SECTION] Pools
//-----------------------------------------------------------------------------

/** The pools of one entry, with the state of each replica. One lock a pool; decisions under it take microseconds. */
struct Pools;

/** Called when this entry refuses a content from now on, to tell the others. */
using BlameSink = std::function<void(const ContentRefusal &)>;

std::shared_ptr<Pools> makePools(const Clock &clock, std::string failureDomain, std::shared_ptr<Metrics> metrics, uint64_t seed);
void setBlameSink(Pools &pools, BlameSink sink);

/** What the pools are built from. */
struct PoolInputs {
    std::shared_ptr<const Configuration> m_configuration;
    std::vector<Replica> m_replicas; ///< from the VM list
    uint64_t m_self = 0; ///< key of this entry
    std::vector<uint64_t> m_nodes; ///< keys of the live entries, this one among them
};

/** Takes over the replicas and properties in force; replicas that are gone or leave get no new work. */
void updatePools(Pools &pools, const PoolInputs &inputs);

/** Who asks for a place on a replica. */
struct PlaceRequest {
    std::string m_pool;
    std::string m_organisation;
    double m_weight = 1;
    RequestClass m_class = RequestClass::Urgent;
    std::string m_prompt; ///< its prefixes decide on the replica; empty: none
    uint64_t m_contentHash = 0; ///< hash of the request's content without identifiers
    TimePoint m_deadline; ///< of the stage
    Duration m_remaining{}; ///< expected time of the stages after this one
    int64_t m_attemptsLeft = 0; ///< that may follow this one
    int m_attempt = 0; ///< from 0
    bool m_idempotent = true;
    bool m_resumable = false; ///< a preempted run continues where it stopped
    std::vector<uint64_t> m_avoid; ///< keys of replicas that failed this request
};

/** A place on a replica, or the reason why there is none. */
struct Place {
    std::shared_ptr<const Upstream> m_upstream;
    Address m_address;
    uint64_t m_replica = 0; ///< key of the replica
    uint64_t m_ticket = 0;
    TimePoint m_deadline; ///< of the attempt
    Reason m_refusal = Reason::None;
};

/** Waits for a place until the deadline at the latest. @p cancel is set when the place is taken back for urgent work. */
Place acquirePlace(Pools &pools, const PlaceRequest &request, CancelToken &cancel);
/** Gives the place back and lets the pool learn from the result. @return true when the attempt was preempted. */
bool releasePlace(Pools &pools,
                  const PlaceRequest &request,
                  const Place &place,
                  const AttemptResult &result,
                  const AttemptVerdict &verdict);
/** Whether another attempt may be made, and after what delay. Spends the pool's retry budget. */
RetryDecision permitRetry(Pools &pools, const std::string &pool, const FailedAttempt &failed);
/** Expected wait and service time of a request on its pool. */
Duration expectedStageTime(Pools &pools, const PlaceRequest &request);
/** Notices ended ejections, spaced-out limits and deadlines that passed while nothing else happened. */
void tickPools(Pools &pools);
bool isRefusedContent(Pools &pools, uint64_t contentHash);
/** Takes over the verdict of another entry. */
void acceptBlame(Pools &pools, const ContentRefusal &blame);

/** State of one pool, for status and metrics. */
struct PoolStatus {
    std::string m_name;
    size_t m_replicas = 0;
    size_t m_usable = 0;
    size_t m_running = 0;
    size_t m_queuedUrgent = 0;
    size_t m_queuedBatch = 0;
    double m_capacity = 0; ///< sum of the adaptive limits of the usable replicas
};

std::vector<PoolStatus> poolStatus(Pools &pools);

//-----------------------------------------------------------------------------
// [SECTION] Blackboard
//-----------------------------------------------------------------------------

/** The answer of a claim of a non-idempotent stage. */
struct ClaimDecision {
    bool m_granted = false; ///< this call, and no other, may run it
    Identifier m_call; ///< names the call when it reports its end
    std::optional<std::string> m_answer; ///< the first run's answer
    Outcome m_outcome = Outcome::NotRun; ///< when neither granted nor answered
    Reason m_reason = Reason::None;
};

/** Claims of non-idempotent stages. */
struct ClaimCalls {
    /** Blocks until the claim is decided or the deadline has passed. */
    std::function<ClaimDecision(const Identifier &key, uint64_t bodyHash, TimePoint deadline)> m_claim;
    /** A granted call has ended; NotRun only when that is certain. */
    std::function<void(const Identifier &call, Outcome outcome, const std::string &answer)> m_finish;
};

struct Blackboard {
    const Clock &m_clock;
    Settings m_settings;
    UpstreamClient m_upstream;
    ClaimCalls m_claims;
    std::shared_ptr<Metrics> m_metrics;
    std::shared_ptr<Pools> m_pools;
    RcuPointer<Configuration> m_configuration;
    std::atomic<bool> m_ready = false;
    std::atomic<bool> m_draining = false; ///< not ready any more; requests are still accepted
    std::atomic<bool> m_refusing = false; ///< new requests are refused; accepted ones end
    std::atomic<int64_t> m_openRequests = 0; ///< accepted and not yet answered
    std::mutex m_limitsMutex;
    OrganisationLimits m_limits; ///< under m_limitsMutex
    std::atomic<int64_t> m_liveEntries = 1; ///< for the share of a rate limit that this entry grants
};

//-----------------------------------------------------------------------------
// [SECTION] Pipelines
//-----------------------------------------------------------------------------

/** A request after authentication, with the snapshot it began with. */
struct AcceptedRequest {
    Identifier m_identifier;
    std::shared_ptr<const Configuration> m_configuration;
    std::shared_ptr<const Organisation> m_organisation;
    Template m_pipeline; ///< with the organisation's overrides
    PipelineRequest m_request;
    std::optional<Identifier> m_idempotencyKey;
    uint64_t m_contentHash = 0;
    TimePoint m_arrival;
    TimePoint m_deadline;
    std::vector<nlohmann::json> m_finished; ///< batch: outputs of the stages that need not run again
    /** Batch: makes the claim key of a stage durable before the stage is claimed. Empty: from the idempotency key. */
    std::function<std::optional<Identifier>(size_t stage)> m_claimKey;
    std::function<void(size_t stage, const nlohmann::json &output)> m_onStage; ///< batch: keeps the output
};

/** How a request ended. */
struct PipelineResult {
    Outcome m_outcome = Outcome::Unknown;
    Reason m_reason = Reason::None;
    bool m_sideEffects = false; ///< a non-idempotent stage may have run
    std::string m_failedStage;
    nlohmann::json m_output; ///< of the last stage
    nlohmann::json m_stages; ///< output of each stage by name; null for an optional stage that was left out
    std::optional<Duration> m_retryAfter;
    std::optional<Duration> m_firstToken;
};

/** The claim key of one stage: unique for organisation, caller's key and stage, with the time of the caller's key. */
Identifier claimKey(const std::string &organisation, const Identifier &key, size_t stage);

/** @p sink receives the text of the last stage when it is of kind generate. @p cancel ends the request early. */
PipelineResult runPipeline(Blackboard &board, const AcceptedRequest &request, const TokenSink &sink, CancelToken &cancel);

//-----------------------------------------------------------------------------
// [SECTION] Process
//-----------------------------------------------------------------------------

struct Entry;

/** Parts of an entry that tests replace. An empty member is made from the settings. */
struct EntryParts {
    UpstreamClient m_upstream;
    ClaimCalls m_claims;
    std::shared_ptr<const Configuration> m_configuration; ///< in force from the start
    std::vector<Replica> m_replicas; ///< known from the start
};

/** Starts the listeners and controllers. */
absl::StatusOr<std::shared_ptr<Entry>> startEntry(const Settings &settings, Clock &clock, const EntryParts &parts = {});
/** Address in use; the settings may ask for any port with port 0 in tests. */
Address listenAddress(const Entry &entry);
/** Address for other entries; port 0 without peers. */
Address peerAddress(const Entry &entry);
Blackboard &blackboard(Entry &entry);
/** Drains: readiness falls, accepted requests end, then the listener closes. @return requests left at the limit. */
int64_t stopEntry(Entry &entry);

} // namespace Medlarramp
