#pragma once

/**
 * Parts of the gateway that its source files share.
 *
 * Index of sections:
 *  [SECTION] Upstreams  replicas, their connections and calls
 *  [SECTION] Callers    caller connections and answers
 *  [SECTION] Requests   the life of one request
 *  [SECTION] Stages     stage tasks of own requests, and the queues that this gateway owns
 *  [SECTION] Peers      messages between gateways
 *  [SECTION] Store      the key-value service
 *  [SECTION] Gateway    everything one process holds
 */

#include <array>
#include <list>
#include <set>

#include "gateway.h"
#include "net.h"
#include "platform/platform.h"
#include "serving.h"

namespace Medlarramp::Serving {

struct Gateway;
struct Exchange;

//-----------------------------------------------------------------------------
// [SECTION] Upstreams
//-----------------------------------------------------------------------------

enum class CallEnd : uint8_t {
    Done, ///< the whole answer is there
    NotConnected, ///< no byte was sent
    Lost, ///< the connection ended before the whole answer
    Malformed, ///< the bytes are no answer
};

struct UpstreamConnection;

/** One HTTP request to an upstream. Its owner keeps the number; the call ends with m_onEnd or cancelCall(). */
struct UpstreamCall {
    uint64_t m_number = 0;
    std::string m_replica; ///< id
    std::string m_text; ///< request, released once written
    std::string m_attemptId; ///< identifier that the answer must echo; empty: none is checked
    std::function<void(UpstreamCall &)> m_onProgress; ///< head complete or more body; may cancel the call
    std::function<void(UpstreamCall &, CallEnd)> m_onEnd;
    UpstreamConnection *m_connection = nullptr;
    bool m_sent = false; ///< bytes may have reached the replica
    TimePoint m_startedAt;
    TimePoint m_lastByteAt;
};

struct UpstreamConnection {
    NetConnection *m_net = nullptr;
    HttpReader m_reader{HTTP_RESPONSE, MaxAnswerHeadBytes, MaxAnswerBodyBytes};
    std::string m_replica;
    UpstreamCall *m_call = nullptr; ///< null while idle
    TimePoint m_idleSince;
    Duration m_idleLimit{}; ///< the replica closes an idle connection after it

    static constexpr size_t MaxAnswerHeadBytes = 32 * 1024;
    static constexpr size_t MaxAnswerBodyBytes = 16 * 1024 * 1024;
};

/** What this gateway holds of one replica. */
struct Upstream {
    ReplicaRecord m_record;
    SocketAddress m_address;
    std::vector<UpstreamConnection *> m_idle; ///< last used last
    int m_connections = 0;
    int m_running = 0; ///< requests of callers
    int64_t m_pendingTokens = 0;
    double m_latency = 0; ///< moving mean, seconds
    double m_failureShare = 0; ///< moving share of failed attempts
    int m_failures = 0; ///< in a row
    TimePoint m_suspectedUntil;
    bool m_registered = true;
};

enum class ConnectionUse : uint8_t {
    Fresh, ///< a new connection: an answer on it can belong to no other call
    Recent, ///< a kept connection only when used just before
    Kept,
};

/** Starts a call. m_onEnd always comes later, never from inside. */
UpstreamCall *startCall(Gateway &gateway, const std::string &replica, UpstreamCall prototype, ConnectionUse use);
/** Drops a call without m_onEnd; the connection is closed, which stops the replica's work. */
void cancelCall(Gateway &gateway, uint64_t number);
HttpReader &answerOf(UpstreamCall &call);
/** Brings the upstreams in line with the registry. */
void syncUpstreams(Gateway &gateway);
void closeIdleUpstreams(Gateway &gateway);
/** Records how an attempt ended for the choice of replicas. */
void observeAttempt(Gateway &gateway, const std::string &replica, bool failed, bool certain, Duration latency);

//-----------------------------------------------------------------------------
// [SECTION] Callers
//-----------------------------------------------------------------------------

struct CallerConnection {
    NetConnection *m_net = nullptr;
    HttpReader m_reader;
    std::string m_pending; ///< bytes that came while a request is answered
    uint64_t m_exchange = 0; ///< number of the open request; 0: none
    bool m_keepAlive = true;
    bool m_chunked = false; ///< an answer in chunks has begun
    NetTimer m_timer; ///< head or idle time limit
    std::list<CallerConnection>::iterator m_self;

    explicit CallerConnection(const CallerLimits &limits);
};

void acceptCaller(Gateway &gateway, NetConnection *net);
/** Sends a whole answer and reads the next request. */
void sendAnswer(Gateway &gateway, CallerConnection &caller, int status, const HttpHeaders &headers, std::string_view body);
void beginStream(Gateway &gateway, CallerConnection &caller, int status, const HttpHeaders &headers, std::string_view events);
/** @return false when the caller reads too slowly for more: events are never left out, so the stream has to end. */
[[nodiscard]] bool sendEvents(CallerConnection &caller, std::string_view events);
void endStream(Gateway &gateway, CallerConnection &caller);
/** Ends the connection in a way that can't be taken for the end of an answer. */
void breakOff(Gateway &gateway, CallerConnection &caller);

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

/** A caller's request from its last byte to its answer. */
struct Exchange {
    uint64_t m_number = 0;
    CallerConnection *m_caller = nullptr;
    HttpRequest m_request;
    std::string m_attemptId;
    TimePoint m_receivedAt;
    TimePoint m_deadline; ///< the caller's or the route's, whichever is first
    TimePoint m_objectiveAt;
    TimePoint m_firstEventBy; ///< the caller gives up by then if nothing has come
    std::shared_ptr<const ServingConfiguration> m_configuration;
    const ServingRoute *m_route = nullptr;
    std::string m_service;
    std::optional<size_t> m_organisation;
    int m_rank = 0;
    double m_value = 1; ///< worth against other requests
    NetTimer m_deadlineTimer;

    StagePlan m_plan;
    std::map<size_t, uint64_t> m_submissions; ///< open stage tasks by stage
    std::map<size_t, NetTimer> m_delays; ///< stages that wait so that they end with others
    std::map<std::string, std::string> m_resultOwners; ///< owner of the queue by handle
    int m_planRestarts = 0;

    std::vector<PromptPart> m_parts;
    AttemptState m_attempts;
    std::set<std::string> m_tried; ///< replicas of failed attempts
    std::string m_replica; ///< of the open attempt
    uint64_t m_call = 0;
    TimePoint m_attemptAt;
    NetTimer m_attemptTimer;
    bool m_countsTokens = false;

    bool m_streaming = false; ///< events have reached the caller
    int64_t m_lastEvent = 0;
    bool m_hasLastEvent = false;
    std::string m_partialEvent; ///< bytes of an event that is not complete
};

void handleRequest(Gateway &gateway, CallerConnection &caller);
/** Ends the request at @p deadline when it is still open then. */
void watchDeadline(Gateway &gateway, Exchange &exchange, TimePoint deadline);
/** The caller has gone: everything that works for its request stops. */
void abandonExchange(Gateway &gateway, uint64_t number);
Exchange *findExchange(Gateway &gateway, uint64_t number);
/** Answers 503 with a time to come back; only for a request that has not run. */
void refuseExchange(Gateway &gateway, Exchange &exchange, Reason reason);
/** Ends with @p status of the gateway's own. */
void failExchange(Gateway &gateway, Exchange &exchange, int status, Reason reason);
/** Ends with an answer of a replica. */
void finishExchange(Gateway &gateway, Exchange &exchange, int status, const HttpHeaders &headers, std::string_view body);
void finishStream(Gateway &gateway, Exchange &exchange);
void breakExchange(Gateway &gateway, Exchange &exchange, Reason reason);
/**
 * Results of stages are gone at their makers: works @p stages out anew.
 * @return false when that was done before, or there are none
 */
bool repeatStages(Gateway &gateway, Exchange &exchange, const std::vector<size_t> &stages);
/** All stages are done: places the request and sends it. */
void startAttempt(Gateway &gateway, Exchange &exchange);
void stopAttempt(Gateway &gateway, Exchange &exchange);
/** Where the results of @p stages are held. */
BytesByDomain resultBytesByDomain(Gateway &gateway, const Exchange &exchange, const std::vector<size_t> &stages);
/** Failure domain of the replica that the request will likely run on; empty when there is none. */
std::string homeDomain(Gateway &gateway, const Exchange &exchange);

//-----------------------------------------------------------------------------
// [SECTION] Stages
//-----------------------------------------------------------------------------

/** A stage task of an own request. */
struct Submission {
    uint64_t m_exchange = 0;
    size_t m_stage = 0;
    std::string m_service;
    std::string m_owner; ///< node
};

struct OwnedQueue {
    StageQueue m_queue;
    NetTimer m_timer;
    std::map<uint64_t, NetTimer> m_starts; ///< by call: its replica is fetching the inputs
    std::map<std::string, std::vector<std::string>> m_releases; ///< handles to free by replica
    NetTimer m_releaseTimer;
};

/** Starts the stages of a new request, or holds it while their queues are too long. */
void beginStages(Gateway &gateway, Exchange &exchange);
/** Starts held requests that may start now, by rank. */
void startHeld(Gateway &gateway);
void noteBacklog(Gateway &gateway, const std::string &service, Duration backlog);
void startStages(Gateway &gateway, Exchange &exchange);
void cancelStages(Gateway &gateway, Exchange &exchange);
/** Drops the work for one stage and frees its results. */
void resetStage(Gateway &gateway, Exchange &exchange, size_t stage);
/** The replica of the run has most likely fetched all results. */
void spareResults(Gateway &gateway, Exchange &exchange);
/** Frees the results of stages that nobody reads any more; of all stages with @p everything. */
void releaseStages(Gateway &gateway, Exchange &exchange, bool everything);
void handleStageResult(Gateway &gateway, uint64_t submission, Reason reason, std::vector<std::string> handles);
/** The replicas of a submitted stage have fetched their inputs: those that nobody else reads are freed. */
void handleInputsRead(Gateway &gateway, uint64_t submission);
/** Work of other gateways or of this one for an owned queue. */
void enqueueTask(Gateway &gateway, const std::string &service, StageTask task);
void cancelEnqueued(Gateway &gateway, const std::string &service, const std::string &submitter, uint64_t submission);
void cancelSubmitter(Gateway &gateway, const std::string &submitter);
void releaseHandles(Gateway &gateway, const std::string &service, const std::vector<std::string> &handles);
/** Results that have most likely been read: freed when room is scarce at their makers. */
void spareHandles(Gateway &gateway, const std::string &service, const std::vector<std::string> &handles);
/** Hands the submissions of a lost owner to the next. */
void resubmitFrom(Gateway &gateway, const std::string &owner);
void syncQueues(Gateway &gateway);
bool hasQueuedWork(const Gateway &gateway);

//-----------------------------------------------------------------------------
// [SECTION] Peers
//-----------------------------------------------------------------------------

enum class PeerKind : uint8_t { Hello, Submit, Cancel, Release, Spare, Result, InputsRead, Backlog, Ping, Pong, Count };

/** One message between gateways. Fields that a kind doesn't use stay empty. */
struct PeerMessage {
    PeerKind m_kind = PeerKind::Ping;
    std::string m_node; ///< hello: sender
    uint64_t m_submission = 0;
    std::string m_service;
    std::string m_request;
    int32_t m_stage = 0;
    int32_t m_pieces = 0;
    std::string m_key;
    std::vector<std::string> m_handles; ///< submit: inputs; release, spare and result: results
    int32_t m_rank = 0;
    double m_value = 1;
    int64_t m_leftUs = 0; ///< to the deadline
    int64_t m_dueUs = 0; ///< to the latest start; may be negative
    int64_t m_resultBytes = 0;
    std::string m_failureDomain;
    uint8_t m_reason = 0;
    int64_t m_backlogUs = 0; ///< submit answers: until the queue has worked off what waits

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(m_kind,
                m_node,
                m_submission,
                m_service,
                m_request,
                m_stage,
                m_pieces,
                m_key,
                m_handles,
                m_rank,
                m_value,
                m_leftUs,
                m_dueUs,
                m_resultBytes,
                m_failureDomain,
                m_reason,
                m_backlogUs);
    }
};

struct PeerLink {
    std::string m_node; ///< empty until an accepted link says hello
    NetConnection *m_net = nullptr;
    std::string m_buffer; ///< bytes of a message that is not complete
    TimePoint m_lastHeard;
};

void acceptPeer(Gateway &gateway, NetConnection *net);
/** @return false when the member is unknown. */
bool sendToPeer(Gateway &gateway, const std::string &node, const PeerMessage &message);
/** Pings peers that owe an answer and drops those that are silent. */
void checkPeers(Gateway &gateway);

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

struct StoreCall;

struct StoreClient {
    SocketAddress m_address;
    bool m_listed = false; ///< a full listing was read
    int64_t m_revision = 0; ///< the watch goes on after it
    bool m_available = false; ///< the last call was answered
    int m_failures = 0; ///< in a row
    int64_t m_lease = 0;
    std::vector<Platform::StoreItem> m_page; ///< of a listing that is not complete
    int64_t m_listRevision = 0;
    NetTimer m_watchTimer;
    NetTimer m_leaseTimer;
    NetTimer m_expiryTimer;
    std::map<std::string, Member> m_members; ///< by key
    StoreCall *m_watchCall = nullptr;
    StoreCall *m_leaseCall = nullptr;
};

void startStore(Gateway &gateway);
/** Takes this gateway out of the membership. */
void leaveMembership(Gateway &gateway);

//-----------------------------------------------------------------------------
// [SECTION] Gateway
//-----------------------------------------------------------------------------

struct Gateway {
    GatewaySettings m_settings;
    std::string m_settingsPath;
    Clock *m_clock = nullptr;
    NetLoop m_loop;
    Random m_random;

    std::shared_ptr<const ServingConfiguration> m_configuration;
    Registry m_registry;
    Membership m_membership;
    std::map<std::string, Upstream> m_upstreams; ///< by replica id
    std::map<std::string, std::vector<std::string>> m_replicasByService;
    std::map<std::string, RepeatBudget> m_repeats; ///< by service
    std::map<std::string, SizeMean> m_sizes; ///< by route
    StoreClient m_store;

    NetListener m_frontListener;
    NetListener m_readyListener;
    NetListener m_peerListener;
    std::list<CallerConnection> m_callers;
    std::list<CallerConnection> m_operators; ///< connections of the readiness address
    std::map<uint64_t, std::unique_ptr<Exchange>> m_exchanges;
    std::map<uint64_t, std::unique_ptr<UpstreamCall>> m_calls;
    uint64_t m_nextNumber = 1;

    std::map<uint64_t, Submission> m_submissions;
    Backlogs m_backlogs;
    std::vector<uint64_t> m_held; ///< requests whose stages have not begun
    NetTimer m_heldTimer;
    std::map<std::string, std::unique_ptr<OwnedQueue>> m_queues; ///< by service
    std::list<PeerLink> m_peers;

    bool m_draining = false;
    TimePoint m_drainBegan;
    NetTimer m_tick;
    uv_signal_t m_terminate{};
    uv_signal_t m_interrupt{};
    uv_signal_t m_reload{};
    std::array<uint64_t, static_cast<size_t>(Reason::Count)> m_refusals{}; ///< answers of our own, by reason
    std::array<uint64_t, static_cast<size_t>(Reason::Count)> m_retries{};
    uint64_t m_answered = 0;
};

inline TimePoint gatewayNow(const Gateway &gateway)
{
    return now(*gateway.m_clock);
}

void countReason(std::array<uint64_t, static_cast<size_t>(Reason::Count)> &counts, Reason reason);

} // namespace Medlarramp::Serving
