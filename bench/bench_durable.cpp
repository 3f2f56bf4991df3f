// Store writes and added time of claims, and store calls of a batch drain, on virtual time.

#include <fmt/format.h>

#include "durable_measure.h"
#include "report.h"

using namespace Medlarramp;
using namespace Medlarramp::Bench;

namespace {

constexpr double WritesPerClaimTarget = 0.1; ///< at 1,000 claims a second
constexpr double AddedMedianTarget = 25; ///< milliseconds
constexpr double WritesPerJobTarget = 0.05;
constexpr double TargetRate = 1'000; ///< claims per second

double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

void benchClaims(Run &run)
{
    for (const double rate : {1.0, 10.0, 100.0, TargetRate}) {
        Measure::ClaimScenario scenario;
        scenario.m_rate = rate;
        scenario.m_seed = run.m_seed;
        const Measure::ClaimFigures figures = Measure::measureClaims(scenario);
        const Bound writes = rate == TargetRate ? Bound::AtMost : Bound::None;
        const std::string prefix = fmt::format("claims.{}_per_second", rate);
        run.m_figures.push_back({prefix + ".writes_per_claim", figures.m_writesPerClaim, "writes", writes, WritesPerClaimTarget});
        run.m_figures.push_back({prefix + ".added_median", toMilliseconds(figures.m_addedMedian), "ms", Bound::AtMost, AddedMedianTarget});
        run.m_figures.push_back({prefix + ".added_99", toMilliseconds(figures.m_added99), "ms"});
        run.m_figures.push_back({prefix + ".table", static_cast<double>(figures.m_tableBytes) / 1e6, "MB"});
        run.m_figures.push_back({prefix + ".takeover", toMilliseconds(figures.m_takeover), "ms"});
    }
}

/** The design size asks for four partitions. */
void benchClaimsFourPartitions(Run &run)
{
    Measure::ClaimScenario scenario;
    scenario.m_partitions = 4;
    scenario.m_seed = run.m_seed;
    const Measure::ClaimFigures figures = Measure::measureClaims(scenario);
    run.m_figures.push_back(
        {"claims_4.1000_per_second.writes_per_claim", figures.m_writesPerClaim, "writes", Bound::AtMost, WritesPerClaimTarget});
    run.m_figures.push_back(
        {"claims_4.1000_per_second.added_median", toMilliseconds(figures.m_addedMedian), "ms", Bound::AtMost, AddedMedianTarget});
}

void benchDrain(Run &run)
{
    Measure::DrainScenario scenario;
    scenario.m_seed = run.m_seed;
    const Measure::DrainFigures figures = Measure::measureDrain(scenario);
    run.m_figures.push_back({"drain.writes_per_job", figures.m_writesPerJob, "writes", Bound::AtMost, WritesPerJobTarget});
    run.m_figures.push_back({"drain.calls_per_job", figures.m_callsPerJob, "calls"});
    run.m_figures.push_back({"drain.jobs_lost", static_cast<double>(figures.m_accepted - figures.m_finished), "jobs", Bound::AtMost, 0});
    run.m_figures.push_back({"drain.accept_median", toMilliseconds(figures.m_acceptMedian), "ms"});
}

const Registration Claims("claims", benchClaims);
const Registration ClaimsFourPartitions("claims_4", benchClaimsFourPartitions);
const Registration Drain("drain", benchDrain);

} // namespace
