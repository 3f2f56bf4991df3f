// Figures of the request path under load and faults, in virtual time. Targets are those of section 1.6 of docs/design.md.

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "report.h"
#include "simulation.h"

using namespace Medlarramp;
using namespace Medlarramp::Bench;

namespace {

constexpr double SurgeLoad = 10; ///< multiple of the capacity
constexpr double Percent = 100;

struct Variant {
    const char *m_name;
    RoutingMode m_routing;
    AdmissionMode m_admission;
    RetryMode m_retry;
};

constexpr Variant Variants[] = {
    {"round_robin", RoutingMode::RoundRobin, AdmissionMode::Policy, RetryMode::Policy},
    {"random", RoutingMode::Random, AdmissionMode::Policy, RetryMode::Policy},
    {"least_open", RoutingMode::LeastOpen, AdmissionMode::Policy, RetryMode::Policy},
    {"one_queue", RoutingMode::Policy, AdmissionMode::OneQueue, RetryMode::Policy},
    {"plain_retry", RoutingMode::Policy, AdmissionMode::Policy, RetryMode::PlainThree},
};

std::vector<Result> runBaselines(const Deployment &deployment, Scenario scenario, uint64_t seed)
{
    std::vector<Result> results;
    for (const Variant &variant : Variants) {
        scenario.m_routing = variant.m_routing;
        scenario.m_admission = variant.m_admission;
        scenario.m_retry = variant.m_retry;
        results.push_back(simulate(deployment, scenario, seed));
    }
    return results;
}

template<typename Measure>
std::vector<Baseline> measureAll(const std::vector<Result> &results, Measure measure)
{
    std::vector<Baseline> baselines;
    for (size_t i = 0; i < results.size(); ++i) {
        baselines.push_back({Variants[i].m_name, measure(results[i])});
    }
    return baselines;
}

double attainmentPercent(const Result &result)
{
    return Percent * attainment(result);
}

double wastedPercent(const Result &result)
{
    return Percent * wastedShare(result);
}

/** Useful batch work as a share of what urgent work leaves free. */
double batchPercent(const Result &result)
{
    return Percent * result.m_batchSeconds / std::max(1.0, result.m_capacitySeconds - result.m_urgentSeconds);
}

double attemptsPerRequest(const Result &result)
{
    return static_cast<double>(result.m_modelAttempts) / std::max(1.0, static_cast<double>(result.m_modelRequests));
}

void addDiagnosis(Run &run, const std::string &name, const Result &result)
{
    for (size_t i = 0; i < result.m_losses.size(); ++i) {
        if (result.m_losses[i] > 0) {
            const std::string figure = fmt::format("{}.lost.{}", name, toString(static_cast<Reason>(i)));
            run.m_figures.push_back({figure, static_cast<double>(result.m_losses[i]), "requests"});
        }
    }
    for (size_t i = 0; i < result.m_batchLosses.size(); ++i) {
        if (result.m_batchLosses[i] > 0) {
            const std::string figure = fmt::format("{}.batch_lost.{}", name, toString(static_cast<Reason>(i)));
            run.m_figures.push_back({figure, static_cast<double>(result.m_batchLosses[i]), "requests"});
        }
    }
    run.m_figures.push_back({name + ".batch_answered", static_cast<double>(result.m_batchAnswered), "requests"});
    constexpr const char *CauseNames[] = {"cancelled", "lost", "unanswered", "timed_out", "preempted"};
    for (size_t i = 0; i < result.m_wastedByCause.size(); ++i) {
        run.m_figures.push_back({name + ".wasted." + CauseNames[i], Percent * result.m_wastedByCause[i] / result.m_usedSeconds, "%"});
    }
    run.m_figures.push_back({name + ".preemptions", static_cast<double>(result.m_preemptions), "count"});
    run.m_figures.push_back({name + ".hedges", static_cast<double>(result.m_hedges), "count"});
    run.m_figures.push_back({name + ".retries", static_cast<double>(result.m_retries), "count"});
    run.m_figures.push_back({name + ".repeated_runs", static_cast<double>(result.m_repeatedRuns), "count", Bound::AtMost, 0});
}

void benchSurge(Run &run, const std::string &name)
{
    const Deployment deployment = loadDeployment(name);
    Scenario scenario;
    const Result calm = simulate(deployment, scenario, run.m_seed);
    scenario.m_batchLoad = SurgeLoad;
    const Result surge = simulate(deployment, scenario, run.m_seed);
    const std::vector<Result> baselines = runBaselines(deployment, scenario, run.m_seed);
    const std::string prefix = name + ".surge";
    run.m_figures.push_back(
        {prefix + ".urgent_attainment", attainmentPercent(surge), "%", Bound::AtLeast, 99.9, measureAll(baselines, attainmentPercent)});
    run.m_figures.push_back(
        {prefix + ".attainment_loss", attainmentPercent(calm) - attainmentPercent(surge), "points", Bound::AtMost, 0.2, {}});
    run.m_figures.push_back(
        {prefix + ".batch_throughput", batchPercent(surge), "% of free", Bound::AtLeast, 95, measureAll(baselines, batchPercent)});
    run.m_figures.push_back({prefix + ".wasted_cost", wastedPercent(surge), "%", Bound::AtMost, 3, measureAll(baselines, wastedPercent)});
    addDiagnosis(run, prefix, surge);
}

void benchStraggler(Run &run, const std::string &name)
{
    const Deployment deployment = loadDeployment(name);
    Scenario scenario;
    scenario.m_batchLoad = SurgeLoad;
    scenario.m_straggler = 2;
    scenario.m_failed = 5;
    scenario.m_faultsAt = TimePoint{} + seconds(60);
    const Result result = simulate(deployment, scenario, run.m_seed);
    const std::vector<Result> baselines = runBaselines(deployment, scenario, run.m_seed);
    const std::string prefix = name + ".straggler";
    run.m_figures.push_back(
        {prefix + ".urgent_attainment", attainmentPercent(result), "%", Bound::AtLeast, 99.5, measureAll(baselines, attainmentPercent)});
    run.m_figures.push_back({prefix + ".wasted_cost", wastedPercent(result), "%", Bound::None, 0, measureAll(baselines, wastedPercent)});
    addDiagnosis(run, prefix, result);
}

/** Seconds after @p from until every later second has the share of answered requests that is required in the surge. */
double recoverySeconds(const Result &result, size_t from)
{
    constexpr double Normal = 0.99;
    size_t last = from;
    for (size_t second = from; second + 1 < result.m_attainmentBySecond.size(); ++second) {
        last = result.m_attainmentBySecond[second] < Normal ? second + 1 : last;
    }
    return static_cast<double>(last - from);
}

void benchOutage(Run &run, const std::string &name)
{
    const Deployment deployment = loadDeployment(name);
    Scenario scenario;
    scenario.m_length = seconds(240);
    scenario.m_outageFrom = TimePoint{} + seconds(60);
    scenario.m_outageTo = TimePoint{} + seconds(180);
    const Result result = simulate(deployment, scenario, run.m_seed);
    const std::vector<Result> baselines = runBaselines(deployment, scenario, run.m_seed);
    const std::string prefix = name + ".outage";
    run.m_figures.push_back({prefix + ".attempts_per_request",
                             attemptsPerRequest(result),
                             "attempts",
                             Bound::AtMost,
                             1.1,
                             measureAll(baselines, attemptsPerRequest)});
    const auto recovery = [](const Result &measured) { return recoverySeconds(measured, 180); };
    run.m_figures.push_back({prefix + ".recovery", recovery(result), "s", Bound::AtMost, 5, measureAll(baselines, recovery)});
}

const Registration SantiagoSurge("surge_santiago", [](Run &run) { benchSurge(run, "santiago"); });
const Registration LagosSurge("surge_lagos", [](Run &run) { benchSurge(run, "lagos"); });
const Registration SantiagoStraggler("straggler_santiago", [](Run &run) { benchStraggler(run, "santiago"); });
const Registration LagosStraggler("straggler_lagos", [](Run &run) { benchStraggler(run, "lagos"); });
const Registration SantiagoOutage("outage_santiago", [](Run &run) { benchOutage(run, "santiago"); });
const Registration LagosOutage("outage_lagos", [](Run &run) { benchOutage(run, "lagos"); });

} // namespace
