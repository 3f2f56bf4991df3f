#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

#include "serving.h"

namespace Medlarramp::Serving {

namespace {

constexpr double DefaultLatency = 0.05; ///< seconds, about the time of an ordinary request; used while no latency has been observed
constexpr double CrossDomainCost = 0.01; ///< seconds, one round trip between failure domains
constexpr double SuspicionPenalty = 1000; ///< seconds, above any real cost, so that a suspected replica is the last choice
constexpr double SecondsPerToken = 1.0 / 50'000; ///< processing time of one prompt token that is not cached
constexpr double SecondsPerRunningRequest = 0.004; ///< delay that each running request adds
/** Transfer time in seconds per byte of input from another failure domain; weighed against processing prompt tokens again. */
constexpr double InputSecondsPerByte = 1e-8;
/** Replicas up to this multiple of the lowest cost are near equals: reported speeds differ by that much within the age of a report. */
constexpr double NearEqualCost = 1.3;
constexpr double TieCost = 1e-6; ///< seconds; costs that differ by less are equal
constexpr double FullReplicaCost = 10; ///< seconds, expected wait for a slot when all are taken; about the time of a run

double runningRequests(const ReplicaView &replica)
{
    return static_cast<double>(replica.m_running);
}

double failurePenalty(const ReplicaView &replica)
{
    return (replica.m_suspected ? SuspicionPenalty : 0) + (replica.m_tried ? SuspicionPenalty / 2 : 0);
}

double expectedPlainCost(const ReplicaView &replica, const PlacementRequest &request)
{
    const double latency = replica.m_latency > 0 ? replica.m_latency : DefaultLatency;
    const double queued = runningRequests(replica) / std::max(1, replica.m_slots);
    const double transferCost = replica.m_failureDomain == request.m_callerDomain ? 0 : CrossDomainCost;
    return latency * replica.m_speedRatio * (1 + queued) + transferCost + replica.m_connectionCost + failurePenalty(replica);
}

int64_t tokenCount(const std::vector<PromptPart> &parts)
{
    int64_t tokens = 0;
    for (const PromptPart &part : parts) {
        tokens += part.m_tokens;
    }
    return tokens;
}

/** Tokens of the parts that other requests may share: all but the last. */
int64_t sharedTokens(const std::vector<PromptPart> &parts)
{
    return parts.empty() ? 0 : tokenCount(parts) - parts.back().m_tokens;
}

/** ID of the last part that other requests may share, or of the only part; 0 without parts. */
uint64_t lastSharedPart(const std::vector<PromptPart> &parts)
{
    return parts.size() >= 2 ? parts[parts.size() - 2].m_id : parts.empty() ? 0 : parts.front().m_id;
}

int64_t crossDomainBytes(const ReplicaView &replica, const PlacementRequest &request)
{
    int64_t bytes = 0;
    for (const auto &[domain, size] : request.m_inputBytes) {
        bytes += domain == replica.m_failureDomain ? 0 : size;
    }
    return bytes;
}

double expectedPromptCost(const ReplicaView &replica, const PlacementRequest &request, bool isHome)
{
    const int64_t uncachedTokens = expectedUncachedTokens(request.m_parts, isHome);
    double cost = static_cast<double>(uncachedTokens + replica.m_pendingTokens) * SecondsPerToken;
    const double running = runningRequests(replica);
    cost += running * SecondsPerRunningRequest;
    cost *= replica.m_speedRatio;
    cost += replica.m_longPromptSeconds;
    cost += running >= replica.m_slots ? FullReplicaCost : 0;
    cost += static_cast<double>(crossDomainBytes(replica, request)) * InputSecondsPerByte;
    // A cached prompt is not given up for a connection.
    const bool hasCached = isHome && sharedTokens(request.m_parts) > 0;
    cost += hasCached ? 0 : replica.m_connectionCost;
    return cost + failurePenalty(replica);
}

uint64_t rendezvousScore(const ReplicaView &replica, uint64_t sharedPart)
{
    return combineHash(hash64(replica.m_id), sharedPart);
}

} // namespace

int64_t expectedUncachedTokens(const std::vector<PromptPart> &parts, bool isHome)
{
    return tokenCount(parts) - (isHome ? sharedTokens(parts) : 0);
}

Duration priorReadTime(int64_t tokens)
{
    return Duration(static_cast<int64_t>(static_cast<double>(tokens) * SecondsPerToken * 1e6));
}

std::vector<uint64_t> sharedPartIds(const std::vector<PromptPart> &parts)
{
    std::vector<uint64_t> ids;
    for (size_t i = 0; i + 1 < parts.size(); ++i) {
        ids.push_back(parts[i].m_id);
    }
    return ids;
}

std::optional<size_t> homeReplica(const std::vector<ReplicaView> &replicas, const std::vector<PromptPart> &parts)
{
    const uint64_t sharedPart = lastSharedPart(parts);
    std::optional<size_t> home;
    uint64_t best = 0;
    for (size_t i = 0; i < replicas.size(); ++i) {
        const uint64_t score = rendezvousScore(replicas[i], sharedPart);
        if (!home || score > best) {
            home = i;
            best = score;
        }
    }
    return home;
}

namespace {

/** The cheaper of two random replicas among those whose cost is near the lowest one. */
std::optional<size_t> placeAmongNearEquals(const std::vector<ReplicaView> &replicas, const PlacementRequest &request, Random &random)
{
    double lowest = std::numeric_limits<double>::max();
    for (const ReplicaView &replica : replicas) {
        lowest = std::min(lowest, expectedPlainCost(replica, request));
    }
    // Two uniform draws with replacement, without storing the candidates.
    std::array<std::pair<double, size_t>, 2> drawn;
    uint64_t candidates = 0;
    for (size_t i = 0; i < replicas.size(); ++i) {
        const double cost = expectedPlainCost(replicas[i], request);
        if (cost > lowest * NearEqualCost) {
            continue;
        }
        candidates += 1;
        for (auto &draw : drawn) {
            draw = uniformBelow(random, candidates) == 0 ? std::pair(cost, i) : draw;
        }
    }
    if (candidates == 0) {
        return std::nullopt;
    }
    return drawn[1].first < drawn[0].first ? drawn[1].second : drawn[0].second;
}

} // namespace

std::optional<size_t> placePlain(const std::vector<ReplicaView> &replicas, const PlacementRequest &request, Random &random)
{
    if (std::any_of(replicas.begin(), replicas.end(), [](const ReplicaView &view) { return view.m_speedRatio != 1; })) {
        return placeAmongNearEquals(replicas, request, random);
    }
    std::optional<size_t> chosen;
    double best = 0;
    for (size_t i = 0; i < replicas.size(); ++i) {
        // Up to 10 % of random cost keeps gateways with equal views from choosing the same replica.
        const double cost = expectedPlainCost(replicas[i], request) * (1 + 0.1 * uniformReal(random));
        if (!chosen || cost < best) {
            chosen = i;
            best = cost;
        }
    }
    return chosen;
}

std::optional<size_t> placePrompt(const std::vector<ReplicaView> &replicas, const PlacementRequest &request)
{
    const std::optional<size_t> home = homeReplica(replicas, request.m_parts);
    const uint64_t sharedPart = lastSharedPart(request.m_parts);
    std::optional<size_t> chosen;
    double best = 0;
    for (size_t i = 0; i < replicas.size(); ++i) {
        const double cost = expectedPromptCost(replicas[i], request, home == i);
        const bool winsTie = request.m_spreadsTies && chosen && std::abs(cost - best) < TieCost
            && rendezvousScore(replicas[i], sharedPart) > rendezvousScore(replicas[*chosen], sharedPart);
        const bool isCheaper = !chosen || (request.m_spreadsTies ? cost < best - TieCost : cost < best);
        if (isCheaper || winsTie) {
            chosen = i;
            best = cost;
        }
    }
    return chosen;
}

} // namespace Medlarramp::Serving
