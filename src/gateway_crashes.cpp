#include <algorithm>

#include <fmt/format.h>

#include "gateway_internal.h"

namespace Medlarramp::Serving {

namespace {

constexpr Duration ProbeTimeout = milliseconds(400); ///< a host that is up refuses a connection within a round trip
constexpr Duration RefusalGossipInterval = seconds(1);
constexpr size_t RefusalGossipFanout = 3; ///< members that are told of the refused parts in each interval
constexpr size_t MaxReportedMembers = 32; ///< members that are told of one crash; the others learn of a refusal by gossip
constexpr size_t MaxGossipedParts = 256;
constexpr Duration CrashRetryAfter = seconds(60); ///< for callers of requests that would crash a replica
constexpr int CrashesBeforeRefusal = 3; ///< separate crashes with a part before it is refused
constexpr Duration MinTimeBetweenCrashes = milliseconds(100); ///< replicas that crash closer together have one cause
constexpr int MaxReportsPerSecond = 8; ///< many replicas that fail at once are no sign of a part that crashes them

std::string formatParts(const std::vector<uint64_t> &parts)
{
    std::string text;
    for (const uint64_t part : parts) {
        text += fmt::format("{}{:x}", text.empty() ? "" : ",", part);
    }
    return text;
}

/** Names of up to @p count other members, at random when there are more. */
std::vector<std::string> pickMembers(Gateway &gateway, size_t count)
{
    std::vector<std::string> nodes;
    for (const auto &[node, member] : gateway.m_membership.m_members) {
        if (node != gateway.m_settings.m_node) {
            nodes.push_back(node);
        }
    }
    for (size_t i = 0; i < std::min(count, nodes.size()); ++i) {
        std::swap(nodes[i], nodes[i + nextRandom(gateway.m_random) % (nodes.size() - i)]);
    }
    nodes.resize(std::min(count, nodes.size()));
    return nodes;
}

void tellMembers(Gateway &gateway, const PeerMessage &message, size_t count)
{
    for (const std::string &node : pickMembers(gateway, count)) {
        sendToPeer(gateway, node, message);
    }
}

bool hasPart(const Exchange &exchange, uint64_t part)
{
    const std::vector<uint64_t> parts = sharedPartIds(exchange.m_parts);
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

/** Ends the open requests with a refused part that have not begun to be answered. */
void endRequestsWith(Gateway &gateway, uint64_t part)
{
    std::vector<uint64_t> affected;
    for (const auto &[number, exchange] : gateway.m_exchanges) {
        if (!exchange->m_attempt->m_began && hasPart(*exchange, part)) {
            affected.push_back(number);
        }
    }
    for (const uint64_t number : affected) {
        if (Exchange *exchange = findExchange(gateway, number)) {
            rejectRefusedParts(gateway, *exchange);
        }
    }
}

bool isRefused(const Gateway &gateway, uint64_t part)
{
    return isContentRefused(gateway.m_crashGuard, part, gatewayNow(gateway));
}

bool isSuspect(const CrashRecord &record, uint64_t part)
{
    return std::find(record.m_suspects.begin(), record.m_suspects.end(), part) != record.m_suspects.end();
}

void applyRefusal(Gateway &gateway, uint64_t part)
{
    writeLog(LogLevel::Warning, "crash", "Prompt part refused; requests with it crashed replicas.", {{"part", fmt::format("{:x}", part)}});
    // These crashes are explained, so they are no evidence against the other parts of the lost requests.
    std::erase_if(gateway.m_crashGuard.m_records, [part](const CrashRecord &record) { return isSuspect(record, part); });
    gateway.m_nextRefusalGossip = TimePoint(); // the others learn of it with the next tick
    endRequestsWith(gateway, part);
}

/** Number of crashes with @p part. Replicas that crash together, as in the loss of a failure domain, count once. */
int separateCrashes(const CrashGuard &guard, uint64_t part)
{
    int count = 0;
    TimePoint last;
    for (const CrashRecord &record : guard.m_records) {
        if (isSuspect(record, part) && (count == 0 || record.m_at - last >= MinTimeBetweenCrashes)) {
            count += 1;
            last = record.m_at;
        }
    }
    return count;
}

/**
 * The part that was suspected in the most crashes, at least CrashesBeforeRefusal of them. Among equals, one that was never answered,
 * then the last in @p parts: a later part of a prompt is shared by fewer requests, so that a wrong choice harms the fewest.
 * @param parts in the order of the prompt
 */
std::optional<uint64_t> mostSuspected(const CrashGuard &guard, const std::vector<uint64_t> &parts)
{
    std::optional<uint64_t> chosen;
    std::pair<int, bool> best(CrashesBeforeRefusal, false);
    for (const uint64_t part : parts) {
        const std::pair<int, bool> suspicion(separateCrashes(guard, part), !hasCompleted(guard, part));
        if (suspicion >= best) {
            chosen = part;
            best = suspicion;
        }
    }
    return chosen;
}

/** @param parts in the order of the prompt */
void recordCrash(Gateway &gateway, const std::string &incarnation, const std::vector<uint64_t> &parts)
{
    if (std::any_of(parts.begin(), parts.end(), [&gateway](uint64_t part) { return isRefused(gateway, part); })) {
        return; // explained by a part that is refused already
    }
    CrashGuard &guard = gateway.m_crashGuard;
    const TimePoint now = gatewayNow(gateway);
    observeLostRequests(guard, hash64(incarnation), parts, parts.size(), now);
    if (const std::optional<uint64_t> part = mostSuspected(guard, parts)) {
        applyContentRefusal(guard, {*part, now + guard.m_settings.m_refusal}, now);
        applyRefusal(gateway, *part);
    }
}

bool mayReport(Gateway &gateway)
{
    const TimePoint now = gatewayNow(gateway);
    if (now - gateway.m_crashReportsSince >= seconds(1)) {
        gateway.m_crashReportsSince = now;
        gateway.m_crashReports = 0;
    }
    return ++gateway.m_crashReports <= MaxReportsPerSecond;
}

void reportCrash(Gateway &gateway, const std::string &incarnation)
{
    const auto entry = gateway.m_suspects.find(incarnation);
    if (entry == gateway.m_suspects.end()) {
        return;
    }
    const std::vector<uint64_t> parts = std::move(entry->second);
    gateway.m_suspects.erase(entry);
    if (!mayReport(gateway)) {
        return;
    }
    writeLog(LogLevel::Info,
             "crash",
             "A replica crashed before requests on it had begun.",
             {{"replica", incarnation}, {"parts", formatParts(parts)}});
    PeerMessage message;
    message.m_kind = PeerKind::Crash;
    message.m_key = incarnation;
    message.m_parts = parts;
    std::copy_if(parts.begin(), parts.end(), std::back_inserter(message.m_completedParts), [&gateway](uint64_t part) {
        return hasCompleted(gateway.m_crashGuard, part);
    });
    tellMembers(gateway, message, MaxReportedMembers);
    recordCrash(gateway, incarnation, parts);
}

} // namespace

void suspectCrash(Gateway &gateway, const Exchange &exchange)
{
    const auto upstream = gateway.m_upstreams.find(exchange.m_attempt->m_replica);
    const std::vector<uint64_t> parts = sharedPartIds(exchange.m_parts);
    if (upstream == gateway.m_upstreams.end() || parts.empty()) {
        return;
    }
    const std::string incarnation = fmt::format("{}@{}", exchange.m_attempt->m_replica, upstream->second.m_record.m_incarnationStart);
    std::vector<uint64_t> &suspects = gateway.m_suspects[incarnation];
    const bool isProbed = !suspects.empty();
    suspects.insert(suspects.end(), parts.begin(), parts.end());
    if (isProbed) {
        return;
    }
    ConnectionOptions options;
    options.m_connectTimeout = ProbeTimeout;
    NetConnection *probe = NetConnection::connect(gateway.m_loop, upstream->second.m_address, options);
    probe->m_onConnect = [&gateway, probe, incarnation] {
        gateway.m_suspects.erase(incarnation); // only the connection was lost
        probe->close();
    };
    probe->m_onClose = [&gateway, incarnation](CloseCause, const absl::Status &status) {
        if (absl::IsUnavailable(status)) {
            reportCrash(gateway, incarnation);
        }
        gateway.m_suspects.erase(incarnation);
    };
}

void clearParts(Gateway &gateway, const std::vector<uint64_t> &parts)
{
    std::vector<uint64_t> cleared;
    for (const uint64_t part : parts) {
        if (observeCompletion(gateway.m_crashGuard, part)) {
            cleared.push_back(part);
        }
    }
    if (cleared.empty()) {
        return;
    }
    PeerMessage message;
    message.m_kind = PeerKind::Cleared;
    message.m_parts = cleared;
    tellMembers(gateway, message, MaxReportedMembers);
}

bool rejectRefusedParts(Gateway &gateway, Exchange &exchange)
{
    const std::vector<uint64_t> parts = sharedPartIds(exchange.m_parts);
    if (std::none_of(parts.begin(), parts.end(), [&gateway](uint64_t part) { return isRefused(gateway, part); })) {
        return false;
    }
    const bool mayHaveRun = exchange.m_attempts.m_ran > 0 || exchange.m_attempt->m_call != 0;
    if (mayHaveRun) {
        failExchange(gateway, exchange, HTTP_STATUS_BAD_GATEWAY, Reason::CrashGuard);
    } else {
        refuseExchange(gateway, exchange, Reason::CrashGuard, CrashRetryAfter);
    }
    return true;
}

void handleCrashMessage(Gateway &gateway, const PeerMessage &message)
{
    switch (message.m_kind) {
    case PeerKind::Crash:
        for (const uint64_t part : message.m_completedParts) {
            noteCompleted(gateway.m_crashGuard, part);
        }
        recordCrash(gateway, message.m_key, message.m_parts);
        return;
    case PeerKind::Cleared:
        for (const uint64_t part : message.m_parts) {
            observeCompletion(gateway.m_crashGuard, part);
        }
        return;
    case PeerKind::Refused:
        for (const uint64_t part : message.m_parts) {
            const TimePoint now = gatewayNow(gateway);
            if (!isRefused(gateway, part)) {
                applyContentRefusal(gateway.m_crashGuard, {part, now + Duration(message.m_timeLeftUs)}, now);
                applyRefusal(gateway, part);
            }
        }
        return;
    default:
        return;
    }
}

void gossipRefusals(Gateway &gateway)
{
    const TimePoint now = gatewayNow(gateway);
    if (gateway.m_crashGuard.m_refusedUntil.empty() || now < gateway.m_nextRefusalGossip) {
        return;
    }
    gateway.m_nextRefusalGossip = now + RefusalGossipInterval;
    PeerMessage message;
    message.m_kind = PeerKind::Refused;
    TimePoint until = TimePoint::max();
    for (const auto &[part, partUntil] : gateway.m_crashGuard.m_refusedUntil) {
        if (partUntil > now && message.m_parts.size() < MaxGossipedParts) {
            message.m_parts.push_back(part);
            until = std::min(until, partUntil);
        }
    }
    if (!message.m_parts.empty()) {
        message.m_timeLeftUs = (until - now).count();
        tellMembers(gateway, message, RefusalGossipFanout);
    }
}

} // namespace Medlarramp::Serving
