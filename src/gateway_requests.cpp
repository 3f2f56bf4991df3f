#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "gateway_internal.h"

namespace Medlarramp::Serving {

namespace {

constexpr Duration CallerTransit = milliseconds(5); ///< time that a request and its answer are on the way
constexpr Duration DefaultRetryAfter = milliseconds(500);
constexpr int64_t MaxDeadlineMs = 3'600'000;
/** Later requests could be cut off by the end of the process; by then no new connection comes from the balancer. */
constexpr Duration AdmitAfterTerm = milliseconds(3000);

std::optional<int64_t> parseInteger(std::string_view text)
{
    int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

std::string_view hostOf(const HttpRequest &request)
{
    const std::string_view host = findHeader(request.m_headers, "host").value_or("");
    return host.substr(0, host.find(':'));
}

HttpHeaders ownHeaders(const Exchange &exchange)
{
    HttpHeaders headers;
    if (!exchange.m_attemptId.empty()) {
        headers.push_back({std::string(Platform::AttemptId), exchange.m_attemptId});
    }
    return headers;
}

/** One letter for each stage: waiting, submitted, done or omitted. */
std::string describePlan(const Exchange &exchange)
{
    std::string text;
    for (const PlannedStage &stage : exchange.m_plan.m_stages) {
        const char state = stage.m_state == StageState::Waiting ? 'w' : stage.m_state == StageState::Submitted ? 's' : 'd';
        text += stage.m_pieces == 0 ? 'o' : state;
    }
    return text;
}

void logEnd(Gateway &gateway, const Exchange &exchange, int status, Reason reason)
{
    const Duration age = gatewayNow(gateway) - exchange.m_receivedAt;
    writeLog(LogLevel::Info,
             "request",
             "Request ended without an answer of a replica.",
             {{"id", exchange.m_attemptId},
              {"route", exchange.m_route == nullptr ? "" : exchange.m_route->m_name},
              {"status", fmt::format("{}", status)},
              {"reason", std::string(toString(reason))},
              {"age_ms", fmt::format("{}", age.count() / 1000)},
              {"sent", fmt::format("{}", exchange.m_attempts.m_sent)},
              {"replica", exchange.m_replica},
              {"stages", describePlan(exchange)},
              {"restarts", fmt::format("{}", exchange.m_planRestarts)}});
}

void removeExchange(Gateway &gateway, Exchange &exchange)
{
    stopAttempt(gateway, exchange);
    cancelStages(gateway, exchange);
    gateway.m_exchanges.erase(exchange.m_number);
}

/** Ends with an answer of the gateway's own. */
void answerOwn(Gateway &gateway, Exchange &exchange, int status, const HttpHeaders &headers, Reason reason)
{
    if (exchange.m_streaming) {
        // A head and events are with the caller: another answer in their place would end the stream as if complete.
        breakExchange(gateway, exchange, reason);
        return;
    }
    countReason(gateway.m_refusals, reason);
    logEnd(gateway, exchange, status, reason);
    CallerConnection &caller = *exchange.m_caller;
    removeExchange(gateway, exchange);
    sendAnswer(gateway, caller, status, headers, "");
}

/** Finds the organisation of the request's key. @return false when the key is unknown. */
bool findOrganisation(Exchange &exchange)
{
    const ServingConfiguration &configuration = *exchange.m_configuration;
    if (!configuration.m_needsKeys || exchange.m_route->m_anonymous) {
        return true;
    }
    const std::optional<std::string_view> key = findHeader(exchange.m_request.m_headers, Platform::ApiKey);
    const auto organisation = key ? configuration.m_keys.find(std::string(*key)) : configuration.m_keys.end();
    if (organisation == configuration.m_keys.end()) {
        return false;
    }
    exchange.m_organisation = organisation->second;
    return true;
}

void setTimes(Gateway &gateway, Exchange &exchange)
{
    const ServingRoute &route = *exchange.m_route;
    const TimePoint now = gatewayNow(gateway);
    exchange.m_receivedAt = now;
    exchange.m_deadline = now + route.m_timeout;
    const std::optional<std::string_view> header = findHeader(exchange.m_request.m_headers, Platform::DeadlineMs);
    const std::optional<int64_t> left = header ? parseInteger(*header) : std::nullopt;
    if (left && *left >= 0 && *left < MaxDeadlineMs) {
        exchange.m_deadline = std::min(exchange.m_deadline, now + milliseconds(*left) - CallerTransit);
    }
    exchange.m_objectiveAt = now + route.m_objective - CallerTransit;
    exchange.m_firstEventBy = std::min(exchange.m_deadline, now + callerPatience(route) - CallerTransit);
    exchange.m_attempts.m_deadline = exchange.m_deadline;
}

void handleDeadline(Gateway &gateway, Exchange &exchange)
{
    if (exchange.m_streaming) {
        breakExchange(gateway, exchange, Reason::DeadlineExceeded);
    } else if (exchange.m_attempts.m_ran == 0 && exchange.m_call == 0) {
        refuseExchange(gateway, exchange, Reason::DeadlineExceeded);
    } else {
        failExchange(gateway, exchange, HTTP_STATUS_GATEWAY_TIMEOUT, Reason::DeadlineExceeded);
    }
}

void prepareWork(Gateway &gateway, Exchange &exchange)
{
    const ServingRoute &route = *exchange.m_route;
    exchange.m_attempts.m_kind = route.m_kind;
    exchange.m_attempts.m_resumable = route.m_resumable;
    exchange.m_attempts.m_maxAttempts = route.m_maxAttempts;
    exchange.m_service = chooseService(route, hash64(exchange.m_attemptId));
    exchange.m_rank = rankOf(*exchange.m_configuration, route, exchange.m_organisation);
    const HttpHeaders &headers = exchange.m_request.m_headers;
    const double size = Platform::parseRequestSize(findHeader(headers, Platform::TokenCount).value_or(""));
    exchange.m_value = requestValue(gateway.m_sizes[route.m_name], exchange.m_rank, size);
    exchange.m_parts = Platform::parsePromptParts(findHeader(headers, Platform::PromptParts).value_or(""));
    exchange.m_plan = makePlan(route, Platform::parseCounts(findHeader(headers, Platform::Pieces).value_or("")));
    if (const std::optional<int64_t> last = parseInteger(findHeader(headers, Platform::LastEventId).value_or("-"))) {
        exchange.m_lastEvent = *last;
        exchange.m_hasLastEvent = true;
    }
}

/** Answers requests that can't go on to a replica. @return false when it has answered. */
bool admit(Gateway &gateway, Exchange &exchange)
{
    if (!gateway.m_configuration) {
        refuseExchange(gateway, exchange, Reason::ConfigurationMissing);
        return false;
    }
    exchange.m_configuration = gateway.m_configuration;
    exchange.m_route = findRoute(*exchange.m_configuration, hostOf(exchange.m_request), exchange.m_request.m_target);
    if (exchange.m_route == nullptr) {
        failExchange(gateway, exchange, HTTP_STATUS_NOT_FOUND, Reason::UnknownPipeline);
        return false;
    }
    if (!findOrganisation(exchange)) {
        failExchange(gateway, exchange, HTTP_STATUS_UNAUTHORIZED, Reason::UnknownKey);
        return false;
    }
    if (exchange.m_attemptId.empty()) {
        failExchange(gateway, exchange, HTTP_STATUS_BAD_REQUEST, Reason::MalformedRequest);
        return false;
    }
    if (gateway.m_draining && gatewayNow(gateway) - gateway.m_drainBegan > AdmitAfterTerm) {
        refuseExchange(gateway, exchange, Reason::Draining);
        return false;
    }
    return true;
}

} // namespace

void countReason(std::array<uint64_t, static_cast<size_t>(Reason::Count)> &counts, Reason reason)
{
    counts[static_cast<size_t>(reason)] += 1;
}

void handleRequest(Gateway &gateway, CallerConnection &caller)
{
    auto owned = std::make_unique<Exchange>();
    Exchange &exchange = *owned;
    exchange.m_number = gateway.m_nextNumber++;
    exchange.m_caller = &caller;
    HttpReader &reader = caller.m_reader;
    exchange.m_request = {
        std::move(reader.m_method), std::move(reader.m_target), std::move(reader.m_headers), std::move(reader.m_body), reader.m_keepAlive};
    exchange.m_attemptId = std::string(findHeader(exchange.m_request.m_headers, Platform::AttemptId).value_or(""));
    exchange.m_receivedAt = gatewayNow(gateway);
    caller.m_keepAlive = exchange.m_request.m_keepAlive;
    caller.m_exchange = exchange.m_number;
    gateway.m_exchanges.emplace(exchange.m_number, std::move(owned));
    if (!admit(gateway, exchange)) {
        return;
    }
    setTimes(gateway, exchange);
    prepareWork(gateway, exchange);
    countRequest(gateway.m_repeats[exchange.m_service], gateway.m_settings, exchange.m_receivedAt);
    watchDeadline(gateway, exchange, exchange.m_firstEventBy);
    beginStages(gateway, exchange);
}

void watchDeadline(Gateway &gateway, Exchange &exchange, TimePoint deadline)
{
    const uint64_t number = exchange.m_number;
    exchange.m_deadlineTimer.start(gateway.m_loop, deadline - gatewayNow(gateway), [&gateway, number] {
        if (Exchange *late = findExchange(gateway, number)) {
            handleDeadline(gateway, *late);
        }
    });
}

Exchange *findExchange(Gateway &gateway, uint64_t number)
{
    const auto exchange = gateway.m_exchanges.find(number);
    return exchange == gateway.m_exchanges.end() ? nullptr : exchange->second.get();
}

void abandonExchange(Gateway &gateway, uint64_t number)
{
    if (Exchange *exchange = findExchange(gateway, number)) {
        countReason(gateway.m_refusals, Reason::CallerGone);
        removeExchange(gateway, *exchange);
    }
}

void refuseExchange(Gateway &gateway, Exchange &exchange, Reason reason)
{
    HttpHeaders headers = ownHeaders(exchange);
    const double spread = 1 + uniformReal(gateway.m_random);
    const double retryAfter = spread * static_cast<double>(DefaultRetryAfter.count()) / 1e6;
    headers.push_back({std::string(Platform::RetryAfter), fmt::format("{:.2f}", retryAfter)});
    answerOwn(gateway, exchange, HTTP_STATUS_SERVICE_UNAVAILABLE, headers, reason);
}

void failExchange(Gateway &gateway, Exchange &exchange, int status, Reason reason)
{
    answerOwn(gateway, exchange, status, ownHeaders(exchange), reason);
}

void finishExchange(Gateway &gateway, Exchange &exchange, int status, const HttpHeaders &headers, std::string_view body)
{
    gateway.m_answered += 1;
    CallerConnection &caller = *exchange.m_caller;
    removeExchange(gateway, exchange);
    sendAnswer(gateway, caller, status, headers, body);
}

void finishStream(Gateway &gateway, Exchange &exchange)
{
    gateway.m_answered += 1;
    CallerConnection &caller = *exchange.m_caller;
    removeExchange(gateway, exchange);
    endStream(gateway, caller);
}

void breakExchange(Gateway &gateway, Exchange &exchange, Reason reason)
{
    countReason(gateway.m_refusals, reason);
    logEnd(gateway, exchange, 0, reason);
    CallerConnection &caller = *exchange.m_caller;
    removeExchange(gateway, exchange);
    breakOff(gateway, caller);
}

} // namespace Medlarramp::Serving
