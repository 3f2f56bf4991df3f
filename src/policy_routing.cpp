#include <algorithm>
#include <cmath>

#include "policy.h"

namespace Medlarramp {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;

double toSeconds(Duration duration)
{
    return static_cast<double>(duration.count()) / MicrosecondsPerSecond;
}

/** Load caused by other entries: the last report without this entry's own requests, weighted by its age. */
double externalLoad(const Candidate &candidate, const RoutingSettings &settings, TimePoint now)
{
    if (candidate.m_reportedAt == TimePoint{}) {
        return 0;
    }
    const double external = std::max(0.0, candidate.m_reported - candidate.m_openAtReport);
    const double age = toSeconds(now - candidate.m_reportedAt) / std::max(1e-3, toSeconds(settings.m_reportHalfLife));
    return external * std::exp2(-std::max(0.0, age));
}

/** Falls linearly from m_slowStartPenalty to 0 during slow start. */
double slowStartPenalty(const Candidate &candidate, const RoutingSettings &settings, TimePoint now)
{
    if (candidate.m_usableSince == TimePoint{}) {
        return 0;
    }
    const double age = toSeconds(now - candidate.m_usableSince) / std::max(1e-3, toSeconds(settings.m_slowStart));
    return settings.m_slowStartPenalty * std::clamp(1 - age, 0.0, 1.0);
}

/** Rendezvous score of a replica for a prefix: higher is better. Mixed inline, because it is computed for each candidate. */
uint64_t rendezvousScore(uint64_t hash, uint64_t key)
{
    uint64_t mixed = hash ^ (key * 0x9e3779b97f4a7c15ULL);
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

struct LoadSummary {
    size_t m_usable = 0;
    double m_total = 0; ///< sum of the scores
};

LoadSummary summarise(std::span<const Candidate> candidates, const RoutingSettings &settings, TimePoint now)
{
    LoadSummary summary;
    for (const Candidate &candidate : candidates) {
        if (candidate.m_usable) {
            summary.m_usable += 1;
            summary.m_total += routeScore(candidate, settings, now);
        }
    }
    return summary;
}

/** Highest score that placement accepts: m_loadBound times the mean, but at least one request above the mean. */
double scoreBound(const LoadSummary &summary, const RoutingSettings &settings, const Candidate &candidate)
{
    const double mean = summary.m_total / static_cast<double>(summary.m_usable);
    return std::max(settings.m_loadBound * mean, mean + 1 / std::max(1.0, candidate.m_limit));
}

bool isWithinBound(const Candidate &candidate, const LoadSummary &summary, const RoutingSettings &settings, TimePoint now)
{
    return candidate.m_usable && routeScore(candidate, settings, now) <= scoreBound(summary, settings, candidate);
}

/** The least loaded holder, within the load bound, of the longest prefix that has such a holder. */
std::optional<size_t> chooseHolder(std::span<const Candidate> candidates,
                                   const PrefixChain &chain,
                                   const PrefixIndex &index,
                                   const LoadSummary &summary,
                                   const RoutingSettings &settings,
                                   TimePoint now)
{
    for (size_t block = chain.m_count; block > 0; --block) {
        const PrefixSlot *slot = findPrefix(index, chain.m_hashes[block - 1]);
        if (!slot) {
            continue;
        }
        std::optional<size_t> best;
        double bestScore = 0;
        for (size_t i = 0; i < candidates.size(); ++i) {
            const bool holds = std::any_of(slot->m_holders.begin(), slot->m_holders.end(), [&](const PrefixHolder &holder) {
                return holder.m_replica == candidates[i].m_key && now - holder.m_lastUsed <= index.m_lifetime;
            });
            if (!holds || !isWithinBound(candidates[i], summary, settings, now)) {
                continue;
            }
            const double score = routeScore(candidates[i], settings, now);
            if (!best || score < bestScore) {
                best = i;
                bestScore = score;
            }
        }
        if (best) {
            return best;
        }
    }
    return std::nullopt;
}

/** The first replica in rendezvous order whose load is within the load bound. */
std::optional<size_t> choosePlacement(std::span<const Candidate> candidates,
                                      uint64_t hash,
                                      const LoadSummary &summary,
                                      const RoutingSettings &settings,
                                      TimePoint now)
{
    std::optional<size_t> best;
    uint64_t bestScore = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
        const uint64_t score = rendezvousScore(hash, candidates[i].m_key);
        if ((!best || score > bestScore) && isWithinBound(candidates[i], summary, settings, now)) {
            best = i;
            bestScore = score;
        }
    }
    return best;
}

/** Index of the usable candidate number @p rank, counted from 0. */
size_t usableAt(std::span<const Candidate> candidates, size_t rank)
{
    size_t index = 0;
    while (!candidates[index].m_usable || rank > 0) {
        rank -= candidates[index].m_usable ? 1 : 0;
        ++index;
    }
    return index;
}

size_t chooseOfTwo(std::span<const Candidate> candidates, size_t usable, const RoutingSettings &settings, TimePoint now, Random &random)
{
    const size_t first = uniformBelow(random, usable);
    if (usable == 1) {
        return usableAt(candidates, first);
    }
    const size_t second = (first + 1 + uniformBelow(random, usable - 1)) % usable;
    const size_t left = usableAt(candidates, first);
    const size_t right = usableAt(candidates, second);
    return routeScore(candidates[right], settings, now) < routeScore(candidates[left], settings, now) ? right : left;
}

} // namespace

uint64_t replicaKey(const Address &address)
{
    return std::max<uint64_t>(1, hash64(toString(address)));
}

double poolCapacity(std::span<const Candidate> candidates)
{
    double slots = 0;
    for (const Candidate &candidate : candidates) {
        const double limit = candidate.m_usable ? std::max(1.0, std::floor(candidate.m_limit)) : 0;
        slots += std::max(limit, static_cast<double>(candidate.m_open));
    }
    return slots;
}

double routeScore(const Candidate &candidate, const RoutingSettings &settings, TimePoint now)
{
    const double load = candidate.m_open + externalLoad(candidate, settings, now) + 1;
    const double slow = 1 + slowStartPenalty(candidate, settings, now);
    return load * slow / std::max(1.0, candidate.m_limit) + settings.m_distancePenalty * candidate.m_distance;
}

std::optional<RouteChoice> chooseReplica(std::span<const Candidate> candidates,
                                         const PrefixChain &chain,
                                         const PrefixIndex *index,
                                         const RoutingSettings &settings,
                                         TimePoint now,
                                         Random &random)
{
    const LoadSummary summary = summarise(candidates, settings, now);
    if (summary.m_usable == 0) {
        return std::nullopt;
    }
    if (chain.m_count > 0) {
        if (index) {
            if (const auto holder = chooseHolder(candidates, chain, *index, summary, settings, now)) {
                return RouteChoice{*holder, RouteCause::CacheHolder};
            }
        }
        const uint64_t hash = chain.m_hashes[chain.m_count - 1];
        if (const auto placed = choosePlacement(candidates, hash, summary, settings, now)) {
            return RouteChoice{*placed, RouteCause::Placement};
        }
    }
    return RouteChoice{chooseOfTwo(candidates, summary.m_usable, settings, now, random), RouteCause::Load};
}

} // namespace Medlarramp
