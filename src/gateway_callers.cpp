#include <algorithm>

#include <fmt/format.h>

#include "gateway_internal.h"

namespace Medlarramp::Serving {

namespace {

constexpr size_t MaxPendingBytes = 256 * 1024; ///< pipelined request bytes buffered while a request is open
constexpr size_t MaxQueuedBytes = 4 * 1024 * 1024; ///< answer bytes queued for a slow caller before its stream is aborted

void readCaller(Gateway &gateway, CallerConnection &caller, std::string_view data);

CallerLimits limitsOf(const Gateway &gateway)
{
    return gateway.m_configuration ? gateway.m_configuration->m_limits : CallerLimits();
}

void dropCaller(Gateway &gateway, CallerConnection &caller)
{
    const uint64_t exchange = std::exchange(caller.m_exchange, 0);
    if (caller.m_net != nullptr) {
        caller.m_net->close();
        caller.m_net = nullptr;
    }
    if (exchange != 0) {
        cancelExchange(gateway, exchange);
    }
    gateway.m_callers.erase(caller.m_self);
}

/** Sends @p answer and closes the connection once it is written. */
void sendAndClose(Gateway &gateway, CallerConnection &caller, std::string answer)
{
    caller.m_net->write(std::move(answer));
    caller.m_net->closeAfterWrites();
    caller.m_net = nullptr;
    gateway.m_callers.erase(caller.m_self);
}

void rejectRequest(Gateway &gateway, CallerConnection &caller, int status, Reason reason)
{
    countReason(gateway.m_refusals, reason);
    sendAndClose(gateway, caller, formatAnswer(status, {}, "", false));
}

bool isReadInPart(const CallerConnection &caller)
{
    return caller.m_exchange == 0 && caller.m_reader.m_started;
}

void startIdleTimeout(Gateway &gateway, CallerConnection &caller)
{
    caller.m_timer.start(gateway.m_loop, limitsOf(gateway).m_idleTimeout, [&gateway, &caller] {
        if (caller.m_net->queuedBytes() > 0) {
            startIdleTimeout(gateway, caller); // the caller still reads the last answer
            return;
        }
        dropCaller(gateway, caller);
    });
}

/** Limits the time for the rest of a request head, and then the time for the body to the idle timeout. */
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

void readCaller(Gateway &gateway, CallerConnection &caller, std::string_view data)
{
    gateway.m_lastCallerBytesAt = gatewayNow(gateway);
    if (caller.m_exchange != 0) {
        if (caller.m_pending.size() + data.size() > MaxPendingBytes) {
            dropCaller(gateway, caller);
            return;
        }
        caller.m_pending += data;
        return;
    }
    HttpReader &reader = caller.m_reader;
    const bool fresh = !reader.m_started;
    const size_t used = reader.feed(data);
    if (!checkReader(gateway, caller)) {
        return;
    }
    if (reader.m_state == ParseState::Done) {
        caller.m_pending.assign(data.substr(used));
        caller.m_timer.stop();
        handleRequest(gateway, caller);
        return;
    }
    if (reader.m_expectContinue && reader.m_state == ParseState::Body) {
        reader.m_expectContinue = false;
        caller.m_net->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (fresh) {
        startHeadTimeout(gateway, caller);
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
    if (!caller.m_pending.empty()) {
        const std::string pending = std::exchange(caller.m_pending, std::string());
        readCaller(gateway, caller, pending);
    }
}

} // namespace

CallerConnection::CallerConnection(const CallerLimits &limits) : m_reader(HTTP_REQUEST, limits.m_headBytes, limits.m_bodyBytes)
{
}

void acceptCaller(Gateway &gateway, NetConnection *net)
{
    gateway.m_lastCallerBytesAt = gatewayNow(gateway);
    CallerConnection &caller = gateway.m_callers.emplace_back(limitsOf(gateway));
    caller.m_self = std::prev(gateway.m_callers.end());
    caller.m_net = net;
    net->m_mustFlush = true;
    net->m_onData = [&gateway, &caller](std::string_view data) { readCaller(gateway, caller, data); };
    net->m_onClose = [&gateway, &caller](CloseCause, const absl::Status &) {
        caller.m_net = nullptr;
        dropCaller(gateway, caller);
    };
    startIdleTimeout(gateway, caller);
}

bool hasPartialRequests(const Gateway &gateway)
{
    return std::any_of(gateway.m_callers.begin(), gateway.m_callers.end(), isReadInPart);
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

void sendAnswer(Gateway &gateway, CallerConnection &caller, int status, const HttpHeaders &headers, std::string_view body)
{
    caller.m_keepAlive = caller.m_keepAlive && !gateway.m_draining;
    caller.m_net->write(formatAnswer(status, headers, body, caller.m_keepAlive));
    finishAnswer(gateway, caller);
}

void beginStream(Gateway &gateway, CallerConnection &caller, int status, const HttpHeaders &headers, std::string_view events)
{
    caller.m_keepAlive = caller.m_keepAlive && !gateway.m_draining;
    caller.m_chunked = true;
    caller.m_net->write(formatChunkedHead(status, headers, caller.m_keepAlive) + formatChunk(events));
}

bool sendEvents(CallerConnection &caller, std::string_view events)
{
    if (caller.m_net->queuedBytes() >= MaxQueuedBytes) {
        return false;
    }
    caller.m_net->write(formatChunk(events));
    return true;
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
