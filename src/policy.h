#pragma once

/**
 * medlarramp policy: the decisions on the path of a request, as pure functions.
 *
 * Index of sections:
 *  [SECTION] Outcome of an attempt     the only place that says "not run"
 *  [SECTION] Admission                 order of waiting requests, refusal, preemption of batch
 *  [SECTION] Limits by organisation    token bucket and concurrency
 *  [SECTION] Adaptive limit            concurrency of one upstream as seen by this entry
 *  [SECTION] Prefix index              which replica probably holds which prompt prefix
 *  [SECTION] Routing                   choice of a replica
 *  [SECTION] Subset                    the replicas that this entry uses
 *  [SECTION] Retries and hedges        budgets, back-off, attempt time limit
 *  [SECTION] Outlier ejection          replicas set aside for failures or latency
 *  [SECTION] Crash guard               requests that crash upstreams
 *  [SECTION] Leaving                   replicas that take no new work
 *  [SECTION] Connection trust          pooled connections that may be silent
 *
 * Each decision is a free function over a plain struct. Time and random numbers are parameters; there is no lock. A caller
 * that shares a struct between threads guards it.
 */

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

#include "core.h"
#include "model.h"

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Outcome of an attempt
//-----------------------------------------------------------------------------

/** What was seen on the wire during one attempt. Filled by the upstream client. */
struct AttemptEvidence {
    bool m_connected = false; ///< a connection was open before the request was sent
    bool m_requestSent = false; ///< at least one byte of the request may have left
    int m_status = 0; ///< HTTP status; 0: none received
    bool m_complete = false; ///< the whole answer was received and parsed
    bool m_silent = false; ///< no byte for longer than the progress limit
    bool m_timedOut = false; ///< the attempt's deadline passed
    bool m_cancelled = false; ///< given up by this entry
    bool m_reusedConnection = false; ///< the connection came from the pool
    bool m_leaving = false; ///< the upstream said that it is leaving

    bool operator==(const AttemptEvidence &) const = default;
};

/** Outcome and reason of an attempt. */
struct AttemptVerdict {
    Outcome m_outcome = Outcome::Unknown;
    Reason m_reason = Reason::InternalError;

    bool operator==(const AttemptVerdict &) const = default;
};

/**
 * Decides what an attempt's end means. "Not run" is certain only when nothing of the request left this process or the
 * upstream's configuration declares the status as "not accepted".
 */
AttemptVerdict classifyAttempt(const AttemptEvidence &evidence, const Upstream &upstream);

//-----------------------------------------------------------------------------
// [SECTION] Admission
//-----------------------------------------------------------------------------

struct AdmissionSettings {
    size_t m_maxQueuedUrgent = 2048; ///< requests waiting, all organisations
    size_t m_maxQueuedBatch = 2048; ///< requests waiting, all organisations
    size_t m_maxQueuedByOrganisation = 1024; ///< requests of one organisation and class waiting
    double m_batchShare = 0.02; ///< share of the started work that batch gets while urgent requests wait
    double m_wasteShare = 0.02; ///< work that preemption may discard, as a share of finished work
    Duration m_wasteBurst = seconds(20); ///< most unused waste allowance that is kept, in service time
    double m_resumeCost = 0.1; ///< share of its running time that a preempted, resumable request repeats
    Duration m_preemptAfter = milliseconds(100); ///< urgent requests wait this long for a place before batch is cancelled
    /// By class: a deadline is unreachable when it is nearer than the mean service time and this many mean deviations. Batch
    /// can be tried again later, so it does not start a run that may come too late.
    std::array<double, 2> m_deadlineDeviations = {0, 3};
    double m_remainingMargin = 1.15; ///< factor on AdmissionRequest::m_remaining; queues of later stages grow meanwhile
    Duration m_probeInterval = seconds(1); ///< one request is tried this often although its deadline looks unreachable

    bool operator==(const AdmissionSettings &) const = default;
};

/** One stage of one request that waits for, or holds, a place of a pool. */
struct AdmissionRequest {
    uint64_t m_id = 0; ///< unique among the open requests of this pool and entry
    RequestClass m_class = RequestClass::Urgent;
    uint64_t m_organisation = 0; ///< hash64 of the name
    double m_weight = 1; ///< weight of the organisation, above 0
    double m_cost = 1; ///< expected work relative to an average request
    TimePoint m_deadline; ///< of the whole request
    Duration m_remaining{}; ///< sum of expectedTime() of the stages after this one
    bool m_preemptible = false; ///< batch only: may be cancelled for urgent work and queued again
    bool m_resumable = false; ///< a preempted run continues where it stopped
    bool m_resumed = false; ///< was preempted: goes to the front of its organisation's queue, even when that is full
    bool m_probe = false; ///< set by enqueueRequest(): tried although its deadline looks unreachable
    TimePoint m_queuedAt; ///< set by enqueueRequest()

    bool operator==(const AdmissionRequest &) const = default;
};

/** Moving mean of a duration. */
struct DurationEstimate {
    double m_mean = 0; ///< seconds
    double m_deviation = 0; ///< mean absolute deviation, seconds
    uint64_t m_samples = 0;

    bool operator==(const DurationEstimate &) const = default;
};

void addSample(DurationEstimate &estimate, Duration sample);
Duration meanOf(const DurationEstimate &estimate);
/** Mean plus @p deviations mean absolute deviations. */
Duration upperOf(const DurationEstimate &estimate, double deviations);

/** Waiting requests of one organisation and class. */
struct OrganisationQueue {
    std::deque<AdmissionRequest> m_requests;
    double m_finishTag = 0; ///< virtual time at which its last started request ends
    double m_cost = 0; ///< work waiting
    double m_weight = 0; ///< weight that counts in FairQueue::m_weight; 0 while nothing waits

    bool operator==(const OrganisationQueue &) const = default;
};

/** Start-time fair queueing over organisations (Goyal, Vin, Cheng: Start-Time Fair Queueing, 1996). */
struct FairQueue {
    std::map<uint64_t, OrganisationQueue> m_queues; ///< by organisation
    std::set<std::pair<double, uint64_t>> m_order; ///< start tag and organisation of each non-empty queue
    double m_virtualTime = 0; ///< start tag of the request started last
    size_t m_size = 0; ///< requests waiting
    double m_cost = 0; ///< work waiting
    double m_weight = 0; ///< sum of the weights of the organisations with waiting requests
    size_t m_forgetAt = 64; ///< number of organisations at which the idle ones are forgotten

    bool operator==(const FairQueue &) const = default;
};

constexpr Duration BatchRateWindow = seconds(20); ///< over which the throughput of batch is measured

/** A request that holds a place. */
struct RunningRequest {
    AdmissionRequest m_request;
    TimePoint m_started;
    bool m_guaranteed = false; ///< batch started from the guaranteed share: not preempted
    bool m_preempted = false; ///< told to stop; still holds its place until finishRequest

    bool operator==(const RunningRequest &) const = default;
};

/** Admission state of one pool. */
struct Admission {
    AdmissionSettings m_settings;
    FairQueue m_urgent;
    FairQueue m_batch;
    std::unordered_map<uint64_t, RunningRequest> m_running; ///< by request identifier; bounded by the capacity
    size_t m_runningUrgent = 0;
    double m_batchDone = 0; ///< cost of finished batch, decaying with BatchRateWindow
    TimePoint m_batchDoneAt; ///< time to which m_batchDone has decayed
    TimePoint m_batchSince; ///< first finished batch; zero: none
    size_t m_stopping = 0; ///< preempted requests that still hold a place
    std::array<DurationEstimate, 2> m_service; ///< by class: time that a request of cost 1 holds a place
    double m_capacity = 0; ///< places, as of the last dispatch
    double m_batchCredit = 0; ///< guaranteed batch work not yet started, in cost units
    double m_wasteAllowance = 20; ///< seconds of service time that preemption may discard; starts at m_wasteBurst
    double m_usefulSeconds = 0; ///< service time of finished work
    double m_wastedSeconds = 0; ///< service time discarded by preemption
    TimePoint m_nextProbe; ///< when a request with an unreachable deadline may be tried next
};

struct AdmissionRefusal {
    uint64_t m_id = 0;
    Reason m_reason = Reason::None;

    bool operator==(const AdmissionRefusal &) const = default;
};

/** What the caller of dispatch() has to do. Reused between calls to avoid allocation. */
struct AdmissionActions {
    std::vector<uint64_t> m_start; ///< now hold a place
    std::vector<AdmissionRefusal> m_refuse; ///< removed from the queue
    std::vector<uint64_t> m_preempt; ///< to be cancelled; each still needs finishRequest()
    std::optional<TimePoint> m_again; ///< dispatchRequests() has to be called at this time if nothing happens before
};

/**
 * Queues a request, or refuses it.
 * @return Reason::None when queued; QueueFull or DeadlineUnreachable otherwise.
 */
Reason enqueueRequest(Admission &admission, const AdmissionRequest &request, TimePoint now);
/**
 * Gives free places to waiting requests, refuses those that can no longer meet their deadline and selects running batch for
 * preemption. To be called after each enqueueRequest, finishRequest and change of @p capacity.
 * @param capacity number of places: the sum of the adaptive limits of the usable replicas
 */
void dispatchRequests(Admission &admission, double capacity, TimePoint now, AdmissionActions &actions);
/** How a request gave up its place. */
enum class Finish : uint8_t {
    Useful, ///< the answer was delivered
    Failed, ///< no answer; its duration says nothing about the service time
    Preempted, ///< stopped after dispatchRequests() asked for it; may be queued again
};
/** Frees the place of a running request. Asserts that it is running. */
void finishRequest(Admission &admission, uint64_t id, Finish finish, TimePoint now);
/** Removes a waiting request, whose caller has gone. @return false when it was not waiting. */
bool withdrawRequest(Admission &admission, uint64_t id, uint64_t organisation, RequestClass requestClass);
/** Expected time until a request that arrives now gets a place. */
Duration expectedWait(const Admission &admission, const AdmissionRequest &request, TimePoint now);
/** Expected wait and service time, as enqueueRequest() compares them with the deadline. */
Duration expectedTime(const Admission &admission, const AdmissionRequest &request, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Limits by organisation
//-----------------------------------------------------------------------------

constexpr size_t MaxTrackedOrganisations = 65'536; ///< above the 49,000 organisations of the design size

struct OrganisationUse {
    double m_tokens = 0; ///< requests that may start at once
    TimePoint m_refilled;
    int64_t m_open = 0; ///< requests not yet ended

    bool operator==(const OrganisationUse &) const = default;
};

struct OrganisationLimits {
    std::unordered_map<uint64_t, OrganisationUse> m_uses; ///< by hash64 of the name
};

struct RateDecision {
    Reason m_reason = Reason::None; ///< None, RateLimited or ConcurrencyLimited
    Duration m_retryAfter{}; ///< for the caller

    bool operator==(const RateDecision &) const = default;
};

/**
 * Counts a request of @p organisation, or refuses it.
 * @param share part of the organisation's rate that this entry grants, such as 1 / live entries. The burst is not divided,
 * because a caller's burst usually arrives on one connection.
 */
RateDecision beginOrganisationRequest(OrganisationLimits &limits, const Organisation &organisation, double share, TimePoint now);
/** To be called once for each request that beginOrganisationRequest() accepted. */
void endOrganisationRequest(OrganisationLimits &limits, const Organisation &organisation);

//-----------------------------------------------------------------------------
// [SECTION] Adaptive limit
//-----------------------------------------------------------------------------

struct LimitSettings {
    double m_initial = 16; ///< Upstream::m_initialLimit
    double m_minimum = 0.05; ///< below 1, requests are spaced out instead of overlapped
    double m_maximum = 512; ///< Upstream::m_maxLimit
    double m_tolerance = 1.6; ///< latency above this multiple of the lowest means congestion
    double m_smallTolerance = 1.2; ///< added for a limit of 1; shrinks with the root of the limit (Kumar et al.: Swift, 2020)
    double m_increase = 0.5; ///< requests per limit's worth of successes
    double m_decrease = 0.4; ///< lowest factor on congestion
    double m_rejectedDecrease = 0.5; ///< factor on a rejection
    Duration m_baselineWindow = seconds(60); ///< the lowest latency is forgotten after one to two windows

    bool operator==(const LimitSettings &) const = default;
};

/** Concurrency limit of one upstream replica, by additive increase and multiplicative decrease. */
struct AdaptiveLimit {
    double m_limit = 16;
    double m_lowest = 0; ///< lowest moving mean of the current window, seconds; 0: none
    double m_lowestBefore = 0; ///< lowest moving mean of the window before, seconds; 0: none
    TimePoint m_windowEnd;
    double m_recent = 0; ///< moving mean of the latency since the last decrease, seconds
    uint32_t m_samples = 0; ///< in m_recent
    TimePoint m_nextDecrease; ///< decreases before this time answer the same congestion
    TimePoint m_nextOpen; ///< earliest next request while the limit is below 1

    bool operator==(const AdaptiveLimit &) const = default;
};

enum class LimitSignal : uint8_t {
    Success, ///< the latency is valid
    Rejected, ///< the upstream said that it is overloaded
    Failed, ///< the attempt's time limit passed
    Ignored, ///< cancelled by this entry, or an error that says nothing about load
};

struct LimitSample {
    LimitSignal m_signal = LimitSignal::Success;
    Duration m_latency{}; ///< of the whole attempt, divided by its expected work relative to an average request
    uint32_t m_open = 0; ///< own open requests on the replica when the attempt began, itself included

    bool operator==(const LimitSample &) const = default;
};

/** What an attempt's end says about load. A refused or lost connection says nothing: the replica is down, not slow. */
LimitSignal limitSignal(const AttemptVerdict &verdict);
AdaptiveLimit makeAdaptiveLimit(const LimitSettings &settings);
void observeSample(AdaptiveLimit &limit, const LimitSettings &settings, const LimitSample &sample, TimePoint now);
/** Whether one more request may be opened on a replica with @p open own requests. */
bool hasRoom(const AdaptiveLimit &limit, uint32_t open, TimePoint now);
/** Records the opening of a request; spaces requests out while the limit is below 1. */
void countOpened(AdaptiveLimit &limit, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Prefix index
//-----------------------------------------------------------------------------

constexpr size_t MaxPrefixBlocks = 4;
/** Nested prefix lengths in bytes. Engines cache whole blocks, so a prefix counts only when it fills its length. */
constexpr std::array<size_t, MaxPrefixBlocks> PrefixLengths = {256, 1024, 4096, 16'384};

/** Hashes of the nested prefixes of one prompt, shortest first. */
struct PrefixChain {
    std::array<uint64_t, MaxPrefixBlocks> m_hashes{};
    size_t m_count = 0; ///< 0: the prompt is too short to be worth placing

    bool operator==(const PrefixChain &) const = default;
};

/** @param salt hash64 of organisation and model, which share no cache entries */
PrefixChain prefixChain(std::string_view prompt, uint64_t salt);

constexpr size_t PrefixHolders = 4; ///< replicas remembered for one prefix
constexpr size_t PrefixWays = 4; ///< slots of one set of the index

struct PrefixHolder {
    uint64_t m_replica = 0; ///< key of the replica; 0: none
    TimePoint m_since; ///< last use or event

    bool operator==(const PrefixHolder &) const = default;
};

struct PrefixSlot {
    uint64_t m_hash = 0; ///< 0: free
    TimePoint m_used;
    std::array<PrefixHolder, PrefixHolders> m_holders{};

    bool operator==(const PrefixSlot &) const = default;
};

/** Set-associative table of fixed size. */
struct PrefixIndex {
    std::vector<PrefixSlot> m_slots;
    Duration m_lifetime = seconds(600); ///< a holder without use or event is forgotten, because events can be lost
};

/** @param sets number of sets, rounded up to a power of two; one slot takes about 80 bytes */
PrefixIndex makePrefixIndex(size_t sets = 4096);
enum class CacheEvent : uint8_t { Stored, Evicted, Cleared };
/**
 * Applies an event of an engine. Events may be late, repeated or missing.
 * @param sentAt when the engine produced it, in this process's time; an eviction older than a later use is ignored
 */
void applyCacheEvent(PrefixIndex &index, uint64_t replica, CacheEvent event, uint64_t hash, TimePoint sentAt);
/** Records that a prompt was sent to a replica, which will hold its prefix. */
void notePlacement(PrefixIndex &index, const PrefixChain &chain, uint64_t replica, TimePoint now);
/** The slot of @p hash, or null. */
const PrefixSlot *findPrefix(const PrefixIndex &index, uint64_t hash);

//-----------------------------------------------------------------------------
// [SECTION] Routing
//-----------------------------------------------------------------------------

/** One replica of the subset as the routing decision sees it. */
struct Candidate {
    uint64_t m_key = 0; ///< replicaKey() of the address
    bool m_usable = true; ///< accepts new work, not ejected, has room; when routing: not tried before for this request
    uint8_t m_distance = 0; ///< 0: same failure domain, 1: other
    uint32_t m_open = 0; ///< own open requests
    double m_limit = 16; ///< of the adaptive limit
    double m_reported = 0; ///< requests running and waiting by the last load report
    uint32_t m_openAtReport = 0; ///< own open requests when the report arrived
    TimePoint m_reportedAt; ///< zero: no report
    TimePoint m_usableSince; ///< start of slow start

    bool operator==(const Candidate &) const = default;
};

struct RoutingSettings {
    Duration m_reportHalfLife = seconds(2); ///< weight of a report halves in this time
    Duration m_slowStart = seconds(10); ///< a new replica reaches its full share after this time
    double m_slowStartPenalty = 3.0; ///< multiple of the load at the beginning of slow start
    double m_distancePenalty = 0.15; ///< load share that a hop to another failure domain is worth
    double m_loadBound = 1.25; ///< placement may exceed the mean load by this factor (Mirrokni et al., 2018)

    bool operator==(const RoutingSettings &) const = default;
};

enum class RouteCause : uint8_t {
    Load, ///< the better of two random candidates
    Placement, ///< first replica in rendezvous order within the load bound
    CacheHolder, ///< known to hold the prefix
};

struct RouteChoice {
    size_t m_index = 0; ///< into the candidates
    RouteCause m_cause = RouteCause::Load;

    bool operator==(const RouteChoice &) const = default;
};

/** Stable key of a replica. Never 0. */
uint64_t replicaKey(const Address &address);
/**
 * Places of a pool for dispatchRequests(): the whole limits of the usable replicas, and elsewhere the requests still open.
 * While fewer requests and hedges run, at least one usable replica has room. A retry keeps its request's place; when the
 * limits have shrunk meanwhile, it may be routed to a replica without room.
 */
double poolCapacity(std::span<const Candidate> candidates);
/** Expected load of a candidate as a share of its limit. Lower is better. */
double routeScore(const Candidate &candidate, const RoutingSettings &settings, TimePoint now);
/**
 * Chooses a replica. Allocates nothing.
 * @param chain prefixes of the prompt; empty for stages without a prefix cache
 * @param index may be null
 * @return nothing when no candidate is usable
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

constexpr size_t DefaultSubsetSize = 200; ///< replicas; keeps connections and routing cost of a node bounded

/**
 * Whether node @p self uses @p replica. Each replica selects its nodes by rendezvous hashing, so that every replica has the
 * same number of nodes (or one more) and a change of one node or replica moves only that one's pairs.
 * @param nodes keys of the live entries, @p self among them
 * @param replicaCount replicas of the pool
 * @param subsetSize mean number of replicas for each node
 */
bool isInSubset(uint64_t self, std::span<const uint64_t> nodes, uint64_t replica, size_t replicaCount, size_t subsetSize);
/** Indices into @p replicas of the replicas that node @p self uses. */
std::vector<size_t>
chooseSubset(uint64_t self, std::span<const uint64_t> nodes, std::span<const uint64_t> replicas, size_t subsetSize = DefaultSubsetSize);

//-----------------------------------------------------------------------------
// [SECTION] Retries and hedges
//-----------------------------------------------------------------------------

/** Budget of extra attempts of one pool, earned by first attempts. Used for retries and, separately, for hedges. */
struct AttemptBudget {
    double m_share = 0.08; ///< extra attempts per first attempt; below the 0.1 allowed in an outage
    double m_maximum = 10; ///< most unused extra attempts that are kept
    double m_tokens = 1;

    bool operator==(const AttemptBudget &) const = default;
};

void countFirstAttempt(AttemptBudget &budget);
bool takeExtraAttempt(AttemptBudget &budget);

struct RetrySettings {
    Duration m_baseDelay = milliseconds(20); ///< upper end of the first delay
    Duration m_maxDelay = seconds(2);
    Duration m_minAttempt = milliseconds(20); ///< an attempt with less time left is not begun

    bool operator==(const RetrySettings &) const = default;
};

/** What is known when an attempt has failed. */
struct FailedAttempt {
    AttemptVerdict m_verdict;
    int m_attempt = 0; ///< number of the attempt that failed, from 0
    int64_t m_maxAttempts = 3; ///< Stage::m_maxAttempts
    bool m_idempotent = true; ///< Stage::m_idempotent
    bool m_refusesRepeats = false; ///< Upstream::m_refusesRepeats, with an idempotency key sent
    bool m_delivered = false; ///< part of the answer has reached the caller and cannot be resumed
    std::optional<Duration> m_retryAfter; ///< the upstream's own word
    TimePoint m_deadline;

    bool operator==(const FailedAttempt &) const = default;
};

struct RetryDecision {
    bool m_retry = false;
    Duration m_delay{}; ///< before the next attempt
    Reason m_reason = Reason::None; ///< the cause of the retry, or why there is none

    bool operator==(const RetryDecision &) const = default;
};

/** Upper end of the delay before attempt @p attempt + 1, without jitter. */
Duration backoffLimit(const RetrySettings &settings, int attempt);
RetryDecision decideRetry(AttemptBudget &budget, const RetrySettings &settings, const FailedAttempt &failed, TimePoint now, Random &random);
/**
 * Time limit of one attempt.
 * @param left time to the deadline of the request
 * @param stageShare part of it for this stage and the attempts that may follow, above 0 and at most 1
 * @param estimate observed time of an attempt of the same class; batch waits longer on the replicas than urgent work
 * @param attemptsLeft attempts that may follow this one
 */
Duration attemptTimeout(Duration left, double stageShare, const DurationEstimate &estimate, int64_t attemptsLeft);

struct HedgeSettings {
    double m_deviations = 4; ///< an attempt is late after the mean plus this many mean absolute deviations
    uint64_t m_minSamples = 20; ///< no hedge before the estimate rests on this many attempts
    Duration m_minDelay = milliseconds(10);

    bool operator==(const HedgeSettings &) const = default;
};

/** Time after which an attempt is worth a hedge; nothing when it must not be hedged. */
std::optional<Duration> hedgeDelay(const DurationEstimate &estimate, bool idempotent, const HedgeSettings &settings);
/** Whether to hedge an attempt that has run for @p elapsed. Takes from the budget when true. */
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
    int m_consecutiveFailures = 3; ///< ejects at once
    double m_failureShare = 0.5; ///< ejects when the moving share of failures is above
    double m_latencyFactor = 3.0; ///< ejects when the moving latency is above this multiple of the pool's median
    uint32_t m_minSamples = 8; ///< since the last ejection, before share or latency count
    double m_maxEjected = 0.34; ///< share of the pool, rounded down; a pool of one or two is never ejected from
    Duration m_baseEjection = seconds(5); ///< doubles with each ejection in a row
    Duration m_maxEjection = seconds(120);
    Duration m_forget = seconds(300); ///< time without ejection after which the doubling starts again

    bool operator==(const OutlierSettings &) const = default;
};

/** Health of one replica as seen by this entry. */
struct ReplicaHealth {
    int m_consecutiveFailures = 0;
    uint32_t m_samples = 0; ///< since the last ejection
    double m_failureShare = 0; ///< moving share
    double m_latency = 0; ///< moving mean, seconds
    int m_ejections = 0; ///< in a row
    TimePoint m_ejectedUntil; ///< in the past: not ejected

    bool operator==(const ReplicaHealth &) const = default;
};

struct HealthSample {
    bool m_failed = false; ///< isReplicaFailure()
    Duration m_latency{}; ///< as in LimitSample; of a timed out or cancelled attempt, the time so far

    bool operator==(const HealthSample &) const = default;
};

/** Whether an attempt's end counts as a failure of the replica. */
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

constexpr size_t MaxCrashRecords = 64; ///< crashes remembered
constexpr size_t MaxCrashSuspects = 256; ///< contents remembered of one crash; a crash with more blames nobody
constexpr size_t MaxCrashVerdicts = 4096; ///< contents refused at the same time

struct CrashGuardSettings {
    double m_crashes = 2; ///< distinct upstreams
    Duration m_window = seconds(600); ///< crashes further apart are not connected
    Duration m_refusal = seconds(600); ///< a content is refused for this time

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
};

/** A content that is refused, for the other entries. */
struct CrashBlame {
    uint64_t m_content = 0;
    TimePoint m_until;

    bool operator==(const CrashBlame &) const = default;
};

/** Hash of a request's content without identifiers. */
uint64_t contentHash(std::string_view pipeline, const nlohmann::json &input);
bool isContentRefused(const CrashGuard &guard, uint64_t content, TimePoint now);
/**
 * Records that a replica lost requests. It counts as a crash only when all open requests were lost at once.
 * Each crash is blamed in equal parts on those of its suspects that were present at the most crashes.
 * @param lost content hashes of the requests lost at that moment
 * @param open requests that were open on the replica at that moment
 * @return the contents that are refused from now on
 */
std::vector<CrashBlame> observeLoss(CrashGuard &guard, uint64_t replica, std::span<const uint64_t> lost, size_t open, TimePoint now);
/** A content that ran to its end is no suspect any more. */
void observeCompletion(CrashGuard &guard, uint64_t content);
/** Takes over the verdict of another entry. */
void applyBlame(CrashGuard &guard, const CrashBlame &blame, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Leaving
//-----------------------------------------------------------------------------

constexpr Duration LeavingBound = seconds(3); ///< no new work on a leaving replica after this time

enum class ReplicaEvent : uint8_t {
    ListedLive, ///< by the VM list
    ListedLeaving, ///< by the VM list
    Unlisted, ///< absent from the VM list
    SaidLeaving, ///< by the replica's own answer
    RefusedConnection, ///< nobody listens
    Answered, ///< an ordinary answer
};

struct ReplicaPresence {
    bool m_leaving = false;
    bool m_gone = false; ///< unlisted: may be forgotten once it has no open requests
    bool m_listConfirmed = false; ///< the VM list has shown the departure
    int m_refusals = 0; ///< connections refused in a row
    TimePoint m_leavingSince;
    TimePoint m_retryAt; ///< for refused connections: when to try again

    bool operator==(const ReplicaPresence &) const = default;
};

/** @return true when the replica stops or starts to accept new work. */
bool observeReplica(ReplicaPresence &presence, ReplicaEvent event, TimePoint now);
bool acceptsNewWork(const ReplicaPresence &presence, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Connection trust
//-----------------------------------------------------------------------------

constexpr Duration MaxConnectionIdle = seconds(30);

/** Trust in the pooled connections of one replica. */
struct ConnectionTrust {
    TimePoint m_distrustedBefore; ///< connections opened earlier are closed instead of used

    bool operator==(const ConnectionTrust &) const = default;
};

/** @param silentSince last time that a byte arrived on the connection found silent */
void observeSilence(ConnectionTrust &trust, TimePoint silentSince);
bool isTrusted(const ConnectionTrust &trust, TimePoint openedAt, TimePoint lastUsed, TimePoint now);

} // namespace Medlarramp
