#include <algorithm>
#include <map>
#include <numeric>
#include <set>

#include <cppunit/extensions/HelperMacros.h>

#include "policy.h"

using namespace Medlarramp;

namespace {

const TimePoint Start{seconds(1000)};
const RoutingSettings Defaults;

std::vector<Candidate> makeCandidates(size_t count)
{
    std::vector<Candidate> candidates(count);
    for (size_t i = 0; i < count; ++i) {
        candidates[i].m_key = replicaKey({"10.0.0.1", static_cast<int>(i + 1)});
    }
    return candidates;
}

PrefixChain makeChain(uint64_t seed)
{
    return prefixChain(std::string(300, static_cast<char>('a' + seed % 26)) + std::to_string(seed), seed);
}

std::vector<uint64_t> makeKeys(size_t count, uint64_t seed)
{
    std::vector<uint64_t> keys(count);
    for (size_t i = 0; i < count; ++i) {
        keys[i] = hash64(std::to_string(i), seed);
    }
    return keys;
}

size_t choose(std::span<const Candidate> candidates, const PrefixChain &chain, const PrefixIndex *index, Random &random)
{
    const auto choice = chooseReplica(candidates, chain, index, Defaults, Start, random);
    CPPUNIT_ASSERT(choice.has_value());
    return choice->m_index;
}

} // namespace

class PolicyRoutingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PolicyRoutingTest);
    CPPUNIT_TEST(noUsableReplicaGivesNoChoice);
    CPPUNIT_TEST(unusableReplicaIsNeverChosen);
    CPPUNIT_TEST(loadedReplicaIsAvoided);
    CPPUNIT_TEST(oldReportLosesWeight);
    CPPUNIT_TEST(ownRequestsInReportCountOnce);
    CPPUNIT_TEST(newReplicaStartsSlowly);
    CPPUNIT_TEST(sameFailureDomainIsPreferred);
    CPPUNIT_TEST(entriesSpreadTheirChoices);
    CPPUNIT_TEST(placementAgreesBetweenEntries);
    CPPUNIT_TEST(replicaChangeMovesOnlyItsPrefixes);
    CPPUNIT_TEST(popularPrefixStaysWithinLoadBound);
    CPPUNIT_TEST(cacheEventTakesPrecedence);
    CPPUNIT_TEST(lateEvictionIsIgnored);
    CPPUNIT_TEST(holderExpiresAfterLostEviction);
    CPPUNIT_TEST(prefixIndexSizeIsFixed);
    CPPUNIT_TEST(organisationsShareNoPrefix);
    CPPUNIT_TEST(capacityImpliesUsableReplica);
    CPPUNIT_TEST(subsetCoversEvenly);
    CPPUNIT_TEST(membershipChangeMovesFewPairs);
    CPPUNIT_TEST(smallPoolIsUsedWhole);
    CPPUNIT_TEST_SUITE_END();

    // Guards against an index into an empty set of usable replicas.
    void noUsableReplicaGivesNoChoice()
    {
        Random random{1};
        std::vector<Candidate> candidates = makeCandidates(3);
        CPPUNIT_ASSERT(!chooseReplica({}, {}, nullptr, Defaults, Start, random));
        for (Candidate &candidate : candidates) {
            candidate.m_usable = false;
        }
        CPPUNIT_ASSERT(!chooseReplica(candidates, makeChain(1), nullptr, Defaults, Start, random));
    }

    // Guards against routing to ejected or leaving replicas (200 seeds, with and without a prefix).
    void unusableReplicaIsNeverChosen()
    {
        PrefixIndex index = makePrefixIndex(16);
        for (uint64_t seed = 1; seed <= 200; ++seed) {
            Random random{seed};
            std::vector<Candidate> candidates = makeCandidates(1 + uniformBelow(random, 64));
            for (Candidate &candidate : candidates) {
                candidate.m_usable = uniformBelow(random, 3) > 0;
                candidate.m_open = static_cast<uint32_t>(uniformBelow(random, 40));
                candidate.m_limit = 0.1 + 20 * uniformReal(random);
                candidate.m_reported = static_cast<double>(uniformBelow(random, 40));
                candidate.m_reportedAt = Start - milliseconds(static_cast<int64_t>(uniformBelow(random, 9000)));
                recordPlacement(index, makeChain(seed), candidate.m_key, Start);
            }
            for (const PrefixChain &chain : {PrefixChain{}, makeChain(seed)}) {
                const auto choice = chooseReplica(candidates, chain, &index, Defaults, Start, random);
                const bool any =
                    std::any_of(candidates.begin(), candidates.end(), [](const Candidate &candidate) { return candidate.m_usable; });
                CPPUNIT_ASSERT_EQUAL(any, choice.has_value());
                CPPUNIT_ASSERT(!choice || candidates[choice->m_index].m_usable);
            }
        }
    }

    // Guards against a choice that ignores load: the better of two random replicas is never the most loaded one.
    void loadedReplicaIsAvoided()
    {
        Random random{7};
        std::vector<Candidate> candidates = makeCandidates(5);
        candidates[2].m_open = 10;
        for (int i = 0; i < 500; ++i) {
            CPPUNIT_ASSERT(choose(candidates, {}, nullptr, random) != 2);
        }
    }

    // Guards against decisions based on an old load report.
    void oldReportLosesWeight()
    {
        Candidate candidate;
        candidate.m_reported = 16;
        candidate.m_reportedAt = Start;
        const double fresh = routeScore(candidate, Defaults, Start);
        const double old = routeScore(candidate, Defaults, Start + seconds(60));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(17.0 / 16, fresh, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 / 16, old, 1e-6);
    }

    // Guards against counting this entry's open requests twice when the load report of the replica includes them.
    void ownRequestsInReportCountOnce()
    {
        Candidate candidate;
        candidate.m_open = 8;
        candidate.m_openAtReport = 8;
        candidate.m_reported = 8;
        candidate.m_reportedAt = Start;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(9.0 / 16, routeScore(candidate, Defaults, Start), 1e-9);
    }

    // Guards against overloading a new replica while its caches are cold.
    void newReplicaStartsSlowly()
    {
        Random random{3};
        std::vector<Candidate> candidates = makeCandidates(4);
        for (Candidate &candidate : candidates) {
            candidate.m_open = 1;
        }
        candidates[0].m_open = 0;
        candidates[0].m_usableSince = Start;
        for (int i = 0; i < 100; ++i) {
            CPPUNIT_ASSERT(choose(candidates, {}, nullptr, random) != 0);
        }
        CPPUNIT_ASSERT(routeScore(candidates[0], Defaults, Start + Defaults.m_slowStart) < routeScore(candidates[1], Defaults, Start));
    }

    // Guards against unnecessary traffic between failure domains, and against a preference that outweighs load.
    void sameFailureDomainIsPreferred()
    {
        Candidate sameDomain;
        Candidate otherDomain = sameDomain;
        otherDomain.m_distance = 1;
        CPPUNIT_ASSERT(routeScore(sameDomain, Defaults, Start) < routeScore(otherDomain, Defaults, Start));
        sameDomain.m_open = 8;
        CPPUNIT_ASSERT(routeScore(sameDomain, Defaults, Start) > routeScore(otherDomain, Defaults, Start));
    }

    // Guards against all entries choosing the same replica because they have the same load reports.
    void entriesSpreadTheirChoices()
    {
        const std::vector<Candidate> candidates = makeCandidates(9);
        std::vector<size_t> counts(9);
        for (uint64_t entry = 0; entry < 610; ++entry) {
            Random random{entry};
            counts[choose(candidates, {}, nullptr, random)] += 1;
        }
        CPPUNIT_ASSERT(*std::max_element(counts.begin(), counts.end()) < 2 * 610 / 9);
    }

    // Guards against entries that place the same prefix on different replicas.
    void placementAgreesBetweenEntries()
    {
        std::vector<Candidate> candidates = makeCandidates(9);
        std::vector<Candidate> reversed(candidates.rbegin(), candidates.rend());
        for (uint64_t seed = 0; seed < 200; ++seed) {
            Random left{1};
            Random right{2};
            const PrefixChain chain = makeChain(seed);
            CPPUNIT_ASSERT_EQUAL(candidates[choose(candidates, chain, nullptr, left)].m_key,
                                 reversed[choose(reversed, chain, nullptr, right)].m_key);
        }
    }

    // Guards against a change of one replica that moves prefixes between the others, whose caches would then miss.
    void replicaChangeMovesOnlyItsPrefixes()
    {
        std::vector<Candidate> candidates = makeCandidates(9);
        Random random{1};
        for (uint64_t seed = 0; seed < 300; ++seed) {
            const PrefixChain chain = makeChain(seed);
            candidates[4].m_usable = true;
            const size_t before = choose(candidates, chain, nullptr, random);
            candidates[4].m_usable = false;
            const size_t after = choose(candidates, chain, nullptr, random);
            CPPUNIT_ASSERT(before == 4 || before == after);
        }
    }

    // Guards against a popular prefix that overloads the replica on which it is placed.
    void popularPrefixStaysWithinLoadBound()
    {
        std::vector<Candidate> candidates = makeCandidates(9);
        for (Candidate &candidate : candidates) {
            candidate.m_limit = 64;
        }
        PrefixIndex index = makePrefixIndex(16);
        Random random{1};
        const PrefixChain chain = makeChain(5);
        for (int i = 0; i < 270; ++i) {
            const size_t chosen = choose(candidates, chain, &index, random);
            candidates[chosen].m_open += 1;
            recordPlacement(index, chain, candidates[chosen].m_key, Start);
        }
        for (const Candidate &candidate : candidates) {
            CPPUNIT_ASSERT(candidate.m_open <= 1.25 * 30 + 2);
        }
    }

    // Guards against routing to a replica without the prefix although another replica reported that it caches it.
    void cacheEventTakesPrecedence()
    {
        const std::vector<Candidate> candidates = makeCandidates(9);
        PrefixIndex index = makePrefixIndex(16);
        Random random{1};
        const PrefixChain chain = makeChain(5);
        const size_t placed = choose(candidates, chain, &index, random);
        const size_t holder = (placed + 1) % candidates.size();
        applyCacheEvent(index, candidates[holder].m_key, CacheEvent::Stored, chain.m_hashes[0], Start);
        CPPUNIT_ASSERT_EQUAL(holder, choose(candidates, chain, &index, random));
        applyCacheEvent(index, candidates[holder].m_key, CacheEvent::Evicted, chain.m_hashes[0], Start);
        CPPUNIT_ASSERT_EQUAL(placed, choose(candidates, chain, &index, random));
    }

    // Guards against a delayed eviction event that removes a holder which has stored the prefix again since.
    void lateEvictionIsIgnored()
    {
        PrefixIndex index = makePrefixIndex(16);
        const PrefixChain chain = makeChain(5);
        recordPlacement(index, chain, 77, Start);
        applyCacheEvent(index, 77, CacheEvent::Evicted, chain.m_hashes[0], Start - seconds(1));
        CPPUNIT_ASSERT_EQUAL(uint64_t(77), findPrefix(index, chain.m_hashes[0])->m_holders[0].m_replica);
        applyCacheEvent(index, 77, CacheEvent::Cleared, 0, Start + seconds(1));
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), findPrefix(index, chain.m_hashes[0])->m_holders[0].m_replica);
    }

    // Guards against routing a prefix to a replica without a time limit after the eviction event was lost.
    void holderExpiresAfterLostEviction()
    {
        const std::vector<Candidate> candidates = makeCandidates(9);
        PrefixIndex index = makePrefixIndex(16);
        Random random{1};
        const PrefixChain chain = makeChain(5);
        const size_t placed = choose(candidates, chain, nullptr, random);
        const size_t holder = (placed + 1) % candidates.size();
        applyCacheEvent(index, candidates[holder].m_key, CacheEvent::Stored, chain.m_hashes[0], Start - index.m_lifetime - seconds(1));
        CPPUNIT_ASSERT_EQUAL(placed, choose(candidates, chain, &index, random));
    }

    // Guards against an index that grows with the number of prompts.
    void prefixIndexSizeIsFixed()
    {
        PrefixIndex index = makePrefixIndex(16);
        const size_t before = index.m_slots.size();
        for (uint64_t i = 0; i < 10'000; ++i) {
            recordPlacement(index, makeChain(i), 1 + i % 9, Start + Duration(static_cast<int64_t>(i)));
        }
        CPPUNIT_ASSERT_EQUAL(before, index.m_slots.size());
        CPPUNIT_ASSERT(findPrefix(index, makeChain(9999).m_hashes[0]) != nullptr);
    }

    // Guards against a timing side channel: with a shared cache entry, an organisation could detect the prompts of another.
    void organisationsShareNoPrefix()
    {
        const std::string prompt(2000, 'x');
        CPPUNIT_ASSERT(prefixChain(prompt, 1) != prefixChain(prompt, 2));
        CPPUNIT_ASSERT_EQUAL(size_t(2), prefixChain(prompt, 1).m_count);
        CPPUNIT_ASSERT_EQUAL(size_t(0), prefixChain("short", 1).m_count);
    }

    // Guards against starting a request while no replica is below its limit (200 seeds).
    void capacityImpliesUsableReplica()
    {
        for (uint64_t seed = 1; seed <= 200; ++seed) {
            Random random{seed};
            std::vector<Candidate> candidates = makeCandidates(1 + uniformBelow(random, 12));
            double open = 0;
            for (Candidate &candidate : candidates) {
                AdaptiveLimit limit;
                limit.m_limit = 0.05 + 8 * uniformReal(random);
                candidate.m_limit = limit.m_limit;
                candidate.m_open = static_cast<uint32_t>(uniformBelow(random, 9));
                candidate.m_usable = uniformBelow(random, 4) > 0 && hasFreeCapacity(limit, candidate.m_open, Start);
                open += candidate.m_open;
            }
            if (open < poolCapacity(candidates)) {
                CPPUNIT_ASSERT(chooseReplica(candidates, {}, nullptr, Defaults, Start, random).has_value());
            }
        }
    }

    // Guards against replicas that are used by no node or by too many nodes.
    void subsetCoversEvenly()
    {
        const std::vector<uint64_t> nodes = makeKeys(61, 1);
        const std::vector<uint64_t> replicas = makeKeys(1200, 2);
        std::vector<size_t> coverage(replicas.size());
        for (const uint64_t node : nodes) {
            const std::vector<size_t> subset = chooseSubset(node, nodes, replicas, 200);
            CPPUNIT_ASSERT(subset.size() > 120 && subset.size() < 280);
            for (const size_t i : subset) {
                coverage[i] += 1;
            }
        }
        const auto [least, most] = std::minmax_element(coverage.begin(), coverage.end());
        CPPUNIT_ASSERT(*least >= 10 && *most <= 11);
    }

    // Guards against a restart of one node or replica that changes the connections of all nodes.
    void membershipChangeMovesFewPairs()
    {
        std::vector<uint64_t> nodes = makeKeys(61, 1);
        std::vector<uint64_t> replicas = makeKeys(1200, 2);
        const auto pairs = [&]() {
            std::set<std::pair<uint64_t, uint64_t>> all;
            for (const uint64_t node : nodes) {
                for (const size_t i : chooseSubset(node, nodes, replicas, 200)) {
                    all.emplace(node, replicas[i]);
                }
            }
            return all;
        };
        const auto moved = [](const auto &before, const auto &after) {
            return std::count_if(after.begin(), after.end(), [&](const auto &pair) { return !before.contains(pair); });
        };
        const auto before = pairs();
        nodes.erase(nodes.begin() + 30);
        const auto withoutNode = pairs();
        // The removed node used about 200 replicas; each of them gets at most one new node.
        CPPUNIT_ASSERT(moved(before, withoutNode) <= 280);
        replicas.erase(replicas.begin() + 600);
        CPPUNIT_ASSERT(moved(withoutNode, pairs()) <= 20);
    }

    // Guards against an entry without replicas when the pool is smaller than a subset.
    void smallPoolIsUsedWhole()
    {
        const std::vector<uint64_t> nodes = makeKeys(9, 1);
        const std::vector<uint64_t> replicas = makeKeys(9, 2);
        for (const uint64_t node : nodes) {
            CPPUNIT_ASSERT_EQUAL(size_t(9), chooseSubset(node, nodes, replicas).size());
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PolicyRoutingTest, "policy_routing");
