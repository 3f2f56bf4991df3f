// Cost and speed of membership and configuration propagation at three sizes, on virtual time.

#include <fmt/format.h>

#include "cluster_measure.h"
#include "report.h"

using namespace Medlarramp;
using namespace Medlarramp::Bench;

namespace {

// Figures of the library that depend on the machine's speed.
bool isMachineFigure(const std::string &unit)
{
    return unit == "cores" || unit == "MB";
}

void addCluster(Run &run, int nodes)
{
    for (const ClusterFigure &figure : measureCluster(nodes, run.m_seed)) {
        const bool tree = figure.m_alternative == "tree";
        const Bound bound = figure.m_target > 0 && tree ? Bound::AtMost : Bound::None;
        const std::string name = fmt::format("cluster.{}.{}.{}", nodes, figure.m_alternative, figure.m_name);
        run.m_figures.push_back({name, figure.m_value, figure.m_unit, bound, figure.m_target, {}, isMachineFigure(figure.m_unit)});
    }
}

void benchSmall(Run &run)
{
    addCluster(run, 9);
}

void benchMedium(Run &run)
{
    addCluster(run, 100);
}

void benchLarge(Run &run)
{
    addCluster(run, 610);
}

const Registration Small("cluster_9", benchSmall);
const Registration Medium("cluster_100", benchMedium);
const Registration Large("cluster_610", benchLarge);

} // namespace
