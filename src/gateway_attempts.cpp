#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "gateway_internal.h"

namespace Medlarramp::Serving {

namespace {

constexpr Duration MinAttemptTimeout = milliseconds(350); ///< for idempotent requests; must exceed the slowest ordinary request
constexpr int64_t AttemptTimeoutFactor = 6; ///< attempt timeout as a multiple of the replica's average latency
/**
 * Expected time for a replica to fetch the inputs of a call once the call has started: connection, request and fetch between
 * failure domains.
 */
constexpr Duration ExpectedFetchTime = milliseconds(70);
constexpr size_t MaxEventBytes = 256 * 1024; ///< limit on one event of a stream
constexpr int MaxPlanRestarts = 1; ///< per request: how often stages may run again because results no longer exist

void handleAttemptEnd(Gateway &gateway, Exchange &exchange, AttemptEnd end, Reason reason);

/** A request that can't be repeated must not be written to a connection that may have become silent. */
ConnectionUse connectionUse(const Exchange &exchange)
{
    const bool retryable = exchange.m_attempts.m_kind == RequestKind::Idempotent || exchange.m_attempts.m_resumable;
    return retryable ? ConnectionUse::Pooled : ConnectionUse::Recent;
}

std::vector<ReplicaView> viewReplicas(Gateway &gateway, const Exchange &exchange, TimePoint now)
{
    std::vector<ReplicaView> views;
    const bool scarce = isScarce(gateway, exchange.m_service);
    const std::vector<std::string> &ids = gateway.m_replicasByService[exchange.m_service];
    const size_t index = memberIndex(gateway);
    const bool learnsSpeed = learnsEngineSpeed(gateway, exchange);
    const std::optional<std::string> required = requiredVersion(gateway, exchange);
    for (const std::string &id : ids) {
        const Upstream &upstream = gateway.m_upstreams.at(id);
        if (required && upstream.m_record.m_softwareVersion != *required) {
            continue;
        }
        const bool hasIdle = hasReusable(gateway, upstream, connectionUse(exchange), scarce);
        const bool mayOpen = mayConnect(upstream.m_connects, now) && isWithinShare(gateway, upstream, now);
        if (now < pausedUntil(gateway.m_registry, id) || !(hasIdle || mayOpen)) {
            continue;
        }
        if (isWithheld(gateway, id, now)) {
            gateway.m_cold.m_withheld += 1;
            continue;
        }
        ReplicaView view;
        view.m_id = id;
        view.m_failureDomain = upstream.m_record.m_failureDomain;
        view.m_slots = upstream.m_record.m_slots;
        view.m_running = upstream.m_running;
        view.m_pendingTokens = upstream.m_pendingTokens;
        view.m_latency = upstream.m_latency;
        if (!exchange.m_route->m_usesEngine) {
            view.m_speedRatio = plainSpeedRatio(upstream, now);
        } else if (learnsSpeed) {
            view.m_speedRatio = estimateSpeed(upstream.m_speed, now).m_ratio;
        }
        view.m_suspected = now < upstream.m_suspectedUntil;
        view.m_tried = exchange.m_tried.contains(id);
        const bool preferred = isPreferred(upstream.m_ringPosition, ids.size(), index);
        view.m_connectionCost = scarce ? connectionCost(hasIdle, preferred, gateway.m_random) : 0;
        views.push_back(std::move(view));
    }
    return views;
}

/** When the first of the replicas that refused connections may be tried again; nothing when there is none. */
std::optional<TimePoint> firstConnectAt(Gateway &gateway, const Exchange &exchange, TimePoint now)
{
    std::optional<TimePoint> first;
    for (const std::string &id : gateway.m_replicasByService[exchange.m_service]) {
        const ConnectHistory &history = gateway.m_upstreams.at(id).m_connects;
        if (!mayConnect(history, now)) {
            first = std::min(first.value_or(history.m_nextAt), history.m_nextAt);
        }
    }
    return first;
}

/** Whether a replica of the service of @p exchange would get the request if this gateway had not used up its share of connections. */
bool isShareUsedUp(Gateway &gateway, const Exchange &exchange, TimePoint now)
{
    const std::vector<std::string> &ids = gateway.m_replicasByService[exchange.m_service];
    return std::any_of(ids.begin(), ids.end(), [&](const std::string &id) {
        const Upstream &upstream = gateway.m_upstreams.at(id);
        const bool isUsable = now >= pausedUntil(gateway.m_registry, id) && mayConnect(upstream.m_connects, now);
        return isUsable && !isWithinShare(gateway, upstream, now);
    });
}

void waitForShare(Gateway &gateway, Exchange &exchange)
{
    const TimePoint next = nextShareCheck(exchange.m_shareWaits, gateway.m_random, gatewayNow(gateway));
    exchange.m_shareWaits += 1;
    retryConnect(gateway, exchange, next, Reason::TooManyConnections);
}

/** Stages whose results have not been released; the replica of the attempt reads them. */
std::vector<size_t> unreleasedStages(const Exchange &exchange)
{
    std::vector<size_t> stages;
    for (size_t stage = 0; stage < exchange.m_plan.m_stages.size(); ++stage) {
        if (!exchange.m_plan.m_stages[stage].m_resultsReleased) {
            stages.push_back(stage);
        }
    }
    return stages;
}

struct ReplicaChoice {
    std::string m_id;
    std::optional<int64_t> m_uncachedTokens; ///< that the replica is expected to read, when the speed of engines is learned
};

std::optional<ReplicaChoice> chooseReplica(Gateway &gateway, const Exchange &exchange, TimePoint now)
{
    std::vector<ReplicaView> views = viewReplicas(gateway, exchange, now);
    PlacementRequest request;
    request.m_parts = exchange.m_parts;
    request.m_callerDomain = gateway.m_settings.m_failureDomain;
    const bool learnsSpeed = learnsEngineSpeed(gateway, exchange);
    request.m_spreadsTies = learnsSpeed;
    std::optional<size_t> index;
    if (exchange.m_route->m_usesEngine) {
        request.m_inputBytes = resultBytesByDomain(gateway, exchange, unreleasedStages(exchange));
        index = placeLongPrompt(gateway, exchange, views, request);
        index = index ? index : placePrompt(views, request);
    } else {
        index = placePlain(views, request, gateway.m_random);
    }
    if (!index) {
        return std::nullopt;
    }
    ReplicaChoice choice{views[*index].m_id, std::nullopt};
    if (learnsSpeed && !exchange.m_parts.empty()) {
        choice.m_uncachedTokens = expectedUncachedTokens(exchange.m_parts, homeReplica(views, exchange.m_parts) == index);
    }
    return choice;
}

bool isForwarded(const HttpHeader &header, const std::vector<std::string> &connectionNames)
{
    if (isHopByHop(header.m_name) || Platform::isReservedHeader(header.m_name)) {
        return false;
    }
    return std::none_of(
        connectionNames.begin(), connectionNames.end(), [&](const std::string &name) { return equalHeaderNames(name, header.m_name); });
}

std::string formatAttempt(Gateway &gateway, const Exchange &exchange, const std::string &replica)
{
    HttpHeaders headers;
    const std::vector<std::string> connectionNames = connectionTokens(exchange.m_request.m_headers);
    for (const HttpHeader &header : exchange.m_request.m_headers) {
        const bool replaced = exchange.m_hasLastEvent && equalHeaderNames(header.m_name, Platform::LastEventId);
        if (!replaced && isForwarded(header, connectionNames)) {
            headers.push_back(header);
        }
    }
    const int64_t left = (exchange.m_deadline - gatewayNow(gateway)).count() / 1000;
    headers.push_back({std::string(Platform::DeadlineMs), fmt::format("{}", std::max<int64_t>(1, left))});
    headers.push_back({std::string(Platform::ExpectedReplica), replica});
    if (exchange.m_organisation) {
        headers.push_back({std::string(Platform::Tenant), exchange.m_configuration->m_organisations[*exchange.m_organisation].m_name});
    }
    if (exchange.m_hasLastEvent) {
        headers.push_back({std::string(Platform::LastEventId), fmt::format("{}", exchange.m_lastEvent)});
    }
    const std::vector<std::string> inputs = finalInputs(*exchange.m_route, exchange.m_plan);
    if (!inputs.empty()) {
        headers.push_back({std::string(Platform::Inputs), Platform::formatInputs(inputs)});
    }
    return formatRequest(exchange.m_request.m_method, exchange.m_request.m_target, headers, exchange.m_request.m_body);
}

int64_t promptTokens(const Exchange &exchange)
{
    int64_t tokens = 0;
    for (const PromptPart &part : exchange.m_parts) {
        tokens += part.m_tokens;
    }
    return tokens;
}

void releaseTokens(Gateway &gateway, Exchange &exchange)
{
    const auto upstream = gateway.m_upstreams.find(exchange.m_attempt->m_replica);
    if (exchange.m_attempt->m_countsTokens && upstream != gateway.m_upstreams.end()) {
        upstream->second.m_pendingTokens -= promptTokens(exchange);
    }
    exchange.m_attempt->m_countsTokens = false;
    exchange.m_attempt->m_longUntil.reset();
}

/** Removes the attempt from the load of its replica and stops its timer. */
void releaseReplica(Gateway &gateway, Exchange &exchange)
{
    releaseTokens(gateway, exchange);
    const auto upstream = gateway.m_upstreams.find(exchange.m_attempt->m_replica);
    if (upstream != gateway.m_upstreams.end()) {
        upstream->second.m_running -= 1;
    }
    exchange.m_attempt->m_call = 0;
    exchange.m_attempt->m_timer.stop();
}

/** Whether the replica itself sent the answer: it has the seal header and no content encoding. */
bool hasReplicaSeal(const HttpReader &reader)
{
    return findHeader(reader.m_headers, Platform::ReplicaSeal).has_value() && !findHeader(reader.m_headers, "content-encoding");
}

HttpHeaders answerHeaders(const HttpReader &reader)
{
    HttpHeaders headers;
    const std::vector<std::string> connectionNames = connectionTokens(reader.m_headers);
    for (const HttpHeader &header : reader.m_headers) {
        const bool listed = std::any_of(
            connectionNames.begin(), connectionNames.end(), [&](const std::string &name) { return equalHeaderNames(name, header.m_name); });
        if (!listed && !isHopByHop(header.m_name)) {
            headers.push_back(header);
        }
    }
    return headers;
}

bool reportsNotRun(const HttpReader &reader)
{
    return reader.m_status == HTTP_STATUS_MISDIRECTED_REQUEST || findHeader(reader.m_headers, Platform::NotExecuted).has_value();
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

//-----------------------------------------------------------------------------
// Streams
//-----------------------------------------------------------------------------

/** Parses the number of an event's "id:" field. */
std::optional<int64_t> eventId(std::string_view event)
{
    size_t start = 0;
    while (start < event.size()) {
        const size_t end = std::min(event.find('\n', start), event.size());
        std::string_view line = event.substr(start, end - start);
        if (line.substr(0, 3) == "id:") {
            line.remove_prefix(3);
            while (!line.empty() && line.front() == ' ') {
                line.remove_prefix(1);
            }
            int64_t id = 0;
            const auto [rest, error] = std::from_chars(line.data(), line.data() + line.size(), id);
            return error == std::errc() ? std::optional(id) : std::nullopt;
        }
        start = end + 1;
    }
    return std::nullopt;
}

/** Removes the complete events from the partial-event buffer and returns those that the caller has not received yet. */
std::string takeEvents(Exchange &exchange)
{
    std::string &buffer = exchange.m_attempt->m_partialEvent;
    std::string events;
    size_t start = 0;
    size_t end = 0;
    while ((end = buffer.find("\n\n", start)) != std::string::npos) {
        const std::string_view event = std::string_view(buffer).substr(start, end + 2 - start);
        const std::optional<int64_t> id = eventId(event);
        const bool repeated = id && exchange.m_hasLastEvent && *id <= exchange.m_lastEvent;
        if (!repeated) {
            events += event;
        }
        if (id && !repeated) {
            exchange.m_lastEvent = *id;
            exchange.m_hasLastEvent = true;
        }
        start = end + 2;
    }
    buffer.erase(0, start);
    return events;
}

/** Sends the head of the answer with its first events. */
void beginAnswer(Gateway &gateway, Exchange &exchange, int status, const HttpHeaders &headers, const std::string &events)
{
    exchange.m_streaming = true;
    exchange.m_attempts.m_answerStarted = true;
    startDeadlineTimer(gateway, exchange, exchange.m_deadline);
    releaseTokens(gateway, exchange);
    releaseStages(gateway, exchange, true);
    const Duration latency = gatewayNow(gateway) - exchange.m_attempt->m_startedAt;
    recordAttempt(gateway, exchange.m_attempt->m_replica, false, false, latency);
    observeFirstEvent(gateway, exchange, latency);
    beginStream(gateway, *exchange.m_caller, status, headers, events);
    throttleUpstream(gateway, exchange);
}

/** Stops reading the answer of a replica, or goes on with it, while its first event is held. */
void pauseHeldCall(Gateway &gateway, const Exchange &exchange, bool isPaused)
{
    const auto call = gateway.m_calls.find(exchange.m_attempt->m_call);
    if (call == gateway.m_calls.end() || call->second->m_connection->m_net == nullptr) {
        return;
    }
    if (isPaused) {
        call->second->m_connection->m_net->pauseReading();
    } else {
        call->second->m_connection->m_net->resumeReading();
    }
}

/** Forwards complete events to the caller. */
void forwardEvents(Gateway &gateway, Exchange &exchange, HttpReader &reader)
{
    Attempt &attempt = *exchange.m_attempt;
    attempt.m_partialEvent += std::exchange(reader.m_body, std::string());
    if (attempt.m_held) {
        return;
    }
    const bool hasEvent = attempt.m_partialEvent.find("\n\n") != std::string::npos;
    if (!attempt.m_began && hasEvent) {
        attempt.m_began = true;
        clearSuspects(gateway, exchange);
    }
    if (hasEvent && !fixVersion(gateway, exchange)) {
        attempt.m_held = HeldAnswer{reader.m_status, answerHeaders(reader), std::nullopt};
        pauseHeldCall(gateway, exchange, true);
        return;
    }
    const std::string events = takeEvents(exchange);
    if (events.empty()) {
        return;
    }
    if (exchange.m_streaming) {
        sendEvents(gateway, *exchange.m_caller, events);
        throttleUpstream(gateway, exchange);
        return;
    }
    beginAnswer(gateway, exchange, reader.m_status, answerHeaders(reader), events);
}

bool isSuccessWithSeal(const HttpReader &reader)
{
    return isSuccess(reader.m_status) && hasReplicaSeal(reader);
}

void endStreamAttempt(Gateway &gateway, Exchange &exchange, CallEnd end)
{
    const bool whole = end == CallEnd::Done && exchange.m_attempt->m_partialEvent.empty();
    if (whole && exchange.m_streaming) {
        releaseReplica(gateway, exchange);
        finishStream(gateway, exchange);
        return;
    }
    handleAttemptEnd(gateway, exchange, exchange.m_streaming ? AttemptEnd::Broken : AttemptEnd::Lost, Reason::StreamTruncated);
}

void handleStreamEnd(Gateway &gateway, Exchange &exchange, HttpReader &reader, CallEnd end)
{
    forwardEvents(gateway, exchange, reader);
    if (exchange.m_attempt->m_held) {
        exchange.m_attempt->m_held->m_end = end;
        return;
    }
    endStreamAttempt(gateway, exchange, end);
}

//-----------------------------------------------------------------------------
// Attempt results
//-----------------------------------------------------------------------------

void relayAnswer(Gateway &gateway, Exchange &exchange, HttpReader &reader)
{
    const HttpHeaders headers = answerHeaders(reader);
    const int status = reader.m_status;
    std::string body = std::move(reader.m_body);
    finishExchange(gateway, exchange, status, headers, std::move(body));
}

/** Handles a complete error answer of a replica: retries a server error if allowed, otherwise forwards the answer. */
void handleReplicaFailure(Gateway &gateway, Exchange &exchange, HttpReader &reader)
{
    const Duration latency = gatewayNow(gateway) - exchange.m_attempt->m_startedAt;
    const bool isServerError = reader.m_status >= 500;
    recordAttempt(gateway, exchange.m_attempt->m_replica, isServerError, false, latency);
    exchange.m_attempts.m_ran += 1;
    releaseReplica(gateway, exchange);
    RetryBudget &budget = gateway.m_retryBudgets[exchange.m_service];
    const TimePoint now = gatewayNow(gateway);
    const auto budgetLeft = [&] { return takeRetry(budget, gateway.m_settings, memberCount(gateway.m_membership, now), now); };
    if (isServerError && decideNextStep(exchange.m_attempts, AttemptEnd::Failed, now, budgetLeft) == NextStep::Retry) {
        countReason(gateway.m_retries, Reason::UpstreamError);
        exchange.m_tried.insert(exchange.m_attempt->m_replica);
        startAttempt(gateway, exchange);
        return;
    }
    relayAnswer(gateway, exchange, reader);
}

void handleNotRun(Gateway &gateway, Exchange &exchange, HttpReader &reader)
{
    if (reader.m_status == HTTP_STATUS_CONFLICT) {
        releaseReplica(gateway, exchange);
        RetryBudget &budget = gateway.m_retryBudgets[exchange.m_service];
        const TimePoint now = gatewayNow(gateway);
        // The request has arrived at a replica, so the attempt after the stages is a retry.
        const bool budgetLeft = takeRetry(budget, gateway.m_settings, memberCount(gateway.m_membership, now), now);
        // NotFound stands for stage results that no longer exist. The answer does not state which of them.
        if (budgetLeft && retryStages(gateway, exchange, stagesWithPieces(exchange.m_plan))) {
            return;
        }
        if (exchange.m_attempts.m_ran == 0) {
            refuseExchange(gateway, exchange, Reason::NotFound);
        } else {
            failExchange(gateway, exchange, HTTP_STATUS_BAD_GATEWAY, Reason::NotFound);
        }
        return;
    }
    const bool leaving = reader.m_status == HTTP_STATUS_MISDIRECTED_REQUEST;
    handleAttemptEnd(gateway, exchange, AttemptEnd::Rejected, leaving ? Reason::UpstreamLeaving : Reason::UpstreamOverloaded);
}

void handleAnswer(Gateway &gateway, Exchange &exchange, HttpReader &reader)
{
    if (reportsNotRun(reader)) {
        handleNotRun(gateway, exchange, reader);
        return;
    }
    if (!hasReplicaSeal(reader)) {
        handleAttemptEnd(gateway, exchange, AttemptEnd::Lost, Reason::InvalidAnswer);
        return;
    }
    if (exchange.m_streaming) {
        // The caller has received the head of another answer, so this one can't be forwarded.
        handleAttemptEnd(gateway, exchange, AttemptEnd::Lost, Reason::UpstreamError);
        return;
    }
    if (!isSuccess(reader.m_status)) {
        handleReplicaFailure(gateway, exchange, reader);
        return;
    }
    exchange.m_attempt->m_began = true;
    clearSuspects(gateway, exchange);
    recordAttempt(gateway, exchange.m_attempt->m_replica, false, false, gatewayNow(gateway) - exchange.m_attempt->m_startedAt);
    releaseReplica(gateway, exchange);
    relayAnswer(gateway, exchange, reader);
}

AttemptEnd attemptEndOf(CallEnd end)
{
    return end == CallEnd::NotConnected ? AttemptEnd::NotSent : AttemptEnd::Lost;
}

/** Handles an attempt that ended without an answer to forward: retries it or ends the exchange. */
void handleAttemptEnd(Gateway &gateway, Exchange &exchange, AttemptEnd end, Reason reason)
{
    const bool leaving = reason == Reason::UpstreamLeaving;
    if (reason != Reason::UpstreamCold) { // the replica has not failed
        recordAttempt(gateway, exchange.m_attempt->m_replica, true, end != AttemptEnd::Rejected || leaving, Duration(0));
    }
    const bool mayHaveRun = end == AttemptEnd::Lost || end == AttemptEnd::Broken;
    exchange.m_attempts.m_ran += mayHaveRun ? 1 : 0;
    const bool arrived = exchange.m_attempts.m_sent > 0 && end != AttemptEnd::NotSent;
    releaseReplica(gateway, exchange);
    RetryBudget &budget = gateway.m_retryBudgets[exchange.m_service];
    const TimePoint now = gatewayNow(gateway);
    const auto budgetLeft = [&] { return !arrived || takeRetry(budget, gateway.m_settings, memberCount(gateway.m_membership, now), now); };
    const NextStep step = decideNextStep(exchange.m_attempts, end, now, budgetLeft);
    writeLog(LogLevel::Info,
             "attempt",
             "Attempt failed.",
             {{"id", exchange.m_attemptId},
              {"replica", exchange.m_attempt->m_replica},
              {"reason", std::string(toString(reason))},
              {"sent", fmt::format("{}", exchange.m_attempts.m_sent)},
              {"ran", fmt::format("{}", exchange.m_attempts.m_ran)},
              {"retry", step == NextStep::Retry ? "yes" : "no"}});
    switch (step) {
    case NextStep::Retry:
        countReason(gateway.m_retries, reason);
        exchange.m_tried.insert(exchange.m_attempt->m_replica);
        if (end == AttemptEnd::NotSent) {
            exchange.m_connectFailures += 1;
            retryConnect(gateway, exchange, std::nullopt);
        } else {
            startAttempt(gateway, exchange);
        }
        return;
    case NextStep::RefuseNotRun:
        refuseExchange(gateway, exchange, reason);
        return;
    case NextStep::AbortStream:
        abortExchange(gateway, exchange, reason);
        return;
    case NextStep::Relay:
    case NextStep::FailUnknown:
        failExchange(gateway, exchange, HTTP_STATUS_BAD_GATEWAY, reason);
        return;
    }
}

void handleProgress(Gateway &gateway, uint64_t number, UpstreamCall &call)
{
    Exchange *exchange = findExchange(gateway, number);
    if (exchange == nullptr || exchange->m_route->m_kind != RequestKind::Streaming) {
        return;
    }
    HttpReader &reader = answerReader(call);
    if (!isSuccessWithSeal(reader)) {
        return;
    }
    forwardEvents(gateway, *exchange, reader);
    if (!exchange->m_attempt->m_held && exchange->m_attempt->m_partialEvent.size() > MaxEventBytes) {
        exchange->m_attempts.m_sent += 1;
        cancelCall(gateway, call.m_number);
        handleAttemptEnd(gateway, *exchange, exchange->m_streaming ? AttemptEnd::Broken : AttemptEnd::Lost, Reason::InvalidAnswer);
    }
}

void handleCallEnd(Gateway &gateway, uint64_t number, UpstreamCall &call, CallEnd end)
{
    Exchange *exchange = findExchange(gateway, number);
    if (exchange == nullptr) {
        return;
    }
    HttpReader &reader = answerReader(call);
    const bool hasHead = reader.m_state == ParseState::Body || reader.m_state == ParseState::Done;
    exchange->m_attempts.m_sent += call.m_sent ? 1 : 0;
    if (end == CallEnd::Lost && !exchange->m_attempt->m_began) {
        suspectCrash(gateway, *exchange);
    }
    if (exchange->m_route->m_kind == RequestKind::Streaming && hasHead && isSuccessWithSeal(reader)) {
        handleStreamEnd(gateway, *exchange, reader, end);
        return;
    }
    if (end == CallEnd::Done) {
        handleAnswer(gateway, *exchange, reader);
        return;
    }
    const Reason reason = call.m_isWithheld ? Reason::UpstreamCold
        : end == CallEnd::NotConnected      ? Reason::ConnectFailed
        : end == CallEnd::Lost              ? Reason::ConnectionLost
                                            : Reason::InvalidAnswer;
    handleAttemptEnd(gateway, *exchange, attemptEndOf(end), reason);
}

/**
 * Marks the results of stages as evictable once the replica is expected to have fetched them, which it does before it
 * processes the prompt.
 */
void markEvictableAfterFetch(Gateway &gateway, Exchange &exchange)
{
    if (exchange.m_plan.m_stages.empty()) {
        return;
    }
    const uint64_t number = exchange.m_number;
    const uint64_t call = exchange.m_attempt->m_call;
    exchange.m_attempt->m_timer.start(gateway.m_loop, ExpectedFetchTime, [&gateway, number, call] {
        Exchange *open = findExchange(gateway, number);
        if (open != nullptr && open->m_attempt->m_call == call) {
            markResultsEvictable(gateway, *open);
        }
    });
}

/** Limits the time of an attempt of an idempotent request that may be retried at another replica. */
void startAttemptTimeout(Gateway &gateway, Exchange &exchange)
{
    const bool mayRetry =
        exchange.m_attempts.m_kind == RequestKind::Idempotent && exchange.m_attempts.m_ran + 1 < exchange.m_attempts.m_maxAttempts;
    if (!mayRetry) {
        return;
    }
    const Upstream &upstream = gateway.m_upstreams.at(exchange.m_attempt->m_replica);
    const Duration averageLatency(static_cast<int64_t>(upstream.m_latency * 1e6));
    const Duration half = (exchange.m_deadline - gatewayNow(gateway)) / 2;
    const Duration limit = std::min(half, std::max(MinAttemptTimeout, averageLatency * AttemptTimeoutFactor));
    const uint64_t number = exchange.m_number;
    exchange.m_attempt->m_timer.start(gateway.m_loop, limit, [&gateway, number] {
        Exchange *expired = findExchange(gateway, number);
        if (expired == nullptr || expired->m_attempt->m_call == 0) {
            return;
        }
        expired->m_attempts.m_sent += 1;
        cancelCall(gateway, expired->m_attempt->m_call);
        handleAttemptEnd(gateway, *expired, AttemptEnd::Lost, Reason::AttemptTimeout);
    });
}

} // namespace

void continueStream(Gateway &gateway, Exchange &exchange)
{
    if (!exchange.m_attempt->m_held) {
        return; // the attempt has ended meanwhile
    }
    const HeldAnswer held = std::move(*exchange.m_attempt->m_held);
    exchange.m_attempt->m_held.reset();
    if (!held.m_end) {
        pauseHeldCall(gateway, exchange, false);
    }
    if (const std::string events = takeEvents(exchange); !events.empty()) {
        beginAnswer(gateway, exchange, held.m_status, held.m_headers, events);
    }
    if (held.m_end) {
        endStreamAttempt(gateway, exchange, *held.m_end);
    }
}

bool refuseIfPaused(Gateway &gateway, Exchange &exchange, TimePoint limit, TimePoint now)
{
    const std::optional<TimePoint> resume = firstResume(gateway.m_registry, gateway.m_replicasByService[exchange.m_service], now);
    if (!resume || *resume < limit || exchange.m_attempts.m_ran > 0) {
        return false;
    }
    refuseExchange(gateway, exchange, Reason::UpstreamOverloaded, *resume - now);
    return true;
}

void startAttempt(Gateway &gateway, Exchange &exchange)
{
    if (!exchange.m_streaming && exchange.m_attempts.m_sent == 0 && isKeyWithdrawn(gateway, exchange)) {
        denyUnknown(gateway, exchange, HTTP_STATUS_UNAUTHORIZED, Reason::UnknownKey);
        return;
    }
    if (rejectRefused(gateway, exchange)) {
        return;
    }
    if (hasVersionLeft(gateway, exchange)) {
        if (exchange.m_attempts.m_ran == 0) {
            refuseExchange(gateway, exchange, Reason::StreamVersionLeft);
        } else {
            failExchange(gateway, exchange, HTTP_STATUS_BAD_GATEWAY, Reason::StreamVersionLeft);
        }
        return;
    }
    // One time for the whole decision: a pause that ended in the middle of it would look like a service without replicas.
    const TimePoint now = gatewayNow(gateway);
    const std::optional<ReplicaChoice> choice = chooseReplica(gateway, exchange, now);
    if (!choice) {
        if (refuseIfPaused(gateway, exchange, now, now)) {
            return;
        }
        if (isShareUsedUp(gateway, exchange, now)) {
            waitForShare(gateway, exchange);
            return;
        }
        if (const std::optional<TimePoint> earliest = firstConnectAt(gateway, exchange, now)) {
            retryConnect(gateway, exchange, earliest);
            return;
        }
        const Reason reason = isServiceEvacuated(gateway.m_registry, exchange.m_service) ? Reason::UpstreamEvacuated
            : isServiceWithheld(gateway, exchange.m_service, now)                        ? Reason::UpstreamCold
                                                                                         : Reason::NoUpstream;
        if (exchange.m_attempts.m_ran == 0) {
            refuseExchange(gateway, exchange, reason);
        } else {
            failExchange(gateway, exchange, HTTP_STATUS_BAD_GATEWAY, reason);
        }
        return;
    }
    exchange.m_attempt = std::make_unique<Attempt>();
    exchange.m_attempt->m_replica = choice->m_id;
    exchange.m_attempt->m_startedAt = now;
    exchange.m_attempt->m_uncachedTokens = choice->m_uncachedTokens;
    Upstream &upstream = gateway.m_upstreams.at(choice->m_id);
    exchange.m_attempt->m_runningBefore = upstream.m_running;
    upstream.m_running += 1;
    upstream.m_pendingTokens += promptTokens(exchange);
    exchange.m_attempt->m_countsTokens = true;
    noteLongPrompt(gateway, exchange);
    UpstreamCall call;
    call.m_text = formatAttempt(gateway, exchange, choice->m_id);
    call.m_attemptId = exchange.m_attemptId;
    call.m_ids = {hash64(exchange.m_attemptId)};
    if (isResumable(exchange)) {
        exchange.m_attempt->m_softwareVersion = upstream.m_record.m_softwareVersion;
        call.m_pin = StreamPin{upstream.m_record.m_softwareVersion, exchange.m_softwareVersion};
    }
    const uint64_t number = exchange.m_number;
    call.m_onProgress = [&gateway, number](UpstreamCall &progress) { handleProgress(gateway, number, progress); };
    call.m_onEnd = [&gateway, number](UpstreamCall &ended, CallEnd end) { handleCallEnd(gateway, number, ended, end); };
    const UpstreamCall *started = startCall(gateway, choice->m_id, std::move(call), connectionUse(exchange));
    if (started == nullptr) {
        releaseReplica(gateway, exchange);
        waitForShare(gateway, exchange);
        return;
    }
    exchange.m_attempt->m_call = started->m_number;
    startAttemptTimeout(gateway, exchange);
    markEvictableAfterFetch(gateway, exchange);
}

void retryConnect(Gateway &gateway, Exchange &exchange, std::optional<TimePoint> earliest, Reason reason)
{
    const TimePoint now = gatewayNow(gateway);
    const TimePoint deadline = exchange.m_streaming ? exchange.m_deadline : exchange.m_firstEventDeadline;
    const std::optional<TimePoint> next = nextConnectAt(exchange.m_connectFailures, earliest, deadline, gateway.m_random, now);
    gateway.m_connectionCounts.m_refusedByShare += !next && reason == Reason::TooManyConnections ? 1 : 0;
    if (!next && exchange.m_attempts.m_ran == 0) {
        refuseExchange(gateway, exchange, reason);
    } else if (!next) {
        failExchange(gateway, exchange, HTTP_STATUS_BAD_GATEWAY, reason);
    } else if (*next <= now) {
        startAttempt(gateway, exchange);
    } else {
        const uint64_t number = exchange.m_number;
        exchange.m_connectTimer.start(gateway.m_loop, *next - now, [&gateway, number] {
            if (Exchange *waiting = findExchange(gateway, number)) {
                startAttempt(gateway, *waiting);
            }
        });
    }
}

bool retryStages(Gateway &gateway, Exchange &exchange, const std::vector<size_t> &stages)
{
    if (stages.empty() || exchange.m_planRestarts >= MaxPlanRestarts) {
        return false;
    }
    exchange.m_planRestarts += 1;
    for (const size_t stage : stages) {
        resetStage(gateway, exchange, stage);
    }
    countReason(gateway.m_retries, Reason::NotFound);
    startStages(gateway, exchange);
    return true;
}

BytesByDomain resultBytesByDomain(Gateway &gateway, const Exchange &exchange, const std::vector<size_t> &stages)
{
    BytesByDomain bytes;
    for (const size_t stage : stages) {
        const ServingStage &definition = exchange.m_route->m_stages[stage];
        for (const std::string &handle : exchange.m_plan.m_stages[stage].m_handles) {
            const std::optional<SocketAddress> address = Platform::resultAddress(handle);
            for (const std::string &id : gateway.m_replicasByService[definition.m_service]) {
                const Upstream &upstream = gateway.m_upstreams.at(id);
                if (address && upstream.m_address == *address) {
                    bytes[upstream.m_record.m_failureDomain] += definition.m_resultBytes;
                }
            }
        }
    }
    return bytes;
}

std::string expectedDomain(Gateway &gateway, const Exchange &exchange)
{
    if (!exchange.m_route->m_usesEngine) {
        return {};
    }
    const std::vector<ReplicaView> views = viewReplicas(gateway, exchange, gatewayNow(gateway));
    PlacementRequest request;
    request.m_parts = exchange.m_parts;
    const std::optional<size_t> index = placePrompt(views, request);
    return index ? views[*index].m_failureDomain : std::string();
}

void stopAttempt(Gateway &gateway, Exchange &exchange)
{
    if (exchange.m_attempt->m_call != 0) {
        const uint64_t call = exchange.m_attempt->m_call;
        releaseReplica(gateway, exchange);
        cancelCall(gateway, call);
    }
}

} // namespace Medlarramp::Serving
