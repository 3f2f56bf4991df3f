#pragma once

/**
 * Declarations shared by the source files of the gateway.
 *
 * Index of sections:
 *  [SECTION] Upstreams  replicas, their connections and calls
 *  [SECTION] Callers    caller connections and answers
 *  [SECTION] Requests   admission, attempts and end of a request
 *  [SECTION] Stages     stage tasks of this gateway's requests, and the queues that this gateway owns
 *  [SECTION] Peers      messages between gateways
 *  [SECTION] Long prompts  which replicas read long prompts
 *  [SECTION] Crashes    requests and prompt parts that crash replicas
 *  [SECTION] Cold       permits for requests to cold replicas
 *  [SECTION] Store      client of the key-value store
 *  [SECTION] Software versions  records of which version began a stream
 *  [SECTION] Store era  what gateways tell each other after the store was restored
 *  [SECTION] Memory     bytes held and connections, kept within their bounds
 *  [SECTION] Gateway    state of one gateway process
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
    Done, ///< the answer is complete
    NotConnected, ///< the connection failed before any byte was sent
    Lost, ///< the connection ended before the answer was complete
    Malformed, ///< the received bytes are not a valid HTTP answer
};

/** What the message that is being read from an upstream connection is. Decided once for each message, when its head is complete. */
enum class MessageKind : uint8_t {
    Unknown, ///< its head is not complete
    Answer, ///< the answer to the open call
    Skipped, ///< informational, or a late answer to an earlier call; read to its end and dropped
    Invalid, ///< belongs to no call that can be told
};

struct UpstreamConnection;

/** Calls of two purposes don't share a connection when it is used again: their answers can't be told apart in all cases. */
enum class CallPurpose : uint8_t {
    Request, ///< of a caller
    StageRun,
    StageRelease,
};

/** One HTTP request to an upstream. Callers refer to it by m_number; it ends with m_onEnd or cancelCall(). */
struct UpstreamCall {
    uint64_t m_number = 0;
    std::string m_replica; ///< replica id
    std::string m_text; ///< serialized request; moved out once it is written
    std::string m_attemptId; ///< attempt id that the answer must echo; empty: not checked
    CallPurpose m_purpose = CallPurpose::Request;
    std::vector<uint64_t> m_ids; ///< hash of the attempt id, or of each piece of a stage call
    /** Handles in the answer to a stage call, by which a copy of an earlier answer is recognised; not set: not checked. */
    std::function<std::vector<std::string>(const HttpReader &)> m_handles;
    bool m_isWork = true; ///< only for replicas that accept work; releases of results go to all
    std::optional<StreamPin> m_pin; ///< of attempts at resumable streams
    std::optional<int> m_permit; ///< slot that is reserved at a cold replica until the call is written
    bool m_isWithheld = false; ///< not written, as the replica turned cold and there is no permit
    std::function<void(UpstreamCall &)> m_onProgress; ///< head complete or more of the body received; may cancel the call
    std::function<void(UpstreamCall &, CallEnd)> m_onEnd;
    UpstreamConnection *m_connection = nullptr;
    bool m_sent = false; ///< bytes may have reached the replica
    TimePoint m_startedAt;
    TimePoint m_lastByteAt;
    std::optional<TimePoint> m_pausedAt; ///< the answer is not read since then, as its caller reads slowly
};

struct UpstreamConnection {
    NetConnection *m_net = nullptr;
    HttpReader m_reader{HTTP_RESPONSE, MaxAnswerHeadBytes, MaxAnswerBodyBytes};
    std::string m_replica;
    UpstreamCall *m_call = nullptr; ///< null while idle
    CallPurpose m_purpose = CallPurpose::Request;
    CarriedCalls m_carried; ///< previous calls on this connection
    bool m_isReused = false; ///< the connection has carried an answer before
    int m_informational = 0; ///< 1xx answers to the open call
    MessageKind m_messageKind = MessageKind::Unknown; ///< of the message that is being read
    TimePoint m_openedAt;
    std::optional<TimePoint> m_connectedAt; ///< end of the handshake
    TimePoint m_idleSince;
    Duration m_idleLimit{}; ///< maximum idle time; the replica closes the connection soon after

    static constexpr size_t MaxAnswerHeadBytes = 32 * 1024;
    static constexpr size_t MaxAnswerBodyBytes = 16 * 1024 * 1024;
    static constexpr int MaxInformational = 8; ///< limit on the 1xx answers to one call
};

/** State that this gateway keeps for one replica. */
struct Upstream {
    ReplicaRecord m_record;
    SocketAddress m_address;
    std::vector<UpstreamConnection *> m_idle; ///< ordered by last use, the most recently used last
    int m_connections = 0;
    int m_running = 0; ///< open attempts of callers' requests
    int64_t m_pendingTokens = 0;
    double m_latency = 0; ///< exponential moving average, seconds; 0: not measured yet
    SpeedEstimate m_speed; ///< reported by the replica, or learned from the first events of an engine
    double m_failureRate = 0; ///< exponential moving average of failed attempts, 0 to 1
    int m_failures = 0; ///< consecutive
    TimePoint m_suspectedUntil;
    ConnectHistory m_connects;
    TimePoint m_shareLoweredUntil;
    Duration m_idleLimit = LongIdleLimit; ///< of connections whose answers have no Keep-Alive time, with scarce connections
    size_t m_ringPosition = 0; ///< among the usable replicas of its service, in the order of the hashes of their ids; see isPreferred()
    bool m_registered = true;
};

/** Connections to replicas since the start of the process. */
struct ConnectionCounts {
    uint64_t m_opened = 0;
    uint64_t m_reused = 0; ///< calls on an idle connection
    uint64_t m_refusedByShare = 0; ///< requests that were refused because all connections of the share were in use
    uint64_t m_copies = 0; ///< copies of earlier answers to stage calls, dropped
};

/** Whether the connections of a service are scarce, see hasScarceConnections(). */
bool isScarce(Gateway &gateway, const std::string &service);
/**
 * Whether a connection to a replica may be opened at @p now within the share of this gateway. An idle one that can't be used is closed
 * for it.
 */
bool isWithinShare(Gateway &gateway, const Upstream &upstream, TimePoint now);
/** Whether an idle connection to a replica may carry a request of a caller. */
bool hasReusable(Gateway &gateway, const Upstream &upstream, ConnectionUse use, bool isScarceService);
/** Number of this gateway among the members, in the order of their names; see isPreferred(). */
size_t memberIndex(const Gateway &gateway);
/** Starts a call. m_onEnd is never called from within this function. @return null when all connections of the share are in use. */
UpstreamCall *startCall(Gateway &gateway, const std::string &replica, UpstreamCall prototype, ConnectionUse use);
/** Cancels a call without calling m_onEnd. Closes the connection, so that the replica stops its work. */
void cancelCall(Gateway &gateway, uint64_t number);
/** Ends a call whose answer takes too much memory. @p number may have ended meanwhile. */
void dropCall(Gateway &gateway, uint64_t number);
/** The answer to @p call as far as it was received. Its state is never Body or Done for a message that is not the answer. */
HttpReader &answerReader(UpstreamCall &call);
/** Learns the speed that an answer reports, if there is one. */
void observeSpeedHeader(Gateway &gateway, const std::string &replica, const HttpHeaders &headers);
/** Whether the speed of the engines that @p exchange may be sent to is learned and used. */
bool learnsEngineSpeed(const Gateway &gateway, const Exchange &exchange);
/** Expected time of work at a replica of a plain service, relative to its mean latency, or to the usual one while that is unknown. */
double plainSpeedRatio(const Upstream &upstream, TimePoint now);
/** Learns the speed of an engine from the first event of a stream. */
void observeFirstEvent(Gateway &gateway, Exchange &exchange, Duration time);
/** Updates the upstreams from the registry. */
void syncUpstreams(Gateway &gateway);
void closeIdleUpstreams(Gateway &gateway);
/** Records the result of an attempt for replica selection. @p suspectAtOnce: a failure makes the replica suspected at once. */
void recordAttempt(Gateway &gateway, const std::string &replica, bool failed, bool suspectAtOnce, Duration latency);

//-----------------------------------------------------------------------------
// [SECTION] Callers
//-----------------------------------------------------------------------------

struct CallerConnection {
    NetConnection *m_net = nullptr;
    HttpReader m_reader;
    std::string m_pending; ///< bytes received while a request is being answered
    uint64_t m_exchange = 0; ///< number of the open exchange; 0: none
    bool m_keepAlive = true;
    bool m_chunked = false; ///< a chunked answer has started
    bool m_isReadiness = false; ///< connected to the readiness address
    bool m_isProcessing = false; ///< the pending bytes are being read; an answer sent meanwhile must not read them again
    bool *m_isGone = nullptr; ///< set when the object is destroyed
    TimePoint m_progressAt; ///< last time at which the caller sent or took bytes
    NetTimer m_timer; ///< limits the time for the request head, or the idle time
    std::list<CallerConnection>::iterator m_self;

    explicit CallerConnection(const CallerLimits &limits);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;
};

/** Nothing more is read of a caller with more answer bytes unread or, while a request is open, more pipelined bytes sent. */
constexpr size_t MaxUnansweredBytes = 64 * 1024;

void acceptCaller(Gateway &gateway, NetConnection *net);
/** Ends a connection, and the exchange that is open on it, because of @p reason. Answers 503 if a request was read in part. */
void dropCaller(Gateway &gateway, CallerConnection &caller, Reason reason);
/** Whether a connection to the callers' or the readiness address still exists. */
bool isOpen(const Gateway &gateway, const CallerConnection *caller);
/** Drops the callers that have not taken any byte of their answers for the idle timeout. */
void dropStalledCallers(Gateway &gateway);
/** Limits the time without a request. Also for the readiness address. */
void startIdleTimeout(Gateway &gateway, CallerConnection &caller);
/** Limits the time for the rest of a request head, and then the time for the body to the idle timeout. Also for the readiness address. */
void startHeadTimeout(Gateway &gateway, CallerConnection &caller);
/** Answers 503 to the requests that have been read in part, and closes their connections. */
void refusePartialRequests(Gateway &gateway);
/** Sends a complete answer and reads the next request. */
void sendAnswer(Gateway &gateway, CallerConnection &caller, int status, const HttpHeaders &headers, std::string body);
void beginStream(Gateway &gateway, CallerConnection &caller, int status, const HttpHeaders &headers, std::string_view events);
void sendEvents(Gateway &gateway, CallerConnection &caller, std::string_view events);
void endStream(Gateway &gateway, CallerConnection &caller);
/** Closes the connection without completing the answer, so that the caller sees a truncated answer. */
void abortConnection(Gateway &gateway, CallerConnection &caller);

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

/** An answer whose first event waits until the software version of the stream has been recorded. */
struct HeldAnswer {
    int m_status = 0;
    HttpHeaders m_headers;
    std::optional<CallEnd> m_end; ///< of the call, if it has ended meanwhile
};

/** State of one attempt at one replica. Replaced as a whole by the next attempt, so that nothing of it outlives it. */
struct Attempt {
    std::string m_replica; ///< id; empty before the first attempt
    uint64_t m_call = 0; ///< number of the open upstream call; 0: none
    TimePoint m_startedAt;
    NetTimer m_timer;
    bool m_began = false; ///< the replica has begun to answer: an event or a whole answer was received
    bool m_countsTokens = false; ///< the prompt is included in the replica's m_pendingTokens
    std::string m_partialEvent; ///< bytes of an incomplete event, and of whole ones while the answer is held
    std::string m_softwareVersion; ///< of the replica, for resumable streams
    std::optional<HeldAnswer> m_held; ///< set while the stream is being recorded
    std::optional<int64_t> m_uncachedTokens; ///< that the replica is expected to read, when its speed is learned
    int m_runningBefore = 0; ///< requests of this gateway at the replica when the attempt began
    std::optional<TimePoint> m_longUntil; ///< while a long prompt is read: expected end
};

/** A caller's request, from the arrival of its last byte until it has been answered. */
struct Exchange {
    uint64_t m_number = 0;
    CallerConnection *m_caller = nullptr;
    HttpRequest m_request;
    std::string m_attemptId; ///< from the caller's header; the same for every retry of this request
    TimePoint m_receivedAt;
    TimePoint m_deadline; ///< the earlier of the caller's deadline and the route's timeout
    TimePoint m_objectiveAt; ///< latency target: the answer or first event should be sent by then to reach the caller in time
    /** The earlier of m_deadline and the first-event timeout, after which the caller disconnects if it has received nothing. */
    TimePoint m_firstEventDeadline;
    std::shared_ptr<const ServingConfiguration> m_configuration;
    const ServingRoute *m_route = nullptr;
    std::string m_service;
    std::optional<size_t> m_organisation;
    int m_rank = 0; ///< 0 is the most urgent; lower starts first
    double m_value = 1; ///< relative to other requests; see requestValue()
    NetTimer m_deadlineTimer;

    StagePlan m_plan;
    std::map<size_t, uint64_t> m_submissions; ///< numbers of open stage tasks by stage
    std::map<size_t, NetTimer> m_delayTimers; ///< timers of stages that are delayed to finish together with parallel stages
    std::map<std::string, std::string> m_resultOwners; ///< node that owns the queue, by result handle
    int m_planRestarts = 0;

    std::vector<PromptPart> m_parts;
    std::optional<uint64_t> m_digest; ///< see requestDigest(); computed when it is needed first
    AttemptState m_attempts; ///< what all attempts add up to
    std::set<std::string> m_tried; ///< ids of replicas with a failed attempt
    std::unique_ptr<Attempt> m_attempt = std::make_unique<Attempt>(); ///< the latest attempt
    int m_connectFailures = 0; ///< failed connections of all attempts
    int m_shareWaits = 0; ///< pauses because all connections of the share were in use
    NetTimer m_connectTimer; ///< until the next attempt to get a connection

    bool m_streaming = false; ///< events have been sent to the caller
    int64_t m_lastEvent = 0; ///< id of the last event sent to the caller
    bool m_hasLastEvent = false;
    std::optional<std::string> m_softwareVersion; ///< of a resumable stream that has begun, here or before it was taken up
    bool m_isRecording = false; ///< no event may be sent before the version has been recorded
};

void handleRequest(Gateway &gateway, CallerConnection &caller);
/** Continues the requests that wait until configuration and registrations were confirmed after a pause of the process. */
void admitHeldRequests(Gateway &gateway);
/** Whether the API key of the request is no longer valid by the newest configuration. */
bool isKeyWithdrawn(const Gateway &gateway, const Exchange &exchange);
/** Starts the timer that ends the request at @p deadline unless it has ended before. */
void startDeadlineTimer(Gateway &gateway, Exchange &exchange, TimePoint deadline);
/** Cancels all work of an exchange whose caller has disconnected. */
void cancelExchange(Gateway &gateway, uint64_t number);
Exchange *findExchange(Gateway &gateway, uint64_t number);
/**
 * Answers 503 with Retry-After. Only for requests that have not run.
 * @param notBefore time until which a retry is certain to be refused again
 */
void refuseExchange(Gateway &gateway, Exchange &exchange, Reason reason, Duration notBefore = Duration(0));
/**
 * Ends a request that has not run because its route or API key is not known: for good with @p status, or with 503 if these may have been
 * added meanwhile. The only way to 401 and 404.
 */
void denyUnknown(Gateway &gateway, Exchange &exchange, int status, Reason reason);
/** Answers with @p status and an empty body, generated by the gateway. */
void failExchange(Gateway &gateway, Exchange &exchange, int status, Reason reason);
/** Forwards a replica's answer and ends the exchange. */
void finishExchange(Gateway &gateway, Exchange &exchange, int status, const HttpHeaders &headers, std::string body);
/** Ends a stream that has been forwarded completely. */
void finishStream(Gateway &gateway, Exchange &exchange);
/** Ends the exchange by closing the caller's connection; a stream that has begun stays truncated. */
void abortExchange(Gateway &gateway, Exchange &exchange, Reason reason);
/**
 * Runs @p stages again because a replica reported that results of stages no longer exist.
 * @return false when the limit of restarts is reached or @p stages is empty
 */
bool retryStages(Gateway &gateway, Exchange &exchange, const std::vector<size_t> &stages);
/** Refuses a request at once when, at @p now, all replicas of its service want no requests before @p limit. @return whether it did. */
bool refuseIfPaused(Gateway &gateway, Exchange &exchange, TimePoint limit, TimePoint now);
/** Selects a replica and sends the request to it. All stages have to be done. */
void startAttempt(Gateway &gateway, Exchange &exchange);
void stopAttempt(Gateway &gateway, Exchange &exchange);
/** Sends what was held while the stream was being recorded. */
void continueStream(Gateway &gateway, Exchange &exchange);
/**
 * Starts the next attempt of a request that found no connection after a pause, or refuses the request at once when none is likely to be
 * available before its deadline.
 * @param earliest when the first replica may be tried again; nothing when another one may be tried now
 * @param reason of the refusal
 */
void retryConnect(Gateway &gateway, Exchange &exchange, std::optional<TimePoint> earliest, Reason reason = Reason::ConnectFailed);
/** Sizes in bytes of the results of @p stages, by the failure domain of the replicas that hold them. */
BytesByDomain resultBytesByDomain(Gateway &gateway, const Exchange &exchange, const std::vector<size_t> &stages);
/** Failure domain of the replica that the request is expected to run on; empty when there is none. */
std::string expectedDomain(Gateway &gateway, const Exchange &exchange);

//-----------------------------------------------------------------------------
// [SECTION] Stages
//-----------------------------------------------------------------------------

/** A stage task of one of this gateway's requests. A piece is one unit of work of a stage; a task consists of one or more. */
struct Submission {
    uint64_t m_exchange = 0;
    size_t m_stage = 0;
    std::string m_service;
    std::string m_owner; ///< node that owns the queue
};

/** A stage queue that this gateway owns, with its timers. */
struct OwnedQueue {
    StageQueue m_queue;
    NetTimer m_timer;
    std::map<uint64_t, NetTimer> m_inputTimers; ///< expected ends of the fetch of inputs, by stage call
    std::map<std::string, std::vector<std::string>> m_releases; ///< result handles to release, by replica
    NetTimer m_releaseTimer;
};

/** Refuses a request whose stages can't end before its deadline, even with empty queues. @return whether it was refused. */
bool refuseIfUnreachable(Gateway &gateway, Exchange &exchange);
/** Starts the stages of a new request, or refuses it when it can't be answered before its deadline. */
void beginStages(Gateway &gateway, Exchange &exchange);
void startStages(Gateway &gateway, Exchange &exchange);
void cancelStages(Gateway &gateway, Exchange &exchange);
/** Cancels the work for one stage and releases its results. */
void resetStage(Gateway &gateway, Exchange &exchange, size_t stage);
/** Marks all results as evictable: the replica of the attempt is expected to have fetched them. */
void markResultsEvictable(Gateway &gateway, Exchange &exchange);
/** Releases the results of stages that no open stage or attempt needs; those of all stages with @p everything. */
void releaseStages(Gateway &gateway, Exchange &exchange, bool everything);
/** Handles the outcome of a submitted stage task; @p handles are its results when @p reason is None. */
void handleStageResult(Gateway &gateway, uint64_t submission, Reason reason, std::vector<std::string> handles);
/** The replicas of a submitted stage have fetched their inputs. Releases the inputs that no other stage needs. */
void handleInputsRead(Gateway &gateway, uint64_t submission);
/** Adds a task of this gateway or of a peer to an owned queue. */
void enqueueTask(Gateway &gateway, const std::string &service, StageTask task);
void cancelEnqueued(Gateway &gateway, const std::string &service, const std::string &submitter, uint64_t submission);
/** Cancels all queued tasks of the gateway @p submitter. */
void cancelSubmitter(Gateway &gateway, const std::string &submitter);
/** Releases results: frees their memory at the replicas that hold them. */
void releaseHandles(Gateway &gateway, const std::string &service, const std::vector<std::string> &handles);
/** Marks results as evictable: they are released when result capacity is scarce at the replicas that hold them. */
void markHandlesEvictable(Gateway &gateway, const std::string &service, const std::vector<std::string> &handles);
/** Submits the open tasks of an unavailable owner to the next owner. */
void resubmitTasksOf(Gateway &gateway, const std::string &owner);
/** Updates limits and workers of the owned queues from configuration and registry. */
void syncQueues(Gateway &gateway);
/** Plans no stage calls to a replica before @p until. */
void pauseStageCalls(Gateway &gateway, const std::string &replica, TimePoint until);
bool hasQueuedWork(const Gateway &gateway);

//-----------------------------------------------------------------------------
// [SECTION] Peers
//-----------------------------------------------------------------------------

enum class PeerKind : uint8_t {
    Hello,
    Submit,
    Cancel,
    Release,
    Evictable,
    Result,
    InputsRead,
    Ping,
    Pong,
    Crash,
    Cleared,
    Refused,
    Revision,
    StateRequest,
    State,
    ConfigurationRequest,
    Configuration,
    Subscribe,
    Relay,
    LongPrompts,
    Count
};

constexpr size_t MaxPeerMessageBytes = 1024 * 1024;

/** A changed item of the key-value store in a relayed answer. */
struct RelayedItem {
    std::string m_key;
    std::string m_value;
    int64_t m_revision = 0;
    bool m_removed = false;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(m_key, m_value, m_revision, m_removed);
    }
};

/** One message between gateways. Fields that a kind doesn't use stay empty. */
struct PeerMessage {
    PeerKind m_kind = PeerKind::Ping;
    std::string m_node; ///< hello: name of the sender
    uint64_t m_submission = 0;
    std::string m_service;
    std::string m_request;
    int32_t m_stage = 0;
    int32_t m_pieces = 0;
    std::string m_key;
    std::vector<std::string> m_handles; ///< submit: inputs; release, evictable and result: results
    int32_t m_rank = 0;
    double m_value = 1;
    int64_t m_timeLeftUs = 0; ///< submit: time left to the deadline; refused: time left of the refusal; microseconds
    int64_t m_latestStartUs = 0; ///< time left to the latest start, microseconds; negative when overdue
    int64_t m_resultBytes = 0;
    int64_t m_workUs = 0; ///< submit: expected time from the start of the stage to the answer, microseconds
    std::string m_failureDomain;
    uint8_t m_reason = 0;
    std::vector<uint64_t> m_requests; ///< crash, cleared and refused: digests of requests; long prompts: times left, microseconds
    std::vector<uint64_t> m_parts; ///< crash, cleared and refused: ids of prompt parts; long prompts: hashes of replica and incarnation
    std::vector<uint64_t> m_answeredParts; ///< crash: those of m_parts that replicas have answered before
    int64_t m_era = 0; ///< era of m_revision, or the era of the store that the sender knows
    std::string m_state; ///< revision, state and configuration: an encoded StoreState, see gateway_era.cpp
    int64_t m_revision = 0; ///< revision: the newest revision of the key-value store that the sender has seen; relay: of the answer
    int64_t m_fromRevision = 0; ///< relay: revision that the watch call continued after
    bool m_isIncomplete = false; ///< relay: the changes were too large to be passed on
    std::vector<RelayedItem> m_items; ///< relay: the changes
    /** Subscribe: time at which it is sent, on the clock of the sender; relay: the latest such time that the answer is not older than. */
    int64_t m_subscribedUs = 0;

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
                m_timeLeftUs,
                m_latestStartUs,
                m_resultBytes,
                m_workUs,
                m_failureDomain,
                m_reason,
                m_requests,
                m_parts,
                m_answeredParts,
                m_revision,
                m_era,
                m_state,
                m_fromRevision,
                m_isIncomplete,
                m_items,
                m_subscribedUs);
    }
};

/** Connection to another gateway. */
struct PeerLink {
    std::string m_node; ///< empty until an accepted link has received a hello message
    NetConnection *m_net = nullptr;
    std::string m_buffer; ///< bytes of an incomplete message
    TimePoint m_lastReceivedAt; ///< time of the last received bytes
};

void acceptPeer(Gateway &gateway, NetConnection *net);
/** Ends the connection to a peer that takes too much memory. */
void dropPeer(Gateway &gateway, PeerLink &link);
/** Sends @p message, over a new connection when there is none. @return false when the member is unknown or its address is invalid. */
bool sendToPeer(Gateway &gateway, const std::string &node, const PeerMessage &message);
/** Pings quiet peers that have open tasks of this gateway, and drops those that time out. */
void checkPeers(Gateway &gateway);

//-----------------------------------------------------------------------------
// [SECTION] Long prompts
//-----------------------------------------------------------------------------

struct LongPromptState {
    LongPromptReports m_reports;
    TimePoint m_reportedAt; ///< last report of this gateway
    NetTimer m_timer; ///< until the next report may be sent
    uint64_t m_placed = 0; ///< long prompts of this gateway
    uint64_t m_moved = 0; ///< of these, placed at another replica because of reports
    uint64_t m_sent = 0; ///< reports, each to all other gateways
    uint64_t m_received = 0;
    uint64_t m_dropped = 0; ///< reports that are malformed or of too many gateways
};

/** Places a long prompt with what other gateways report; nothing when the prompt is not long or the part is off. */
std::optional<size_t>
placeLongPrompt(Gateway &gateway, const Exchange &exchange, std::vector<ReplicaView> &views, const PlacementRequest &request);
/** Reports the prompt of an attempt that begins, if its replica has to read a long one. */
void noteLongPrompt(Gateway &gateway, Exchange &exchange);
/** Handles a message of kind LongPrompts. */
void handleLongPrompts(Gateway &gateway, const std::string &node, const PeerMessage &message);

//-----------------------------------------------------------------------------
// [SECTION] Crashes
//-----------------------------------------------------------------------------

/**
 * A replica lost the request of @p exchange before it had begun to answer it. If the replica refuses connections, this is
 * reported to other gateways as a crash, with the request and the shared parts of its prompt as suspects.
 */
void suspectCrash(Gateway &gateway, Exchange &exchange);
/** A replica has begun to answer @p exchange, so that neither the request nor its parts crash replicas. */
void clearSuspects(Gateway &gateway, Exchange &exchange);
/** Ends a request that is refused, or that has a refused part. @return whether it was. */
bool rejectRefused(Gateway &gateway, Exchange &exchange);
/** Handles a message of kind Crash, Cleared or Refused. */
void handleCrashMessage(Gateway &gateway, const PeerMessage &message);
/** Tells some members what is refused, so that gateways that were restarted or cut off learn of them. */
void gossipRefusals(Gateway &gateway);

//-----------------------------------------------------------------------------
// [SECTION] Cold
//-----------------------------------------------------------------------------

/** Whether a replica is cold and this gateway can't send it a request at @p now. */
bool isWithheld(Gateway &gateway, const std::string &replica, TimePoint now);
/** Whether a replica of a service that accepts work is cold and without a permit at @p now. */
bool isServiceWithheld(Gateway &gateway, const std::string &service, TimePoint now);
/** Reserves a permit for a call to a cold replica. */
void reservePermit(Gateway &gateway, UpstreamCall &call);
/** To be called right before a call is written. @return false when the replica is cold and there is no permit. */
bool takePermit(Gateway &gateway, UpstreamCall &call);
/** Gives back the permit of a call that ends without having been written. */
void returnPermit(Gateway &gateway, UpstreamCall &call);
/** Plans no stage calls to cold replicas before there is a permit for them. */
void pauseColdWorkers(Gateway &gateway, StageQueue &queue);
/** Reads from a registration whether the replica is cold; to be called before it is added to the registry. */
void noteRegistration(Gateway &gateway, const ReplicaRecord &record, int64_t revision);
/** Reads from an answer how long the replica stays cold. */
void noteColdAnswer(Gateway &gateway, const std::string &replica, const HttpHeaders &headers);
/** The evacuation of a failure domain has ended: its replicas are cold. */
void noteEvacuationEnd(Gateway &gateway, const std::string &failureDomain);
/** Logs and counts the numbers of a configuration that were ignored. */
void noteConfiguration(Gateway &gateway);
/** Tells the cold replicas part that the view of the members has changed. */
void noteMembers(Gateway &gateway);

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

struct StoreConnection;

enum class StoreRange : uint8_t { Operator, Members, Registrations };

/** The keys that gateways read, in the order in which they are listed. */
constexpr std::array<StoreRange, 3> StoreRanges = {StoreRange::Operator, StoreRange::Registrations, StoreRange::Members};

/**
 * The listings of all ranges and the watch that follows them. There is one watch on all keys, so that its revision can be compared
 * with what other gateways have seen: it tells whether a watch misses changes although it seems to wait.
 */
struct StoreWatch {
    Duration m_interval{}; ///< mean time between answers with events is at least this, except after a quiet time
    bool m_isListed = false; ///< the watch follows full listings; not while they are read again
    bool m_wasListed = false; ///< full listings have been read since the start of the process
    bool m_isParked = false; ///< the last call failed; goes on when another call to the store has succeeded
    WatchProgress m_progress;
    StoreVersion m_version; ///< the watch continues after this version
    Duration m_wait{}; ///< how long the store was asked to wait in the last call
    TimePoint m_listStartedAt; ///< start of the first call of the listings
    size_t m_listing = 0; ///< index in StoreRanges of the listing that is read
    std::vector<Platform::StoreItem> m_page; ///< items of an incomplete listing
    std::optional<StoreVersion> m_listVersion; ///< version of the first page of the first listing
    StoreVersion m_toldVersion; ///< newest version that other gateways were told of
    TimePoint m_toldAt;
    NetTimer m_timer;
    NetTimer m_behindTimer; ///< until a revision that another gateway has seen must have arrived
    StoreConnection *m_connection = nullptr;
};

/** State of the connection to the key-value store. */
struct StoreClient {
    SocketAddress m_address;
    StoreWatch m_watch;
    StoreContact m_contact;
    int64_t m_lease = 0; ///< lease id; 0: none
    Duration m_leaseLifetime{}; ///< as granted by the store
    NetTimer m_leaseTimer;
    NetTimer m_expiryTimer;
    NetTimer m_memberTimer; ///< until the next member that a restored store has lost is removed
    MemberList m_members;
    StoreEra m_era;
    StoreConnection *m_leaseConnection = nullptr;
};

void startStore(Gateway &gateway);
/** Time since the store last answered the watch or its listings: the age of what is known from it. */
Duration watchAge(const Gateway &gateway);
/** Tells some other gateways the newest revision that the watch has seen, if there is a new one. */
void gossipRevision(Gateway &gateway);
/** Another gateway has seen @p seen: resumes the watch if it is parked, and starts its call again unless it gets there soon. */
void handleRevision(Gateway &gateway, const StoreVersion &seen);
/** Reads all listings again, for instance as the store was restored. */
void listAgain(Gateway &gateway);
/** Applies the registry's changes to upstreams and queues, and logs those since @p before. */
void applyRegistryChange(Gateway &gateway, const std::map<std::string, std::string_view> &before);
/** Replaces the configuration if a decoded one is to replace it. */
void adoptConfiguration(Gateway &gateway, const std::string &text, const StoreVersion &write);
/** Other members in the order of the hashes of their names, from @p start on. */
std::vector<std::string> membersFrom(const Gateway &gateway, uint64_t start);
std::map<std::string, std::string_view> describeReplicas(const Registry &registry);
/** Answers of the watch, from this gateway's own call or relayed. @p age of the knowledge that the events replace. */
void applyEvents(Gateway &gateway, const Platform::StoreItems &events, Duration age);
/** Starts an own watch call unless one is open or the store is not listed yet. */
void watchNow(Gateway &gateway);
/** Time without a relayed answer after which a gateway watches the store itself. */
Duration relayTimeout(const Gateway &gateway);
/** Whether relayed answers show that all changes are known, so that no watch call is needed. */
bool isFollowing(const Gateway &gateway);
/** Passes an answer to the own watch call from version @p from on to the subscribers. */
void relayAnswer(Gateway &gateway, const StoreVersion &from, const Platform::StoreItems &events);
void handleRelay(Gateway &gateway, const PeerMessage &message);
/** Subscribes to the gateways that watch for this one, or renews the subscriptions. */
void renewSubscriptions(Gateway &gateway);
/** Reads the changes of configuration, members and registrations at once, and holds new requests until the store has answered. */
void refreshStore(Gateway &gateway);
/** Applies the writing or removal of an operator's request to evacuate a failure domain. */
void applyEvacuation(Gateway &gateway, const Platform::StoreItem &item);
/** Replaces the evacuations by those in a complete listing of what operators have written. */
void replaceEvacuations(Gateway &gateway, const std::vector<Platform::StoreItem> &items);
/** Logs and counts the evacuation of a failure domain that has no registered replica; it applies to replicas that register later. */
void reportUnknownEvacuation(Gateway &gateway, const std::string &failureDomain);
/** Whether configuration, members and registrations have each been listed since the start. */
bool isListed(const Gateway &gateway);
/** Removes this gateway from the membership. */
void leaveMembership(Gateway &gateway);

/** Starts a call on a connection without an open one. Its end is recorded for the state of the store, whatever it is for. */
void callStore(Gateway &gateway,
               StoreConnection &connection,
               std::string_view call,
               const std::string &method,
               const std::string &target,
               std::string_view body,
               Duration timeout,
               std::function<void(int, std::string)> onEnd);
/** A connection for calls of one kind. Never freed: it is used until the process exits. */
StoreConnection *newStoreConnection();
bool isCalling(const StoreConnection &connection);
/** An answer that was received can't be read: the call counts as failed. */
void recordUnreadableAnswer(Gateway &gateway, const StoreConnection &connection, int status);

//-----------------------------------------------------------------------------
// [SECTION] Software versions
//-----------------------------------------------------------------------------

/** The usual version of a service, as the watch shows it. */
struct UsualView {
    UsualVersion m_usual;
    TimePoint m_knownSince;
};

/** The records of one process in the store, as the watch shows them. */
struct RecordItem {
    int64_t m_revision = 0;
    std::optional<TimePoint> m_orphanedSince; ///< the process is not among the members
};

struct SoftwareState {
    std::map<std::string, UsualView> m_usual; ///< by service
    std::map<std::string, TimePoint> m_missingSince; ///< by service: no replica of the usual version is registered
    std::map<std::string, RecordItem> m_items; ///< by key; at gateways that watch the store themselves
    StreamRecords m_records;
    NetTimer m_recordTimer; ///< until a failed write is repeated
    std::vector<uint64_t> m_lookups; ///< numbers of the requests that wait for the next read of all records
    std::vector<uint64_t> m_open; ///< and for the one that is open
    std::vector<Platform::StoreItem> m_page; ///< items that the open read has got so far
    StoreConnection *m_recordConnection = nullptr;
    StoreConnection *m_lookupConnection = nullptr;
    StoreConnection *m_keeperConnection = nullptr; ///< of the member that keeps the usual versions
    uint64_t m_recordWrites = 0;
    uint64_t m_recordFailures = 0;
    uint64_t m_recordReads = 0;
    uint64_t m_takenUp = 0; ///< requests that go on with a stream
};

/** Whether the route of a request allows its stream to be taken up. */
bool isResumable(const Exchange &exchange);
TakeUpForm takeUpForm(const Exchange &exchange);
/**
 * Finds out which version began the stream that a request takes up. Then goes on with its stages or refuses it.
 * @return false when the request takes up no stream
 */
bool beginTakeUp(Gateway &gateway, Exchange &exchange);
/**
 * Fixes the version of a stream whose first event has arrived, and records it if that is needed.
 * @return false when the event has to be held until continueStream()
 */
bool fixVersion(Gateway &gateway, Exchange &exchange);
/** The only version whose replicas may be chosen for a request; nothing when it may be any. */
std::optional<std::string> requiredVersion(const Gateway &gateway, const Exchange &exchange);
/** Whether the stream of a request can't go on, as no replica of its version gets work. */
bool hasVersionLeft(Gateway &gateway, const Exchange &exchange);
/** Applies a change below SoftwarePrefix. */
void applySoftwareItem(Gateway &gateway, const Platform::StoreItem &item);
/** Replaces what is known by a complete listing; items with other keys are ignored. */
void replaceSoftwareItems(Gateway &gateway, const std::vector<Platform::StoreItem> &items);
void startSoftware(Gateway &gateway);
/** Each tick: one member keeps the usual versions and removes records that nobody needs any more. */
void keepSoftware(Gateway &gateway);

//-----------------------------------------------------------------------------
// [SECTION] Store era
//
// Gateways exchange what must outlast a restoration only when one of them has listed the store in an era above 0.
//-----------------------------------------------------------------------------

/** Questions to peers that are open, and what waits for them. */
struct PeerQuery {
    std::set<std::string> m_open; ///< nodes that have not answered
    std::string m_configurationFrom; ///< node that was asked for its newer configuration; empty: none
    bool m_isStart = false; ///< the gateway is not ready before the answers
    int m_round = 0;
    int m_answers = 0;
    NetTimer m_timer;
    NetTimer m_lateTimer; ///< until a change that a peer knows must have arrived from the store
};

/** Logs an evacuation that has begun or ended; the replicas of a failure domain whose evacuation has ended are cold. */
void recordEvacuation(Gateway &gateway, const std::string &failureDomain, bool begins, const StoreVersion &version);
/** Asks some members for what they know from before the restoration. @param isStart the gateway is not ready before the answers */
void askPeersForState(Gateway &gateway, bool isStart);
/** Adds to a message of kind Revision what tells a peer that it lacks something. */
void addStateSummary(const Gateway &gateway, PeerMessage &message);
/** Handles the kinds Revision, StateRequest, State, ConfigurationRequest and Configuration. */
void handleStateMessage(Gateway &gateway, const std::string &node, const PeerMessage &message);

//-----------------------------------------------------------------------------
// [SECTION] Memory
//-----------------------------------------------------------------------------

/**
 * Bytes held, by kind: exact when they were last counted, plus what has arrived since then. Counting visits all holders of the kind,
 * which is only done close to the bound; so no release of bytes can be forgotten.
 */
struct MemoryAccount {
    MemoryLimits m_limits;
    ConnectionLimits m_connections;
    std::array<size_t, static_cast<size_t>(HolderKind::Count)> m_held{};
};

constexpr size_t ConnectionBytes = 4096; ///< approximate memory of a connection without any bytes, with timer and callbacks

/** Sets the bounds from the settings and from the limit on open files, and how much freed memory the allocator keeps. */
void initMemory(Gateway &gateway);
void addHeld(Gateway &gateway, HolderKind kind, size_t bytes);
/**
 * Drops holders of @p kind until there is room for @p bytes. To be called only when nothing on the stack refers to a connection, as
 * any of them may be dropped, the one that the bytes arrived on included.
 */
void makeRoom(Gateway &gateway, HolderKind kind, size_t bytes);
/** Closes connections so that one more caller is within the bound. @return false when none can be closed. */
bool makeRoomForCaller(Gateway &gateway);
bool makeRoomForReadiness(Gateway &gateway);
/** Stops reading the answer of a replica while its caller has too many bytes of it unread. */
void throttleUpstream(Gateway &gateway, Exchange &exchange);
/** Reads a throttled answer again if its caller has read enough meanwhile. */
void resumeUpstream(Gateway &gateway, Exchange &exchange);
/** Each tick: callers without progress are dropped, and throttled answers are read on. */
void checkProgress(Gateway &gateway);

//-----------------------------------------------------------------------------
// [SECTION] Gateway
//-----------------------------------------------------------------------------

/** State of one gateway process. */
struct Gateway {
    GatewaySettings m_settings;
    std::string m_settingsPath;
    Clock *m_clock = nullptr;
    NetLoop m_loop;
    Random m_random;

    std::shared_ptr<const ServingConfiguration> m_configuration;
    StoreVersion m_configurationWrite; ///< of m_configuration; the lowest version when only a backup told of it
    std::string m_configurationText; ///< m_configuration as the operator wrote it
    PeerQuery m_peerQuery;
    Registry m_registry;
    Membership m_membership;
    std::map<std::string, Upstream> m_upstreams; ///< by replica id
    std::map<std::string, std::vector<std::string>> m_replicasByService;
    ConnectionCounts m_connectionCounts;
    TimePoint m_startedAt;
    size_t m_largestMembership = 1; ///< since the start: the membership at which connections are found to be scarce
    std::map<std::string, RetryBudget> m_retryBudgets; ///< by service
    std::map<std::string, SizeMean> m_sizes; ///< by route
    StoreClient m_store;
    RelayState m_relay;
    SoftwareState m_software;

    NetListener m_frontListener;
    NetListener m_readyListener;
    NetListener m_peerListener;
    std::list<CallerConnection> m_callers;
    std::list<CallerConnection> m_readinessConnections; ///< connections to the readiness address
    std::map<uint64_t, std::unique_ptr<Exchange>> m_exchanges;
    std::map<uint64_t, std::unique_ptr<UpstreamCall>> m_calls;
    uint64_t m_nextNumber = 1;
    MemoryAccount m_memory;

    ColdState m_cold;

    CrashEvidence m_crashEvidence;
    std::map<std::string, CrashSuspects> m_suspects; ///< by replica and incarnation, while it is probed
    TimePoint m_nextRefusalGossip;
    TimePoint m_crashReportsSince; ///< start of the second in which m_crashReports were sent
    int m_crashReports = 0;

    std::map<uint64_t, Submission> m_submissions;
    std::map<std::string, std::unique_ptr<OwnedQueue>> m_queues; ///< by service
    std::list<PeerLink> m_peers;
    LongPromptState m_longPrompts;
    std::map<std::string, SpeedBaseline> m_speedBaselines; ///< by service of engines
    uint64_t m_invalidSpeeds = 0; ///< reported speeds that were ignored

    bool m_draining = false;
    TimePoint m_drainStartedAt;
    TimePoint m_lastCallerBytesAt; ///< last accepted connection or received bytes of a caller
    NetTimer m_tick;
    TimePoint m_lastTickAt;
    bool m_isUnconfirmed = false; ///< the process was paused, and what it knows may be out of date
    std::vector<uint64_t> m_heldRequests; ///< numbers of exchanges that wait while m_isUnconfirmed
    NetTimer m_confirmTimer;
    uv_signal_t m_terminate{};
    uv_signal_t m_interrupt{};
    uv_signal_t m_reload{};
    /** Answers generated by the gateway, aborted streams, disconnected callers and invalid peer messages, by reason. */
    std::array<uint64_t, static_cast<size_t>(Reason::Count)> m_refusals{};
    std::array<uint64_t, static_cast<size_t>(Reason::Count)> m_retries{}; ///< by reason
    uint64_t m_answered = 0; ///< forwarded answers of replicas
    uint64_t m_watchCalls = 0; ///< watch calls to the key-value store
    uint64_t m_invalidItems = 0; ///< items of the key-value store that were left out
};

inline TimePoint gatewayNow(const Gateway &gateway)
{
    return now(*gateway.m_clock);
}

/**
 * Notices that the process was paused: configuration, registrations and membership may have changed meanwhile, and a timer
 * that would tell has not run yet. To be called before what is known is used.
 */
void noticePause(Gateway &gateway);

void countReason(std::array<uint64_t, static_cast<size_t>(Reason::Count)> &counts, Reason reason);

} // namespace Medlarramp::Serving
