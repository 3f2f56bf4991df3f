#pragma once

/**
 * medlarramp policy: the decisions made for each request (admission, limits, routing, retries), as functions without I/O.
 *
 * Index of sections:
 *  [SECTION] Outcome of an attempt     the only code that classifies an attempt as "not run"
 *  [SECTION] Admission                 order of queued requests, refusal, preemption of batch
 *  [SECTION] Limits by organisation    token bucket and concurrency
 *  [SECTION] Adaptive limit            concurrency limit of one replica, measured by this entry
 *  [SECTION] Prefix index              which replicas are expected to cache which prompt prefix
 *  [SECTION] Routing                   choice of a replica
 *  [SECTION] Subset                    the replicas that this entry uses
 *  [SECTION] Retries and hedges        budgets, back-off, attempt time limit
 *  [SECTION] Outlier ejection          replicas ejected for failures or latency
 *  [SECTION] Crash guard               requests that crash replicas
 *  [SECTION] Leaving                   replicas that accept no new work
 *  [SECTION] Connection validity       pooled connections that must not be reused
 *
 * An entry is one process that accepts requests; a replica is one process of an upstream, which is a pool of them.
 *
 * Each decision is a free function over a plain struct. Time and random numbers are parameters. The functions take no
 * lock: a caller that shares a struct between threads must synchronise access.
 */

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core.h"
#include "model.h"

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Outcome of an attempt
//-----------------------------------------------------------------------------

/** What the upstream client observed on the wire during one attempt. */
struct AttemptEvidence {
    bool m_connected = false; ///< a connection was open before the request was sent
    bool m_requestSent = false; ///< at least one byte of the request may have left this process
    int m_status = 0; ///< HTTP status; 0: none received
    bool m_complete = false; ///< the whole answer was received and parsed; takes precedence over the other evidence
    bool m_silent = false; ///< no byte was received for longer than the time allowed between two received bytes
    bool m_timedOut = false; ///< the attempt's deadline passed
    bool m_cancelled = false; ///< this entry cancelled the attempt
    bool m_reusedConnection = false; ///< the connection was kept open from an earlier attempt
    bool m_leaving = false; ///< the upstream reported that it is leaving

    bool operator==(const AttemptEvidence &) const = default;
};

/** Outcome and reason of an attempt. */
struct AttemptVerdict {
    Outcome m_outcome = Outcome::Unknown;
    Reason m_reason = Reason::InternalError;

    bool operator==(const AttemptVerdict &) const = default;
};

/**
 * Classifies the end of an attempt. The outcome is "not run" only when no byte of the request left this process or when the
 * configuration of @p upstream lists the received status as "not accepted".
 */
AttemptVerdict classifyAttempt(const AttemptEvidence &evidence, const Upstream &upstream);

//-----------------------------------------------------------------------------
// [SECTION] Admission
//-----------------------------------------------------------------------------

struct AdmissionSettings {
    size_t m_maxQueuedUrgent = 2048; ///< queued requests of all organisations
    size_t m_maxQueuedBatch = 2048; ///< queued requests of all organisations
    size_t m_maxQueuedByOrganisation = 1024; ///< queued requests of one organisation and class
    double m_batchShare = 0.02; ///< share of the started work that is guaranteed to batch while urgent requests are queued
    double m_wasteShare = 0.02; ///< service time that preemption may discard, as a share of the service time of finished requests
    Duration m_wasteBurst = seconds(20); ///< upper bound of the unused allowance, in service time
    double m_resumeCost = 0.1; ///< share of its running time that a preempted, resumable request has to run again
    Duration m_preemptAfter = milliseconds(100); ///< an urgent request queued for this long is overdue: batch is preempted for it
    /// By class: a deadline is unreachable when less time is left than the mean service time plus this many mean absolute
    /// deviations. Batch can be submitted again later, so it does not start a run that may end late.
    std::array<double, 2> m_deadlineDeviations = {0, 3};
    /// Factor on AdmissionRequest::m_remaining, because the queues of later stages may grow before the request reaches them.
    double m_remainingMargin = 1.15;
    Duration m_probeInterval = seconds(1); ///< interval at which one request is admitted although its deadline is estimated as unreachable

    bool operator==(const AdmissionSettings &) const = default;
};

/** One stage of one request that is queued for, or occupies, a slot (one unit of concurrency) of a pool. */
struct AdmissionRequest {
    uint64_t m_id = 0; ///< unique among the open requests of this pool and entry
    RequestClass m_class = RequestClass::Urgent;
    uint64_t m_organisation = 0; ///< hash64 of the name
    double m_weight = 1; ///< weight of the organisation, above 0
    double m_cost = 1; ///< expected work relative to an average request
    TimePoint m_deadline; ///< of the whole request
    Duration m_remaining{}; ///< sum of expectedTime() over the later stages
    bool m_preemptible = false; ///< batch only: may be cancelled for urgent work and queued again
    bool m_resumable = false; ///< a preempted run can continue where it was stopped
    /// Queued again after a preemption: goes to the front of its organisation's queue and is exempt from the queue limits.
    bool m_resumed = false;
    bool m_probe = false; ///< set by enqueueRequest(): admitted although its deadline is estimated as unreachable
    TimePoint m_queuedAt; ///< set by enqueueRequest()

    bool operator==(const AdmissionRequest &) const = default;
};

/** Moving mean and mean absolute deviation of a duration. */
struct DurationEstimate {
    double m_mean = 0; ///< seconds
    double m_deviation = 0; ///< mean absolute deviation, seconds
    uint64_t m_samples = 0;

    bool operator==(const DurationEstimate &) const = default;
};

void addSample(DurationEstimate &estimate, Duration sample);
Duration meanOf(const DurationEstimate &estimate);
/** Mean plus @p deviations mean absolute deviations. */
Duration upperBoundOf(const DurationEstimate &estimate, double deviations);

/** Queued requests of one organisation and class. */
struct OrganisationQueue {
    std::deque<AdmissionRequest> m_requests;
    double m_finishTag = 0; ///< virtual time at which its last started request finishes
    double m_cost = 0; ///< sum of the costs of the queued requests
    double m_weight = 0; ///< weight included in FairQueue::m_weight; 0 while the queue is empty

    bool operator==(const OrganisationQueue &) const = default;
};

/** Start-time fair queueing over organisations (Goyal, Vin, Cheng: Start-Time Fair Queueing, 1996). */
struct FairQueue {
    std::map<uint64_t, OrganisationQueue> m_queues; ///< by organisation
    std::set<std::pair<double, uint64_t>> m_order; ///< start tag and organisation of each non-empty queue
    double m_virtualTime = 0; ///< start tag of the request started last
    size_t m_size = 0; ///< queued requests
    double m_cost = 0; ///< sum of the costs of the queued requests
    double m_weight = 0; ///< sum of the weights of the organisations with queued requests
    size_t m_cleanupSize = 64; ///< number of organisations at which the idle ones are removed

    bool operator==(const FairQueue &) const = default;
};

constexpr Duration BatchRateWindow = seconds(20); ///< time constant over which the throughput of batch is measured

/** A request that occupies a slot. */
struct RunningRequest {
    AdmissionRequest m_request;
    TimePoint m_started;
    bool m_guaranteed = false; ///< batch started from the guaranteed share; never preempted
    bool m_preempted = false; ///< selected for preemption; occupies its slot until finishRequest()

    bool operator==(const RunningRequest &) const = default;
};

/** Admission state of one pool. */
struct Admission {
    AdmissionSettings m_settings;
    FairQueue m_urgent;
    FairQueue m_batch;
    std::unordered_map<uint64_t, RunningRequest> m_running; ///< by request identifier; bounded by m_capacity
    size_t m_runningUrgent = 0;
    double m_batchFinishedCost = 0; ///< cost of finished batch requests, decaying exponentially with BatchRateWindow
    TimePoint m_batchDecayedAt; ///< time at which m_batchFinishedCost was last decayed
    TimePoint m_batchMeasuredSince; ///< end of the first batch request; zero: none has finished
    size_t m_pendingPreemptions = 0; ///< preempted requests that still occupy a slot
    std::array<DurationEstimate, 2> m_service; ///< by class: time that a request of cost 1 occupies a slot
    double m_capacity = 0; ///< slots, as of the last dispatchRequests()
    double m_batchCredit = 0; ///< guaranteed batch work that has not started yet, in cost units
    double m_wasteAllowance = 20; ///< service time that preemption may still discard, seconds; starts at the default of m_wasteBurst
    double m_usefulSeconds = 0; ///< service time of finished requests, seconds
    double m_wastedSeconds = 0; ///< service time discarded by preemption, seconds
    TimePoint m_nextProbe; ///< earliest time at which the next request with an unreachable deadline may be admitted
};

struct AdmissionRefusal {
    uint64_t m_id = 0;
    Reason m_reason = Reason::None;

    bool operator==(const AdmissionRefusal &) const = default;
};

/** What the caller of dispatchRequests() has to do. Reused between calls to avoid allocation. */
struct AdmissionActions {
    std::vector<uint64_t> m_start; ///< requests that now occupy a slot
    std::vector<AdmissionRefusal> m_refuse; ///< requests removed from the queue
    std::vector<uint64_t> m_preempt; ///< running requests to be cancelled; each still needs finishRequest()
    std::optional<TimePoint> m_nextDispatch; ///< latest time of the next dispatchRequests(), if no event causes an earlier call
};

/**
 * Puts a request into its queue, or refuses it.
 * @return Reason::None when queued; QueueFull or DeadlineUnreachable otherwise.
 */
Reason enqueueRequest(Admission &admission, const AdmissionRequest &request, TimePoint now);
/**
 * Starts queued requests in free slots, refuses those that can no longer meet their deadline and selects running batch
 * requests for preemption. To be called after each enqueueRequest(), finishRequest() and change of @p capacity.
 * @param capacity number of slots: the sum of the adaptive limits of the usable replicas
 */
void dispatchRequests(Admission &admission, double capacity, TimePoint now, AdmissionActions &actions);
/** How a running request ended. */
enum class Finish : uint8_t {
    Useful, ///< the answer was delivered
    Failed, ///< no answer; its duration is not a sample of the service time
    Preempted, ///< cancelled because dispatchRequests() selected it for preemption; may be queued again
};
/** Frees the slot of a running request. Asserts that it is running. */
void finishRequest(Admission &admission, uint64_t id, Finish finish, TimePoint now);
/** Removes a queued request whose caller has disconnected. @return false when it was not queued. */
bool withdrawRequest(Admission &admission, uint64_t id, uint64_t organisation, RequestClass requestClass);
/** Expected time in the queue of a request that arrives now. */
Duration expectedWait(const Admission &admission, const AdmissionRequest &request, TimePoint now);
/** Expected queueing and service time, as enqueueRequest() compares them with the deadline. */
Duration expectedTime(const Admission &admission, const AdmissionRequest &request, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Limits by organisation
//-----------------------------------------------------------------------------

constexpr size_t MaxTrackedOrganisations = 65'536; ///< the system is designed for 49,000 organisations, all of which fit

struct OrganisationUsage {
    double m_tokens = 0; ///< requests that may start immediately
    TimePoint m_refilled;
    int64_t m_open = 0; ///< requests that have not ended

    bool operator==(const OrganisationUsage &) const = default;
};

struct OrganisationLimits {
    std::unordered_map<uint64_t, OrganisationUsage> m_usages; ///< by hash64 of the name
};

struct RateDecision {
    Reason m_reason = Reason::None; ///< None, RateLimited or ConcurrencyLimited
    Duration m_retryAfter{}; ///< time after which the caller may retry; set when refused

    bool operator==(const RateDecision &) const = default;
};

/**
 * Counts a new request of @p organisation, or refuses it.
 * @param share part of the organisation's rate that this entry grants, such as 1 / live entries. The burst is not divided,
 * because a caller usually sends a burst on one connection, that is to one entry.
 */
RateDecision beginOrganisationRequest(OrganisationLimits &limits, const Organisation &organisation, double share, TimePoint now);
/** To be called once for each request that beginOrganisationRequest() accepted. */
void endOrganisationRequest(OrganisationLimits &limits, const Organisation &organisation);

//-----------------------------------------------------------------------------
// [SECTION] Adaptive limit
//-----------------------------------------------------------------------------

struct LimitSettings {
    double m_initial = 16; ///< requests; Upstream::m_initialLimit
    double m_minimum = 0.05; ///< requests; below 1, they are spaced in time instead of overlapping
    double m_maximum = 512; ///< requests; Upstream::m_maxLimit
    double m_tolerance = 1.6; ///< mean latency above this multiple of the lowest mean latency is congestion
    /// This value divided by the square root of the limit is added to m_tolerance (Kumar et al.: Swift, 2020).
    double m_smallLimitTolerance = 1.2;
    /// Growth of the limit, in requests, over as many successes as the limit's value: each success adds m_increase / limit. While
    /// the limit is below 1, each success adds m_increase * limit.
    double m_increase = 0.5;
    double m_decrease = 0.4; ///< lowest factor that is applied on congestion
    double m_rejectedDecrease = 0.5; ///< factor that is applied when the upstream rejects or times out
    Duration m_baselineWindow = seconds(60); ///< the lowest latency expires after one to two windows

    bool operator==(const LimitSettings &) const = default;
};

/** Concurrency limit of one replica, adapted by additive increase and multiplicative decrease (AIMD). */
struct AdaptiveLimit {
    double m_limit = 16; ///< concurrent requests
    double m_lowestLatency = 0; ///< lowest moving mean of the current window, seconds; 0: none
    double m_previousLowestLatency = 0; ///< lowest moving mean of the previous window, seconds; 0: none
    TimePoint m_windowEnd;
    double m_meanLatency = 0; ///< moving mean of the latency since the last decrease, seconds
    uint32_t m_samples = 0; ///< number of samples in m_meanLatency
    TimePoint m_nextDecrease; ///< samples before this time show congestion for which the limit was already decreased
    TimePoint m_nextOpen; ///< earliest start of the next request while the limit is below 1

    bool operator==(const AdaptiveLimit &) const = default;
};

enum class LimitSignal : uint8_t {
    Success, ///< the latency is valid
    Rejected, ///< the upstream reported that it is overloaded
    Failed, ///< the attempt's time limit passed
    Ignored, ///< cancelled by this entry, or an error that is no evidence of load
};

struct LimitSample {
    LimitSignal m_signal = LimitSignal::Success;
    Duration m_latency{}; ///< of the whole attempt, divided by its expected work relative to an average request
    uint32_t m_open = 0; ///< this entry's open requests on the replica when the attempt began, including this one

    bool operator==(const LimitSample &) const = default;
};

/** Load signal of a finished attempt. A refused or lost connection is Ignored: the replica is down, not slow. */
LimitSignal limitSignal(const AttemptVerdict &verdict);
AdaptiveLimit makeAdaptiveLimit(const LimitSettings &settings);
void observeSample(AdaptiveLimit &limit, const LimitSettings &settings, const LimitSample &sample, TimePoint now);
/** Whether this entry may open one more request on a replica on which it has @p open requests. */
bool hasFreeCapacity(const AdaptiveLimit &limit, uint32_t open, TimePoint now);
/** Records that a request was opened. While the limit is below 1, this delays the next request. */
void recordOpened(AdaptiveLimit &limit, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Prefix index
//-----------------------------------------------------------------------------

constexpr size_t MaxPrefixBlocks = 4; ///< nested prefixes of one prompt
/** Nested prefix lengths in bytes. Engines cache whole blocks, so a prompt has a prefix only when it is at least that long. */
constexpr std::array<size_t, MaxPrefixBlocks> PrefixLengths = {256, 1024, 4096, 16'384};

/** Hashes of the nested prefixes of one prompt, shortest first. */
struct PrefixChain {
    std::array<uint64_t, MaxPrefixBlocks> m_hashes{};
    size_t m_count = 0; ///< 0: the prompt is shorter than the shortest prefix and is routed by load

    bool operator==(const PrefixChain &) const = default;
};

/** @param salt hash64 of organisation and model, so that neither organisations nor models share cache entries */
PrefixChain prefixChain(std::string_view prompt, uint64_t salt);

constexpr size_t PrefixHolders = 4; ///< most replicas recorded for one prefix
constexpr size_t PrefixWays = 4; ///< slots in one set of the index

struct PrefixHolder {
    uint64_t m_replica = 0; ///< key of the replica; 0: none
    TimePoint m_lastUsed; ///< last use or cache event

    bool operator==(const PrefixHolder &) const = default;
};

struct PrefixSlot {
    uint64_t m_hash = 0; ///< 0: free
    TimePoint m_lastUsed; ///< last use or cache event
    std::array<PrefixHolder, PrefixHolders> m_holders{};

    bool operator==(const PrefixSlot &) const = default;
};

/** Set-associative table of fixed size: the replicas that are expected to cache a prefix. */
struct PrefixIndex {
    std::vector<PrefixSlot> m_slots;
    Duration m_lifetime = seconds(600); ///< since the last use or cache event of a holder; it then expires, as eviction events can be lost
};

/** @param sets number of sets, rounded up to a power of two; one slot takes about 80 bytes */
PrefixIndex makePrefixIndex(size_t sets = 4096);
enum class CacheEvent : uint8_t { Stored, Evicted, Cleared };
/**
 * Applies a cache event of an engine. Events may be delayed, duplicated or missing.
 * @param sentAt when the engine produced it, in this process's time; an eviction that is older than the last use is ignored
 */
void applyCacheEvent(PrefixIndex &index, uint64_t replica, CacheEvent event, uint64_t hash, TimePoint sentAt);
/** Records that a prompt was sent to a replica, which is expected to cache its prefixes. */
void recordPlacement(PrefixIndex &index, const PrefixChain &chain, uint64_t replica, TimePoint now);
/** The slot of @p hash, or null. */
const PrefixSlot *findPrefix(const PrefixIndex &index, uint64_t hash);

//-----------------------------------------------------------------------------
// [SECTION] Routing
//-----------------------------------------------------------------------------

/** Input of the routing decision for one replica of the subset. */
struct Candidate {
    uint64_t m_key = 0; ///< replicaKey() of the address
    bool m_usable = true; ///< accepts new work, not ejected, below its limit; when routing also: not tried before for this request
    uint8_t m_distance = 0; ///< 0: same failure domain, 1: other
    uint32_t m_open = 0; ///< this entry's open requests
    double m_limit = 16; ///< AdaptiveLimit::m_limit
    double m_reported = 0; ///< running and queued requests in the last load report
    uint32_t m_openAtReport = 0; ///< this entry's open requests when the report arrived
    TimePoint m_reportedAt; ///< zero: no report
    TimePoint m_usableSince; ///< start of slow start; zero: no slow start

    bool operator==(const Candidate &) const = default;
};

struct RoutingSettings {
    Duration m_reportHalfLife = seconds(2); ///< time in which the weight of a load report halves
    Duration m_slowStart = seconds(10); ///< time after which a new replica gets its full share
    /// The load is multiplied by 1 + penalty. The penalty falls linearly from this value to 0 during slow start.
    double m_slowStartPenalty = 3.0;
    double m_distancePenalty = 0.15; ///< added to the score, a share of the limit, of a replica in another failure domain
    double m_loadBound = 1.25; ///< highest load of a placement as a multiple of the mean load (Mirrokni et al., 2018)

    bool operator==(const RoutingSettings &) const = default;
};

enum class RouteCause : uint8_t {
    Load, ///< the better of two random candidates
    Placement, ///< first replica in rendezvous order within the load bound
    CacheHolder, ///< recorded as a holder of the prefix
};

struct RouteChoice {
    size_t m_index = 0; ///< into the candidates
    RouteCause m_cause = RouteCause::Load;

    bool operator==(const RouteChoice &) const = default;
};

/** Stable key of a replica. Never 0. */
uint64_t replicaKey(const Address &address);
/**
 * Number of slots of a pool for dispatchRequests(): the limits of the usable replicas, each rounded down but at least 1, and
 * for each replica at least its open requests. While fewer requests and hedges run than this, at least one usable replica is
 * below its limit. A retry keeps the slot of its request; if the limits have shrunk since, it may be routed to a replica at
 * its limit.
 */
double poolCapacity(std::span<const Candidate> candidates);
/**
 * Expected load of a candidate with one more request, as a share of its limit, increased by the penalties for slow start and
 * distance. Lower is better.
 */
double routeScore(const Candidate &candidate, const RoutingSettings &settings, TimePoint now);
/**
 * Chooses a replica. Allocates nothing.
 * @param chain prefixes of the prompt; empty for stages without a prefix cache
 * @param index may be null
 * @return std::nullopt when no candidate is usable
 */
std::optional<RouteChoice> chooseReplica(std::span<const Candidate> candidates,
                                         const PrefixChain &chain,
                                         const PrefixIndex *index,
                                         const RoutingSettings &settings,
                                         TimePoint now,
                                         Random &random);

//-----------------------------------------------------------------------------
// [SECTION] Subset
//-----------------------------------------------------------------------------

constexpr size_t DefaultSubsetSize = 200; ///< replicas; bounds the connections and the routing cost of an entry

/**
 * Whether entry @p self uses @p replica. The entries of each replica are selected by rendezvous hashing, so that every replica
 * has the same number of entries (or one more) and adding or removing one entry or replica changes mainly the pairs (entry,
 * replica) that include it.
 * @param nodes keys of the live entries, @p self among them
 * @param replicaCount replicas of the pool
 * @param subsetSize mean number of replicas for each entry
 */
bool isInSubset(uint64_t self, std::span<const uint64_t> nodes, uint64_t replica, size_t replicaCount, size_t subsetSize);
/** Indices into @p replicas of the replicas that entry @p self uses. */
std::vector<size_t>
chooseSubset(uint64_t self, std::span<const uint64_t> nodes, std::span<const uint64_t> replicas, size_t subsetSize = DefaultSubsetSize);

//-----------------------------------------------------------------------------
// [SECTION] Retries and hedges
//-----------------------------------------------------------------------------

/** Budget of extra attempts of one pool: a token bucket filled by first attempts. One for retries, another for hedges. */
struct AttemptBudget {
    /// Tokens added per first attempt: the long-run share of extra attempts; below the 0.1 that the system may add in an outage.
    double m_share = 0.08;
    double m_maximum = 10; ///< upper bound of m_tokens
    double m_tokens = 1; ///< extra attempts that may be made now

    bool operator==(const AttemptBudget &) const = default;
};

/** Adds the share of one first attempt to the budget. */
void countFirstAttempt(AttemptBudget &budget);
/** Takes one extra attempt from the budget. @return false when less than one is left. */
bool spendExtraAttempt(AttemptBudget &budget);

struct RetrySettings {
    Duration m_baseDelay = milliseconds(20); ///< upper end of the delay before the first retry
    Duration m_maxDelay = seconds(2);
    Duration m_minAttempt = milliseconds(20); ///< no retry starts with less time left before the deadline

    bool operator==(const RetrySettings &) const = default;
};

/** Input of decideRetry(): a failed attempt. */
struct FailedAttempt {
    AttemptVerdict m_verdict;
    int m_attempt = 0; ///< number of the attempt that failed, from 0
    int64_t m_maxAttempts = 3; ///< Stage::m_maxAttempts
    bool m_idempotent = true; ///< Stage::m_idempotent
    bool m_refusesRepeats = false; ///< Upstream::m_refusesRepeats, with an idempotency key sent
    bool m_delivered = false; ///< part of the answer was sent to the caller and the stream cannot be resumed
    std::optional<Duration> m_retryAfter; ///< Retry-After header of the upstream's answer
    TimePoint m_deadline;

    bool operator==(const FailedAttempt &) const = default;
};

struct RetryDecision {
    bool m_retry = false;
    Duration m_delay{}; ///< before the next attempt
    Reason m_reason = Reason::None; ///< the cause of the retry, or the reason why there is none

    bool operator==(const RetryDecision &) const = default;
};

/** Upper end of the delay before attempt @p attempt + 1, without jitter. */
Duration backoffLimit(const RetrySettings &settings, int attempt);
RetryDecision decideRetry(AttemptBudget &budget, const RetrySettings &settings, const FailedAttempt &failed, TimePoint now, Random &random);
/**
 * Time limit of one attempt.
 * @param left time to the deadline of the request
 * @param stageShare share of @p left for this stage with all its attempts, above 0 and at most 1
 * @param estimate observed duration of attempts of the same class; batch is queued longer on the replicas than urgent work
 * @param attemptsLeft attempts that may follow this one
 */
Duration attemptTimeout(Duration left, double stageShare, const DurationEstimate &estimate, int64_t attemptsLeft);

struct HedgeSettings {
    double m_deviations = 4; ///< a hedge is due after the mean plus this many mean absolute deviations
    uint64_t m_minSamples = 20; ///< no hedge while the estimate has fewer samples
    Duration m_minDelay = milliseconds(10);

    bool operator==(const HedgeSettings &) const = default;
};

/** Time after which a hedge of an attempt is due; std::nullopt when the attempt must not be hedged. */
std::optional<Duration> hedgeDelay(const DurationEstimate &estimate, bool idempotent, const HedgeSettings &settings);
/** Whether to hedge an attempt that has run for @p elapsed. Takes one extra attempt from the budget when true. */
bool decideHedge(AttemptBudget &budget,
                 const DurationEstimate &estimate,
                 bool idempotent,
                 Duration elapsed,
                 Duration left,
                 const HedgeSettings &settings);

//-----------------------------------------------------------------------------
// [SECTION] Outlier ejection
//-----------------------------------------------------------------------------

struct OutlierSettings {
    int m_consecutiveFailures = 3; ///< ejects when this many attempts in a row have failed
    double m_failureShare = 0.5; ///< ejects when the moving share of failures is above this
    double m_latencyFactor = 3.0; ///< ejects when the moving latency is above this multiple of the pool's median
    uint32_t m_minSamples = 8; ///< samples since the last ejection, before share or latency can eject
    double m_maxEjected = 0.34; ///< share of the pool, rounded down; no replica of a pool of one or two is ever ejected
    Duration m_baseEjection = seconds(5); ///< duration of the first ejection; doubles with each further one
    Duration m_maxEjection = seconds(120);
    Duration m_resetAfter = seconds(300); ///< time without ejection after which the duration starts at m_baseEjection again

    bool operator==(const OutlierSettings &) const = default;
};

/** Health of one replica as seen by this entry. */
struct ReplicaHealth {
    int m_consecutiveFailures = 0;
    uint32_t m_samples = 0; ///< since the last ejection
    double m_failureShare = 0; ///< moving share of failed attempts
    double m_latency = 0; ///< moving mean, seconds
    int m_ejections = 0; ///< number since the last reset by OutlierSettings::m_resetAfter
    TimePoint m_ejectedUntil; ///< end of the ejection; in the past: not ejected

    bool operator==(const ReplicaHealth &) const = default;
};

struct HealthSample {
    bool m_failed = false; ///< isReplicaFailure()
    Duration m_latency{}; ///< as in LimitSample; for a timed out or cancelled attempt, the time until then

    bool operator==(const HealthSample &) const = default;
};

/** Whether the end of an attempt counts as a failure of the replica. */
bool isReplicaFailure(const AttemptVerdict &verdict);
/**
 * Records the end of an attempt on replica @p index of a pool.
 * @return true when this ejects the replica. Its Candidate::m_usableSince is then the end of the ejection.
 */
bool observeHealth(std::span<ReplicaHealth> pool, size_t index, const HealthSample &sample, const OutlierSettings &settings, TimePoint now);
bool isEjected(const ReplicaHealth &health, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Crash guard
//-----------------------------------------------------------------------------

constexpr size_t MaxCrashRecords = 64; ///< most recorded crashes
constexpr size_t MaxCrashSuspects = 256; ///< a crash with more distinct contents is ignored, because it does not identify one of them
constexpr size_t MaxRefusedContents = 4096; ///< most contents refused at the same time
constexpr size_t MaxCompletedContents = 8192; ///< most contents whose completion is remembered
constexpr Duration CrashReportTime = seconds(2); ///< reports of one replica within this time are of the same crash

struct CrashGuardSettings {
    double m_crashes = 2; ///< a content is refused when its blame reaches this many crashes of distinct replicas
    Duration m_window = seconds(600); ///< older crashes are not counted
    Duration m_refusal = seconds(600); ///< time for which a content is refused

    bool operator==(const CrashGuardSettings &) const = default;
};

struct CrashRecord {
    uint64_t m_replica = 0;
    TimePoint m_at;
    std::vector<uint64_t> m_suspects; ///< distinct content hashes

    bool operator==(const CrashRecord &) const = default;
};

struct CrashGuard {
    CrashGuardSettings m_settings;
    std::deque<CrashRecord> m_records; ///< oldest first
    std::unordered_map<uint64_t, TimePoint> m_refusedUntil; ///< by content hash
    std::unordered_set<uint64_t> m_completed; ///< contents that have completed; bounded, so not all of them
};

/** A refused request content, as sent to the other entries. */
struct ContentRefusal {
    uint64_t m_content = 0;
    TimePoint m_until;

    bool operator==(const ContentRefusal &) const = default;
};

/** Hash of the pipeline name and the input of a request. Requests that differ only in their identifiers have the same hash. */
uint64_t contentHash(std::string_view pipeline, const nlohmann::json &input);
bool isContentRefused(const CrashGuard &guard, uint64_t content, TimePoint now);
/**
 * Records that requests were lost on a replica. It counts as a crash only when all open requests were lost at once. Reports
 * from several entries within CrashReportTime add up to one crash.
 * Each crash is attributed in equal parts to those of its suspects that were present at the most crashes; among these, to the
 * ones that have never completed, if there are any.
 * @param lost content hashes of the lost requests
 * @param open number of requests that were open on the replica when they were lost
 * @return the contents that are refused from now on
 */
std::vector<ContentRefusal>
observeLostRequests(CrashGuard &guard, uint64_t replica, std::span<const uint64_t> lost, size_t open, TimePoint now);
/** Removes a content from all suspects, because a request with it has completed. @return whether it was one. */
bool observeCompletion(CrashGuard &guard, uint64_t content);
/** Notes that a content has completed at some time, here or at another entry; it stays a suspect. */
void noteCompleted(CrashGuard &guard, uint64_t content);
bool hasCompleted(const CrashGuard &guard, uint64_t content);
/**
 * Attributes the recorded crashes again after observeCompletion() has removed suspects.
 * @return the contents that are refused from now on and were not before
 */
std::vector<ContentRefusal> reassessCrashes(CrashGuard &guard, TimePoint now);
/** Applies a refusal received from another entry, for at most this entry's CrashGuardSettings::m_refusal. */
void applyContentRefusal(CrashGuard &guard, const ContentRefusal &refusal, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Leaving
//-----------------------------------------------------------------------------

constexpr Duration MaxLeavingDelay = seconds(3); ///< target: no new work is sent to a replica this long after it starts to leave

enum class ReplicaEvent : uint8_t {
    ListedLive, ///< the VM list (the platform's list of VMs with their states) shows the replica as live
    ListedLeaving, ///< the VM list shows the replica as leaving
    Unlisted, ///< absent from the VM list
    ReportedLeaving, ///< the replica reported in an answer that it is leaving
    RefusedConnection, ///< a connection attempt was refused
    Answered, ///< the replica sent an ordinary answer
};

struct ReplicaPresence {
    bool m_leaving = false;
    bool m_unlisted = false; ///< absent from the VM list; may be removed once it has no open requests
    bool m_listConfirmed = false; ///< the VM list has shown the replica as leaving or absent
    int m_refusals = 0; ///< consecutive refused connections
    TimePoint m_leavingSince;
    TimePoint m_retryAt; ///< after refused connections: no new work before this time

    bool operator==(const ReplicaPresence &) const = default;
};

/** @return true when the replica stops or starts to accept new work. */
bool observeReplica(ReplicaPresence &presence, ReplicaEvent event, TimePoint now);
bool acceptsNewWork(const ReplicaPresence &presence, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Connection validity
//-----------------------------------------------------------------------------

constexpr Duration MaxConnectionIdle = seconds(30); ///< a connection that was idle for longer is not reused

/** Which pooled connections of one replica may be reused. */
struct ConnectionValidity {
    TimePoint m_reusableAfter; ///< connections opened at this time or earlier are closed instead of reused

    bool operator==(const ConnectionValidity &) const = default;
};

/**
 * Excludes older connections from reuse after one of them was silent for longer than the time allowed between two received
 * bytes.
 * @param silentSince when the last byte arrived on that connection
 */
void invalidateConnections(ConnectionValidity &validity, TimePoint silentSince);
bool isReusable(const ConnectionValidity &validity, TimePoint openedAt, TimePoint lastUsed, TimePoint now);

} // namespace Medlarramp
