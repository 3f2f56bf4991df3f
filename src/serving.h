#pragma once

/**
 * medlarramp serving: state and decisions of a gateway that schedules requests and their stages on replicas.
 *
 * Index of sections:
 *  [SECTION] Settings       start-up settings of one gateway process
 *  [SECTION] Configuration  one version of routes, services, organisations and limits
 *  [SECTION] Registry       the registered replicas, from the events of the key-value store
 *  [SECTION] Membership     the live gateways and the owner of each service's queue
 *  [SECTION] Speed          how long work takes at a replica at this moment
 *  [SECTION] Plan           the stages of one request and which of them can be submitted
 *  [SECTION] Stage queue    batching of pieces for the replicas of a stage service
 *  [SECTION] Start          whether a request is refused on arrival
 *  [SECTION] Placement      choice of the replica for a request
 *  [SECTION] Long prompts   which replicas read long prompts, told between gateways
 *  [SECTION] Retries        the retry budget and the step after a failed attempt
 *  [SECTION] Crashes        requests and prompt parts that crash replicas
 *
 * Decisions are free functions over plain structs; time and seed are parameters.
 */

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core.h"

namespace Medlarramp::Serving {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

/** Whether gateways keep long prompts apart, see separatesLongPrompts(). */
enum class LongPromptMode : uint8_t { Auto, On, Off };

/** Settings of one gateway. Filled by parseGatewaySettings(). */
struct GatewaySettings {
    std::string m_node;
    std::string m_failureDomain;
    std::string m_frontAddress; ///< "IP:PORT" for callers
    std::string m_readyAddress; ///< "IP:PORT" for readiness, metrics and state
    std::string m_peerAddress; ///< "IP:PORT" for other gateways
    std::string m_storeAddress; ///< "IP:PORT" of the key-value store
    double m_processorShare = 1; ///< in cores; weight of this gateway in the assignment of queue owners
    int64_t m_memoryMegabytes = 256;
    Duration m_drainTime = seconds(8); ///< between SIGTERM and SIGKILL
    Duration m_heartbeat = milliseconds(1200); ///< interval at which replicas renew their registrations
    /** A replica gets no work later than this after the store has accepted that it leaves. */
    Duration m_leavingTime = milliseconds(2000);
    double m_retryRatio = 0.1; ///< retries allowed per request, over all gateways
    double m_extraRetries = 20; ///< retries allowed per window in addition to the ratio, over all gateways
    Duration m_retryWindow = seconds(10);
    int64_t m_minLeaseMs = 1000; ///< shortest lease that the store grants, milliseconds
    LongPromptMode m_longPrompts = LongPromptMode::Auto;
    LogLevel m_logLevel = LogLevel::Info;

    bool operator==(const GatewaySettings &) const = default;
};

/** Reads settings from JSON; every problem is added to @p findings. */
GatewaySettings parseGatewaySettings(const nlohmann::json &value, const std::string &file, Findings &findings);

//-----------------------------------------------------------------------------
// [SECTION] Configuration
//-----------------------------------------------------------------------------

enum class RequestKind : uint8_t {
    Idempotent,
    NonIdempotent,
    Streaming,
};

/**
 * A stage of a route: work whose results are inputs of later stages or of the request's run. The run is the final call
 * of the request to a replica of the route's service, after all stages.
 */
struct ServingStage {
    std::string m_service;
    std::vector<size_t> m_after; ///< indexes of the stages whose results it reads
    int64_t m_resultBytes = 0; ///< approximate size of the result of one piece

    bool operator==(const ServingStage &) const = default;
};

struct ServiceShare {
    std::string m_service;
    double m_weight = 1;

    bool operator==(const ServiceShare &) const = default;
};

struct ServingRoute {
    std::string m_name;
    std::string m_host;
    std::string m_prefix; ///< begins and ends with a slash
    RequestKind m_kind = RequestKind::Idempotent;
    Duration m_timeout = seconds(10);
    Duration m_objective{}; ///< target time to the answer, or to the first event of a stream
    Duration m_gapObjective{}; ///< target for the longest gap between two events of a stream
    int m_priority = 0; ///< 0 is the most urgent
    std::vector<ServiceShare> m_services;
    int m_maxAttempts = 1; ///< limit on the attempts at one request that may have run
    std::vector<ServingStage> m_stages;
    bool m_anonymous = false; ///< requests need no API key
    bool m_usesEngine = false; ///< replicas are model engines, see EngineLimits; requests carry their prompt parts
    bool m_resumable = false; ///< a stream may be retried after an attempt that may have run

    bool operator==(const ServingRoute &) const = default;
};

/** Limits of a model engine: a replica that generates from prompts and caches parts of them. */
struct EngineLimits {
    int m_slots = 1;
    int64_t m_cacheTokens = 0; ///< capacity of the prompt cache, tokens

    bool operator==(const EngineLimits &) const = default;
};

/** Capacity and timing of one replica of a stage service. */
struct PieceLimits {
    int m_slots = 1; ///< calls processed at the same time
    int m_queue = 0; ///< calls that may be queued at the replica
    int m_batch = 1; ///< maximum number of pieces per call
    Duration m_callTime{}; ///< fixed time of a call, before its first piece
    Duration m_pieceTime{}; ///< approximate time per piece
    int64_t m_resultCapacityBytes = 0; ///< result capacity of a replica; 0: unlimited
    Duration m_resultLifetime = seconds(4); ///< a replica frees a result this long after storing it

    bool operator==(const PieceLimits &) const = default;
};

struct ServingService {
    std::string m_name;
    int m_maxConnections = 16; ///< limit for one replica, over all its clients
    std::optional<EngineLimits> m_engine;
    std::optional<PieceLimits> m_pieces;

    bool operator==(const ServingService &) const = default;
};

struct ServingOrganisation {
    std::string m_name;
    std::optional<int> m_priority; ///< overrides the priority of the route

    bool operator==(const ServingOrganisation &) const = default;
};

/** Limits on requests and connections of callers. */
struct CallerLimits {
    size_t m_headBytes = 16384;
    size_t m_bodyBytes = 4 * 1024 * 1024;
    Duration m_headTimeout = seconds(3);
    Duration m_idleTimeout = seconds(15);

    bool operator==(const CallerLimits &) const = default;
};

struct ServingConfiguration {
    int64_t m_version = 0;
    std::vector<ServingRoute> m_routes;
    std::map<std::string, ServingService> m_services;
    std::vector<ServingOrganisation> m_organisations;
    std::unordered_map<std::string, size_t> m_keys; ///< API key to index into m_organisations
    bool m_needsKeys = false; ///< organisations are configured, so requests to routes that are not anonymous need an API key
    CallerLimits m_limits;
    std::unordered_map<std::string, std::vector<size_t>> m_routesByHost; ///< host to indexes into m_routes, longest prefix first

    bool operator==(const ServingConfiguration &) const = default;
};

/** Builds m_routesByHost. Call it after m_routes is filled. */
void indexRoutes(ServingConfiguration &configuration);
/** The route of @p host with the longest prefix of the path of @p target; null when none matches. */
const ServingRoute *findRoute(const ServingConfiguration &configuration, std::string_view host, std::string_view target);
const ServingService *findService(const ServingConfiguration &configuration, const std::string &name);
/** Picks a service of a split route in proportion to the weights; the same @p seed picks the same one while these are unchanged. */
const std::string &chooseService(const ServingRoute &route, uint64_t seed);
/** Rank of a request: the priority of its organisation if that has one, else the priority of the route; 0 is the most urgent. */
int rankOf(const ServingConfiguration &configuration, const ServingRoute &route, std::optional<size_t> organisation);
/** Whether @p candidate replaces @p current, which may be null: only a higher version does. */
bool isNewer(const ServingConfiguration *current, const ServingConfiguration &candidate);

//-----------------------------------------------------------------------------
// [SECTION] Registry
//-----------------------------------------------------------------------------

struct ReplicaRecord {
    std::string m_id;
    std::string m_service;
    std::string m_address; ///< "IP:PORT"
    std::string m_failureDomain;
    int m_slots = 1;
    bool m_draining = false;
    int64_t m_incarnationStart = 0; ///< start of the incarnation, Unix milliseconds
    Duration m_warmUpLeft{}; ///< time until the replica has warmed up

    bool operator==(const ReplicaRecord &) const = default;
};

/**
 * Registrations that expired during an outage of the store are kept for this time, so that replicas can register again. It runs
 * from the last call that failed: the store may have been available to others long before this gateway regained it.
 */
constexpr Duration RegistrationGrace = milliseconds(2000);

/** A registration, with the time of its removal while it is missing from the store. */
struct RegisteredReplica {
    ReplicaRecord m_record;
    std::optional<TimePoint> m_removeAt; ///< set while the registration is missing from the store

    bool operator==(const RegisteredReplica &) const = default;
};

/** What a replica has said of itself in its answers; it holds for one incarnation, also while its registration is missing. */
struct ReplicaNotice {
    int64_t m_incarnationStart = 0;
    bool m_leaving = false;
    TimePoint m_pausedUntil; ///< it wants no requests of this gateway before

    bool operator==(const ReplicaNotice &) const = default;
};

struct Registry {
    std::map<std::string, RegisteredReplica> m_replicas; ///< by id
    std::map<std::string, ReplicaNotice> m_notices; ///< by id of the replica
    std::set<std::string> m_evacuatedDomains; ///< failure domains whose replicas get nothing, as the operator asked
    std::optional<TimePoint> m_storeUnavailableSince; ///< start of the first failed call since the last successful one
    TimePoint m_lastFailureAt; ///< start of the last failed call: the store was out of reach then
    std::optional<TimePoint> m_storeRecoveredAt; ///< m_lastFailureAt of the last outage: the earliest time of its end
};

/** A shorter time without a successful call is an interrupted call, not an outage: registrations do not expire in it. */
constexpr Duration MinOutageDuration = milliseconds(1000);

/** @param startedAt when the call began that got no answer, or when the store refused it */
void observeStoreFailure(Registry &registry, TimePoint startedAt);
void observeStoreSuccess(Registry &registry, TimePoint now);
void upsertReplica(Registry &registry, ReplicaRecord record);
/** Removes a registration, or schedules its removal when an outage of the store may have ended less than RegistrationGrace ago. */
void removeReplica(Registry &registry, const std::string &id, TimePoint now);
/** Applies a full listing of the store: adds and updates @p records and removes all other registrations by removeReplica(). */
void replaceReplicas(Registry &registry, std::vector<ReplicaRecord> records, TimePoint now);
/** Removes the registrations whose removal time has come. @return the time of the next removal. */
std::optional<TimePoint> expireReplicas(Registry &registry, TimePoint now);
constexpr size_t MaxNotices = 16384; ///< notices of replicas that are not registered are dropped beyond this
/** Records that an answer of a replica said that it leaves. @return whether this is new. */
bool observeLeaving(Registry &registry, const std::string &id);
/** Records that a replica refused a request and wants no more of this gateway before @p until. An earlier, longer pause stays. */
void observePause(Registry &registry, const std::string &id, TimePoint until);
/** End of the pause that a replica has asked for; the epoch of the clock when there is none. */
TimePoint pausedUntil(const Registry &registry, const std::string &id);
/** When the first of @p ids ends its pause; nothing when one of them is not paused or there are none. */
std::optional<TimePoint> firstResume(const Registry &registry, const std::vector<std::string> &ids, TimePoint now);
/** Whether the failure domain of a registered replica is evacuated: nothing at all is sent to it, and what runs there goes on. */
bool isEvacuated(const Registry &registry, const std::string &id);
/** Whether a service has replicas, but gets no work done because the failure domains of all that would accept it are evacuated. */
bool isServiceEvacuated(const Registry &registry, const std::string &service);
/**
 * Whether a replica may get new work: it is registered, neither the registration nor the replica itself says that it leaves, and
 * its failure domain is not evacuated.
 */
bool acceptsWork(const Registry &registry, const std::string &id);
/**
 * Ids of the replicas that get work, by service. Those with a missing registration only while fewer replicas are registered than
 * missing: then the store has lost registrations, otherwise these replicas have left.
 */
std::map<std::string, std::vector<std::string>> usableReplicas(const Registry &registry);
/** "ready", "draining", "evacuated", "missing" (see usableReplicas()) or "unknown", for the log. */
std::string_view describeReplica(const Registry &registry, const std::string &id);

//-----------------------------------------------------------------------------
// [SECTION] Membership
//-----------------------------------------------------------------------------

struct Member {
    std::string m_node;
    std::string m_address; ///< "IP:PORT" for other gateways
    std::string m_failureDomain;
    double m_weight = 1; ///< processor share
    uint64_t m_incarnation = 0;

    bool operator==(const Member &) const = default;
};

struct Membership {
    Member m_self;
    std::map<std::string, Member> m_members; ///< by node, from the store; includes this gateway
    std::map<std::string, TimePoint> m_suspectedUntil; ///< by node; members that did not answer are suspected until then
    std::deque<std::pair<TimePoint, size_t>> m_counts; ///< recent membership sizes, oldest first
};

constexpr Duration SuspicionTime = seconds(2); ///< a member that did not answer owns no queue for this time
constexpr Duration MemberCountWindow = seconds(15); ///< shares of common limits are divided by the largest membership in this window

void replaceMembers(Membership &membership, std::vector<Member> members, TimePoint now);
void suspectMember(Membership &membership, const std::string &node, TimePoint now);
constexpr double MinOwnerWeightShare = 0.5; ///< owners have at least this share of the largest weight among the members
/**
 * The owner of the queue of @p service, by weighted rendezvous hashing over the members that are not suspected. Members on
 * much smaller VMs than others own no queue: the messages of a queue can take more than their processor share and network.
 */
const std::string &ownerOf(const Membership &membership, std::string_view service, TimePoint now);
/** The largest number of members within MemberCountWindow, at least 1: shares of a common limit stay low while gateways restart. */
size_t memberCount(Membership &membership, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Speed
//-----------------------------------------------------------------------------

/**
 * How long work takes at one incarnation of a replica, relative to what is usual: 2 is twice as long. Without observations 1.
 * A default-constructed estimate replaces that of a previous incarnation.
 */
struct SpeedEstimate {
    double m_mean = 1; ///< moving mean of the observed ratios
    int m_samples = 0; ///< up to MaxSpeedSamples
    TimePoint m_observedAt; ///< last observation
    double m_latest = 1; ///< the last ratio that the replica itself has reported
    std::optional<TimePoint> m_reportedAt;
};

constexpr int MaxSpeedSamples = 10; ///< the moving mean covers about this many observations
constexpr double MinSpeedRatio = 0.1; ///< lower and higher ratios are implausible
constexpr double MaxSpeedRatio = 20;
/** A report loses weight with this time constant: the speed of a machine changes up to ten times a second. */
constexpr Duration SpeedReportMemory = milliseconds(100);
constexpr Duration SpeedMeanMemory = seconds(10); ///< the mean loses weight with this time constant after the last observation

struct SpeedValue {
    double m_ratio = 1; ///< expected at this moment
    double m_deviation = 1; ///< m_ratio relative to the moving mean
    Duration m_age = Duration::max(); ///< since the last observation
};

/** Records a ratio that a replica has reported. @return false when it is implausible and was ignored. */
bool observeReportedSpeed(SpeedEstimate &estimate, double ratio, TimePoint now);
/** Records a ratio that follows from a time measured here, which includes noise, so that it changes the mean only. */
void observeMeasuredSpeed(SpeedEstimate &estimate, double ratio, TimePoint now);
/**
 * The estimate at @p now. A fresh report counts in full, an older one less and less, so that what 91 to 295 gateways have read
 * at different times is not all followed: each reads a replica's report about once a second.
 */
SpeedValue estimateSpeed(const SpeedEstimate &estimate, TimePoint now);

/** Moving mean of the measured over the expected times of all engine replicas of a service; the speed of each is relative to it. */
struct SpeedBaseline {
    double m_mean = 1;
    int m_samples = 0;
};

/**
 * Ratio of the time to a first event to the time that the prior expects, relative to other replicas of the service; updates
 * @p baseline. Sized for 5 requests per second and gateway, on 112 replicas.
 * @param running requests of this gateway at the replica when the prompt was sent
 */
double measureFirstEvent(SpeedBaseline &baseline, int64_t uncachedTokens, int running, Duration time);

//-----------------------------------------------------------------------------
// [SECTION] Plan
//-----------------------------------------------------------------------------

enum class StageState : uint8_t { Waiting, Submitted, Done };

struct PlannedStage {
    int m_pieces = 0; ///< 0: the request skips the stage
    StageState m_state = StageState::Waiting;
    std::vector<std::string> m_handles; ///< handles of the results, by piece number
    bool m_resultsReleased = false; ///< the release of its results was requested
    bool m_resultsEvictable =
        false; ///< its dependent stages are expected to have read its results, which may be released when memory is scarce
    bool m_inputsRead = false; ///< its replicas are expected to have read its inputs
};

/** The stages of one request. */
struct StagePlan {
    std::vector<PlannedStage> m_stages;
};

/** Moving mean of the sizes of the requests of one route. */
struct SizeMean {
    double m_mean = 0; ///< 0: no request observed
};

/**
 * Value of a request relative to others: it grows with the size relative to the mean of the route and is lower for ranks
 * after the two most urgent. Updates @p mean.
 * @param size in the same unit for all requests of a route; 0 when unknown
 */
double requestValue(SizeMean &mean, int rank, double size);
/** Limit on the pieces of one stage of one request. */
constexpr int MaxPieces = 4096;
/** Whether the numbers of pieces of a request are between 0 and MaxPieces. */
bool areValidCounts(const std::vector<int> &pieces);
StagePlan makePlan(const ServingRoute &route, const std::vector<int> &pieces);
/** Handles of the results that @p stage reads: those of all pieces of the stages in its m_after. */
std::vector<std::string> inputsOf(const ServingRoute &route, const StagePlan &plan, size_t stage);
/** Handles of the results that the run of the request reads: those of the stages that no other stage reads. */
std::vector<std::string> finalInputs(const ServingRoute &route, const StagePlan &plan);
bool isPlanDone(const StagePlan &plan);
std::vector<size_t> stagesWithPieces(const StagePlan &plan);
/** Waiting stages whose inputs are all done, so that they can be submitted. */
std::vector<size_t> readyStages(const ServingRoute &route, const StagePlan &plan);
/**
 * Stages whose results all dependent stages are expected to have read, and that the run does not read. They are
 * evictable rather than released, as a piece that fails reads its inputs again.
 */
std::vector<size_t> evictableStages(const ServingRoute &route, const StagePlan &plan);
/** Stages whose results can be released: all dependent stages are done, and the run does not read them. */
std::vector<size_t> releasableStages(const ServingRoute &route, const StagePlan &plan);
/**
 * Stages to run again when inputs of @p stage have expired: the stage, all stages that it depends on, and the stages
 * not done yet that read results of one of these.
 */
std::vector<size_t> stagesToRerun(const ServingRoute &route, const StagePlan &plan, size_t stage);
/** Expected time of @p stage: a call with three quarters of a batch, plus the expected time in the queue and on the network. */
Duration expectedStageTime(const ServingConfiguration &configuration, const ServingRoute &route, size_t stage);
/** Expected time from the start of @p stage to the end of the last stage that depends on it. */
Duration expectedChainTime(const ServingConfiguration &configuration, const ServingRoute &route, const StagePlan &plan, size_t stage);
/** Bytes of results by the failure domain that stores them. */
using BytesByDomain = std::map<std::string, int64_t>;
/**
 * Failure domain in which a stage transfers the fewest bytes between failure domains; empty when no data is known.
 * Each piece reads all of @p inputs, so a chain of stages stays where its large results are.
 * @param reader failure domain of the replica that will read the results; empty when it is unknown
 * @param resultBytes bytes of all results that @p reader will read
 */
std::string preferredDomain(const BytesByDomain &inputs, int pieces, const std::string &reader, int64_t resultBytes);
/** Bytes that the run of the request reads from @p stage; 0 when another stage reads its results. */
int64_t finalBytes(const ServingRoute &route, const StagePlan &plan, size_t stage);
/** How long to delay a stage with large results so that it ends together with the longest parallel chain of stages. */
Duration stageDelay(const ServingConfiguration &configuration, const ServingRoute &route, const StagePlan &plan, size_t stage);

//-----------------------------------------------------------------------------
// [SECTION] Stage queue
//-----------------------------------------------------------------------------

/** All pieces of one stage of one request. */
struct StageTask {
    uint64_t m_ticket = 0; ///< unique in one queue
    std::string m_submitter; ///< node of the gateway that submitted the task
    uint64_t m_submission = 0; ///< number of the task at its submitter
    std::string m_request; ///< identifier that the caller gave its request
    int m_stage = 0;
    std::string m_key; ///< for stages without inputs
    std::vector<std::string> m_inputs;
    int m_rank = 0; ///< rankOf() of the request
    double m_value = 1; ///< requestValue() of the request
    TimePoint m_deadline; ///< results are useless after it
    TimePoint m_latestStart; ///< latest start of the work that meets the objective of the request
    Duration m_work{}; ///< expected time from the start of this stage to the answer, with empty queues
    int64_t m_resultBytes = 0; ///< of one piece, approximate
    std::string m_failureDomain; ///< preferred failure domain, see preferredDomain(); empty: any
    std::vector<int> m_pieces; ///< numbers of the pieces that wait to be sent
    std::vector<std::string> m_handles; ///< results by piece number
    size_t m_done = 0; ///< number of pieces that are done
    size_t m_started = 0; ///< number of pieces whose replicas are expected to have read their inputs
    size_t m_retries = 0; ///< number of failed pieces that reached a replica
};

/** An open call to a replica. */
struct StageCall {
    uint64_t m_call = 0;
    std::string m_replica;
    uint64_t m_epoch = 0; ///< StageWorker::m_epoch when the call was sent
    struct Item {
        uint64_t m_ticket = 0;
        int m_piece = 0;
    };
    std::vector<Item> m_items;
    TimePoint m_sentAt;
    int64_t m_resultBytes = 0; ///< of all pieces, reserved at the replica while the call is open
    bool m_isRunning = false; ///< the replica is expected to process the call now
};

/** A replica of the stage service, as the owner of the queue tracks it. */
struct StageWorker {
    std::string m_id;
    std::string m_address;
    std::string m_failureDomain;
    int64_t m_incarnationStart = 0; ///< start of the incarnation, Unix milliseconds
    uint64_t m_epoch = 0; ///< increased with each new incarnation or address
    bool m_usable = true; ///< registered and not draining
    int m_calls = 0; ///< open calls
    TimePoint m_busyUntil; ///< expected end of the last open call
    int64_t m_usedBytes = 0; ///< results that are not released, and reservations of open calls
    int64_t m_otherOwnersBytes = 0; ///< estimated results of other queue owners, see observeCapacityRefusal()
    TimePoint m_otherOwnersObservedAt; ///< when m_otherOwnersBytes was computed; it counts as 0 one result lifetime later
    TimePoint m_pausedUntil; ///< gets no calls before, after a failure or a rejection, or as the replica asked for
    int m_failures = 0; ///< consecutive failed calls
    double m_callTimeRatio = 1; ///< moving mean of observed over expected call time; above 1: slower than expected
    SpeedEstimate m_speed; ///< as the replica reports it
    TimePoint m_sharedUntil; ///< other gateways were observed to send calls there, so the replica's order of calls is unknown
};

enum class ResultState : uint8_t {
    Stored,
    Evictable, ///< its readers are expected to have read it
    Releasing, ///< the release call to its replica was begun
    Released,
};

/** A result at its replica, tracked until the end of its lifetime. */
struct StoredResult {
    std::string m_replica;
    int64_t m_bytes = 0; ///< memory that it takes at the replica
    TimePoint m_expiresAt; ///< the replica frees it by then
    ResultState m_state = ResultState::Stored;
};

/** The queue of one stage service, at its owner. */
struct StageQueue {
    std::string m_service;
    PieceLimits m_limits;
    std::map<std::string, StageWorker> m_workers; ///< by id
    std::map<uint64_t, StageTask> m_tasks; ///< by ticket; each has at least one piece that is not done
    std::vector<uint64_t> m_waiting; ///< tickets with pieces to send
    std::map<uint64_t, StageCall> m_calls; ///< open calls, by number
    std::unordered_map<std::string, StoredResult> m_results; ///< by handle
    std::unordered_set<std::string> m_evictableResults; ///< handles of results that may be released when capacity is scarce
    TimePoint m_nextExpiryCheck; ///< next removal of expired results from m_results
    uint64_t m_nextTicket = 1;
    uint64_t m_nextCall = 1;
};

constexpr size_t MaxRetriesPerPiece = 3; ///< average over the pieces of a task; the task fails beyond it
constexpr size_t MaxUnfinishedTasks = 4000; ///< limit on the unfinished tasks of one queue; more are refused

enum class PieceFailure : uint8_t {
    Late, ///< its deadline had passed when the replica reached it
    InputExpired, ///< the result of an input has expired
    NoCapacity, ///< the replica lacks result capacity
    Error,
    Rejected, ///< the replica refused the call; the piece has not run
    Lost, ///< the call was sent and got no answer
    NotSent, ///< the connection to the replica failed before the call was sent
};

/** A task that ended, with all handles or with the reason of its failure. */
struct StageOutcome {
    StageTask m_task;
    Reason m_reason = Reason::None; ///< None: all pieces are done
};

/** Adds or updates a registered replica; a new incarnation or address starts without results and failures. */
void updateWorker(StageQueue &queue, const ReplicaRecord &record);
/** Queues a task. @return false when the queue is full. */
bool addTask(StageQueue &queue, StageTask task);
/** Removes a task. @return the handles of its results so far, to be released. */
std::vector<std::string> cancelTask(StageQueue &queue, const std::string &submitter, uint64_t submission);
/**
 * Calls to send now; they are added to the open calls. Designed for bursts of 2.5 times the ordinary load with 7 to 9
 * gateways, and for the ordinary load with 72 gateways.
 * Tasks that can meet their latest start are sent first, in order of it. When not all can, the tasks with the least
 * value per piece are moved behind the others (after Moore and Hodgson), so that an overload makes a few requests late
 * instead of all.
 */
std::vector<StageCall> planCalls(StageQueue &queue, TimePoint now);
/** Removes the tasks with queued pieces whose requests can't be answered before their deadline. @return their outcomes. */
std::vector<StageOutcome> expireTasks(StageQueue &queue, TimePoint now);
/** Calls that their replicas are expected to begin now, as a slot is free for them; shared replicas are left out. */
std::vector<uint64_t> callsExpectedToRun(const StageQueue &queue, TimePoint now);
/** Records that the pieces of @p call have read their inputs. @return the tasks whose pieces now have all done so. */
std::vector<StageTask> recordInputsRead(StageQueue &queue, uint64_t call);
/** Records the result of one piece of a call. @return the outcome when that finishes its task. */
std::optional<StageOutcome> completePiece(StageQueue &queue, const StageCall &call, size_t item, std::string handle, TimePoint now);
/** Records the failure of one piece of a call and queues it again. @return the outcome when the task ends instead. */
std::optional<StageOutcome> failPiece(StageQueue &queue, const StageCall &call, size_t item, PieceFailure failure);
/**
 * Records that the replica produced @p completed pieces of a call and lacked capacity for the others: the rest of its
 * capacity is taken by results of another or a former queue owner. This happens after a restart of all gateways and
 * when a queue has just changed its owner.
 */
void observeCapacityRefusal(StageQueue &queue, const StageCall &call, size_t completed, TimePoint now);
/** Records the number of calls that the replica reports as running or queued, without the one that has just ended. */
void observeLoad(StageQueue &queue, const StageCall &call, int calls, TimePoint now);
/** Records the speed that a replica reports; its calls are expected to take longer or shorter than by m_callTimeRatio. */
void observeWorkerSpeed(StageQueue &queue, const std::string &id, double ratio, TimePoint now);
/** Plans no calls to a replica before @p until. */
void pauseWorker(StageQueue &queue, const std::string &id, TimePoint until);
/** Removes a call. Call it after completePiece() or failPiece() for each of its pieces. */
void endCall(StageQueue &queue, uint64_t call, bool failed, TimePoint now);
/** Marks a result as evictable, as its readers are expected to have read it; see resultsToEvict(). */
void markEvictable(StageQueue &queue, const std::string &handle);
/**
 * Evictable results to release now: those at replicas whose result capacity is scarce. Elsewhere they are kept until
 * their readers are done, as a piece that is retried after a failure reads its inputs again.
 */
std::vector<std::string> resultsToEvict(const StageQueue &queue);
/** Marks a result before the release call to its replica. @return false when its release was begun before. */
bool beginRelease(StageQueue &queue, const std::string &handle);
/** Records that the replica has released a result, which frees its memory. */
void releaseResult(StageQueue &queue, const std::string &handle);
/** Time at which to call planCalls() and expireTasks() if no event comes before; nothing when no task is queued. */
std::optional<TimePoint> nextQueueEvent(const StageQueue &queue, TimePoint now);
//-----------------------------------------------------------------------------
// [SECTION] Start
//-----------------------------------------------------------------------------

/** Expected time of all stages of @p plan with empty queues. */
Duration expectedPlanTime(const ServingConfiguration &configuration, const ServingRoute &route, const StagePlan &plan);

constexpr Duration MinFirstEventTimeout = seconds(2);
constexpr int FirstEventTimeoutObjectives = 4; ///< multiple of the route's objective
constexpr int FirstEventTimeoutGaps = 8; ///< multiple of the route's objective for gaps

/**
 * How long the platform's callers wait for the first event of a stream, regardless of the deadline: the longest of
 * MinFirstEventTimeout, FirstEventTimeoutObjectives objectives and FirstEventTimeoutGaps objectives for gaps. For other
 * kinds, the timeout of the route.
 */
Duration firstEventTimeout(const ServingRoute &route);

/** Whether a request with @p work left can't be answered before @p deadline, even with empty queues. */
bool isUnreachable(TimePoint deadline, Duration work, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Placement
//-----------------------------------------------------------------------------

/** A part of a prompt; requests may have parts in common, which replicas cache. */
struct PromptPart {
    uint64_t m_id = 0;
    int64_t m_tokens = 0;

    bool operator==(const PromptPart &) const = default;
};

/** Ids of the parts that requests may have in common: all but the last. */
std::vector<uint64_t> sharedPartIds(const std::vector<PromptPart> &parts);

/** State of one replica, as observed by this gateway, for the placement of a request. */
struct ReplicaView {
    std::string m_id;
    std::string m_failureDomain;
    int m_slots = 1;
    int m_running = 0; ///< requests of this gateway
    int64_t m_pendingTokens = 0; ///< prompt tokens of this gateway's requests that are not answered yet
    double m_latency = 0; ///< moving mean of observed latencies, seconds; 0: unknown
    double m_speedRatio = 1; ///< time that work takes, relative to m_latency or to the prior of engines
    double m_longPromptSeconds = 0; ///< time that it still reads long prompts of other gateways
    bool m_suspected = false; ///< it failed recently
    bool m_tried = false; ///< an earlier attempt at this request failed there
};

struct PlacementRequest {
    std::vector<PromptPart> m_parts; ///< empty for a plain request
    std::string m_callerDomain; ///< failure domain of this gateway
    BytesByDomain m_inputBytes; ///< results that the request reads
    bool m_spreadsTies = false; ///< replicas of equal cost are chosen by rendezvous hashing, not in the order of their ids
};

/**
 * Index of the replica with the lowest expected cost; nothing when @p replicas is empty. When speeds are known, the cheaper of two
 * random ones among those of about the lowest cost, so that 8 to 295 gateways that know the same speeds don't all choose one replica.
 */
std::optional<size_t> placePlain(const std::vector<ReplicaView> &replicas, const PlacementRequest &request, Random &random);
/**
 * As placePlain(), for replicas that cache prompt parts. Waiting for long prompts of other gateways is weighed like waiting for
 * those of this one.
 */
std::optional<size_t> placePrompt(const std::vector<ReplicaView> &replicas, const PlacementRequest &request);
/**
 * Index of the replica that is expected to have the shared parts of a prompt cached: rendezvous hashing on the last
 * shared part, the same at all gateways.
 */
std::optional<size_t> homeReplica(const std::vector<ReplicaView> &replicas, const std::vector<PromptPart> &parts);
/** Tokens of a prompt that a replica is expected to read: all, without the shared parts at the home replica. */
int64_t expectedUncachedTokens(const std::vector<PromptPart> &parts, bool isHome);
/** Time to read @p tokens by the prior of all engines, for a replica whose speed is not known. */
Duration priorReadTime(int64_t tokens);

//-----------------------------------------------------------------------------
// [SECTION] Long prompts
//-----------------------------------------------------------------------------

/** Prompts with at least this many tokens to read are long: 8 chunks of 2,048 tokens, about 100 to 150 ms. */
constexpr int64_t MinLongPromptTokens = 16'384;
/** Automatic mode separates long prompts at services with an objective for gaps up to this, as reading one takes 350 to 490 ms. */
constexpr Duration MaxLongPromptGap = milliseconds(500);
constexpr Duration LongPromptReportLifetime = milliseconds(1000); ///< reports of a silent gateway expire after this
/** Between two reports of a gateway; with MaxReportedLongPrompts it limits them to 1 KB/s to a peer. */
constexpr Duration MinLongPromptReportInterval = milliseconds(250);
constexpr size_t MaxReportedLongPrompts = 3; ///< of one gateway in one report; those that end last are reported
constexpr size_t MaxLongPromptReporters = 1024; ///< reports of more gateways are dropped

/** A long prompt that a replica reads. */
struct LongPrompt {
    uint64_t m_replica = 0; ///< hash of the replica and its incarnation
    TimePoint m_endsAt; ///< expected end of reading it

    bool operator==(const LongPrompt &) const = default;
};

/** The latest reports of other gateways. */
struct LongPromptReports {
    struct Report {
        TimePoint m_expiresAt;
        std::vector<LongPrompt> m_prompts;
    };
    std::map<std::string, Report> m_byNode;
};

std::optional<LongPromptMode> parseLongPromptMode(std::string_view text);
/**
 * Whether long prompts are kept apart at @p service: in automatic mode if it is a pool of engines, and the tightest objective for
 * gaps among its routes is at most MaxLongPromptGap.
 */
bool separatesLongPrompts(const ServingConfiguration &configuration, const std::string &service, LongPromptMode mode);
/** Replaces what @p node has reported. @return false when the report was dropped, as too many gateways report. */
bool applyLongPromptReport(LongPromptReports &reports, const std::string &node, std::vector<LongPrompt> prompts, TimePoint now);
/** Removes the reports that have expired. @return how many. */
size_t expireLongPromptReports(LongPromptReports &reports, TimePoint now);
/**
 * Time that each replica still reads long prompts of other gateways, in seconds; replicas that read none are left out. Sized for
 * 28 long prompts per second at 112 replicas, read in 350 to 490 ms each, and for 3 times as many in a burst.
 */
std::unordered_map<uint64_t, double> longPromptSeconds(const LongPromptReports &reports, TimePoint now);
/** Whether a prompt is long wherever it is placed: its home replica has to read MinLongPromptTokens or more as well. */
bool isLongPrompt(const std::vector<PromptPart> &parts);
/** The prompts of one report: at most MaxReportedLongPrompts, those that end last. */
std::vector<LongPrompt> selectLongPrompts(std::vector<LongPrompt> prompts, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Retries
//-----------------------------------------------------------------------------

/** Requests and retries of one service in a sliding window. */
struct RetryBudget {
    struct Bucket {
        TimePoint m_start;
        int64_t m_requests = 0;
        int64_t m_retries = 0;
    };
    std::deque<Bucket> m_buckets; ///< oldest first
};

void countRequest(RetryBudget &budget, const GatewaySettings &settings, TimePoint now);
/**
 * Whether the retry budget allows this gateway one more retry; counts it if so.
 * The extra retries of all gateways are divided by @p gateways, the result of memberCount().
 */
bool takeRetry(RetryBudget &budget, const GatewaySettings &settings, size_t gateways, TimePoint now);

/** How an attempt at a replica failed. */
enum class AttemptEnd : uint8_t {
    NotSent, ///< the connection failed before any byte was sent
    Rejected, ///< the replica reported that it has not run the request, as it is overloaded or leaving
    Lost, ///< sent and not answered; it may have run
    Failed, ///< the replica answered with an error
    Broken, ///< the stream ended early after its first event
};

struct AttemptState {
    RequestKind m_kind = RequestKind::Idempotent;
    bool m_resumable = false;
    int m_ran = 0; ///< attempts that may have run
    int m_sent = 0; ///< attempts sent to a replica, rejected ones included
    int m_maxAttempts = 1; ///< limit on m_ran
    bool m_answerStarted = false; ///< part of the answer was sent to the caller
    TimePoint m_deadline;
};

enum class NextStep : uint8_t {
    Retry,
    Relay, ///< pass the replica's error on to the caller
    RefuseNotRun, ///< it certainly has not run
    FailUnknown, ///< it may have run
    AbortStream, ///< part of the answer was sent: close the caller's connection without completing it
};

constexpr int MaxSentAttempts = 4; ///< after an attempt that has not run, no retry once this many attempts were sent
constexpr Duration MinAttemptTime = milliseconds(20); ///< no attempt is made with less time left until the deadline

/** The step after a failed attempt. @p budgetLeft is called only when a retry is otherwise allowed. */
NextStep decideNextStep(const AttemptState &state, AttemptEnd end, TimePoint now, const std::function<bool()> &budgetLeft);

//-----------------------------------------------------------------------------
// [SECTION] Crashes
//-----------------------------------------------------------------------------

constexpr size_t MaxReplicaCrashes = 64; ///< most recorded crashes; the oldest is dropped
constexpr size_t MaxCrashSuspects = 256; ///< of one kind; a crash with more identifies none of them
constexpr size_t MaxRefusedSuspects = 4096; ///< most refused suspects of one kind, those whose refusal has ended included
constexpr size_t MaxAnsweredParts = 8192; ///< most prompt parts whose answer is remembered
constexpr Duration CrashWindow = seconds(600); ///< older crashes are not counted
constexpr Duration PartRefusalTime = seconds(600);
constexpr Duration RequestRefusalTime = seconds(3600); ///< counted from the last time the request came
constexpr Duration SuspectMemory = seconds(24 * 3600); ///< after its refusal, a suspect is refused again after one crash for this time

/** What requests are recognised by when they may have crashed a replica. */
struct CrashSuspects {
    std::vector<uint64_t> m_requests; ///< results of requestDigest()
    std::vector<uint64_t> m_parts; ///< ids of shared prompt parts, in the order of the prompt

    bool operator==(const CrashSuspects &) const = default;
};

/** One crash of a replica with what was lost on it; reports of several gateways add up. */
struct ReplicaCrash {
    uint64_t m_incarnation = 0; ///< hash of replica and incarnation
    TimePoint m_at;
    CrashSuspects m_suspects;

    bool operator==(const ReplicaCrash &) const = default;
};

/** Evidence of one gateway on what crashes replicas, and what it refuses because of it. */
struct CrashEvidence {
    std::deque<ReplicaCrash> m_crashes; ///< oldest first
    std::unordered_map<uint64_t, TimePoint> m_refusedRequests; ///< end of the refusal, by digest
    std::unordered_map<uint64_t, TimePoint> m_refusedParts; ///< end of the refusal, by id
    std::unordered_set<uint64_t> m_answeredParts; ///< not all of them, as it is bounded
};

/**
 * Digest of what makes two requests the same for a replica: path with query, caller and body, and the parts of the prompt, as the
 * body need not hold the prompt. Reveals none of them.
 */
uint64_t requestDigest(std::string_view target, std::string_view caller, std::string_view body, const std::vector<PromptPart> &parts);
bool isRequestRefused(const CrashEvidence &evidence, uint64_t digest, TimePoint now);
bool isPartRefused(const CrashEvidence &evidence, uint64_t part, TimePoint now);
/** Whether one of @p suspects is refused. */
bool hasRefused(const CrashEvidence &evidence, const CrashSuspects &suspects, TimePoint now);
/** Prolongs the refusal of a request that came again. */
void prolongRefusal(CrashEvidence &evidence, uint64_t digest, TimePoint now);
/**
 * Records that a replica crashed with the requests of @p lost on it, none of which had begun to be answered.
 *
 * A request is refused after three crashes of replicas that it was lost on. A shared part is refused after three crashes at
 * different times, unless one request was lost in all of them, which then explains them. Of several such parts, the one that was
 * there most often is refused, among equals one that was never answered, then the last in the prompt, as a later part is shared
 * by fewer requests.
 * @return what is refused from now on and was not before
 */
CrashSuspects observeCrash(CrashEvidence &evidence, uint64_t incarnation, const CrashSuspects &lost, TimePoint now);
/** Clears the suspects of a request that a replica has begun to answer. @return those that were suspected in a crash. */
CrashSuspects observeAnswer(CrashEvidence &evidence, const CrashSuspects &answered);
/** Notes that a part was answered at some time, here or at another gateway; it stays a suspect. */
void noteAnsweredPart(CrashEvidence &evidence, uint64_t part);
/** Refuses @p suspects for @p timeLeft at most, as another gateway does. @return those that were not refused before. */
CrashSuspects applyRefusals(CrashEvidence &evidence, const CrashSuspects &suspects, Duration timeLeft, TimePoint now);

} // namespace Medlarramp::Serving
