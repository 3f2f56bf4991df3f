#include <algorithm>

#include <fmt/format.h>

#include "gateway_internal.h"

namespace Medlarramp::Serving {

namespace {

/** A larger body is queued as it is; a copy of it behind the head would take the same memory again for a moment. */
constexpr size_t MaxCopiedBodyBytes = 64 * 1024;

CallerLimits limitsOf(const Gateway &gateway)
{
    return gateway.m_configuration ? gateway.m_configuration->m_limits : CallerLimits();
}

void eraseCaller(Gateway &gateway, CallerConnection &caller)
{
    (caller.m_isReadiness ? gateway.m_readinessConnections : gateway.m_callers).erase(caller.m_self);
}

void closeCaller(Gateway &gateway, CallerConnection &caller)
{
    const uint64_t exchange = std::exchange(caller.m_exchange, 0);
    if (caller.m_net != nullptr) {
        caller.m_net->close();
        caller.m_net = nullptr;
    }
    if (exchange != 0) {
        cancelExchange(gateway, exchange);
    }
    eraseCaller(gateway, caller);
}

/** Sends @p answer and closes the connection once it is written. */
void sendAndClose(Gateway &gateway, CallerConnection &caller, std::string answer)
{
    caller.m_net->write(std::move(answer));
    caller.m_net->closeAfterWrites();
    caller.m_net = nullptr;
    eraseCaller(gateway, caller);
}

void rejectRequest(Gateway &gateway, CallerConnection &caller, int status, Reason reason)
{
    countReason(gateway.m_refusals, reason);
    sendAndClose(gateway, caller, formatAnswer(status, {}, "", false));
}

/** Whether bytes of a request have arrived that has not begun to run. */
bool isReadInPart(const CallerConnection &caller)
{
    return caller.m_exchange == 0 && (caller.m_reader.m_started || !caller.m_pending.empty());
}

/** Whether the caller has so many answer bytes unread that its next request has to wait. */
bool hasUnreadAnswers(const CallerConnection &caller)
{
    return caller.m_net->queuedBytes() >= MaxUnansweredBytes;
}

/** @return false when the request was rejected and the connection is closing. */
bool checkReader(Gateway &gateway, CallerConnection &caller)
{
    switch (caller.m_reader.m_state) {
    case ParseState::Failed:
        rejectRequest(gateway, caller, HTTP_STATUS_BAD_REQUEST, Reason::MalformedRequest);
        return false;
    case ParseState::HeadTooLarge:
        rejectRequest(gateway, caller, HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE, Reason::BodyTooLarge);
        return false;
    case ParseState::BodyTooLarge:
        rejectRequest(gateway, caller, HTTP_STATUS_PAYLOAD_TOO_LARGE, Reason::BodyTooLarge);
        return false;
    case ParseState::Head:
    case ParseState::Body:
    case ParseState::Done:
        return true;
    }
    return true;
}

/** Feeds @p data to the reader and handles a complete request. @return the number of bytes used; nothing when the caller is gone. */
std::optional<size_t> feedCaller(Gateway &gateway, CallerConnection &caller, std::string_view data)
{
    HttpReader &reader = caller.m_reader;
    const bool fresh = !reader.m_started;
    const size_t before = reader.occupiedBytes();
    const size_t used = reader.feed(data);
    const size_t after = reader.occupiedBytes();
    // Twice, as a body is copied for its replica.
    addHeld(gateway, HolderKind::Caller, after > before ? 2 * (after - before) : 0);
    if (!checkReader(gateway, caller)) {
        return std::nullopt;
    }
    if (reader.m_state == ParseState::Done) {
        caller.m_timer.stop();
        bool isGone = false;
        caller.m_isGone = &isGone;
        handleRequest(gateway, caller);
        if (isGone) {
            return std::nullopt;
        }
        caller.m_isGone = nullptr;
        return used;
    }
    if (reader.m_expectContinue && reader.m_state == ParseState::Body) {
        reader.m_expectContinue = false;
        caller.m_net->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (fresh) {
        startHeadTimeout(gateway, caller);
    }
    return used;
}

/** Reads the requests in @p data until one is open or answers are unread, and keeps the rest. */
void processBytes(Gateway &gateway, CallerConnection &caller, std::string_view data)
{
    caller.m_isProcessing = true;
    while (!data.empty() && caller.m_exchange == 0 && !hasUnreadAnswers(caller)) {
        const std::optional<size_t> used = feedCaller(gateway, caller, data);
        if (!used) {
            return;
        }
        data.remove_prefix(*used);
    }
    caller.m_isProcessing = false;
    caller.m_pending += data;
    if (caller.m_pending.size() >= MaxUnansweredBytes || (!caller.m_pending.empty() && hasUnreadAnswers(caller))) {
        caller.m_net->pauseReading();
    } else {
        caller.m_net->resumeReading();
    }
}

void processPending(Gateway &gateway, CallerConnection &caller)
{
    if (!caller.m_isProcessing) {
        const std::string pending = std::exchange(caller.m_pending, std::string());
        processBytes(gateway, caller, pending);
    }
}

void readCaller(Gateway &gateway, CallerConnection &caller, std::string_view data)
{
    gateway.m_lastCallerBytesAt = gatewayNow(gateway);
    caller.m_progressAt = gateway.m_lastCallerBytesAt;
    bool isGone = false;
    caller.m_isGone = &isGone;
    makeRoom(gateway, HolderKind::Caller, data.size());
    if (isGone) {
        return;
    }
    caller.m_isGone = nullptr;
    if (caller.m_pending.empty()) {
        processBytes(gateway, caller, data);
        return;
    }
    addHeld(gateway, HolderKind::Caller, data.size());
    caller.m_pending += data;
    processPending(gateway, caller);
}

/** The caller has taken queued bytes: its next request may be read, or the replica's answer to the open one. */
void handleCallerWritten(Gateway &gateway, CallerConnection &caller)
{
    caller.m_progressAt = gatewayNow(gateway);
    if (Exchange *exchange = findExchange(gateway, caller.m_exchange)) {
        resumeUpstream(gateway, *exchange);
    } else if (!hasUnreadAnswers(caller)) {
        processPending(gateway, caller);
    }
}

/** After a complete answer, reads the next request or closes the connection. */
void finishAnswer(Gateway &gateway, CallerConnection &caller)
{
    caller.m_exchange = 0;
    caller.m_chunked = false;
    if (!caller.m_keepAlive) {
        caller.m_net->closeAfterWrites();
        caller.m_net = nullptr;
        gateway.m_callers.erase(caller.m_self);
        return;
    }
    const CallerLimits limits = limitsOf(gateway);
    caller.m_reader.setLimits(limits.m_headBytes, limits.m_bodyBytes);
    caller.m_reader.reset();
    startIdleTimeout(gateway, caller);
    processPending(gateway, caller);
}

} // namespace

CallerConnection::CallerConnection(const CallerLimits &limits) : m_reader(HTTP_REQUEST, limits.m_headBytes, limits.m_bodyBytes)
{
}

CallerConnection::~CallerConnection()
{
    if (m_isGone != nullptr) {
        *m_isGone = true;
    }
}

void startIdleTimeout(Gateway &gateway, CallerConnection &caller)
{
    caller.m_timer.start(gateway.m_loop, limitsOf(gateway).m_idleTimeout, [&gateway, &caller] {
        if (caller.m_net->queuedBytes() > 0) {
            startIdleTimeout(gateway, caller); // the caller still reads the last answer; see dropStalledCallers()
            return;
        }
        closeCaller(gateway, caller);
    });
}

void startHeadTimeout(Gateway &gateway, CallerConnection &caller)
{
    caller.m_timer.start(gateway.m_loop, limitsOf(gateway).m_headTimeout, [&gateway, &caller] {
        // A request that is incomplete at the timeout is counted as malformed.
        if (caller.m_reader.m_state == ParseState::Head) {
            rejectRequest(gateway, caller, HTTP_STATUS_REQUEST_TIMEOUT, Reason::MalformedRequest);
            return;
        }
        caller.m_timer.start(gateway.m_loop, limitsOf(gateway).m_idleTimeout, [&gateway, &caller] {
            rejectRequest(gateway, caller, HTTP_STATUS_REQUEST_TIMEOUT, Reason::MalformedRequest);
        });
    });
}

void acceptCaller(Gateway &gateway, NetConnection *net)
{
    if (!makeRoomForCaller(gateway)) {
        countReason(gateway.m_refusals, Reason::TooManyConnections);
        net->close();
        return;
    }
    gateway.m_lastCallerBytesAt = gatewayNow(gateway);
    CallerConnection &caller = gateway.m_callers.emplace_back(limitsOf(gateway));
    caller.m_self = std::prev(gateway.m_callers.end());
    caller.m_net = net;
    caller.m_progressAt = gateway.m_lastCallerBytesAt;
    addHeld(gateway, HolderKind::Caller, ConnectionBytes);
    net->m_mustFlush = true;
    net->m_onData = [&gateway, &caller](std::string_view data) { readCaller(gateway, caller, data); };
    net->m_onWritten = [&gateway, &caller] { handleCallerWritten(gateway, caller); };
    net->m_onClose = [&gateway, &caller](CloseCause, const absl::Status &) {
        caller.m_net = nullptr;
        closeCaller(gateway, caller);
    };
    startIdleTimeout(gateway, caller);
}

void dropCaller(Gateway &gateway, CallerConnection &caller, Reason reason)
{
    if (isReadInPart(caller) && caller.m_net->queuedBytes() == 0) {
        rejectRequest(gateway, caller, HTTP_STATUS_SERVICE_UNAVAILABLE, reason);
        return;
    }
    countReason(gateway.m_refusals, reason);
    caller.m_net->resetConnection();
    caller.m_net = nullptr;
    closeCaller(gateway, caller);
}

void dropStalledCallers(Gateway &gateway)
{
    const TimePoint oldest = gatewayNow(gateway) - limitsOf(gateway).m_idleTimeout;
    const auto isStalled = [oldest](NetConnection &net) { return net.queuedBytes() > 0 && net.observeWrites() < oldest; };
    std::vector<CallerConnection *> stalled;
    for (auto *connections : {&gateway.m_callers, &gateway.m_readinessConnections}) {
        for (CallerConnection &caller : *connections) {
            if (isStalled(*caller.m_net)) {
                stalled.push_back(&caller);
            }
        }
    }
    for (CallerConnection *caller : stalled) {
        // Dropping one caller may have ended others.
        if (isOpen(gateway, caller)) {
            writeLog(LogLevel::Info, "memory", "Caller has not read its answer for too long; connection closed.");
            dropCaller(gateway, *caller, Reason::CallerStalled);
        }
    }
    const std::list<NetConnection *> lingering = gateway.m_loop.m_lingering;
    for (NetConnection *net : lingering) {
        if (isStalled(*net)) {
            countReason(gateway.m_refusals, Reason::CallerStalled);
            net->resetConnection();
        }
    }
}

bool isOpen(const Gateway &gateway, const CallerConnection *caller)
{
    const auto contains = [caller](const std::list<CallerConnection> &connections) {
        return std::any_of(connections.begin(), connections.end(), [caller](const CallerConnection &other) { return &other == caller; });
    };
    return contains(gateway.m_callers) || contains(gateway.m_readinessConnections);
}

void refusePartialRequests(Gateway &gateway)
{
    for (auto next = gateway.m_callers.begin(); next != gateway.m_callers.end();) {
        CallerConnection &caller = *next++;
        if (isReadInPart(caller)) {
            rejectRequest(gateway, caller, HTTP_STATUS_SERVICE_UNAVAILABLE, Reason::Draining);
        }
    }
}

void sendAnswer(Gateway &gateway, CallerConnection &caller, int status, const HttpHeaders &headers, std::string body)
{
    caller.m_keepAlive = caller.m_keepAlive && !gateway.m_draining;
    addHeld(gateway, HolderKind::Caller, body.size());
    if (body.size() <= MaxCopiedBodyBytes) {
        caller.m_net->write(formatAnswer(status, headers, body, caller.m_keepAlive));
    } else {
        caller.m_net->write(formatAnswerHead(status, headers, body.size(), caller.m_keepAlive));
        caller.m_net->write(std::move(body));
    }
    finishAnswer(gateway, caller);
}

void beginStream(Gateway &gateway, CallerConnection &caller, int status, const HttpHeaders &headers, std::string_view events)
{
    caller.m_keepAlive = caller.m_keepAlive && !gateway.m_draining;
    caller.m_chunked = true;
    addHeld(gateway, HolderKind::Caller, events.size());
    caller.m_net->write(formatChunkedHead(status, headers, caller.m_keepAlive) + formatChunk(events));
}

void sendEvents(Gateway &gateway, CallerConnection &caller, std::string_view events)
{
    addHeld(gateway, HolderKind::Caller, events.size());
    caller.m_net->write(formatChunk(events));
}

void endStream(Gateway &gateway, CallerConnection &caller)
{
    caller.m_net->write(std::string(LastChunk));
    finishAnswer(gateway, caller);
}

void abortConnection(Gateway &gateway, CallerConnection &caller)
{
    caller.m_exchange = 0;
    caller.m_net->close();
    caller.m_net = nullptr;
    gateway.m_callers.erase(caller.m_self);
}

} // namespace Medlarramp::Serving
