#include <algorithm>

#include <fmt/format.h>

#include "gateway_internal.h"

namespace Medlarramp::Serving {

namespace {

constexpr Duration ProbeTimeout = milliseconds(400); ///< a host that is up refuses a connection within a round trip
constexpr Duration RefusalGossipInterval = seconds(1);
constexpr size_t RefusalGossipFanout = 3; ///< members that are told what is refused in each interval
constexpr size_t CrashCollectors = 32; ///< members that are told of crashes; the others learn of a refusal by gossip
constexpr size_t MaxGossipedSuspects = 256; ///< of one kind
constexpr Duration CrashRetryAfter = seconds(60); ///< for callers of requests that would crash a replica
constexpr int MaxReportsPerSecond = 8; ///< many replicas that fail at once are no sign of a request that crashes them

std::string formatIds(const std::vector<uint64_t> &ids)
{
    std::string text;
    for (const uint64_t id : ids) {
        text += fmt::format("{}{:x}", text.empty() ? "" : ",", id);
    }
    return text;
}

std::vector<std::string> otherMembers(const Gateway &gateway)
{
    std::vector<std::string> nodes;
    for (const auto &[node, member] : gateway.m_membership.m_members) {
        if (node != gateway.m_settings.m_node) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

/** Tells up to @p count other members, at random when there are more. */
void tellSome(Gateway &gateway, const PeerMessage &message, size_t count)
{
    std::vector<std::string> nodes = otherMembers(gateway);
    for (size_t i = 0; i < std::min(count, nodes.size()); ++i) {
        std::swap(nodes[i], nodes[i + nextRandom(gateway.m_random) % (nodes.size() - i)]);
        sendToPeer(gateway, nodes[i], message);
    }
}

/** Tells the members that collect the evidence of crashes. All gateways tell the same ones, so that reports add up there. */
void tellCollectors(Gateway &gateway, const PeerMessage &message)
{
    std::vector<std::string> nodes = otherMembers(gateway);
    std::sort(nodes.begin(), nodes.end(), [](const std::string &left, const std::string &right) { return hash64(left) < hash64(right); });
    for (size_t i = 0; i < std::min(CrashCollectors, nodes.size()); ++i) {
        sendToPeer(gateway, nodes[i], message);
    }
}

CrashSuspects suspectsOf(Exchange &exchange)
{
    if (!exchange.m_digest) {
        const std::string caller =
            exchange.m_organisation ? exchange.m_configuration->m_organisations[*exchange.m_organisation].m_name : std::string();
        exchange.m_digest = requestDigest(exchange.m_request.m_target, caller, exchange.m_request.m_body, exchange.m_parts);
    }
    return {{*exchange.m_digest}, sharedPartIds(exchange.m_parts)};
}

/** Ends the open requests that are refused now and have not begun to be answered. */
void endRefusedRequests(Gateway &gateway)
{
    std::vector<uint64_t> open;
    for (const auto &[number, exchange] : gateway.m_exchanges) {
        if (!exchange->m_attempt->m_began && exchange->m_route != nullptr) {
            open.push_back(number);
        }
    }
    for (const uint64_t number : open) {
        if (Exchange *exchange = findExchange(gateway, number)) {
            rejectRefused(gateway, *exchange);
        }
    }
}

/** Logs and spreads new refusals. */
void announceRefusals(Gateway &gateway, const CrashSuspects &refused)
{
    if (refused == CrashSuspects()) {
        return;
    }
    writeLog(LogLevel::Warning,
             "crash",
             "Refusing what crashed replicas.",
             {{"requests", formatIds(refused.m_requests)}, {"parts", formatIds(refused.m_parts)}});
    gateway.m_nextRefusalGossip = TimePoint(); // the others learn of it with the next tick
    endRefusedRequests(gateway);
}

void recordCrash(Gateway &gateway, const std::string &incarnation, const CrashSuspects &lost)
{
    announceRefusals(gateway, observeCrash(gateway.m_crashEvidence, hash64(incarnation), lost, gatewayNow(gateway)));
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
    const CrashSuspects lost = std::move(entry->second);
    gateway.m_suspects.erase(entry);
    if (!mayReport(gateway)) {
        return;
    }
    writeLog(LogLevel::Info,
             "crash",
             "A replica crashed before requests on it had begun.",
             {{"replica", incarnation}, {"requests", formatIds(lost.m_requests)}, {"parts", formatIds(lost.m_parts)}});
    PeerMessage message;
    message.m_kind = PeerKind::Crash;
    message.m_key = incarnation;
    message.m_requests = lost.m_requests;
    message.m_parts = lost.m_parts;
    std::copy_if(lost.m_parts.begin(), lost.m_parts.end(), std::back_inserter(message.m_answeredParts), [&gateway](uint64_t part) {
        return gateway.m_crashEvidence.m_answeredParts.contains(part);
    });
    tellCollectors(gateway, message);
    recordCrash(gateway, incarnation, lost);
}

} // namespace

void suspectCrash(Gateway &gateway, Exchange &exchange)
{
    const std::string &replica = exchange.m_attempt->m_replica;
    const auto upstream = gateway.m_upstreams.find(replica);
    if (upstream == gateway.m_upstreams.end()) {
        return;
    }
    const std::string incarnation = fmt::format("{}@{}", replica, upstream->second.m_record.m_incarnationStart);
    const auto [entry, isFirst] = gateway.m_suspects.try_emplace(incarnation);
    const CrashSuspects lost = suspectsOf(exchange);
    entry->second.m_requests.insert(entry->second.m_requests.end(), lost.m_requests.begin(), lost.m_requests.end());
    entry->second.m_parts.insert(entry->second.m_parts.end(), lost.m_parts.begin(), lost.m_parts.end());
    if (!isFirst) {
        return; // the replica is probed already
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

void clearSuspects(Gateway &gateway, Exchange &exchange)
{
    CrashEvidence &evidence = gateway.m_crashEvidence;
    if (evidence.m_crashes.empty() && evidence.m_refusedRequests.empty() && evidence.m_refusedParts.empty()) {
        for (const uint64_t part : sharedPartIds(exchange.m_parts)) {
            noteAnsweredPart(evidence, part);
        }
        return;
    }
    const CrashSuspects cleared = observeAnswer(evidence, suspectsOf(exchange));
    if (cleared == CrashSuspects()) {
        return;
    }
    PeerMessage message;
    message.m_kind = PeerKind::Cleared;
    message.m_requests = cleared.m_requests;
    message.m_parts = cleared.m_parts;
    tellCollectors(gateway, message);
}

bool rejectRefused(Gateway &gateway, Exchange &exchange)
{
    CrashEvidence &evidence = gateway.m_crashEvidence;
    const TimePoint now = gatewayNow(gateway);
    if (evidence.m_refusedRequests.empty() && evidence.m_refusedParts.empty()) {
        return false;
    }
    const CrashSuspects suspects = suspectsOf(exchange);
    if (!hasRefused(evidence, suspects, now)) {
        return false;
    }
    if (isRequestRefused(evidence, *exchange.m_digest, now)) {
        prolongRefusal(evidence, *exchange.m_digest, now);
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
    CrashEvidence &evidence = gateway.m_crashEvidence;
    const CrashSuspects suspects{message.m_requests, message.m_parts};
    switch (message.m_kind) {
    case PeerKind::Crash:
        for (const uint64_t part : message.m_answeredParts) {
            noteAnsweredPart(evidence, part);
        }
        recordCrash(gateway, message.m_key, suspects);
        return;
    case PeerKind::Cleared:
        observeAnswer(evidence, suspects);
        return;
    case PeerKind::Refused:
        announceRefusals(gateway, applyRefusals(evidence, suspects, Duration(message.m_timeLeftUs), gatewayNow(gateway)));
        return;
    default:
        return;
    }
}

namespace {

/** Ids in @p refusals that are refused now. @p until is lowered to the earliest end. */
std::vector<uint64_t> activeRefusals(const std::unordered_map<uint64_t, TimePoint> &refusals, TimePoint now, TimePoint &until)
{
    std::vector<uint64_t> ids;
    for (const auto &[id, end] : refusals) {
        if (end > now && ids.size() < MaxGossipedSuspects) {
            ids.push_back(id);
            until = std::min(until, end);
        }
    }
    return ids;
}

} // namespace

void gossipRefusals(Gateway &gateway)
{
    const TimePoint now = gatewayNow(gateway);
    if (now < gateway.m_nextRefusalGossip) {
        return;
    }
    gateway.m_nextRefusalGossip = now + RefusalGossipInterval;
    PeerMessage message;
    message.m_kind = PeerKind::Refused;
    TimePoint until = TimePoint::max();
    message.m_requests = activeRefusals(gateway.m_crashEvidence.m_refusedRequests, now, until);
    message.m_parts = activeRefusals(gateway.m_crashEvidence.m_refusedParts, now, until);
    if (!message.m_requests.empty() || !message.m_parts.empty()) {
        message.m_timeLeftUs = (until - now).count();
        tellSome(gateway, message, RefusalGossipFanout);
    }
}

} // namespace Medlarramp::Serving
