#include <algorithm>
#include <cmath>

#include "serving.h"

namespace Medlarramp::Serving {

namespace {

constexpr double DefaultLatency = 0.05; ///< seconds; in place of an observation, about the work of an ordinary request
constexpr double CrossDomainCost = 0.01; ///< seconds of one round trip between failure domains
constexpr double SuspicionCost = 1000; ///< above any real cost: a suspected replica is the last choice
constexpr double TokenSeconds = 1.0 / 50'000; ///< time to read one prompt token
constexpr double RunningSeconds = 0.004; ///< delay that a running request adds to others
constexpr double InputSecondsPerByte = 1e-8; ///< price of a result from another failure domain against that of reading a prompt token again
constexpr double FullCost = 10; ///< seconds; a replica whose slots are taken lets requests wait for a whole run

double runningEstimate(const ReplicaView &replica)
{
    return static_cast<double>(replica.m_running);
}

double triedCost(const ReplicaView &replica)
{
    return (replica.m_suspected ? SuspicionCost : 0) + (replica.m_tried ? SuspicionCost / 2 : 0);
}

double plainCost(const ReplicaView &replica, const PlacementRequest &request)
{
    const double latency = replica.m_latency > 0 ? replica.m_latency : DefaultLatency;
    const double queued = runningEstimate(replica) / std::max(1, replica.m_slots);
    const double distance = replica.m_failureDomain == request.m_callerDomain ? 0 : CrossDomainCost;
    return latency * (1 + queued) + distance + triedCost(replica);
}

int64_t tokensOf(const std::vector<PromptPart> &parts)
{
    int64_t tokens = 0;
    for (const PromptPart &part : parts) {
        tokens += part.m_tokens;
    }
    return tokens;
}

/** Tokens of the parts that other requests share: all but the last. */
int64_t sharedTokens(const std::vector<PromptPart> &parts)
{
    return parts.empty() ? 0 : tokensOf(parts) - parts.back().m_tokens;
}

uint64_t sessionOf(const std::vector<PromptPart> &parts)
{
    return parts.size() >= 2 ? parts[parts.size() - 2].m_id : parts.empty() ? 0 : parts.front().m_id;
}

int64_t remoteBytes(const ReplicaView &replica, const PlacementRequest &request)
{
    int64_t bytes = 0;
    for (const auto &[domain, size] : request.m_inputBytes) {
        bytes += domain == replica.m_failureDomain ? 0 : size;
    }
    return bytes;
}

double promptCost(const ReplicaView &replica, const PlacementRequest &request, bool isHome)
{
    const int64_t unread = tokensOf(request.m_parts) - (isHome ? sharedTokens(request.m_parts) : 0);
    double cost = static_cast<double>(unread + replica.m_pendingTokens) * TokenSeconds;
    const double running = runningEstimate(replica);
    cost += running * RunningSeconds;
    cost += running >= replica.m_slots ? FullCost : 0;
    cost += static_cast<double>(remoteBytes(replica, request)) * InputSecondsPerByte;
    return cost + triedCost(replica);
}

} // namespace

std::optional<size_t> homeReplica(const std::vector<ReplicaView> &replicas, const std::vector<PromptPart> &parts)
{
    const uint64_t session = sessionOf(parts);
    std::optional<size_t> home;
    uint64_t best = 0;
    for (size_t i = 0; i < replicas.size(); ++i) {
        const uint64_t score = combineHash(hash64(replicas[i].m_id), session);
        if (!home || score > best) {
            home = i;
            best = score;
        }
    }
    return home;
}

std::optional<size_t> placePlain(const std::vector<ReplicaView> &replicas, const PlacementRequest &request, Random &random)
{
    std::optional<size_t> chosen;
    double best = 0;
    for (size_t i = 0; i < replicas.size(); ++i) {
        // A small random part spreads gateways that see the same replicas equally free.
        const double cost = plainCost(replicas[i], request) * (1 + 0.1 * uniformReal(random));
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
    std::optional<size_t> chosen;
    double best = 0;
    for (size_t i = 0; i < replicas.size(); ++i) {
        const double cost = promptCost(replicas[i], request, home == i);
        if (!chosen || cost < best) {
            chosen = i;
            best = cost;
        }
    }
    return chosen;
}

} // namespace Medlarramp::Serving
