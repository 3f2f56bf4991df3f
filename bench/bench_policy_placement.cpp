// Figures of placement: prefix caches, subsets and the convergence of limits, in virtual time.

#include <algorithm>
#include <cmath>
#include <deque>
#include <list>
#include <queue>
#include <set>
#include <unordered_map>

#include "policy.h"
#include "report.h"

using namespace Medlarramp;
using namespace Medlarramp::Bench;

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
constexpr double Percent = 100;

Duration fromSeconds(double value)
{
    return Duration(static_cast<int64_t>(value * MicrosecondsPerSecond));
}

//-----------------------------------------------------------------------------
// Prefix caches
//-----------------------------------------------------------------------------

constexpr size_t PrefixEntries = 9;
constexpr size_t PrefixReplicas = 9;
constexpr size_t PrefixSlots = 16; ///< requests served at once by one replica
constexpr size_t CacheSize = 150; ///< prefixes in one replica
constexpr size_t Prefixes = 2000; ///< more than all caches hold together
constexpr size_t PrefixRequests = 100'000;
constexpr double PrefixLoad = 0.6; ///< of the slots
constexpr double PrefixService = 0.6; ///< seconds
constexpr double EventLoss = 0.1; ///< share of cache events that never arrive
constexpr double MaxEventDelay = 2; ///< seconds

enum class PrefixRouting : uint8_t { Policy, Oracle, RoundRobin, Random, LeastOpen };

/** Least recently used prefixes of one replica. */
struct ReplicaCache {
    std::list<uint64_t> m_order; ///< most recently used first
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_places;
};

struct CacheMessage {
    TimePoint m_at;
    TimePoint m_sentAt;
    uint64_t m_replica = 0;
    CacheEvent m_event = CacheEvent::Stored;
    uint64_t m_hash = 0;

    bool operator<(const CacheMessage &other) const
    {
        return m_at > other.m_at;
    }
};

struct PrefixRun {
    Random m_random;
    std::vector<std::vector<Candidate>> m_candidates; ///< by entry
    std::vector<PrefixIndex> m_indices; ///< by entry
    std::vector<ReplicaCache> m_caches;
    std::priority_queue<CacheMessage> m_messages;
    std::priority_queue<std::pair<int64_t, size_t>, std::vector<std::pair<int64_t, size_t>>, std::greater<>> m_ends; ///< time, place
    size_t m_hits = 0;
    size_t m_turn = 0;
};

void sendEvent(PrefixRun &run, size_t replica, CacheEvent event, uint64_t hash, TimePoint now)
{
    if (uniformReal(run.m_random) >= EventLoss) {
        const Duration delay = fromSeconds(MaxEventDelay * uniformReal(run.m_random));
        run.m_messages.push({now + delay, now, replica + 1, event, hash});
    }
}

/** Serves a prefix. @return true when the cache held it. */
bool useCache(PrefixRun &run, size_t replica, uint64_t hash, TimePoint now)
{
    ReplicaCache &cache = run.m_caches[replica];
    const auto it = cache.m_places.find(hash);
    if (it != cache.m_places.end()) {
        cache.m_order.splice(cache.m_order.begin(), cache.m_order, it->second);
        return true;
    }
    cache.m_order.push_front(hash);
    cache.m_places[hash] = cache.m_order.begin();
    sendEvent(run, replica, CacheEvent::Stored, hash, now);
    if (cache.m_order.size() > CacheSize) {
        sendEvent(run, replica, CacheEvent::Evicted, cache.m_order.back(), now);
        cache.m_places.erase(cache.m_order.back());
        cache.m_order.pop_back();
    }
    return false;
}

void deliverEvents(PrefixRun &run, TimePoint now)
{
    while (!run.m_messages.empty() && run.m_messages.top().m_at <= now) {
        const CacheMessage message = run.m_messages.top();
        run.m_messages.pop();
        for (PrefixIndex &index : run.m_indices) {
            applyCacheEvent(index, message.m_replica, message.m_event, message.m_hash, message.m_sentAt);
        }
    }
}

/** The index that an oracle would have: exactly what the caches hold now. */
PrefixIndex oracleIndex(const PrefixRun &run, uint64_t hash, TimePoint now)
{
    PrefixIndex index = makePrefixIndex(1);
    for (size_t replica = 0; replica < PrefixReplicas; ++replica) {
        if (run.m_caches[replica].m_places.contains(hash)) {
            applyCacheEvent(index, replica + 1, CacheEvent::Stored, hash, now);
        }
    }
    return index;
}

size_t leastOpen(const std::vector<Candidate> &candidates)
{
    const auto least = std::min_element(
        candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) { return left.m_open < right.m_open; });
    return static_cast<size_t>(least - candidates.begin());
}

size_t chooseFor(PrefixRun &run, PrefixRouting routing, size_t entry, const PrefixChain &chain, TimePoint now)
{
    const std::vector<Candidate> &candidates = run.m_candidates[entry];
    switch (routing) {
    case PrefixRouting::RoundRobin:
        return run.m_turn++ % PrefixReplicas;
    case PrefixRouting::Random:
        return uniformBelow(run.m_random, PrefixReplicas);
    case PrefixRouting::LeastOpen:
        return leastOpen(candidates);
    case PrefixRouting::Oracle: {
        const PrefixIndex index = oracleIndex(run, chain.m_hashes[0], now);
        return chooseReplica(candidates, chain, &index, {}, now, run.m_random)->m_index;
    }
    case PrefixRouting::Policy:
        break;
    }
    return chooseReplica(candidates, chain, &run.m_indices[entry], {}, now, run.m_random)->m_index;
}

/** Prefixes with Zipf popularity, drawn by inversion of the cumulative weights. */
std::vector<double> zipfWeights()
{
    constexpr double Exponent = 0.9;
    std::vector<double> cumulative(Prefixes);
    double sum = 0;
    for (size_t i = 0; i < Prefixes; ++i) {
        sum += 1 / std::pow(static_cast<double>(i + 1), Exponent);
        cumulative[i] = sum;
    }
    return cumulative;
}

void endServices(PrefixRun &run, TimePoint now)
{
    while (!run.m_ends.empty() && run.m_ends.top().first <= now.time_since_epoch().count()) {
        const size_t place = run.m_ends.top().second;
        run.m_candidates[place / PrefixReplicas][place % PrefixReplicas].m_open -= 1;
        run.m_ends.pop();
    }
}

double hitShare(PrefixRouting routing, uint64_t seed)
{
    PrefixRun run;
    run.m_random = Random{seed};
    run.m_caches.resize(PrefixReplicas);
    for (size_t entry = 0; entry < PrefixEntries; ++entry) {
        run.m_indices.push_back(makePrefixIndex(1024));
        run.m_candidates.emplace_back(PrefixReplicas);
        for (size_t i = 0; i < PrefixReplicas; ++i) {
            run.m_candidates.back()[i].m_key = i + 1;
        }
    }
    const std::vector<double> weights = zipfWeights();
    const double rate = PrefixLoad * PrefixReplicas * PrefixSlots / PrefixService;
    TimePoint now{seconds(1)};
    for (size_t i = 0; i < PrefixRequests; ++i) {
        now += fromSeconds(exponential(run.m_random, 1 / rate));
        deliverEvents(run, now);
        endServices(run, now);
        const double draw = uniformReal(run.m_random) * weights.back();
        const auto prefix = static_cast<uint64_t>(std::lower_bound(weights.begin(), weights.end(), draw) - weights.begin());
        PrefixChain chain;
        chain.m_count = 1;
        chain.m_hashes[0] = combineHash(seed, prefix + 1) | 1;
        const size_t entry = uniformBelow(run.m_random, PrefixEntries);
        const size_t replica = chooseFor(run, routing, entry, chain, now);
        recordPlacement(run.m_indices[entry], chain, replica + 1, now);
        run.m_candidates[entry][replica].m_open += 1;
        run.m_ends.emplace((now + fromSeconds(exponential(run.m_random, PrefixService))).time_since_epoch().count(),
                           entry * PrefixReplicas + replica);
        run.m_hits += useCache(run, replica, chain.m_hashes[0], now) ? 1 : 0;
    }
    return static_cast<double>(run.m_hits) / PrefixRequests;
}

void benchPrefix(Run &run)
{
    const double oracle = hitShare(PrefixRouting::Oracle, run.m_seed);
    const auto relative = [&](PrefixRouting routing) { return Percent * hitShare(routing, run.m_seed) / oracle; };
    run.m_figures.push_back({"prefix.hit_share_of_oracle",
                             relative(PrefixRouting::Policy),
                             "%",
                             Bound::AtLeast,
                             90,
                             {{"round_robin", relative(PrefixRouting::RoundRobin)},
                              {"random", relative(PrefixRouting::Random)},
                              {"least_open", relative(PrefixRouting::LeastOpen)}}});
    run.m_figures.push_back({"prefix.oracle_hit_share", Percent * oracle, "%"});
}

//-----------------------------------------------------------------------------
// Subsets
//-----------------------------------------------------------------------------

constexpr size_t Nodes = 610;
constexpr size_t Replicas = 12'000;

std::vector<uint64_t> makeKeys(size_t count, uint64_t seed)
{
    std::vector<uint64_t> keys(count);
    for (size_t i = 0; i < count; ++i) {
        keys[i] = hash64(std::to_string(i), seed);
    }
    return keys;
}

using Assignment = std::vector<std::vector<size_t>>; ///< by node: indices of replicas

Assignment assignAll(const std::vector<uint64_t> &nodes, const std::vector<uint64_t> &replicas)
{
    Assignment assignment;
    for (const uint64_t node : nodes) {
        assignment.push_back(chooseSubset(node, nodes, replicas));
    }
    return assignment;
}

/** Busiest replica over the mean when each node spreads equal load evenly over its subset. */
double busiestOverMean(const Assignment &assignment)
{
    std::vector<double> load(Replicas);
    for (const std::vector<size_t> &subset : assignment) {
        for (const size_t replica : subset) {
            load[replica] += 1 / static_cast<double>(subset.size());
        }
    }
    const double mean = static_cast<double>(assignment.size()) / Replicas;
    return *std::max_element(load.begin(), load.end()) / mean;
}

Assignment assignRandomly(Random &random)
{
    Assignment assignment(Nodes);
    for (std::vector<size_t> &subset : assignment) {
        std::set<size_t> chosen;
        while (chosen.size() < DefaultSubsetSize) {
            chosen.insert(uniformBelow(random, Replicas));
        }
        subset.assign(chosen.begin(), chosen.end());
    }
    return assignment;
}

size_t pairsOf(const Assignment &assignment)
{
    size_t pairs = 0;
    for (const std::vector<size_t> &subset : assignment) {
        pairs += subset.size();
    }
    return pairs;
}

/** Pairs of node and replica in @p after that are not in @p before. Both name replicas by key. */
size_t newPairs(const std::set<std::pair<uint64_t, uint64_t>> &before, const std::set<std::pair<uint64_t, uint64_t>> &after)
{
    return static_cast<size_t>(std::count_if(after.begin(), after.end(), [&](const auto &pair) { return !before.contains(pair); }));
}

std::set<std::pair<uint64_t, uint64_t>>
pairSet(const Assignment &assignment, const std::vector<uint64_t> &nodes, const std::vector<uint64_t> &replicas)
{
    std::set<std::pair<uint64_t, uint64_t>> pairs;
    for (size_t node = 0; node < nodes.size(); ++node) {
        for (const size_t replica : assignment[node]) {
            pairs.emplace(nodes[node], replicas[replica]);
        }
    }
    return pairs;
}

void benchSubset(Run &run)
{
    const std::vector<uint64_t> nodes = makeKeys(Nodes, run.m_seed);
    const std::vector<uint64_t> replicas = makeKeys(Replicas, run.m_seed + 1);
    const Assignment assignment = assignAll(nodes, replicas);
    Random random{run.m_seed};
    run.m_figures.push_back({"subset.busiest_over_mean",
                             busiestOverMean(assignment),
                             "ratio",
                             Bound::AtMost,
                             1.25,
                             {{"random", busiestOverMean(assignRandomly(random))}}});
    const auto before = pairSet(assignment, nodes, replicas);
    const auto total = static_cast<double>(pairsOf(assignment));
    std::vector<uint64_t> fewerNodes = nodes;
    fewerNodes.erase(fewerNodes.begin() + Nodes / 2);
    std::vector<uint64_t> fewerReplicas = replicas;
    fewerReplicas.erase(fewerReplicas.begin() + Replicas / 2);
    const size_t byNode = newPairs(before, pairSet(assignAll(fewerNodes, replicas), fewerNodes, replicas));
    const size_t byReplica = newPairs(before, pairSet(assignAll(nodes, fewerReplicas), nodes, fewerReplicas));
    run.m_figures.push_back({"subset.moved_by_node", Percent * static_cast<double>(byNode) / total, "% of pairs"});
    run.m_figures.push_back({"subset.moved_by_replica", Percent * static_cast<double>(byReplica) / total, "% of pairs"});
}

//-----------------------------------------------------------------------------
// Convergence of limits
//-----------------------------------------------------------------------------

constexpr double SharedSlots = 64; ///< requests that the shared upstream serves at full speed
constexpr double SharedService = 0.1; ///< seconds
constexpr double SharedQueue = 4; ///< rejects above this multiple of the slots

struct LimitRun {
    std::vector<AdaptiveLimit> m_limits;
    std::vector<uint32_t> m_open;
    std::vector<uint64_t> m_answered; ///< in the second half
    uint64_t m_rejected = 0; ///< in the second half
    size_t m_total = 0; ///< open requests
    double m_openSeconds = 0; ///< in the second half
};

struct LimitEnd {
    TimePoint m_at;
    TimePoint m_begun;
    size_t m_entry = 0;
    uint32_t m_open = 0;
    bool m_rejected = false;

    bool operator<(const LimitEnd &other) const
    {
        return m_at > other.m_at;
    }
};

/** Every entry always has work. The upstream shares its speed among the open requests. */
LimitRun convergeLimits(size_t entries, Random &random, Duration length)
{
    constexpr Duration Step = milliseconds(1);
    const LimitSettings settings;
    LimitRun run;
    run.m_limits.assign(entries, makeAdaptiveLimit(settings));
    run.m_open.resize(entries);
    run.m_answered.resize(entries);
    std::priority_queue<LimitEnd> ends;
    const TimePoint start{seconds(1)};
    const TimePoint half = start + length / 2;
    size_t first = 0;
    for (TimePoint now = start; now < start + length; now += Step) {
        while (!ends.empty() && ends.top().m_at <= now) {
            const LimitEnd end = ends.top();
            ends.pop();
            run.m_open[end.m_entry] -= 1;
            run.m_total -= end.m_rejected ? 0 : 1;
            const LimitSignal signal = end.m_rejected ? LimitSignal::Rejected : LimitSignal::Success;
            observeSample(run.m_limits[end.m_entry], settings, {signal, now - end.m_begun, end.m_open}, now);
            run.m_answered[end.m_entry] += now >= half && !end.m_rejected ? 1 : 0;
            run.m_rejected += now >= half && end.m_rejected ? 1 : 0;
        }
        // The order rotates, because the first entry of a step finds the emptiest upstream.
        first = uniformBelow(random, entries);
        for (size_t i = 0; i < entries; ++i) {
            const size_t entry = (first + i) % entries;
            while (hasFreeCapacity(run.m_limits[entry], run.m_open[entry], now)) {
                recordOpened(run.m_limits[entry], now);
                run.m_open[entry] += 1;
                const bool rejected = static_cast<double>(run.m_total) >= SharedQueue * SharedSlots;
                run.m_total += rejected ? 0 : 1;
                const double slowdown = std::max(1.0, static_cast<double>(run.m_total) / SharedSlots);
                const double time = rejected ? 0.002 : SharedService * slowdown * (0.5 + uniformReal(random));
                ends.push({now + fromSeconds(time), now, entry, run.m_open[entry], rejected});
            }
        }
        run.m_openSeconds += now >= half ? static_cast<double>(run.m_total) * 1e-3 : 0;
    }
    return run;
}

/** Jain's index: 1 when all entries get the same. */
double fairness(const std::vector<uint64_t> &answered)
{
    double sum = 0;
    double squares = 0;
    for (const uint64_t value : answered) {
        sum += static_cast<double>(value);
        squares += static_cast<double>(value) * static_cast<double>(value);
    }
    return squares > 0 ? sum * sum / (static_cast<double>(answered.size()) * squares) : 0;
}

void benchLimits(Run &run)
{
    for (const size_t entries : {1, 9, 61, 610}) {
        const Duration length = seconds(240);
        Random random{run.m_seed};
        const LimitRun result = convergeLimits(entries, random, length);
        const std::string prefix = "limits.entries_" + std::to_string(entries);
        const double seconds = 120;
        uint64_t answered = 0;
        for (const uint64_t value : result.m_answered) {
            answered += value;
        }
        run.m_figures.push_back(
            {prefix + ".throughput", Percent * static_cast<double>(answered) * SharedService / seconds / SharedSlots, "% of capacity"});
        run.m_figures.push_back({prefix + ".open_over_slots", result.m_openSeconds / seconds / SharedSlots, "ratio"});
        run.m_figures.push_back({prefix + ".rejected",
                                 Percent * static_cast<double>(result.m_rejected) / static_cast<double>(answered + result.m_rejected),
                                 "%"});
        run.m_figures.push_back({prefix + ".fairness", fairness(result.m_answered), "Jain index"});
    }
}

const Registration Prefix("prefix", benchPrefix);
const Registration Subset("subset", benchSubset);
const Registration Limits("limits", benchLimits);

} // namespace
