#include <fmt/format.h>

#include "gateway_internal.h"

namespace Medlarramp::Serving {

bool learnsEngineSpeed(const Gateway &gateway, const Exchange &exchange)
{
    // Engines of earlier deployments all run at one speed, and their placement stays as it is.
    return exchange.m_route->m_usesEngine
        && separatesLongPrompts(*exchange.m_configuration, exchange.m_service, gateway.m_settings.m_longPrompts);
}

void observeSpeedHeader(Gateway &gateway, const std::string &replica, const HttpHeaders &headers)
{
    const std::optional<std::string_view> load = findHeader(headers, Platform::ReplicaLoad);
    const std::optional<double> ratio = load ? Platform::parseSpeedRatio(*load) : std::nullopt;
    const auto upstream = gateway.m_upstreams.find(replica);
    if (!ratio || upstream == gateway.m_upstreams.end()) {
        return;
    }
    const TimePoint now = gatewayNow(gateway);
    if (!observeReportedSpeed(upstream->second.m_speed, *ratio, now)) {
        gateway.m_invalidSpeeds += 1;
        writeLog(LogLevel::Warning, "attempt", "Implausible speed ignored.", {{"replica", replica}, {"load", std::string(*load)}});
        return;
    }
    for (auto &[service, owned] : gateway.m_queues) {
        observeWorkerSpeed(owned->m_queue, replica, *ratio, now);
    }
}

double plainSpeedRatio(const Upstream &upstream, TimePoint now)
{
    const SpeedValue speed = estimateSpeed(upstream.m_speed, now);
    return upstream.m_latency > 0 ? speed.m_deviation : speed.m_ratio;
}

void observeFirstEvent(Gateway &gateway, Exchange &exchange, Duration time)
{
    const auto upstream = gateway.m_upstreams.find(exchange.m_attempt->m_replica);
    const std::optional<int64_t> tokens = std::exchange(exchange.m_attempt->m_uncachedTokens, std::nullopt);
    if (!tokens || upstream == gateway.m_upstreams.end()) {
        return;
    }
    SpeedBaseline &baseline = gateway.m_speedBaselines[exchange.m_service];
    const double ratio = measureFirstEvent(baseline, *tokens, exchange.m_attempt->m_runningBefore, time);
    observeMeasuredSpeed(upstream->second.m_speed, ratio, gatewayNow(gateway));
}

} // namespace Medlarramp::Serving
