#include <algorithm>

#include <fmt/format.h>

#include "gateway_internal.h"

namespace Medlarramp::Serving {

namespace {

constexpr uint64_t MaxTimeLeftUs = 60'000'000; ///< of a reported prompt; a longer time is cut to this

uint64_t incarnationHash(const ReplicaRecord &record)
{
    return combineHash(hash64(record.m_id), static_cast<uint64_t>(record.m_incarnationStart));
}

std::vector<LongPrompt> ownLongPrompts(const Gateway &gateway)
{
    std::vector<LongPrompt> prompts;
    for (const auto &[number, exchange] : gateway.m_exchanges) {
        const auto upstream = gateway.m_upstreams.find(exchange->m_attempt->m_replica);
        if (exchange->m_attempt->m_longUntil && upstream != gateway.m_upstreams.end()) {
            prompts.push_back({incarnationHash(upstream->second.m_record), *exchange->m_attempt->m_longUntil});
        }
    }
    return prompts;
}

void sendReport(Gateway &gateway)
{
    const TimePoint now = gatewayNow(gateway);
    const std::vector<LongPrompt> prompts = selectLongPrompts(ownLongPrompts(gateway), now);
    if (prompts.empty()) {
        return; // earlier reports end by themselves
    }
    PeerMessage message;
    message.m_kind = PeerKind::LongPrompts;
    for (const LongPrompt &prompt : prompts) {
        message.m_parts.push_back(prompt.m_replica);
        message.m_requests.push_back(static_cast<uint64_t>((prompt.m_endsAt - now).count()));
    }
    gateway.m_longPrompts.m_reportedAt = now;
    gateway.m_longPrompts.m_sent += 1;
    for (const auto &[node, member] : gateway.m_membership.m_members) {
        const auto suspected = gateway.m_membership.m_suspectedUntil.find(node);
        const bool isSuspected = suspected != gateway.m_membership.m_suspectedUntil.end() && now < suspected->second;
        if (node != gateway.m_settings.m_node && !isSuspected) {
            sendToPeer(gateway, node, message);
        }
    }
}

/** Sends a report soon: not from within the code that starts an attempt, and not before the interval since the last one has passed. */
void scheduleReport(Gateway &gateway)
{
    if (gateway.m_longPrompts.m_timer.isActive()) {
        return;
    }
    const Duration wait = gateway.m_longPrompts.m_reportedAt + MinLongPromptReportInterval - gatewayNow(gateway);
    gateway.m_longPrompts.m_timer.start(gateway.m_loop, std::max<Duration>(wait, milliseconds(1)), [&gateway] { sendReport(gateway); });
}

bool isSeparated(const Gateway &gateway, const Exchange &exchange)
{
    return separatesLongPrompts(*exchange.m_configuration, exchange.m_service, gateway.m_settings.m_longPrompts);
}

} // namespace

std::optional<size_t>
placeLongPrompt(Gateway &gateway, const Exchange &exchange, std::vector<ReplicaView> &views, const PlacementRequest &request)
{
    if (!isLongPrompt(exchange.m_parts) || !isSeparated(gateway, exchange)) {
        return std::nullopt;
    }
    const std::optional<size_t> unreported = placePrompt(views, request);
    const std::unordered_map<uint64_t, double> left = longPromptSeconds(gateway.m_longPrompts.m_reports, gatewayNow(gateway));
    for (ReplicaView &view : views) {
        const auto seconds = left.find(incarnationHash(gateway.m_upstreams.at(view.m_id).m_record));
        view.m_longPromptSeconds = seconds == left.end() ? 0 : seconds->second;
    }
    const std::optional<size_t> index = placePrompt(views, request);
    gateway.m_longPrompts.m_placed += 1;
    if (index != unreported) {
        gateway.m_longPrompts.m_moved += 1;
        writeLog(LogLevel::Debug,
                 "prompts",
                 "Long prompt moved.",
                 {{"id", exchange.m_attemptId}, {"from", views[*unreported].m_id}, {"to", views[*index].m_id}});
    }
    return index;
}

void noteLongPrompt(Gateway &gateway, Exchange &exchange)
{
    if (!exchange.m_route->m_usesEngine || !isLongPrompt(exchange.m_parts) || !isSeparated(gateway, exchange)) {
        return;
    }
    exchange.m_attempt->m_longUntil = gatewayNow(gateway) + priorReadTime(expectedUncachedTokens(exchange.m_parts, true));
    scheduleReport(gateway);
}

void handleLongPrompts(Gateway &gateway, const std::string &node, const PeerMessage &message)
{
    const TimePoint now = gatewayNow(gateway);
    LongPromptState &state = gateway.m_longPrompts;
    state.m_received += 1;
    expireLongPromptReports(state.m_reports, now);
    std::vector<LongPrompt> prompts;
    for (size_t i = 0; i < std::min(message.m_parts.size(), message.m_requests.size()); ++i) {
        prompts.push_back({message.m_parts[i], now + Duration(static_cast<int64_t>(std::min(message.m_requests[i], MaxTimeLeftUs)))});
    }
    const bool isComplete = !node.empty() && message.m_parts.size() == message.m_requests.size();
    if (!isComplete || !applyLongPromptReport(state.m_reports, node, std::move(prompts), now)) {
        state.m_dropped += 1;
        writeLog(LogLevel::Warning,
                 "prompts",
                 "Report of long prompts ignored.",
                 {{"node", node},
                  {"replicas", fmt::format("{}", message.m_parts.size())},
                  {"times", fmt::format("{}", message.m_requests.size())}});
    }
}

} // namespace Medlarramp::Serving
