#pragma once

/**
 * medlarramp serving: what a gateway knows and how it decides.
 *
 * Index of sections:
 *  [SECTION] Settings       what one gateway process is started with
 *  [SECTION] Configuration  routes, services, organisations and limits of one version
 *  [SECTION] Registry       the replicas that may be used, from the store's events
 *  [SECTION] Membership     the live gateways and who owns the queue of a service
 *  [SECTION] Plan           the stages of one request and what may begin
 *  [SECTION] Stage queue    batches of pieces for the replicas of a stage service
 *  [SECTION] Start          whether the stages of a request begin now
 *  [SECTION] Placement      the replica for a request
 *  [SECTION] Repeats        the budget of repeats and what follows a failed attempt
 *
 * Decisions are free functions over plain structs; time and seed are parameters.
 */

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
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

/** Settings of one gateway. Filled by parseGatewaySettings(). */
struct GatewaySettings {
    std::string m_node;
    std::string m_failureDomain;
    std::string m_frontAddress; ///< "IP:PORT" for callers
    std::string m_readyAddress; ///< "IP:PORT" for readiness, metrics and state
    std::string m_peerAddress; ///< "IP:PORT" for other gateways
    std::string m_storeAddress; ///< "IP:PORT" of the key-value service
    double m_processorShare = 1; ///< cores, weight when queues are dealt out
    int64_t m_memoryMegabytes = 256;
    Duration m_drainTime = seconds(8); ///< between SIGTERM and SIGKILL
    Duration m_heartbeat = milliseconds(1200); ///< of replicas at the registry
    double m_repeatRatio = 0.1; ///< repeats allowed for each request, over all gateways
    double m_repeatExtra = 20; ///< repeats allowed in a window beyond the ratio, over all gateways
    Duration m_repeatWindow = seconds(10);
    int64_t m_minLeaseMs = 1000; ///< smallest time of a lease that the store grants
    LogLevel m_logLevel = LogLevel::Info;

    bool operator==(const GatewaySettings &) const = default;
};

/** Reads settings from JSON; every problem becomes a finding. */
GatewaySettings parseGatewaySettings(const nlohmann::json &value, const std::string &file, Findings &findings);

//-----------------------------------------------------------------------------
// [SECTION] Configuration
//-----------------------------------------------------------------------------

enum class RequestKind : uint8_t {
    Idempotent,
    NonIdempotent,
    Streaming,
};

/** Work that must be done before a request can run. */
struct ServingStage {
    std::string m_service;
    std::vector<size_t> m_after; ///< stages whose results it needs
    int64_t m_resultBytes = 0; ///< approximate size of one result

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
    Duration m_objective{}; ///< time to the answer, or to the first event, for full credit
    Duration m_gapObjective{}; ///< longest pause between events for full credit
    int m_priority = 0; ///< 0 is the most urgent
    std::vector<ServiceShare> m_services;
    int m_maxAttempts = 1; ///< replicas that may run one attempt of a caller
    std::vector<ServingStage> m_stages;
    bool m_anonymous = false; ///< needs no key
    bool m_usesEngine = false; ///< requests name prompt parts that replicas cache
    bool m_resumable = false;

    bool operator==(const ServingRoute &) const = default;
};

struct EngineLimits {
    int m_slots = 1;
    int64_t m_cacheTokens = 0;

    bool operator==(const EngineLimits &) const = default;
};

/** How one replica of a stage service works on pieces. */
struct PieceLimits {
    int m_slots = 1; ///< calls worked on at the same time
    int m_queue = 0; ///< calls that may wait
    int m_batch = 1; ///< pieces a call
    Duration m_callTime{}; ///< before the first piece
    Duration m_pieceTime{}; ///< for each piece, approximate
    int64_t m_roomBytes = 0; ///< for results
    Duration m_resultLifetime = seconds(4);

    bool operator==(const PieceLimits &) const = default;
};

struct ServingService {
    std::string m_name;
    int m_maxConnections = 16; ///< to one replica, from all callers together
    std::optional<EngineLimits> m_engine;
    std::optional<PieceLimits> m_pieces;

    bool operator==(const ServingService &) const = default;
};

struct ServingOrganisation {
    std::string m_name;
    std::optional<int> m_priority; ///< in place of the route's

    bool operator==(const ServingOrganisation &) const = default;
};

/** Bounds on what a caller may send. */
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
    std::unordered_map<std::string, size_t> m_keys; ///< key to index into m_organisations
    bool m_needsKeys = false; ///< organisations are configured, so that requests carry a key
    CallerLimits m_limits;
    std::unordered_map<std::string, std::vector<size_t>> m_routesByHost; ///< longest prefix first

    bool operator==(const ServingConfiguration &) const = default;
};

/** Builds the index by host. Call after filling the routes. */
void indexRoutes(ServingConfiguration &configuration);
/** The route with the longest matching prefix; null when none matches. */
const ServingRoute *findRoute(const ServingConfiguration &configuration, std::string_view host, std::string_view target);
const ServingService *findService(const ServingConfiguration &configuration, const std::string &name);
/** The service for a request of a split route, the same for the same @p seed while the weights stay. */
const std::string &chooseService(const ServingRoute &route, uint64_t seed);
/** Rank of a request: the organisation's, else the route's. */
int rankOf(const ServingConfiguration &configuration, const ServingRoute &route, std::optional<size_t> organisation);
/** Whether @p candidate replaces @p current: a version never falls. */
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
    int64_t m_born = 0; ///< start of the incarnation, Unix milliseconds
    Duration m_coldLeft{};

    bool operator==(const ReplicaRecord &) const = default;
};

/** Registrations that vanished around an outage of the store get this time to come back. */
constexpr Duration LapsedGrace = milliseconds(2000);

/** One registration as known here. */
struct RegisteredReplica {
    ReplicaRecord m_record;
    std::optional<TimePoint> m_removeAt; ///< set while the registration is missing

    bool operator==(const RegisteredReplica &) const = default;
};

struct Registry {
    std::map<std::string, RegisteredReplica> m_replicas; ///< by id
    std::optional<TimePoint> m_storeAwaySince; ///< first call without an answer, while there is none
    std::optional<TimePoint> m_storeBackAt; ///< when the store answered again after an outage
};

/** Shorter gaps are single calls that were cut; no registration lapses in them. */
constexpr Duration MinOutage = milliseconds(1000);

void noteStoreFailure(Registry &registry, TimePoint now);
void noteStoreAnswer(Registry &registry, TimePoint now);
void putReplica(Registry &registry, ReplicaRecord record);
/** A registration was removed; it stays for LapsedGrace when the store was away just before. */
void removeReplica(Registry &registry, const std::string &id, TimePoint now);
/** Replaces everything by a full listing. */
void replaceReplicas(Registry &registry, std::vector<ReplicaRecord> records, TimePoint now);
/** Drops what is due. @return the time of the next removal. */
std::optional<TimePoint> expireReplicas(Registry &registry, TimePoint now);
bool acceptsWork(const RegisteredReplica &replica);

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
    std::map<std::string, TimePoint> m_suspectedUntil; ///< members that did not answer
    std::deque<std::pair<TimePoint, size_t>> m_counts; ///< sizes seen lately
};

constexpr Duration SuspicionTime = seconds(2); ///< a member that did not answer is not asked for this time
constexpr Duration CountMemory = seconds(15); ///< shares are taken of the largest membership seen in this time

void replaceMembers(Membership &membership, std::vector<Member> members, TimePoint now);
void suspectMember(Membership &membership, const std::string &node, TimePoint now);
/** The node that owns the queue of @p service: weighted rendezvous hashing over the members that are not suspected. */
const std::string &ownerOf(const Membership &membership, std::string_view service, TimePoint now);
/** Most members seen lately, so that shares of a common limit err on the safe side. */
size_t memberCount(Membership &membership, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Plan
//-----------------------------------------------------------------------------

enum class StageState : uint8_t { Waiting, Submitted, Done };

struct PlannedStage {
    int m_pieces = 0; ///< 0: left out
    StageState m_state = StageState::Waiting;
    std::vector<std::string> m_handles; ///< results, in order of the pieces
    bool m_freed = false;
    bool m_spare = false; ///< its readers have most likely fetched its results, which may go where room is scarce
    bool m_inputsRead = false; ///< its replicas have fetched the results it builds on
};

/** The stages of one request. */
struct StagePlan {
    std::vector<PlannedStage> m_stages;
};

/** Mean size of the requests of one route, learned as they come. */
struct SizeMean {
    double m_mean = 0; ///< moving mean; 0: none seen
};

/**
 * Worth of a request against others: larger ones of a route count more, and a rank below the most urgent two less.
 * @p size in the unit of the route's other requests; 0 when unknown
 */
double requestValue(SizeMean &mean, int rank, double size);
StagePlan makePlan(const ServingRoute &route, const std::vector<int> &pieces);
/** Handles of all pieces of the stages in m_after of @p stage. */
std::vector<std::string> inputsOf(const ServingRoute &route, const StagePlan &plan, size_t stage);
/** Handles of the stages that no other stage follows. */
std::vector<std::string> finalInputs(const ServingRoute &route, const StagePlan &plan);
bool isPlanDone(const StagePlan &plan);
std::vector<size_t> stagesWithPieces(const StagePlan &plan);
/** Stages that may be submitted now, as their inputs are there. */
std::vector<size_t> readyStages(const ServingRoute &route, const StagePlan &plan);
/** Stages that all stages which follow have most likely read, and that no run reads: a piece that fails reads them again. */
std::vector<size_t> spareStages(const ServingRoute &route, const StagePlan &plan);
/** Stages whose followers are all done, and that no run reads. */
std::vector<size_t> spentStages(const ServingRoute &route, const StagePlan &plan);
/** Stages to work out again when inputs of @p stage are gone: it, all that it builds on, and what else waits for those. */
std::vector<size_t> stagesToRepeat(const ServingRoute &route, const StagePlan &plan, size_t stage);
/** Expected time of @p stage, with most of a batch full and a short wait. */
Duration expectedStageTime(const ServingConfiguration &configuration, const ServingRoute &route, size_t stage);
/** Expected time from the start of @p stage to the end of all stages that build on it, itself included. */
Duration expectedChainTime(const ServingConfiguration &configuration, const ServingRoute &route, const StagePlan &plan, size_t stage);
/** Bytes of results by the failure domain that holds them. */
using BytesByDomain = std::map<std::string, int64_t>;
/**
 * Failure domain where a stage moves the fewest bytes; empty when it makes no difference. Each piece reads all of
 * @p inputs, so a chain stays where its large results are.
 * @param reader failure domain of the replica that will read the results; empty when it is not known
 * @param resultBytes of all pieces that @p reader will read
 */
std::string nearestDomain(const BytesByDomain &inputs, int pieces, const std::string &reader, int64_t resultBytes);
/** Bytes that the replica of the run reads of the results of @p stage; 0 when another stage follows it. */
int64_t finalBytes(const ServingRoute &route, const StagePlan &plan, size_t stage);
/** How long a stage with large results may wait so that it ends together with the longest chain beside it. */
Duration stageDelay(const ServingConfiguration &configuration, const ServingRoute &route, const StagePlan &plan, size_t stage);

//-----------------------------------------------------------------------------
// [SECTION] Stage queue
//-----------------------------------------------------------------------------

/** All pieces of one stage of one request. */
struct StageTask {
    uint64_t m_ticket = 0; ///< unique in one queue
    std::string m_submitter; ///< node that wants the results
    uint64_t m_submission = 0; ///< the submitter's number for it
    std::string m_request; ///< identifier of the caller's attempt
    int m_stage = 0;
    std::string m_key; ///< for stages without inputs
    std::vector<std::string> m_inputs;
    int m_rank = 0;
    double m_value = 1; ///< worth of the request against others, for work that remains of it
    TimePoint m_deadline; ///< results are worthless after it
    TimePoint m_due; ///< start by then keeps the objective
    int64_t m_resultBytes = 0; ///< of one piece
    std::string m_failureDomain; ///< where it moves the fewest bytes; empty: anywhere
    std::vector<int> m_pieces; ///< numbers of the pieces to produce
    std::vector<std::string> m_handles; ///< results by piece number
    size_t m_done = 0;
    size_t m_started = 0; ///< pieces whose replicas have fetched their inputs
    size_t m_repeats = 0; ///< pieces that were sent again
};

/** A call that a replica works on. */
struct StageCall {
    uint64_t m_call = 0;
    std::string m_replica;
    uint64_t m_epoch = 0; ///< StageWorker::m_epoch when it was sent
    struct Item {
        uint64_t m_ticket = 0;
        int m_piece = 0;
    };
    std::vector<Item> m_items;
    TimePoint m_sentAt;
    int64_t m_resultBytes = 0;
    bool m_working = false; ///< the call's turn has come
};

/** One replica of the service. */
struct StageWorker {
    std::string m_id;
    std::string m_address;
    std::string m_failureDomain;
    int64_t m_born = 0; ///< start of the incarnation, Unix milliseconds
    uint64_t m_epoch = 0; ///< changes with each incarnation and address
    bool m_usable = true; ///< registered and not draining
    int m_calls = 0; ///< open calls
    TimePoint m_busyUntil; ///< expected end of the last open call
    int64_t m_heldBytes = 0; ///< results that were not freed
    int64_t m_otherBytes = 0; ///< results of other owners, worked out from a refusal for room; ends within a result's lifetime
    TimePoint m_otherSeenAt;
    TimePoint m_pausedUntil; ///< after a failure or a rejection
    int m_failures = 0; ///< in a row
    double m_speed = 1; ///< observed time over expected time
    TimePoint m_sharedUntil; ///< calls of others were seen there: the turn of a call is not known
};

enum class ResultState : uint8_t {
    Held,
    Spare, ///< most likely read
    Releasing, ///< its replica was told to drop it
    Dropped,
};

/** A result at its replica, known until the end of its lifetime. */
struct HeldResult {
    std::string m_replica;
    int64_t m_bytes = 0; ///< room that it takes
    TimePoint m_endsAt; ///< the replica drops it by then
    ResultState m_state = ResultState::Held;
};

struct StageQueue {
    std::string m_service;
    PieceLimits m_limits;
    std::map<std::string, StageWorker> m_workers; ///< by id
    std::map<uint64_t, StageTask> m_tasks; ///< by ticket; with at least one piece not done
    std::vector<uint64_t> m_waiting; ///< tickets with pieces to send
    std::map<uint64_t, StageCall> m_calls;
    std::unordered_map<std::string, HeldResult> m_results; ///< by handle
    std::unordered_set<std::string> m_spareResults; ///< handles
    TimePoint m_nextSweep; ///< results whose lifetime is over are dropped by then
    uint64_t m_nextTicket = 1;
    uint64_t m_nextCall = 1;
};

constexpr size_t MaxRepeatsPerPiece = 3; ///< of one task, on average: a piece may be produced again, but not for ever
constexpr size_t MaxWaitingTasks = 4000; ///< of one queue; more are refused

enum class PieceFailure : uint8_t {
    Late, ///< its time was over at its turn
    InputGone,
    NoRoom,
    Error,
    Rejected, ///< the replica had no place; it has not run
    Lost, ///< no answer
    NotSent, ///< the replica could not be reached
};

/** A task that ended: with all handles, or with a reason. */
struct StageOutcome {
    StageTask m_task;
    Reason m_reason = Reason::None; ///< None: all pieces are done
};

/** Takes a registered replica into the queue; a new incarnation holds no results and has no history. */
void updateWorker(StageQueue &queue, const ReplicaRecord &record);
/** Queues a task. @return false when the queue is full. */
bool addTask(StageQueue &queue, StageTask task);
/** Removes a task. @return handles of results that are not wanted any more. */
std::vector<std::string> cancelTask(StageQueue &queue, const std::string &submitter, uint64_t submission);
/**
 * Calls to send now, marked as open. Load: bursts of 2.5 on 7 to 9 gateways, ordinary load of 72.
 * What keeps its due time goes first, by due time. When not all can, the work of least value for each piece is put
 * off (after Moore and Hodgson), so that an overload makes a few requests late instead of all.
 */
std::vector<StageCall> planCalls(StageQueue &queue, TimePoint now);
/** Tasks that can't be finished before their deadline. */
std::vector<StageOutcome> expireTasks(StageQueue &queue, TimePoint now);
/** Calls that no other call of their replicas precedes, and that were not seen at work yet. */
std::vector<uint64_t> callsInTurn(const StageQueue &queue, TimePoint now);
/** Tasks of which all pieces have fetched their inputs now that those of @p call have. */
std::vector<StageTask> noteInputsRead(StageQueue &queue, uint64_t call);
/** One piece of a call is done. @return the outcome when that finishes its task. */
std::optional<StageOutcome> completePiece(StageQueue &queue, const StageCall &call, size_t item, std::string handle, TimePoint now);
/** One piece of a call failed; it waits again, or its task ends. */
std::optional<StageOutcome> failPiece(StageQueue &queue, const StageCall &call, size_t item, PieceFailure failure);
/**
 * The replica made @p made pieces of a call and had no room for others: what this queue does not hold there belongs to
 * another owner, or to one that has ended. Load: all gateways restarted, or a queue that has just changed its owner.
 */
void observeNoRoom(StageQueue &queue, const StageCall &call, size_t made, TimePoint now);
/** The replica said how many calls it works on and keeps waiting, apart from the one that has just ended. */
void observeLoad(StageQueue &queue, const StageCall &call, int calls, TimePoint now);
/** The call has ended, after its pieces were reported. */
void endCall(StageQueue &queue, uint64_t call, bool failed, TimePoint now);
/** A result has most likely been read; see scarceSpareResults(). */
void spareResult(StageQueue &queue, const std::string &handle);
/**
 * Spare results to free now: those at replicas whose room is scarce. Elsewhere they stay until their readers
 * are done, as a piece that is sent again after a failure fetches its inputs again.
 */
std::vector<std::string> scarceSpareResults(const StageQueue &queue);
/** The replica is to be told to drop a result. @return false when it was told before */
bool beginRelease(StageQueue &queue, const std::string &handle);
/** The replica has dropped a result: its room is free. */
void releaseResult(StageQueue &queue, const std::string &handle);
/** Next moment at which planCalls() or expireTasks() may have work without an event. */
std::optional<TimePoint> nextQueueEvent(const StageQueue &queue, TimePoint now);
/** Time until a queue has worked off all that waits, from now, while nothing is added. */
Duration queueBacklog(const StageQueue &queue, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Start
//-----------------------------------------------------------------------------

/** When the queues of stage services will have worked off what waits, as their owners last said. */
using Backlogs = std::map<std::string, TimePoint>;

/** Longest wait that the backlogs of the stages of @p plan add to a request that starts now. */
Duration expectedDelay(const ServingConfiguration &configuration,
                       const ServingRoute &route,
                       const StagePlan &plan,
                       const Backlogs &backlogs,
                       TimePoint now);

/** Expected time of all stages of @p plan without waiting. */
Duration expectedPlanTime(const ServingConfiguration &configuration, const ServingRoute &route, const StagePlan &plan);

struct StartRequest {
    TimePoint m_objectiveAt;
    TimePoint m_deadline;
    Duration m_work{}; ///< expected time of stages and run
    Duration m_delay{}; ///< expectedDelay()
    double m_value = 1; ///< requestValue()
};

enum class StartDecision : uint8_t {
    Start,
    Hold, ///< it would be late, and make others late: it starts once the queues are short
    Refuse, ///< it can't be finished before its deadline
};

/** Patience of a caller before the first event, by the platform: the longest of these. */
constexpr Duration MinPatience = seconds(2);
constexpr int PatienceObjectives = 4;
constexpr int PatienceGaps = 8;

/** How long a caller waits for the first event, whatever its deadline. */
Duration callerPatience(const ServingRoute &route);

constexpr Duration ShortBacklog = milliseconds(150); ///< held requests start when queues are at most this long

/**
 * Whether to start the stages of a request. Load: bursts beyond what the stages carry. Results of early stages expire
 * while they wait for a later one, so a request that would wait there is held before its first stage instead.
 */
StartDecision decideStart(const StartRequest &request, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Placement
//-----------------------------------------------------------------------------

/** A part of a prompt that requests may share. */
struct PromptPart {
    uint64_t m_id = 0;
    int64_t m_tokens = 0;

    bool operator==(const PromptPart &) const = default;
};

/** What this gateway knows of one replica when it places a request. */
struct ReplicaView {
    std::string m_id;
    std::string m_failureDomain;
    int m_slots = 1;
    int m_running = 0; ///< requests of this gateway
    int64_t m_pendingTokens = 0; ///< prompt tokens that this gateway sent and that were not answered yet
    double m_latency = 0; ///< moving mean of observed times, seconds; 0: unknown
    bool m_suspected = false; ///< recent failures
    bool m_tried = false; ///< an attempt of the same request failed there
};

struct PlacementRequest {
    std::vector<PromptPart> m_parts; ///< empty for a plain request
    std::string m_callerDomain; ///< failure domain of this gateway
    BytesByDomain m_inputBytes; ///< results to read
};

/** Index of the replica to use; nothing when there is none. */
std::optional<size_t> placePlain(const std::vector<ReplicaView> &replicas, const PlacementRequest &request, Random &random);
/** As placePlain(), for replicas that cache prompt parts. */
std::optional<size_t> placePrompt(const std::vector<ReplicaView> &replicas, const PlacementRequest &request);
/** The replica that all gateways prefer for a prompt, while it is up: rendezvous hashing on the last shared part. */
std::optional<size_t> homeReplica(const std::vector<ReplicaView> &replicas, const std::vector<PromptPart> &parts);

//-----------------------------------------------------------------------------
// [SECTION] Repeats
//-----------------------------------------------------------------------------

/** Sliding counts of one service: requests, and arrivals beyond the first of each. */
struct RepeatBudget {
    struct Bucket {
        TimePoint m_start;
        int64_t m_requests = 0;
        int64_t m_repeats = 0;
    };
    std::deque<Bucket> m_buckets; ///< oldest first
};

void countRequest(RepeatBudget &budget, const GatewaySettings &settings, TimePoint now);
/**
 * Whether this gateway may send a request once more; takes from the budget when true.
 * The common allowance is divided by @p gateways, the largest membership seen lately.
 */
bool takeRepeat(RepeatBudget &budget, const GatewaySettings &settings, size_t gateways, TimePoint now);

/** How far an attempt came on a replica. */
enum class AttemptEnd : uint8_t {
    NotSent, ///< no byte left, or the replica said that it did not run it
    Rejected, ///< as NotSent, by the replica's own word
    Lost, ///< sent; it may have run
    Failed, ///< the replica answered with a failure of its own
    Broken, ///< a stream broke after its first event
};

struct AttemptState {
    RequestKind m_kind = RequestKind::Idempotent;
    bool m_resumable = false;
    int m_ran = 0; ///< attempts that may have run
    int m_sent = 0; ///< attempts that reached a replica, rejected ones included
    int m_maxAttempts = 1;
    bool m_begun = false; ///< the caller has part of the answer
    TimePoint m_deadline;
};

enum class NextStep : uint8_t {
    Retry,
    Relay, ///< pass the replica's failure on
    RefuseNotRun, ///< certain that it has not run
    FailUnknown, ///< it may have run
    BreakOff, ///< the caller has part of the answer: end the connection without completing it
};

constexpr int MaxRejections = 4; ///< replicas that may reject one request before it is refused
constexpr Duration MinAttemptTime = milliseconds(20); ///< an attempt with less time left is not begun

/** What follows a failed attempt. @p budgetLeft is asked only when a repeat is otherwise allowed. */
NextStep decideNext(const AttemptState &state, AttemptEnd end, TimePoint now, const std::function<bool()> &budgetLeft);

} // namespace Medlarramp::Serving
