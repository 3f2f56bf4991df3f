// Cost of one routing decision and its allocations. Time depends on the machine and is informative.

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <new>

#include <benchmark/benchmark.h>

#include "policy.h"
#include "report.h"

using namespace Medlarramp;
using namespace Medlarramp::Bench;

namespace {

std::atomic<uint64_t> allocations = 0;

} // namespace

// Counts every allocation of the benchmark program.
void *operator new(size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (void *memory = std::malloc(size > 0 ? size : 1)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, size_t) noexcept
{
    std::free(memory);
}

namespace {

constexpr size_t Candidates = 64;
constexpr uint64_t Decisions = 200'000;
const TimePoint Start{seconds(1000)};

std::vector<Candidate> makeCandidates(Random &random)
{
    std::vector<Candidate> candidates(Candidates);
    for (size_t i = 0; i < Candidates; ++i) {
        candidates[i].m_key = nextRandom(random) | 1;
        candidates[i].m_open = static_cast<uint32_t>(uniformBelow(random, 16));
        candidates[i].m_reported = static_cast<double>(uniformBelow(random, 32));
        candidates[i].m_reportedAt = Start - milliseconds(static_cast<int64_t>(uniformBelow(random, 3000)));
        candidates[i].m_usableSince = Start - seconds(static_cast<int64_t>(uniformBelow(random, 20)));
        candidates[i].m_distance = static_cast<uint8_t>(i % 2);
        candidates[i].m_usable = i % 8 != 0;
    }
    return candidates;
}

struct Cost {
    double m_microseconds = 0; ///< of one decision
    uint64_t m_allocations = 0; ///< of all decisions
    size_t m_sum = 0; ///< keeps the decisions from being optimised away
};

Cost measure(const std::vector<Candidate> &candidates, const PrefixChain &chain, const PrefixIndex *index)
{
    Random random{1};
    const RoutingSettings settings;
    Cost cost;
    const uint64_t before = allocations.load();
    const auto begun = std::chrono::steady_clock::now();
    for (uint64_t i = 0; i < Decisions; ++i) {
        const auto choice = chooseReplica(candidates, chain, index, settings, Start, random);
        benchmark::DoNotOptimize(cost.m_sum += choice ? choice->m_index : 0);
    }
    const auto elapsed = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begun);
    cost.m_microseconds = elapsed.count() / static_cast<double>(Decisions);
    cost.m_allocations = allocations.load() - before;
    return cost;
}

void benchDecisions(Run &run)
{
    Random random{run.m_seed};
    const std::vector<Candidate> candidates = makeCandidates(random);
    const PrefixChain chain = prefixChain(std::string(20'000, 'x'), run.m_seed);
    PrefixIndex index = makePrefixIndex();
    for (size_t i = 0; i < 4; ++i) {
        recordPlacement(index, chain, candidates[i * 9 + 1].m_key, Start);
    }
    const PrefixIndex empty = makePrefixIndex();
    const std::pair<const char *, Cost> costs[] = {
        {"load", measure(candidates, {}, nullptr)},
        {"placement", measure(candidates, chain, &empty)},
        {"cache_holder", measure(candidates, chain, &index)},
    };
    for (const auto &[name, cost] : costs) {
        const std::string prefix = std::string("decision.routing_64.") + name;
        run.m_figures.push_back({prefix + ".time", cost.m_microseconds, "us", Bound::AtMost, 5, {}, true});
        run.m_figures.push_back({prefix + ".allocations", static_cast<double>(cost.m_allocations), "count", Bound::AtMost, 0});
    }
}

const Registration RoutingDecision("decisions", benchDecisions);

} // namespace
