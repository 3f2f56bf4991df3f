#pragma once

/**
 * medlarramp serving: state and decisions of a gateway that schedules requests and their stages on replicas.
 *
 * Index of sections:
 *  [SECTION] Settings       start-up settings of one gateway process
 *  [SECTION] Configuration  one version of routes, services, organisations and limits
 *  [SECTION] Store versions the era and revision of what was read from the key-value store
 *  [SECTION] Store contact  whether the key-value store answers, and what is known from it
 *  [SECTION] Registry       the registered replicas, from the events of the key-value store
 *  [SECTION] Software versions  which replicas may go on with a stream that has begun
 *  [SECTION] Membership     the live gateways and the owner of each service's queue
 *  [SECTION] Relays         answers of the watch that a few gateways pass on to the others
 *  [SECTION] Speed          how long work takes at a replica at this moment
 *  [SECTION] Plan           the stages of one request and which of them can be submitted
 *  [SECTION] Stage queue    batching of pieces for the replicas of a stage service
 *  [SECTION] Start          whether a request is refused on arrival
 *  [SECTION] Placement      choice of the replica for a request
 *  [SECTION] Cold replicas  limits on the requests to replicas that have just started
 *  [SECTION] Long prompts   which replicas read long prompts, told between gateways
 *  [SECTION] Retries        the retry budget and the step after a failed attempt
 *  [SECTION] Connections    when connections to replicas are opened, and which are used again
 *  [SECTION] Crashes        requests and prompt parts that crash replicas
 *  [SECTION] Store era      what a restoration of the key-value store from a backup changes
 *  [SECTION] Memory         bounds on bytes held and on connections, and what is dropped at a bound
 *
 * Decisions are free functions over plain structs; time and seed are parameters.
 */

#include <array>
#include <compare>
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
    /** With m_coldSlack, the limit on requests to cold replicas, see coldLimits(). There is none when one of them is absent. */
    std::optional<double> m_coldOverrun;
    std::optional<double> m_coldSlack;
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
    Duration m_coldTime{}; ///< a replica stays cold for this time after a start during traffic; 0: never cold
    double m_coldPerSecond = 0; ///< requests per second that a cold replica tolerates; 0: never cold

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
    std::vector<std::string> m_ignoredNumbers; ///< names of numbers that are implausible and count as absent, with their service
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
// [SECTION] Store versions
//-----------------------------------------------------------------------------

/**
 * A revision of the key-value store together with the era in which it was assigned. A store that is restored from a backup begins
 * a new era and assigns revisions again, so a revision has no meaning without its era. Versions are ordered by era, then revision.
 */
class StoreVersion
{
public:
    StoreVersion() = default;
    StoreVersion(int64_t era, int64_t revision) : m_era(era), m_revision(revision)
    {
    }

    [[nodiscard]] int64_t era() const
    {
        return m_era;
    }
    /** For messages and logs; compare versions instead. */
    [[nodiscard]] int64_t revision() const
    {
        return m_revision;
    }
    /** Advances to a later revision of the same era. A version of another era is not taken: only a new listing may change the era. */
    bool advanceTo(const StoreVersion &seen);

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the zero of the generated comparison for a pointer
    auto operator<=>(const StoreVersion &) const = default;

private:
    int64_t m_era = 0;
    int64_t m_revision = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Store contact
//
// The end of every call to the key-value store passes observeStoreReply(). Any answer shows that the store is back, whichever
// call it answers, so that no call has to find this out for itself.
//-----------------------------------------------------------------------------

/** How a call to the key-value store ended. */
enum class StoreReply : uint8_t {
    Answered, ///< the store has processed the call, also when it reports that a lease, a key or a history no longer exists
    Refused, ///< turned away by status 429 or 5xx
    None, ///< no answer within the time limit, or none that can be read
};

/** Classifies the HTTP status of an answer; 0 stands for no answer. */
StoreReply storeReplyOf(int status);

struct StoreContact {
    bool m_isAvailable = false; ///< the last call was answered
    int m_failures = 0; ///< consecutive calls without an answer
    bool m_hasLostAnswer = false; ///< a call got no answer since the store was last available
};

enum class ContactStep : uint8_t {
    None,
    Lost, ///< the first failed call
    Regained, ///< the first answer after failed calls
};

ContactStep observeStoreReply(StoreContact &contact, StoreReply reply);

/**
 * Limit on the time of calls while the store is out of reach. It answers within milliseconds; a call that was sent just before its
 * return is lost, and the next one may only follow after this time.
 */
constexpr Duration StoreProbeTimeout = milliseconds(800);

Duration storeCallTimeout(const StoreContact &contact, Duration usual);
/** Delay before a failed call is repeated: random, growing with consecutive failures up to 600 ms. */
Duration storeRetryDelay(const StoreContact &contact, Random &random);

/** What happens to the watch when the store is back. */
enum class WatchRestart : uint8_t {
    None,
    Resume, ///< it waits to be retried
    Replace, ///< its open call may be on a connection that returns nothing more, as an answer was lost
};

WatchRestart restartAfterOutage(const StoreContact &contact, bool isParked, bool isCalling);

/** How far the watch and its listings have got. */
struct WatchProgress {
    bool m_isCurrent = false; ///< all changes were known at the last answer; not after an interruption or a pause of the process
    bool m_isInterrupted = false; ///< a call has failed since the last answer
    bool m_isProven = false; ///< the last call was answered without events, so that the next one may wait for long
    int m_catchUpCalls = 0; ///< answers since the last interruption until the watch was current
    TimePoint m_answeredAt; ///< last answer of the store to the watch or its listings
    TimePoint m_confirmedAt; ///< last answer, also a relayed one, after which all changes were known
    TimePoint m_nextEventsAt; ///< no call before, so that the mean interval between answers with events is kept
};

/** A call has failed or was given up, or the process was paused. */
void observeInterruption(WatchProgress &progress);
/** An answer with events may be a part of what was missed, so that only one without events shows that the watch has caught up. */
void observeWatchAnswer(WatchProgress &progress, bool hasEvents, TimePoint now);
/** A page of the listings was read. A complete listing is current, as the watch continues from its first page. */
void observeListing(WatchProgress &progress, bool isComplete, TimePoint now);
/** A relayed answer has confirmed that all changes are known. */
void observeRelayedAnswer(WatchProgress &progress, TimePoint now);
/**
 * Pause before the next call, so that changes in quick succession share one; none while changes may be missing.
 * @param wasCurrent before the last answer
 * @param interval least mean time between answers with events
 */
Duration pauseBeforeWatch(WatchProgress &progress, bool wasCurrent, Duration interval, TimePoint now);

/** Knowledge of this age may be judged by although the watch is interrupted: it may be as old on a watch that keeps up. */
constexpr Duration MaxUnconfirmedAge = milliseconds(1000);
/**
 * Whether a request may be refused because its route or API key is not known. Otherwise these may be new: callers don't repeat a request
 * after 401 and 404, so that one that may be valid is refused with 503 instead.
 */
bool mayDenyUnknown(const WatchProgress &progress, TimePoint now);

/** A watch call as it stands when another gateway tells of a newer revision. */
struct WatchCallView {
    bool m_isOpen = false;
    bool m_isReceiving = false; ///< the answer has begun to arrive
    Duration m_untilNext{}; ///< until the next call, when none is open
};

/**
 * How long a change that another gateway has seen may take to arrive here. An open call should have been answered at the same time; one
 * that is still not is on a connection that returns nothing more.
 */
Duration newsGrace(const WatchCallView &call);

constexpr size_t MaxRevisionListeners = 3;
/**
 * The members, of @p others in the order of a ring from this gateway on, that are told of new revisions: the next one and two that are
 * further away by powers of a base, so that news passes from any gateway to all in few steps, also when some are silent.
 */
std::vector<std::string> revisionListeners(const std::vector<std::string> &others);

//-----------------------------------------------------------------------------
// [SECTION] Registry
//-----------------------------------------------------------------------------

struct ReplicaRecord {
    std::string m_id;
    std::string m_service;
    std::string m_address; ///< "IP:PORT"
    std::string m_failureDomain;
    std::string m_softwareVersion; ///< compared for equality only: versions have no order
    int m_slots = 1;
    bool m_draining = false;
    int64_t m_incarnationStart = 0; ///< start of the incarnation, Unix milliseconds
    Duration m_warmUpLeft{}; ///< time until the replica has warmed up
    bool m_hasInvalidWarmUp = false; ///< the registration has an implausible number for m_warmUpLeft, which counts as 0

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
    StoreVersion m_version; ///< of the item in the store; its era is the last one in which the store had the item
    bool m_isKept = false; ///< missing from a store that was restored: used as before until m_removeAt

    bool operator==(const RegisteredReplica &) const = default;
};

/** What a replica has said of itself in its answers; it holds for one incarnation, also while its registration is missing. */
struct ReplicaNotice {
    int64_t m_incarnationStart = 0;
    bool m_leaving = false;
    TimePoint m_pausedUntil; ///< it wants no requests of this gateway before

    bool operator==(const ReplicaNotice &) const = default;
};

/** A replica or member that has left. */
struct Departure {
    int64_t m_incarnation = 0; ///< that has left, and with it all earlier ones of a replica
    TimePoint m_at;

    bool operator==(const Departure &) const = default;
};

/** What is known of the operator's request to evacuate a failure domain. */
struct Evacuation {
    bool m_isInForce = false;
    StoreVersion m_version; ///< of the operator's write or removal; the lowest version when only a backup told of it
    int64_t m_listedEra = -1; ///< last era in which the store had the key

    bool operator==(const Evacuation &) const = default;
};

struct Registry {
    std::map<std::string, RegisteredReplica> m_replicas; ///< by id
    std::map<std::string, Departure> m_departed; ///< by id, for DepartureMemory
    std::map<std::string, Evacuation> m_evacuations; ///< by failure domain, also those that have ended
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
/** Remembers that the incarnation of @p id has left. */
void recordDeparture(std::map<std::string, Departure> &departed, const std::string &id, int64_t incarnation, TimePoint now);
/** Removes a registration and remembers that the replica has left. */
void eraseReplica(Registry &registry, const std::string &id, TimePoint now);
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
// [SECTION] Software versions
//
// Replicas of several software versions may serve side by side, and what they write doesn't fit together: a stream goes on only at the
// version that began it. The key-value store has, for each service, the usual version, and the streams that another version began,
// written before their first event reaches the caller. A stream that is not found was therefore begun by the usual version. While that
// changes, all streams are written, and one that is not found is unknown. See docs/design/software-versions.md.
//
// Load: 28 streams a second at 9 gateways, 500 at 295; all gateways killed at once, with up to some hundred streams taken up after it.
//-----------------------------------------------------------------------------

/** A stream can't be taken up any more when this time has passed since it began; at least the longest timeout of a resumable route. */
constexpr Duration MinStreamLife = seconds(30);
constexpr size_t MaxStreamRecords = 4096; ///< of one gateway; beyond these, requests are sent to the usual version only
constexpr size_t MaxResumesBytes = 200; ///< limit on the name of a stream that is taken up

/** The usual software version of a service. */
struct UsualVersion {
    int64_t m_era = 0; ///< of the store when it was written; of no use in a later one, as records may be lost
    std::string m_version;
    bool m_isSettled = false; ///< otherwise it is changing: all streams are written
    StoreVersion m_write; ///< of the item in the store

    bool operator==(const UsualVersion &) const = default;
};

/** What a gateway writes of its streams, or what it reads of those of all gateways: software versions by streamKey(). */
using StreamVersions = std::unordered_map<uint64_t, std::string>;

/**
 * Key of a stream in the store. It depends on route and organisation, so that nothing can be learned about streams of others.
 * @param attemptId the caller's id of the request that brought the first event
 */
uint64_t streamKey(std::string_view organisation, std::string_view route, std::string_view attemptId);

/** What a request on a resumable route says of the stream that it takes up. */
enum class TakeUpForm : uint8_t {
    None, ///< it begins a stream
    Named,
    Unnamed, ///< it states the last event, but not the stream
    Malformed,
};

/**
 * @param resumes all names that the request states
 * @param lastEvent as stated; nothing when it is not
 */
TakeUpForm classifyTakeUp(const std::vector<std::string_view> &resumes, std::optional<std::string_view> lastEvent);

/** Numbers of registered replicas by software version, also of those that leave. */
std::map<std::string, size_t> countVersions(const Registry &registry, const std::string &service);
/** Whether streams of the version need no record by what is known. */
bool isUsual(const UsualVersion *usual, const std::string &version, int64_t era);
/**
 * Whether the first event of a stream may be sent without a record. Not while the absence of one would be taken for the usual version
 * and that could serve.
 */
bool mayGoUnrecorded(const UsualVersion *usual, const std::string &version, int64_t era, const std::map<std::string, size_t> &versions);

/**
 * The only version whose replicas may be chosen for a request on a resumable route; nothing when it may be any.
 * @param begun version that began the stream, if it has begun
 * @param canRecord whether the version of a new stream can be recorded
 */
std::optional<std::string> requiredVersion(const std::optional<std::string> &begun,
                                           bool canRecord,
                                           const UsualVersion *usual,
                                           int64_t era,
                                           const std::map<std::string, size_t> &versions);

/** What an attempt at a resumable stream relies on. */
struct StreamPin {
    std::string m_expected; ///< version of the replica when it was chosen
    std::optional<std::string> m_begun; ///< version that began the stream, if it has begun

    bool operator==(const StreamPin &) const = default;
};

/** Whether a replica may get an attempt now. Every write of such an attempt to a replica passes this function. */
bool mayWriteStream(const Registry &registry, const std::string &replica, const StreamPin &pin);

/** How a stream is taken up. */
enum class TakeUpStep : uint8_t {
    GoOn,
    Unknown, ///< its version is not known
    Left, ///< no replica of its version serves
};

struct TakeUp {
    TakeUpStep m_step = TakeUpStep::Unknown;
    std::string m_version; ///< unless it is unknown

    bool operator==(const TakeUp &) const = default;
};

/**
 * Decides from the records of all gateways, which have to be read after the request has arrived.
 * @param key of the stream; nothing when the caller does not name it: then only one version may have begun streams
 */
TakeUp decideTakeUp(std::optional<uint64_t> key,
                    const StreamVersions &records,
                    const UsualVersion *usual,
                    int64_t era,
                    const std::map<std::string, size_t> &versions);

/** The usual version to write for a service; nothing when it stays. */
struct UsualChange {
    std::string m_version;
    bool m_isSettled = false;

    bool operator==(const UsualChange &) const = default;
};

/**
 * @param knownFor time for which this gateway has known @p usual, or for which it has been started when there is none
 * @param missingFor time for which no replica of the usual version was registered
 */
std::optional<UsualChange> decideUsualVersion(const UsualVersion *usual,
                                              int64_t era,
                                              const std::map<std::string, size_t> &versions,
                                              Duration knownFor,
                                              Duration missingFor,
                                              Duration streamLife);

/** The usual version is replaced when no replica of it was registered for this time: above the one for which lapsed ones are waited for. */
constexpr Duration UsualMissingTime = seconds(5);
constexpr Duration UsualFirstTime = milliseconds(1000); ///< after the start of a gateway, in which it learns of the others

/** The streams of this gateway that are written, and the write that is open. */
struct StreamRecords {
    struct Entry {
        std::string m_version;
        TimePoint m_expiresAt;
    };
    std::unordered_map<uint64_t, Entry> m_entries;
    std::vector<uint64_t> m_writing; ///< numbers of the requests that wait for the open write
    std::vector<uint64_t> m_waiting; ///< and for the next one: many streams share a write
    int64_t m_revision = 0; ///< of the item in the store; 0: it does not exist
    TimePoint m_writeSince; ///< first attempt of the open write
};

constexpr Duration SlowRecordTime = milliseconds(200); ///< a write that is open for longer may never be answered
/** Failed writes are repeated for this time; then callers are told, so that their next request is sent to the usual version in time. */
constexpr Duration RecordTimeLimit = StoreProbeTimeout;

/** Whether a stream that begins now can be recorded soon. */
bool canRecord(const StreamRecords &records, TimePoint now);
bool mayRepeatRecord(const StreamRecords &records, TimePoint now);

void addStreamRecord(StreamRecords &records, uint64_t key, const std::string &version, Duration streamLife, TimePoint now);
/** What is to be written. Streams that can't be taken up any more are removed. */
StreamVersions currentRecords(StreamRecords &records, TimePoint now);

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
bool isSuspected(const Membership &membership, const std::string &node, TimePoint now);
/**
 * Score of weighted rendezvous hashing (logarithmic method by Mosharaf Chowdhury): the probability of the highest score is
 * proportional to @p weight.
 */
double rendezvousScore(std::string_view node, std::string_view subject, double weight);
constexpr double MinOwnerWeightShare = 0.5; ///< owners have at least this share of the largest weight among the members
/**
 * The owner of the queue of @p service, by weighted rendezvous hashing over the members that are not suspected. Members on
 * much smaller VMs than others own no queue: the messages of a queue can take more than their processor share and network.
 */
const std::string &ownerOf(const Membership &membership, std::string_view service, TimePoint now);
/** The largest number of members within MemberCountWindow, at least 1: shares of a common limit stay low while gateways restart. */
size_t memberCount(Membership &membership, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Relays
//-----------------------------------------------------------------------------

/**
 * Every call to the key-value store is billed, a waiting watch as one, so that 90 gateways that each watch make 45 to 90 calls a
 * second. From MinRelayMembers on, a few gateways watch and pass their answers on; the number of calls grows with the square root of
 * the fleet. A gateway that gets no answers in time watches the store itself.
 */
struct RelayState {
    TimePoint m_receivedAt; ///< last relayed answer that was not older than what was known
    TimePoint m_currentAt; ///< last answer, relayed or to an own call, that left no gap behind what was known
    bool m_isFollowing = false; ///< relayed answers take the place of own watch calls
    TimePoint m_subscribedAt; ///< last renewal of this gateway's own subscriptions
    std::map<std::string, TimePoint> m_subscribers; ///< end of the subscription, by node
    /** Time of the last subscription on the clock of the subscriber, microseconds; and of the last one received before the open call. */
    std::map<std::string, std::pair<int64_t, int64_t>> m_subscriberTimes;
};

constexpr size_t MinRelayMembers = 32; ///< smaller fleets watch on their own: their calls cost less than the delay of a relay
constexpr size_t RelaySources = 2; ///< gateways that one gateway subscribes to, so that the loss of one is not noticed
constexpr Duration SubscriptionTime = seconds(4);
constexpr Duration SubscriptionRenewal = seconds(1);
constexpr size_t MaxSubscribers = 256; ///< of one gateway; further subscribers find out that they get nothing

constexpr size_t MinRelayWatchers = 4; ///< with fewer large VMs than this, small ones watch as well
/**
 * The gateways that watch for others, by weighted rendezvous hashing: the square root of the members at most; none in small fleets.
 * Those on much smaller VMs than others are left out, as a configuration that is passed on would fill their links.
 */
std::vector<std::string> relayWatchers(const Membership &membership, TimePoint now);
/** The gateways that this one subscribes to; none when it watches itself. */
std::vector<std::string> relaySources(const Membership &membership, TimePoint now);
/** @return whether the subscription was accepted */
bool addSubscriber(RelayState &state, const std::string &node, TimePoint now);
/** Notes the time at which a subscriber has sent its subscription, on its own clock. */
void noteSubscriberTime(RelayState &state, const std::string &node, int64_t timeUs);
/** A watch call begins: its answer tells of the store after all subscriptions that were received until now. */
void beginRelayedCall(RelayState &state);
/** The latest time on the clock of @p node that the answer to the open call is certainly not older than; 0: unknown. */
int64_t answeredTime(const RelayState &state, const std::string &node);
/** Removes subscriptions that were not renewed. @return the nodes that get the next answer */
std::vector<std::string> currentSubscribers(RelayState &state, TimePoint now);

enum class RelayStep : uint8_t {
    Apply, ///< it continues what is known
    Ignore, ///< it is older than what is known
    Read, ///< changes between what is known and this answer are missing: they have to be read from the store
};

/**
 * What to do with a relayed answer to a watch from version @p from that stands for the store as of version @p asOf, when all changes
 * up to @p known are known.
 */
RelayStep decideRelay(const StoreVersion &known, const StoreVersion &from, const StoreVersion &asOf);

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
    double m_connectionCost = 0; ///< seconds, see connectionCost()
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
// [SECTION] Cold replicas
//-----------------------------------------------------------------------------

/**
 * Limit on the requests that all gateways together send to one cold replica within a second. Designed for 91 gateways with 5 requests
 * per second each, a third of 112 replicas cold at once, and for up to 295 gateways.
 *
 * The limit is divided into slots. Each slot of a replica belongs to one gateway, by rendezvous hashing over the members, and allows
 * that gateway one request per ColdSpacing, so that no messages are needed. A gateway uses its slots only while it certainly is a
 * member and its view of the members is recent, both without interruption for ColdSettleTime; see docs/design/cold-replicas.md for
 * why two gateways then never use one slot at the same time.
 */
struct ColdLimits {
    Duration m_coldTime{}; ///< 0: the replicas of the service are never cold
    int m_slots = 0; ///< requests to one cold replica in any one second

    bool operator==(const ColdLimits &) const = default;
};

constexpr int MaxColdSlots = 256; ///< of one replica; a higher limit is not used up
constexpr Duration MaxColdTime = seconds(3600); ///< longer times are implausible
constexpr double MaxColdPerSecond = 10'000; ///< higher rates are implausible
constexpr Duration ColdDeliveryVariation = milliseconds(100); ///< by which the times from write to arrival of two requests may differ
constexpr Duration ColdSpacing = seconds(1) + ColdDeliveryVariation; ///< between two writes in one slot
/** Age of the view of the members up to which it is recent: above that of the slowest watch of the store, 18.75 s. */
constexpr Duration ColdViewAge = seconds(20);
constexpr Duration ColdLeaseTime = seconds(6); ///< a gateway counts on its lease for at most this time from the sending of a renewal
constexpr Duration ColdLeaseMargin = milliseconds(200); ///< by which it stops before the end of its lease
/** ColdViewAge and ColdSpacing for views that differ, ColdLeaseTime for leases lost by a store that was restored from a backup. */
constexpr Duration ColdSettleTime = ColdViewAge + ColdLeaseTime + seconds(2);
constexpr size_t MaxColdReplicas = 16384; ///< records of replicas that are not registered are dropped beyond this

/** A part of the limit of one cold replica that belongs to this gateway. */
struct ColdSlot {
    int m_number = 0;
    TimePoint m_usedAt; ///< last write of a request
    bool m_isReserved = false; ///< for a call whose connection is being opened
};

struct ColdReplica {
    std::string m_failureDomain;
    int64_t m_incarnationStart = 0;
    int64_t m_revision = 0; ///< of the last registration that was read
    ColdLimits m_limits;
    TimePoint m_coldUntil;
    std::vector<ColdSlot> m_slots; ///< those of this gateway
    uint64_t m_slotsVersion = 0; ///< ColdState::m_version for which m_slots was computed
};

/** What one gateway knows of cold replicas, and whether it may use its slots. */
struct ColdState {
    std::string m_self;
    /** The members, and those that have left the view within ColdSettleTime, with the time at which they left it. */
    std::map<std::string, std::optional<TimePoint>> m_members;
    uint64_t m_version = 1; ///< increased with each change of the names in m_members
    bool m_isListed = false; ///< the view shows the member item of this process
    TimePoint m_leaseUntil; ///< the lease of this gateway is certainly valid until then
    TimePoint m_viewAt; ///< the view of the members is that of the store at this time or later
    std::optional<TimePoint> m_since; ///< since when lease and view have been valid without interruption
    std::unordered_map<std::string, ColdReplica> m_replicas; ///< by id
    uint64_t m_permits = 0; ///< requests that were written with a permit
    uint64_t m_withheld = 0; ///< cold replicas left out at placements, and calls that were not written, for lack of a permit
    uint64_t m_invalidNumbers = 0; ///< implausible numbers in configuration, registrations and answers
};

/** The limits of a service; none without both settings and both figures of the service. */
ColdLimits coldLimits(const GatewaySettings &settings, const ServingService &service);
/**
 * Replaces the view of the members.
 * @param nodes includes this gateway
 * @param isListed the store has the member item of this process
 */
void observeColdMembers(ColdState &state, const std::set<std::string> &nodes, bool isListed, TimePoint now);
/** The store has granted or renewed the lease to which the member item of this gateway is attached. */
void observeColdLease(ColdState &state, TimePoint sentAt, Duration lifetime, TimePoint now);
/** The lease was lost or given back. */
void loseColdLease(ColdState &state);
/** The view of the members is that of the store at @p viewAt or later; call it after observeColdMembers(). */
void observeColdView(ColdState &state, TimePoint viewAt, TimePoint now);
/** Whether this gateway may use its slots. */
bool maySendToCold(const ColdState &state, TimePoint now);
/**
 * A registration was read: the replica is cold for the rest of the time that it states, and for the whole time as a new incarnation.
 * @param isFirstListing it was read in the first listing of the registrations, in which no replica counts as new
 * @param isRegistered it was registered until now
 * @return whether it became cold
 */
bool observeColdRegistration(ColdState &state,
                             const ReplicaRecord &record,
                             int64_t revision,
                             const ColdLimits &limits,
                             bool isFirstListing,
                             bool isRegistered,
                             TimePoint now);
/** The replica stated that it stays cold until @p until, or is known to. An earlier, longer time stays. @return whether it became cold. */
bool markCold(ColdState &state, const std::string &id, const ColdLimits &limits, TimePoint until, TimePoint now);
bool isCold(const ColdState &state, const std::string &id, TimePoint now);
size_t coldReplicaCount(const ColdState &state, TimePoint now);
/** Whether a request to this cold replica could be written now. */
bool hasColdPermit(ColdState &state, const std::string &id, TimePoint now);
/** Reserves a slot for a call whose connection is being opened. @return its number; nothing when none is free. */
std::optional<int> reserveColdPermit(ColdState &state, const std::string &id, TimePoint now);
/** Uses a reserved slot for a request that is written now. @return false when this gateway may not use it any more. */
bool useColdPermit(ColdState &state, const std::string &id, int slot, TimePoint now);
/** Gives back a reserved slot for which nothing was written. */
void returnColdPermit(ColdState &state, const std::string &id, int slot);
/** When to ask for a permit again: when a slot may be free or the replica is warm, whichever is earlier. */
TimePoint nextColdPermit(ColdState &state, const std::string &id, TimePoint now);

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
// [SECTION] Connections
//-----------------------------------------------------------------------------

/**
 * Pauses between connections to replicas that refuse or reset them. Designed for a service of 112 replicas that all refuse
 * connections, with six requests per second and gateway that wait for them.
 */
constexpr Duration ConnectPauseBase =
    milliseconds(20); ///< doubles with each consecutive failure; a few round trips between failure domains
constexpr Duration MaxConnectPause = milliseconds(500);
/** A connection that ends so soon after its handshake, without an answer, was refused: replicas reset those beyond their limit. */
constexpr Duration ResetAfterConnect = milliseconds(50);
/** A request goes on to another replica at once after this many failed connections, and with a growing pause after more. */
constexpr int MaxImmediateFailovers = 4;

/** Failed connections of this gateway to one incarnation of a replica. */
struct ConnectHistory {
    int m_failures = 0; ///< consecutive
    TimePoint m_failedAt; ///< last counted failure
    TimePoint m_nextAt; ///< no new connection is opened before
};

/** Pause after @p failures consecutive failures: random between half of the limit and the limit that grows with their number. */
Duration connectPause(int failures, Random &random);
bool mayConnect(const ConnectHistory &history, TimePoint now);
/** Call it before a connection is opened. While the last connection has failed, only one is opened in each pause. */
void beginConnect(ConnectHistory &history, Random &random, TimePoint now);
/** Connections that were begun before the last counted failure don't count, as they failed for the same cause. */
void observeConnectFailure(ConnectHistory &history, TimePoint begunAt, Random &random, TimePoint now);
/** The replica has accepted a connection, which it may still reset: the next one need not wait for the whole pause. */
void observeConnected(ConnectHistory &history, TimePoint now);
/** The replica has answered on a connection. */
void observeConnectSuccess(ConnectHistory &history);
/**
 * When a request tries again to get a connection; nothing: it is refused at once, as no replica can be tried before its deadline.
 * @param failures failed connections of this request
 * @param earliest when the first replica may be tried again; nothing when another one may be tried now
 */
std::optional<TimePoint> nextConnectAt(int failures, std::optional<TimePoint> earliest, TimePoint deadline, Random &random, TimePoint now);

/**
 * Reuse and shares of connections. Designed for 112 replicas with 240 connections each, 87 gateways with five requests per second each,
 * and 30 gateways that join or die at once.
 */
constexpr int MaxSharedConnections = 4; ///< per gateway and replica; a service with a larger share is used without shares

/** Whether gateways keep shares of the connections of a service and use connections again for longer. */
bool hasScarceConnections(int maxConnections, size_t gateways);

enum class ConnectionUse : uint8_t {
    Fresh, ///< always a new connection, which can't carry a late answer to an earlier call
    Recent, ///< for requests that can't be repeated: an idle connection only when the replica was heard from a short time ago
    Pooled, ///< any idle connection within its idle limit
};

/** An idle connection to a replica. */
struct IdleConnection {
    Duration m_idle{}; ///< since the last answer on it
    Duration m_idleLimit{}; ///< the replica is expected to close it soon after
    std::optional<Duration> m_heard; ///< since the last segment from the replica's host, replies to keep-alive probes included
};

constexpr Duration RecentIdleLimit = milliseconds(1000); ///< a connection idle for longer may have been dropped without notice
/** Probes are sent each second; the margin covers the resolution of kernel timers and a round trip between failure domains. */
constexpr Duration RecentlyHeardLimit = milliseconds(1250);
constexpr Duration DefaultIdleLimit = seconds(4); ///< for replicas whose answers have no Keep-Alive time
constexpr Duration LongIdleLimit = seconds(30); ///< the same with scarce connections; shortened when a replica closes an idle one

/**
 * Whether an idle connection may carry a call of @p use. With scarce connections, a request that can't be repeated also uses one that was
 * idle for longer than RecentIdleLimit when the replica's host has replied to a keep-alive probe a short time ago.
 */
bool mayReuse(const IdleConnection &connection, ConnectionUse use, bool isScarce);
/** The idle limit of a replica that has closed a connection after it was idle for @p idle; not below DefaultIdleLimit. */
Duration shortenIdleLimit(Duration limit, Duration idle);

/** Hashes of what the calls on one connection carried; a second copy of one of their answers may still arrive. */
struct CarriedCalls {
    std::vector<uint64_t> m_calls; ///< attempt ids; for stage calls, the piece of the first result
    std::vector<uint64_t> m_results; ///< first handle of the answer to each stage call
};

constexpr size_t MaxCarriedCalls = 512; ///< a connection is closed after this number of calls

/** Whether a call with @p ids (an attempt id, or pieces of a stage) can't use the connection, as one of them was sent on it before. */
bool hasCarried(const CarriedCalls &carried, const std::vector<uint64_t> &ids);
/** Whether an answer with @p handles (empty ones for failed pieces) is a copy of an earlier answer on the connection. */
bool isEarlierAnswer(const CarriedCalls &carried, const std::vector<std::string> &handles);
/**
 * Records a stage call with its answer.
 * @param pieces ids of the pieces of the call
 * @return false when the answer has no handle: a later copy could not be recognised, so that the connection has to be closed
 */
bool recordStageAnswer(CarriedCalls &carried, const std::vector<uint64_t> &pieces, const std::vector<std::string> &handles);

constexpr size_t ConnectionSubset = 12; ///< replicas of a service that a gateway prefers

/**
 * Whether gateway number @p index prefers replica number @p replica. It prefers consecutive replicas on a ring, so that the numbers of
 * gateways that prefer any two replicas differ by at most one.
 */
bool isPreferred(size_t replica, size_t replicas, size_t index);

/**
 * Cost of a request to a replica that is due to its connection, in seconds: a part for a new connection, a part for a replica that
 * the gateway doesn't prefer, and a random part so that replicas of equal cost get equal load.
 */
double connectionCost(bool hasIdle, bool isPreferred, Random &random);

constexpr Duration LoweredShareTime = seconds(2); ///< the share is lower for this time after a replica has refused or reset a connection
/**
 * After its start, a gateway holds one connection to each replica for this time: the others may count it late, and they may hold
 * connections of their larger shares until the last deadline of a request.
 */
constexpr Duration ShareSettlingTime = MemberCountWindow;
constexpr int JoinReserve = 8; ///< one part in this number of a replica's connections is left for gateways that join

/**
 * Number of connections that a gateway may have to one replica, idle ones included; at least 1.
 * @param gateways result of memberCount()
 * @param loweredUntil end of LoweredShareTime
 */
int connectionShare(int maxConnections, size_t gateways, Duration sinceStart, TimePoint loweredUntil, TimePoint now);
/** When a request tries again that found all connections of its share in use, @p waits times so far. */
TimePoint nextShareCheck(int waits, Random &random, TimePoint now);

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

//-----------------------------------------------------------------------------
// [SECTION] Store era
//
// Load: one restoration of the store, seen by up to 295 gateways within a few seconds, with up to some hundred registrations each.
//-----------------------------------------------------------------------------

/** The era of the key-value store and what tells the items of a backup from those that were written after its restoration. */
struct StoreEra {
    int64_t m_era = 0;
    bool m_isSettled = false; ///< an answer of the store has been taken
    bool m_awaitsRevision = false; ///< the era has begun, and this gateway has seen no revision of it
    /**
     * The lowest version that this gateway or one of its peers has seen in the era. Items up to it may be of the backup. Nothing when
     * none of them saw the era begin: all items count as written in it.
     */
    std::optional<StoreVersion> m_restored;
    StoreVersion m_held; ///< newest item that was not applied because it may be of the backup
    uint64_t m_ignored = 0; ///< answers whose era was unreadable or lower than the known one
};

enum class EraStep : uint8_t {
    Current, ///< the answer belongs to the known era
    Begins, ///< the store was restored: what was asked for before has no answer
    Ignored, ///< counts as no answer
};

/** A larger step than this is taken for an unreadable era: no restoration could be noticed after it. */
constexpr int64_t MaxEraStep = 1000;
constexpr Duration DepartureMemory = seconds(120); ///< backups are some seconds old; what they have is not revived for this time
constexpr size_t MaxDepartures = 4096; ///< the oldest is dropped beyond this
constexpr size_t MaxEvacuations = 256; ///< evacuations that have ended are dropped beyond this
/** Members that a restored store has lost are kept this long: a lease renewal, its timeout, and lease, item and retries again. */
constexpr Duration MemberKeepTime = milliseconds(6000);

/** Member of the membership as listed in the store. */
struct ListedMember {
    Member m_member;
    StoreVersion m_version;
    std::optional<TimePoint> m_removeAt; ///< set while the item is missing from a restored store

    bool operator==(const ListedMember &) const = default;
};

struct MemberList {
    std::map<std::string, ListedMember> m_members; ///< by key
    std::map<std::string, Departure> m_departed; ///< by key, for DepartureMemory
    std::optional<TimePoint> m_keptUntil; ///< end of the time that members have to register again
};

/** A replica that is known to have left or to drain, although a backup lists it as ready. */
struct ReplicaHold {
    std::string m_id;
    int64_t m_incarnationStart = 0;
    bool m_hasLeft = false; ///< otherwise it is draining

    bool operator==(const ReplicaHold &) const = default;
};

/**
 * Decides about an answer by its era. @param readable the era; nothing when the answer has one that can't be parsed
 * @param isPresent whether the answer has an era; one without belongs to the known era
 */
EraStep observeEra(StoreEra &era, bool isPresent, std::optional<int64_t> readable);
/** A new era has begun: registrations and members that the backup lacks get time to be written again. */
void beginEra(StoreEra &era, Registry &registry, MemberList &members, TimePoint now);
/** The first listing of an era gives the version up to which items may be of the backup. */
void observeFirstVersion(StoreEra &era, const StoreVersion &seen);
/** Takes a lower limit of the backup from a peer. @return whether an item was held back wrongly, so that the store has to be listed again.
 */
bool lowerRestored(StoreEra &era, Registry &registry, const StoreVersion &told);
/** Whether an item may have been in the backup, so that it is no new write. */
bool isOfBackup(const StoreEra &era, const StoreVersion &version);

/** Applies a registration. One of the backup changes nothing that is known. @return false when it is ignored as the replica has left. */
bool applyRegistration(Registry &registry, StoreEra &era, ReplicaRecord record, const StoreVersion &version);
/** Applies a complete listing of registrations. Those that a restored store has lost are used until their grace period ends. */
void applyRegistrations(Registry &registry,
                        StoreEra &era,
                        const std::vector<std::pair<ReplicaRecord, StoreVersion>> &records,
                        TimePoint now);
/** Replicas that other gateways must not take from a backup as ready. */
std::vector<ReplicaHold> replicaHolds(const Registry &registry, const StoreEra &era, TimePoint now);
/** Applies what a peer knows of a replica, unless the replica was written again. @return whether something has changed. */
bool applyReplicaHold(Registry &registry, const StoreEra &era, const ReplicaHold &hold, TimePoint now);

/** Applies an operator's key, listed or changed. One of the backup changes no known state. @return whether the evacuation began or ended.
 */
bool observeEvacuation(Registry &registry, StoreEra &era, const std::string &failureDomain, bool isInForce, const StoreVersion &version);
/** Ends the evacuations whose keys are missing from a complete listing, unless only the backup lacks them. @return those that ended. */
std::vector<std::string>
endMissingEvacuations(Registry &registry, const StoreEra &era, const std::set<std::string> &listed, const StoreVersion &version);
/** Applies what a peer knows of an evacuation: the later write of the operator counts. @return whether it began or ended. */
bool mergeEvacuation(Registry &registry, const std::string &failureDomain, bool isInForce, const StoreVersion &version);

/**
 * Whether a configuration replaces the current one, which may be null: a higher version does, and other contents with the same
 * version if the operator wrote them in a later era. @p candidateWrite of an item of the backup is the lowest version.
 */
bool replacesConfiguration(const ServingConfiguration *current,
                           const StoreVersion &currentWrite,
                           const ServingConfiguration &candidate,
                           const StoreVersion &candidateWrite);
/** The version of an operator's write for comparison with what peers know: the lowest one when it may be of the backup. */
StoreVersion writeVersion(const StoreEra &era, const StoreVersion &version);

void applyMemberItem(MemberList &members, StoreEra &era, const std::string &key, Member member, const StoreVersion &version);
/** Removes a member. One that has not been written again since a restoration is kept until MemberList::m_keptUntil. */
void removeMemberItem(MemberList &members, const StoreEra &era, const std::string &key, TimePoint now);
void applyMemberItems(MemberList &members, StoreEra &era, const std::vector<std::pair<std::string, ListedMember>> &listed, TimePoint now);
/** Removes the members whose removal time has come. @return the time of the next removal. */
std::optional<TimePoint> expireMembers(MemberList &members, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Memory
//-----------------------------------------------------------------------------

/** Whose bytes are held. */
enum class HolderKind : uint8_t {
    Caller, ///< requests, pipelined bytes and unread answers, also of connections to the readiness address
    Upstream, ///< answers of replicas that are being read
    Peer, ///< incomplete messages of other gateways and those that they have not read
    Store, ///< answers of the key-value store
    Count
};

/** Bounds in bytes on what is held of each kind. Their sum and the process itself stay below the memory of the VM. */
struct MemoryLimits {
    std::array<size_t, static_cast<size_t>(HolderKind::Count)> m_bytes{};

    size_t operator[](HolderKind kind) const
    {
        return m_bytes[static_cast<size_t>(kind)];
    }
};

MemoryLimits memoryLimits(int64_t memoryMegabytes);

struct HolderView {
    size_t m_bytes = 0;
    TimePoint m_progressAt; ///< last time at which bytes were received from it or taken by it
};

/** Whether what is held is so close to @p limit that it has to be counted exactly, see chooseDropped(). */
bool isNearLimit(size_t held, size_t limit);

/**
 * The holders of one kind that are dropped, by index, first to last, so that the others stay below @p limit: those that have gone
 * longest without progress. Holders of less than half of the mean come last, as dropping them frees little: a crowd of large
 * requests must not end the small ones of ordinary callers. Nothing is dropped below the limit; above it, some more than needed, so
 * that the holders are not counted again for each received byte.
 * Load: thousands of connections, of which a few hundred hold requests of legal size.
 */
std::vector<size_t> chooseDropped(const std::vector<HolderView> &holders, size_t limit);

/** Bounds on the connections of callers and to the readiness address. */
struct ConnectionLimits {
    size_t m_callers = 0;
    size_t m_readiness = 0;
};

/**
 * Bounds for a process that may open @p descriptors files. Each caller may need one more for its replica; the rest is left for peers,
 * stage calls and the store. Load: 1,153 callers at the smallest limit of the deployments, 3,075.
 */
ConnectionLimits connectionLimits(uint64_t descriptors);

/**
 * Unread answer bytes of one caller above which its replica is not read any more. While there is room, as much as is allowed at
 * most, so that the replica can finish its answer; then little.
 * @param held bytes held for all callers
 * @param limit bound on these
 */
size_t unreadAllowance(size_t held, size_t limit);
/** Whether a replica that has not been read for @p pause is read again, although its caller has more than the allowance unread. */
bool mayReadAhead(Duration pause, bool hasCallerProgressed, size_t held, size_t limit);

} // namespace Medlarramp::Serving
