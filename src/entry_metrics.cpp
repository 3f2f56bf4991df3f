// Metrics of an entry. Label sets are bounded: pipelines, stages and pools come from the configuration, all else from
// enums; organisations appear only by tier.

#include <map>
#include <mutex>

#include <fmt/format.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "entry.h"

namespace Medlarramp {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

constexpr size_t ReasonCount = static_cast<size_t>(Reason::Count);

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

prometheus::Histogram::BucketBoundaries latencyBuckets()
{
    return {0.001, 0.0025, 0.005, 0.01, 0.025, 0.037, 0.05, 0.1, 0.25, 0.5, 1.1, 2.5, 5, 7, 10, 30, 60};
}

} // namespace

std::string_view toString(CostUse use)
{
    constexpr std::array<std::string_view, 4> Names = {"useful", "retried", "hedged", "wasted"};
    return Names.at(static_cast<size_t>(use));
}

struct Metrics {
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_refusals =
        BuildCounter().Name("medlarramp_refusals_total").Help("Requests refused, by reason and class").Register(m_registry);
    prometheus::Family<prometheus::Counter> &m_retries =
        BuildCounter().Name("medlarramp_retries_total").Help("Attempts repeated, by reason and pool").Register(m_registry);
    prometheus::Family<prometheus::Counter> &m_drops =
        BuildCounter().Name("medlarramp_drops_total").Help("Results, messages and replicas dropped, by reason").Register(m_registry);
    prometheus::Family<prometheus::Counter> &m_requests = BuildCounter()
                                                              .Name("medlarramp_requests_total")
                                                              .Help("Requests by pipeline, tier, class, outcome and attainment")
                                                              .Register(m_registry);
    prometheus::Family<prometheus::Counter> &m_costSeconds =
        BuildCounter().Name("medlarramp_stage_upstream_seconds_total").Help("Upstream time by stage and use").Register(m_registry);
    prometheus::Family<prometheus::Counter> &m_costTokens =
        BuildCounter().Name("medlarramp_stage_tokens_total").Help("Generated tokens by stage and use").Register(m_registry);
    prometheus::Family<prometheus::Gauge> &m_gauges =
        BuildGauge().Name("medlarramp_state").Help("State of the process by name").Register(m_registry);
    prometheus::Histogram &m_duration = BuildHistogram()
                                            .Name("medlarramp_request_seconds")
                                            .Help("Arrival to the end of the answer")
                                            .Register(m_registry)
                                            .Add({}, latencyBuckets());
    prometheus::Histogram &m_firstToken = BuildHistogram()
                                              .Name("medlarramp_first_token_seconds")
                                              .Help("Arrival to the first generated token")
                                              .Register(m_registry)
                                              .Add({}, latencyBuckets());
    prometheus::Histogram &m_tokenGap = BuildHistogram()
                                            .Name("medlarramp_token_gap_seconds")
                                            .Help("Time between generated tokens")
                                            .Register(m_registry)
                                            .Add({}, latencyBuckets());
    std::array<std::array<prometheus::Counter *, 2>, ReasonCount> m_refusalCounters{};
    std::array<prometheus::Counter *, ReasonCount> m_dropCounters{};
    std::mutex m_tableMutex;
    std::map<std::pair<std::string, RequestClass>, AttainmentRow> m_attainment;
    std::map<std::tuple<std::string, std::string, CostUse>, CostRow> m_costs;
};

std::shared_ptr<Metrics> makeMetrics()
{
    auto metrics = std::make_shared<Metrics>();
    for (size_t i = 1; i < ReasonCount; ++i) {
        const std::string reason(toString(static_cast<Reason>(i)));
        for (const RequestClass requestClass : {RequestClass::Urgent, RequestClass::Batch}) {
            metrics->m_refusalCounters[i][static_cast<size_t>(requestClass)] =
                &metrics->m_refusals.Add({{"reason", reason}, {"class", std::string(toString(requestClass))}});
        }
        metrics->m_dropCounters[i] = &metrics->m_drops.Add({{"reason", reason}});
    }
    return metrics;
}

void countRefusal(Metrics &metrics, Reason reason, RequestClass requestClass)
{
    if (reason != Reason::None) {
        metrics.m_refusalCounters[static_cast<size_t>(reason)][static_cast<size_t>(requestClass)]->Increment();
    }
}

void countRetry(Metrics &metrics, Reason reason, const std::string &pool)
{
    metrics.m_retries.Add({{"reason", std::string(toString(reason))}, {"pool", pool}}).Increment();
}

void countDrop(Metrics &metrics, Reason reason)
{
    if (reason != Reason::None) {
        metrics.m_dropCounters[static_cast<size_t>(reason)]->Increment();
    }
}

void recordRequest(Metrics &metrics, const RequestRecord &record)
{
    metrics.m_requests
        .Add({{"pipeline", record.m_pipeline},
              {"tier", record.m_tier},
              {"class", std::string(toString(record.m_class))},
              {"outcome", std::string(toString(record.m_outcome))},
              {"in_deadline", record.m_inDeadline ? "true" : "false"}})
        .Increment();
    metrics.m_duration.Observe(toSeconds(record.m_duration));
    if (record.m_firstToken) {
        metrics.m_firstToken.Observe(toSeconds(*record.m_firstToken));
    }
    const std::lock_guard lock(metrics.m_tableMutex);
    AttainmentRow &row = metrics.m_attainment[{record.m_pipeline, record.m_class}];
    row.m_pipeline = record.m_pipeline;
    row.m_class = record.m_class;
    ++row.m_requests;
    row.m_inDeadline += record.m_inDeadline && record.m_outcome == Outcome::Answered ? 1 : 0;
}

void recordCost(Metrics &metrics, const std::string &pipeline, const std::string &stage, CostUse use, Duration time, int64_t tokens)
{
    const prometheus::Labels labels = {{"pipeline", pipeline}, {"stage", stage}, {"use", std::string(toString(use))}};
    metrics.m_costSeconds.Add(labels).Increment(toSeconds(time));
    metrics.m_costTokens.Add(labels).Increment(static_cast<double>(tokens));
    const std::lock_guard lock(metrics.m_tableMutex);
    CostRow &row = metrics.m_costs[{pipeline, stage, use}];
    row.m_pipeline = pipeline;
    row.m_stage = stage;
    row.m_use = use;
    row.m_seconds += toSeconds(time);
    row.m_tokens += tokens;
}

void recordTokenGap(Metrics &metrics, Duration gap)
{
    metrics.m_tokenGap.Observe(toSeconds(gap));
}

void setGauge(Metrics &metrics, const std::string &name, double value)
{
    metrics.m_gauges.Add({{"name", name}}).Set(value);
}

std::string exposeMetrics(Metrics &metrics)
{
    return prometheus::TextSerializer().Serialize(metrics.m_registry.Collect());
}

std::vector<AttainmentRow> attainmentTable(Metrics &metrics)
{
    const std::lock_guard lock(metrics.m_tableMutex);
    std::vector<AttainmentRow> rows;
    for (const auto &[key, row] : metrics.m_attainment) {
        rows.push_back(row);
    }
    return rows;
}

std::vector<CostRow> costTable(Metrics &metrics)
{
    const std::lock_guard lock(metrics.m_tableMutex);
    std::vector<CostRow> rows;
    for (const auto &[key, row] : metrics.m_costs) {
        rows.push_back(row);
    }
    return rows;
}

} // namespace Medlarramp
