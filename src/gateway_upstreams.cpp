#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "gateway_internal.h"

namespace Medlarramp::Serving {

namespace {

constexpr Duration UpstreamConnectTimeout = milliseconds(400); ///< covers several round trips between failure domains and one lost packet
constexpr Duration UpstreamSilenceTimeout = milliseconds(3000); ///< whole seconds, the resolution of TCP keep-alive probes
constexpr Duration RecentIdleLimit = milliseconds(1000); ///< a pooled connection idle for longer may have been dropped without notice
constexpr Duration DefaultIdleLimit = seconds(4); ///< for replicas whose answers have no Keep-Alive timeout
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

Duration idleLimitOf(const HttpHeaders &headers)
{
    const std::optional<std::string_view> keepAlive = findHeader(headers, "keep-alive");
    const size_t position = keepAlive ? keepAlive->find("timeout=") : std::string_view::npos;
    if (position == std::string_view::npos) {
        return DefaultIdleLimit;
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
    connection->m_idleLimit = idleLimitOf(connection->m_reader.m_headers);
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

void finishCall(Gateway &gateway, UpstreamConnection *connection, CallEnd end)
{
    UpstreamCall *call = connection->m_call;
    auto owned = std::move(gateway.m_calls.at(call->m_number));
    gateway.m_calls.erase(call->m_number);
    connection->m_lastAttemptId = owned->m_attemptId;
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

/** Whether a call may be written now: meanwhile the replica may have turned out to leave, or have asked for a pause. */
bool isWriteAllowed(const Gateway &gateway, const UpstreamCall &call)
{
    const bool isPaused = gatewayNow(gateway) < pausedUntil(gateway.m_registry, call.m_replica);
    const bool isAllowed =
        call.m_isWork ? acceptsWork(gateway.m_registry, call.m_replica) : !isEvacuated(gateway.m_registry, call.m_replica);
    return !isPaused && isAllowed;
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

/** Reads the messages in @p data. Each way to the end of a message passes its kind. */
void readAnswer(Gateway &gateway, UpstreamConnection *connection, std::string_view data)
{
    HttpReader &reader = connection->m_reader;
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

void handleUpstreamClose(Gateway &gateway, UpstreamConnection *connection, CloseCause cause)
{
    connection->m_net = nullptr;
    if (connection->m_call == nullptr) {
        closeUpstream(gateway, connection);
        return;
    }
    HttpReader &reader = connection->m_reader;
    if (cause == CloseCause::End && reader.m_state == ParseState::Body && !reader.m_framed) {
        reader.feedEnd();
    }
    if (reader.m_state == ParseState::Done && connection->m_messageKind == MessageKind::Answer) {
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
    ConnectionOptions options;
    options.m_connectTimeout = UpstreamConnectTimeout;
    options.m_silenceTimeout = UpstreamSilenceTimeout;
    connection->m_net = NetConnection::connect(gateway.m_loop, upstream.m_address, options);
    connection->m_net->m_onConnect = [&gateway, connection] {
        if (connection->m_call != nullptr) {
            if (!isWriteAllowed(gateway, *connection->m_call)) {
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
    return connection;
}

/**
 * A pooled connection for a call, or null. Not one whose previous call had the same attempt id: a late copy of its answer
 * could not be told from the answer to this call.
 */
UpstreamConnection *takeIdle(Gateway &gateway, Upstream &upstream, const std::string &attemptId, ConnectionUse use)
{
    while (use != ConnectionUse::Fresh && !upstream.m_idle.empty()) {
        UpstreamConnection *connection = upstream.m_idle.back();
        if (!attemptId.empty() && connection->m_lastAttemptId == attemptId) {
            return nullptr;
        }
        const Duration idle = gatewayNow(gateway) - connection->m_idleSince;
        if (idle >= connection->m_idleLimit) {
            closeUpstream(gateway, connection);
            continue;
        }
        if (use == ConnectionUse::RecentlyUsed && idle > RecentIdleLimit) {
            return nullptr;
        }
        upstream.m_idle.pop_back();
        return connection;
    }
    return nullptr;
}

} // namespace

UpstreamCall *startCall(Gateway &gateway, const std::string &replica, UpstreamCall prototype, ConnectionUse use)
{
    auto owned = std::make_unique<UpstreamCall>(std::move(prototype));
    UpstreamCall *call = owned.get();
    call->m_number = gateway.m_nextNumber++;
    call->m_replica = replica;
    call->m_startedAt = gatewayNow(gateway);
    call->m_lastByteAt = call->m_startedAt;
    gateway.m_calls.emplace(call->m_number, std::move(owned));
    Upstream &upstream = gateway.m_upstreams.at(replica);
    UpstreamConnection *connection = takeIdle(gateway, upstream, call->m_attemptId, use);
    const bool reused = connection != nullptr;
    if (!reused) {
        connection = openConnection(gateway, upstream);
    }
    connection->m_call = call;
    call->m_connection = connection;
    if (reused) {
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
    gateway.m_calls.erase(call);
    connection->m_call = nullptr;
    closeUpstream(gateway, connection);
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
            || upstream.m_record.m_address != replica.m_record.m_address) {
            // A new incarnation: measurements of the previous one no longer apply.
            upstream.m_latency = 0;
            upstream.m_speed = SpeedEstimate();
            upstream.m_failureRate = 0;
            upstream.m_failures = 0;
            upstream.m_suspectedUntil = TimePoint();
        }
        upstream.m_record = replica.m_record;
        upstream.m_address = *address;
        upstream.m_registered = true;
    }
    gateway.m_replicasByService = usableReplicas(gateway.m_registry);
    for (auto &[service, ids] : gateway.m_replicasByService) {
        std::erase_if(ids, [&gateway](const std::string &id) { return !gateway.m_upstreams.contains(id); });
    }
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
    for (auto &[id, upstream] : gateway.m_upstreams) {
        for (UpstreamConnection *connection : upstream.m_idle) {
            if (gatewayNow(gateway) - connection->m_idleSince >= connection->m_idleLimit) {
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
