#pragma once

/**
 * Measurements of the cluster library: traffic, processor time, memory, and the time until a failure is known and a
 * change is in force everywhere. The nodes run on virtual time (virtual_cluster.h) with 1% loss and duplicates,
 * 1 to 5 ms between nodes and 30 ms more between regions.
 */

#include <cstdint>
#include <string>
#include <vector>

namespace Medlarramp {

struct ClusterFigure {
    std::string m_alternative; ///< "tree", "notice_and_pull" or "full_copies"
    std::string m_name;
    double m_value = 0;
    std::string m_unit;
    double m_target = 0; ///< upper bound from docs/design.md; 0: none

    bool operator==(const ClusterFigure &) const = default;
};

/** All alternatives with @p nodes nodes: one region up to 9 nodes, 3 up to 100, 9 above. */
std::vector<ClusterFigure> measureCluster(int nodes, uint64_t seed);
/** Processor time of @p nodes real transports on loopback, idle, over @p runSeconds of real time. */
std::vector<ClusterFigure> measureTransport(int nodes, int runSeconds);

} // namespace Medlarramp
