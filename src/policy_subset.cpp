#include <algorithm>
#include <cmath>

#include "policy.h"

namespace Medlarramp {

namespace {

uint64_t pairScore(uint64_t node, uint64_t replica)
{
    uint64_t mixed = (node * 0x9e3779b97f4a7c15ULL) ^ (replica * 0xd6e8feb86659fd93ULL);
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

/**
 * Number of entries that use one replica. The hash of the replica decides whether a fractional number is rounded up or down, so
 * that a change of the number of entries or replicas adds or removes an entry on a few replicas only.
 */
size_t coverageOf(uint64_t replica, size_t nodeCount, size_t replicaCount, size_t subsetSize)
{
    const double expected =
        static_cast<double>(subsetSize) * static_cast<double>(nodeCount) / static_cast<double>(std::max<size_t>(1, replicaCount));
    const double whole = std::floor(expected);
    // The upper 53 bits as a number in [0, 1); 1 is an arbitrary constant in place of an entry's key.
    const double fraction = static_cast<double>(pairScore(1, replica) >> 11) * 0x1.0p-53;
    const double coverage = whole + (fraction < expected - whole ? 1 : 0);
    return static_cast<size_t>(std::clamp(coverage, 1.0, std::max(1.0, static_cast<double>(nodeCount))));
}

} // namespace

bool isInSubset(uint64_t self, std::span<const uint64_t> nodes, uint64_t replica, size_t replicaCount, size_t subsetSize)
{
    const size_t coverage = coverageOf(replica, nodes.size(), replicaCount, subsetSize);
    const uint64_t own = pairScore(self, replica);
    size_t better = 0;
    for (const uint64_t node : nodes) {
        const uint64_t score = pairScore(node, replica);
        better += score > own || (score == own && node > self) ? 1 : 0;
        if (better >= coverage) {
            return false;
        }
    }
    return true;
}

std::vector<size_t> chooseSubset(uint64_t self, std::span<const uint64_t> nodes, std::span<const uint64_t> replicas, size_t subsetSize)
{
    std::vector<size_t> subset;
    subset.reserve(std::min(replicas.size(), subsetSize * 2));
    for (size_t i = 0; i < replicas.size(); ++i) {
        if (isInSubset(self, nodes, replicas[i], replicas.size(), subsetSize)) {
            subset.push_back(i);
        }
    }
    return subset;
}

} // namespace Medlarramp
