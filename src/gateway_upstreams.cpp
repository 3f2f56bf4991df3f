#include <algorithm>
#include <charconv>
#include <limits>

#include <fmt/format.h>

#include "gateway_internal.h"

namespace Medlarramp::Serving {

namespace {

constexpr Duration UpstreamConnectTimeout = milliseconds(400); ///< covers several round trips between failure domains and one lost packet
constexpr Duration UpstreamSilenceTimeout = milliseconds(3000); ///< whole seconds, the resolution of TCP keep-alive probes
constexpr size_t MaxIdleConnections = 16; ///< per replica
constexpr double LatencyGain = 0.2; ///< weight of a new sample in the moving average
constexpr double FailureGain = 0.2; ///< weight of a new sample in the moving average
constexpr double MaxFailureRate = 0.5; ///< above this share of failed attempts, each further failure makes the replica suspected
constexpr Duration SuspicionBase = milliseconds(1000); ///< doubles with each consecutive failure
constexpr int MaxSuspicionDoublings = 3;

void closeUpstream(Gateway &gateway, UpstreamConnection *connection);
void finishCall(Gateway &gateway, UpstreamConnection *connection, CallEnd end);

Upstream *findUpstream(Gateway &gateway, const std::string &replica)
{
    const auto upstream = gateway.m_upstreams.find(replica);
    return upstream == gateway.m_upstreams.end() ? nullptr : &upstream->second;
}

/** @param unstated limit for answers without a Keep-Alive time */
Duration idleLimitOf(const HttpHeaders &headers, Duration unstated)
{
    const std::optional<std::string_view> keepAlive = findHeader(headers, "keep-alive");
    const size_t position = keepAlive ? keepAlive->find("timeout=") : std::string_view::npos;
    if (position == std::string_view::npos) {
        return unstated;
    }
    const std::string_view text = keepAlive->substr(position + std::string_view("timeout=").size());
    int64_t limit = 0;
    std::from_chars(text.data(), text.data() + text.size(), limit);
    // The replica's idle time starts when it sends the answer, before the answer arrives here.
    return seconds(limit) * 3 / 4;
}

/** Returns whether this is a late answer to an earlier request on a pooled connection. */
bool isStaleAnswer(const UpstreamCall &call, const HttpReader &reader)
{
    if (call.m_attemptId.empty()) {
        return false;
    }
    const std::optional<std::string_view> echoed = findHeader(reader.m_headers, Platform::AttemptId);
    return echoed && *echoed != call.m_attemptId;
}

/** Whether an answer does not tell which request it belongs to, on a connection that may deliver answers to earlier ones. */
bool isUnidentified(const UpstreamConnection &connection)
{
    return connection.m_isReused && !connection.m_call->m_attemptId.empty()
        && !findHeader(connection.m_reader.m_headers, Platform::AttemptId);
}

bool isInformational(const HttpReader &reader)
{
    return reader.m_status >= 100 && reader.m_status < 200;
}

MessageKind classifyMessage(UpstreamConnection &connection)
{
    if (isInformational(connection.m_reader)) {
        return ++connection.m_informational <= UpstreamConnection::MaxInformational ? MessageKind::Skipped : MessageKind::Invalid;
    }
    if (isUnidentified(connection)) {
        return MessageKind::Invalid;
    }
    return isStaleAnswer(*connection.m_call, connection.m_reader) ? MessageKind::Skipped : MessageKind::Answer;
}

/** Prepares for the next message on the connection. */
void startMessage(UpstreamConnection &connection)
{
    connection.m_reader.reset();
    connection.m_messageKind = MessageKind::Unknown;
}

void keepConnection(Gateway &gateway, UpstreamConnection *connection)
{
    Upstream *upstream = findUpstream(gateway, connection->m_replica);
    const bool usable = upstream != nullptr && connection->m_reader.m_keepAlive && connection->m_reader.m_framed
        && connection->m_net->queuedBytes() == 0 && upstream->m_idle.size() < MaxIdleConnections && upstream->m_registered;
    if (!usable) {
        closeUpstream(gateway, connection);
        return;
    }
    connection->m_net->resumeReading(); // its last answer may have been throttled
    const Duration unstated = isScarce(gateway, upstream->m_record.m_service) ? upstream->m_idleLimit : DefaultIdleLimit;
    connection->m_idleLimit = idleLimitOf(connection->m_reader.m_headers, unstated);
    connection->m_idleSince = gatewayNow(gateway);
    connection->m_isReused = true;
    connection->m_informational = 0;
    startMessage(*connection);
    upstream->m_idle.push_back(connection);
}

void closeUpstream(Gateway &gateway, UpstreamConnection *connection)
{
    if (Upstream *upstream = findUpstream(gateway, connection->m_replica)) {
        upstream->m_connections -= 1;
        std::erase(upstream->m_idle, connection);
    }
    if (connection->m_net != nullptr) {
        connection->m_net->close();
    }
    delete connection;
}

/** Remembers which request a connection has carried. Stage calls are remembered with their answers, see takeStageAnswer(). */
void rememberCall(UpstreamConnection &connection, const UpstreamCall &call)
{
    std::vector<uint64_t> &calls = connection.m_carried.m_calls;
    if (call.m_handles || call.m_ids.empty()) {
        return;
    }
    if (calls.size() >= MaxCarriedCalls) {
        calls.erase(calls.begin());
    }
    calls.push_back(call.m_ids.front());
}

void finishCall(Gateway &gateway, UpstreamConnection *connection, CallEnd end)
{
    UpstreamCall *call = connection->m_call;
    auto owned = std::move(gateway.m_calls.at(call->m_number));
    gateway.m_calls.erase(call->m_number);
    rememberCall(*connection, *owned);
    returnPermit(gateway, *owned);
    if (connection->m_messageKind != MessageKind::Answer) {
        connection->m_reader.reset(); // the callback must not read a message of another call
    }
    if (owned->m_onEnd) {
        owned->m_onEnd(*owned, end);
    }
    connection->m_call = nullptr;
    if (end == CallEnd::Done && connection->m_net != nullptr) {
        keepConnection(gateway, connection);
    } else {
        closeUpstream(gateway, connection);
    }
}

void observeRefusal(Gateway &gateway, const UpstreamConnection &connection)
{
    const std::optional<std::string_view> header = findHeader(connection.m_reader.m_headers, Platform::RetryAfter);
    const std::optional<Duration> pause = header ? Platform::parseRetryAfter(*header) : std::nullopt;
    if (!pause) {
        return;
    }
    const TimePoint until = gatewayNow(gateway) + *pause;
    observePause(gateway.m_registry, connection.m_replica, until);
    pauseStageCalls(gateway, connection.m_replica, until);
    writeLog(LogLevel::Info,
             "registry",
             "Replica refused a request and asked for a pause.",
             {{"replica", connection.m_replica}, {"pause_ms", fmt::format("{}", pause->count() / 1000)}});
}

/**
 * Learns what the replica says of itself, from any answer, also one that is not forwarded. A replica that leaves does not come
 * back; a pause, however, starts with the refusal, so that one in a late answer would be extended.
 */
void observeNotices(Gateway &gateway, const UpstreamConnection &connection)
{
    const HttpReader &reader = connection.m_reader;
    noteColdAnswer(gateway, connection.m_replica, reader.m_headers);
    if (reader.m_status == HTTP_STATUS_SERVICE_UNAVAILABLE && connection.m_messageKind == MessageKind::Answer) {
        observeRefusal(gateway, connection);
    }
    if (connection.m_messageKind == MessageKind::Answer) {
        observeSpeedHeader(gateway, connection.m_replica, reader.m_headers); // a late answer reports an old speed
    }
    if (findHeader(reader.m_headers, Platform::ServerLeaving) == "1" && observeLeaving(gateway.m_registry, connection.m_replica)) {
        writeLog(LogLevel::Info, "registry", "Replica reported that it leaves.", {{"replica", connection.m_replica}});
        syncUpstreams(gateway);
    }
}

/**
 * Whether a call may be written now: meanwhile the replica may have turned out to leave, have asked for a pause, or have come back with
 * another software version.
 */
bool isWriteAllowed(const Gateway &gateway, const UpstreamCall &call)
{
    const bool isPaused = gatewayNow(gateway) < pausedUntil(gateway.m_registry, call.m_replica);
    const bool isAllowed =
        call.m_isWork ? acceptsWork(gateway.m_registry, call.m_replica) : !isEvacuated(gateway.m_registry, call.m_replica);
    const bool isPinned = !call.m_pin || mayWriteStream(gateway.m_registry, call.m_replica, *call.m_pin);
    return !isPaused && isAllowed && isPinned;
}

/** @return false when the callback has cancelled the call and the connection is closed. */
bool reportProgress(Gateway &gateway, UpstreamConnection *connection)
{
    UpstreamCall &call = *connection->m_call;
    const uint64_t number = call.m_number;
    if (!call.m_onProgress) {
        return true;
    }
    call.m_onProgress(call);
    return gateway.m_calls.contains(number);
}

/** The replica answers on the connection, so that it accepts connections. */
void observeConnection(Gateway &gateway, const UpstreamConnection &connection)
{
    if (Upstream *upstream = findUpstream(gateway, connection.m_replica)) {
        observeConnectSuccess(upstream->m_connects);
    }
}

/** Checks a complete answer to a stage call. @return false when it is a copy of an earlier answer on the connection. */
bool takeStageAnswer(Gateway &gateway, UpstreamConnection &connection)
{
    const UpstreamCall &call = *connection.m_call;
    if (!call.m_handles) {
        return true;
    }
    HttpReader &reader = connection.m_reader;
    const std::vector<std::string> handles = call.m_handles(reader);
    if (connection.m_isReused && isEarlierAnswer(connection.m_carried, handles)) {
        gateway.m_connectionCounts.m_copies += 1;
        writeLog(LogLevel::Info, "stage", "Copy of an earlier answer dropped.", {{"replica", connection.m_replica}});
        return false;
    }
    const bool isRecorded = recordStageAnswer(connection.m_carried, call.m_ids, handles);
    reader.m_keepAlive = reader.m_keepAlive && isRecorded && connection.m_carried.m_calls.size() < MaxCarriedCalls;
    return true;
}

/** Reads the messages in @p data. Each way to the end of a message passes its kind. */
void readAnswer(Gateway &gateway, UpstreamConnection *connection, std::string_view data)
{
    HttpReader &reader = connection->m_reader;
    if (connection->m_call != nullptr) {
        const uint64_t number = connection->m_call->m_number;
        connection->m_call->m_lastByteAt = gatewayNow(gateway);
        makeRoom(gateway, HolderKind::Upstream, data.size());
        if (!gateway.m_calls.contains(number)) {
            return;
        }
        addHeld(gateway, HolderKind::Upstream, data.size());
    }
    while (!data.empty()) {
        if (connection->m_call == nullptr) {
            closeUpstream(gateway, connection); // bytes without an open request
            return;
        }
        connection->m_call->m_lastByteAt = gatewayNow(gateway);
        data.remove_prefix(reader.feed(data));
        if (reader.m_state == ParseState::Head) {
            continue;
        }
        const bool isMessage = reader.m_state == ParseState::Body || reader.m_state == ParseState::Done;
        if (isMessage && connection->m_messageKind == MessageKind::Unknown) {
            connection->m_messageKind = classifyMessage(*connection);
            observeConnection(gateway, *connection);
            observeNotices(gateway, *connection);
        }
        if (!isMessage || connection->m_messageKind == MessageKind::Invalid) {
            finishCall(gateway, connection, CallEnd::Malformed);
            return;
        }
        if (connection->m_messageKind == MessageKind::Skipped) {
            reader.m_body.clear();
            if (reader.m_state == ParseState::Done) {
                startMessage(*connection);
            }
            continue;
        }
        if (reader.m_state == ParseState::Done && !takeStageAnswer(gateway, *connection)) {
            startMessage(*connection);
            continue;
        }
        if (!reportProgress(gateway, connection)) {
            return;
        }
        if (reader.m_state == ParseState::Done) {
            if (!data.empty()) {
                reader.m_keepAlive = false; // surplus bytes follow, so the connection is not reused
            }
            finishCall(gateway, connection, CallEnd::Done);
            return;
        }
    }
}

/** Lowers the share of this gateway for a while: the replica takes fewer connections than its limit while its queue is long. */
void lowerShare(Gateway &gateway, Upstream &upstream, bool isReset)
{
    if (!isScarce(gateway, upstream.m_record.m_service)) {
        return;
    }
    upstream.m_shareLoweredUntil = gatewayNow(gateway) + LoweredShareTime;
    writeLog(LogLevel::Info,
             "registry",
             "Replica refused a connection; share of its connections lowered.",
             {{"replica", upstream.m_record.m_id},
              {"connections", fmt::format("{}", upstream.m_connections)},
              {"reset", isReset ? "yes" : "no"}});
}

/** Records a connection that the replica has refused or reset at once. */
void observeClose(Gateway &gateway, const UpstreamConnection &connection)
{
    Upstream *upstream = findUpstream(gateway, connection.m_replica);
    const TimePoint now = gatewayNow(gateway);
    const bool hasAnswered = connection.m_isReused || connection.m_messageKind != MessageKind::Unknown;
    const bool isRefused = !hasAnswered && (!connection.m_connectedAt || now - *connection.m_connectedAt < ResetAfterConnect);
    if (upstream != nullptr && isRefused) {
        observeConnectFailure(upstream->m_connects, connection.m_openedAt, gateway.m_random, now);
        lowerShare(gateway, *upstream, connection.m_connectedAt.has_value());
    }
}

/** Learns how long a replica keeps idle connections that it states no time for. */
void observeIdleClose(Gateway &gateway, const UpstreamConnection &connection, CloseCause cause)
{
    Upstream *upstream = findUpstream(gateway, connection.m_replica);
    if (upstream != nullptr && cause == CloseCause::End) {
        upstream->m_idleLimit = shortenIdleLimit(upstream->m_idleLimit, gatewayNow(gateway) - connection.m_idleSince);
    }
}

void handleUpstreamClose(Gateway &gateway, UpstreamConnection *connection, CloseCause cause)
{
    connection->m_net = nullptr;
    observeClose(gateway, *connection);
    if (connection->m_call == nullptr) {
        observeIdleClose(gateway, *connection, cause);
        closeUpstream(gateway, connection);
        return;
    }
    HttpReader &reader = connection->m_reader;
    if (cause == CloseCause::End && reader.m_state == ParseState::Body && !reader.m_framed) {
        reader.feedEnd();
    }
    const bool isAnswered = reader.m_state == ParseState::Done && connection->m_messageKind == MessageKind::Answer;
    if (isAnswered && takeStageAnswer(gateway, *connection)) {
        finishCall(gateway, connection, CallEnd::Done);
        return;
    }
    finishCall(gateway, connection, connection->m_call->m_sent ? CallEnd::Lost : CallEnd::NotConnected);
}

void logCallWritten(const Gateway &gateway, const UpstreamCall &call)
{
    if (!isLogged(LogLevel::Debug)) {
        return;
    }
    writeLog(LogLevel::Debug,
             "attempt",
             "Call written.",
             {{"id", call.m_attemptId},
              {"replica", call.m_replica},
              {"waited_ms", fmt::format("{}", (gatewayNow(gateway) - call.m_startedAt).count() / 1000)},
              {"registration", std::string(describeReplica(gateway.m_registry, call.m_replica))},
              {"registrations_age_ms", fmt::format("{}", watchAge(gateway).count() / 1000)}});
}

UpstreamConnection *openConnection(Gateway &gateway, Upstream &upstream)
{
    auto *connection = new UpstreamConnection;
    connection->m_replica = upstream.m_record.m_id;
    connection->m_openedAt = gatewayNow(gateway);
    beginConnect(upstream.m_connects, gateway.m_random, connection->m_openedAt);
    ConnectionOptions options;
    options.m_connectTimeout = UpstreamConnectTimeout;
    options.m_silenceTimeout = UpstreamSilenceTimeout;
    connection->m_net = NetConnection::connect(gateway.m_loop, upstream.m_address, options);
    connection->m_net->m_onConnect = [&gateway, connection] {
        connection->m_connectedAt = gatewayNow(gateway);
        if (Upstream *connected = findUpstream(gateway, connection->m_replica)) {
            observeConnected(connected->m_connects, *connection->m_connectedAt);
        }
        if (connection->m_call != nullptr) {
            if (!isWriteAllowed(gateway, *connection->m_call) || !takePermit(gateway, *connection->m_call)) {
                finishCall(gateway, connection, CallEnd::NotConnected);
                return;
            }
            connection->m_call->m_sent = true;
            logCallWritten(gateway, *connection->m_call);
            connection->m_net->write(std::exchange(connection->m_call->m_text, std::string()));
        }
    };
    connection->m_net->m_onData = [&gateway, connection](std::string_view data) { readAnswer(gateway, connection, data); };
    connection->m_net->m_onClose = [&gateway, connection](CloseCause cause, const absl::Status &) {
        handleUpstreamClose(gateway, connection, cause);
    };
    upstream.m_connections += 1;
    gateway.m_connectionCounts.m_opened += 1;
    return connection;
}

/**
 * Number of connections that this gateway may have to a replica. Stage services have no shares, as only the owner of their queue calls
 * them; the number of its open calls is bounded by the queue.
 */
int shareOf(Gateway &gateway, const Upstream &upstream, TimePoint now)
{
    const std::string &service = upstream.m_record.m_service;
    const ServingService *definition = gateway.m_configuration ? findService(*gateway.m_configuration, service) : nullptr;
    if (definition == nullptr || definition->m_pieces || !isScarce(gateway, service)) {
        return std::numeric_limits<int>::max();
    }
    const size_t gateways = memberCount(gateway.m_membership, now);
    return connectionShare(definition->m_maxConnections, gateways, now - gateway.m_startedAt, upstream.m_shareLoweredUntil, now);
}

void assignRingPositions(Gateway &gateway)
{
    for (const auto &[service, ids] : gateway.m_replicasByService) {
        std::vector<std::pair<uint64_t, std::string>> ring;
        for (const std::string &id : ids) {
            ring.emplace_back(hash64(id), id);
        }
        std::sort(ring.begin(), ring.end());
        for (size_t i = 0; i < ring.size(); ++i) {
            gateway.m_upstreams.at(ring[i].second).m_ringPosition = i;
        }
    }
}

/** Closes idle connections, the least recently used first, until @p limit or only used ones are left. */
void closeBeyond(Gateway &gateway, Upstream &upstream, int limit)
{
    while (upstream.m_connections > limit && !upstream.m_idle.empty()) {
        closeUpstream(gateway, upstream.m_idle.front());
    }
}

bool mayCarry(Gateway &gateway, const UpstreamConnection &connection, ConnectionUse use, bool isScarceService)
{
    IdleConnection idle;
    idle.m_idle = gatewayNow(gateway) - connection.m_idleSince;
    idle.m_idleLimit = connection.m_idleLimit;
    const bool isHeardNeeded = isScarceService && use == ConnectionUse::Recent && idle.m_idle > RecentIdleLimit;
    idle.m_heard = isHeardNeeded ? connection.m_net->heardAgo() : std::nullopt;
    return mayReuse(idle, use, isScarceService);
}

/**
 * An idle connection for a call, the most recently used one that may carry it, or null. Not one that has carried the same request
 * before: a late copy of its answer could not be told from the answer to this call.
 */
UpstreamConnection *takeIdle(Gateway &gateway, Upstream &upstream, const UpstreamCall &call, ConnectionUse use)
{
    const bool isScarceService = isScarce(gateway, upstream.m_record.m_service);
    for (size_t i = upstream.m_idle.size(); i > 0; --i) {
        UpstreamConnection *connection = upstream.m_idle[i - 1];
        const bool hasOtherPurpose = isScarceService && connection->m_purpose != call.m_purpose;
        if (hasOtherPurpose || hasCarried(connection->m_carried, call.m_ids) || !mayCarry(gateway, *connection, use, isScarceService)) {
            continue;
        }
        upstream.m_idle.erase(upstream.m_idle.begin() + static_cast<std::ptrdiff_t>(i - 1));
        return connection;
    }
    return nullptr;
}

} // namespace

bool isScarce(Gateway &gateway, const std::string &service)
{
    const ServingService *definition = gateway.m_configuration ? findService(*gateway.m_configuration, service) : nullptr;
    gateway.m_largestMembership = std::max(gateway.m_largestMembership, memberCount(gateway.m_membership, gatewayNow(gateway)));
    return definition != nullptr && hasScarceConnections(definition->m_maxConnections, gateway.m_largestMembership);
}

bool isWithinShare(Gateway &gateway, const Upstream &upstream, TimePoint now)
{
    return upstream.m_connections - static_cast<int>(upstream.m_idle.size()) < shareOf(gateway, upstream, now);
}

bool hasReusable(Gateway &gateway, const Upstream &upstream, ConnectionUse use, bool isScarceService)
{
    return std::any_of(upstream.m_idle.begin(), upstream.m_idle.end(), [&](const UpstreamConnection *connection) {
        return mayCarry(gateway, *connection, use, isScarceService);
    });
}

size_t memberIndex(const Gateway &gateway)
{
    const auto &members = gateway.m_membership.m_members;
    return static_cast<size_t>(std::distance(members.begin(), members.find(gateway.m_settings.m_node)));
}

UpstreamCall *startCall(Gateway &gateway, const std::string &replica, UpstreamCall prototype, ConnectionUse use)
{
    Upstream &upstream = gateway.m_upstreams.at(replica);
    prototype.m_replica = replica;
    reservePermit(gateway, prototype);
    // Otherwise the call is refused when its new connection is open, as this function must not end it.
    const TimePoint now = gatewayNow(gateway);
    const bool isSendable = isWriteAllowed(gateway, prototype) && (!isWithheld(gateway, replica, now) || prototype.m_permit);
    UpstreamConnection *connection = isSendable ? takeIdle(gateway, upstream, prototype, use) : nullptr;
    const bool reused = connection != nullptr;
    if (!reused && !isWithinShare(gateway, upstream, now)) {
        returnPermit(gateway, prototype);
        return nullptr;
    }
    auto owned = std::make_unique<UpstreamCall>(std::move(prototype));
    UpstreamCall *call = owned.get();
    call->m_number = gateway.m_nextNumber++;
    call->m_replica = replica;
    call->m_startedAt = now;
    call->m_lastByteAt = call->m_startedAt;
    gateway.m_calls.emplace(call->m_number, std::move(owned));
    if (!reused) {
        closeBeyond(gateway, upstream, shareOf(gateway, upstream, now) - 1);
        connection = openConnection(gateway, upstream);
    }
    connection->m_call = call;
    connection->m_purpose = call->m_purpose;
    call->m_connection = connection;
    if (reused) {
        takePermit(gateway, *call);
        gateway.m_connectionCounts.m_reused += 1;
        call->m_sent = true;
        logCallWritten(gateway, *call);
        connection->m_net->write(std::exchange(call->m_text, std::string()));
    }
    return call;
}

void cancelCall(Gateway &gateway, uint64_t number)
{
    const auto call = gateway.m_calls.find(number);
    if (call == gateway.m_calls.end()) {
        return;
    }
    UpstreamConnection *connection = call->second->m_connection;
    returnPermit(gateway, *call->second);
    gateway.m_calls.erase(call);
    connection->m_call = nullptr;
    closeUpstream(gateway, connection);
}

void dropCall(Gateway &gateway, uint64_t number)
{
    const auto call = gateway.m_calls.find(number);
    if (call == gateway.m_calls.end()) {
        return;
    }
    countReason(gateway.m_refusals, Reason::MemoryLimited);
    UpstreamConnection *connection = call->second->m_connection;
    connection->m_reader.reset();
    finishCall(gateway, connection, call->second->m_sent ? CallEnd::Malformed : CallEnd::NotConnected);
}

HttpReader &answerReader(UpstreamCall &call)
{
    return call.m_connection->m_reader;
}

void syncUpstreams(Gateway &gateway)
{
    for (auto &[id, upstream] : gateway.m_upstreams) {
        upstream.m_registered = false;
    }
    for (const auto &[id, replica] : gateway.m_registry.m_replicas) {
        const std::optional<SocketAddress> address = parseSocketAddress(replica.m_record.m_address);
        if (!address) {
            continue;
        }
        Upstream &upstream = gateway.m_upstreams[id];
        if (upstream.m_record.m_incarnationStart != replica.m_record.m_incarnationStart
            || upstream.m_record.m_address != replica.m_record.m_address
            || upstream.m_record.m_softwareVersion != replica.m_record.m_softwareVersion) {
            // A new incarnation: measurements of the previous one no longer apply.
            upstream.m_latency = 0;
            upstream.m_speed = SpeedEstimate();
            upstream.m_failureRate = 0;
            upstream.m_failures = 0;
            upstream.m_suspectedUntil = TimePoint();
            upstream.m_connects = ConnectHistory();
            upstream.m_idleLimit = LongIdleLimit;
        }
        upstream.m_record = replica.m_record;
        upstream.m_address = *address;
        upstream.m_registered = true;
    }
    gateway.m_replicasByService = usableReplicas(gateway.m_registry);
    for (auto &[service, ids] : gateway.m_replicasByService) {
        std::erase_if(ids, [&gateway](const std::string &id) { return !gateway.m_upstreams.contains(id); });
    }
    assignRingPositions(gateway);
    std::vector<UpstreamConnection *> unused;
    for (auto &[id, upstream] : gateway.m_upstreams) {
        if (!upstream.m_registered) {
            unused.insert(unused.end(), upstream.m_idle.begin(), upstream.m_idle.end());
        }
    }
    for (UpstreamConnection *connection : unused) {
        closeUpstream(gateway, connection);
    }
    std::erase_if(gateway.m_upstreams, [](const auto &entry) { return !entry.second.m_registered && entry.second.m_connections == 0; });
    syncQueues(gateway);
}

void closeIdleUpstreams(Gateway &gateway)
{
    std::vector<UpstreamConnection *> expired;
    const TimePoint now = gatewayNow(gateway);
    for (auto &[id, upstream] : gateway.m_upstreams) {
        closeBeyond(gateway, upstream, shareOf(gateway, upstream, now));
        for (UpstreamConnection *connection : upstream.m_idle) {
            if (now - connection->m_idleSince >= connection->m_idleLimit) {
                expired.push_back(connection);
            }
        }
    }
    for (UpstreamConnection *connection : expired) {
        closeUpstream(gateway, connection);
    }
}

void recordAttempt(Gateway &gateway, const std::string &replica, bool failed, bool suspectAtOnce, Duration latency)
{
    Upstream *upstream = findUpstream(gateway, replica);
    if (upstream == nullptr) {
        return;
    }
    upstream->m_failureRate += FailureGain * ((failed ? 1.0 : 0.0) - upstream->m_failureRate);
    if (!failed) {
        upstream->m_failures = 0;
        const double observed = static_cast<double>(latency.count()) / 1e6;
        upstream->m_latency = upstream->m_latency > 0 ? upstream->m_latency + LatencyGain * (observed - upstream->m_latency) : observed;
        return;
    }
    if (suspectAtOnce || upstream->m_failureRate > MaxFailureRate) {
        const Duration suspicion = SuspicionBase * (int64_t{1} << std::min(upstream->m_failures, MaxSuspicionDoublings));
        upstream->m_failures += 1;
        upstream->m_suspectedUntil = gatewayNow(gateway) + suspicion;
    }
}

} // namespace Medlarramp::Serving
