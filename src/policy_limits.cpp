#include <algorithm>
#include <cassert>
#include <cmath>

#include "policy.h"

namespace Medlarramp {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
constexpr double RecentGain = 0.1; ///< weight of a new latency sample
constexpr double MinUtilisation = 0.8; ///< share of the limit that must be in use for the limit to grow
constexpr uint32_t MinMeanSamples = 8; ///< with fewer samples the mean neither sets the lowest latency nor counts as congestion
/// Congestion reduces the limit to this share of the concurrency that the upstream serves at the lowest latency. Below 1, so
/// that a queue which already existed when the lowest latency was measured shrinks with each decrease instead of growing.
constexpr double DecreaseMargin = 0.9;
constexpr Duration MinDecreaseGap = milliseconds(10);
constexpr Duration ConcurrencyRetryAfter = milliseconds(200); ///< RateDecision::m_retryAfter at the concurrency limit

double toSeconds(Duration duration)
{
    return static_cast<double>(duration.count()) / MicrosecondsPerSecond;
}

Duration fromSeconds(double value)
{
    return Duration(static_cast<int64_t>(value * MicrosecondsPerSecond));
}

double ratePerSecond(const Organisation &organisation, double share)
{
    return organisation.m_requestsPerSecond * std::clamp(share, 0.0, 1.0);
}

double burstOf(const Organisation &organisation)
{
    return std::max(1.0, static_cast<double>(organisation.m_burst));
}

void refill(OrganisationUsage &use, const Organisation &organisation, double share, TimePoint now)
{
    const double accrued = toSeconds(now - use.m_refilled) * ratePerSecond(organisation, share);
    use.m_tokens = std::min(burstOf(organisation), use.m_tokens + std::max(0.0, accrued));
    use.m_refilled = std::max(use.m_refilled, now);
}

/** Removes the organisation without open requests whose tokens were refilled longest ago. */
void removeOldestIdle(OrganisationLimits &limits)
{
    auto oldest = limits.m_usages.end();
    for (auto it = limits.m_usages.begin(); it != limits.m_usages.end(); ++it) {
        const bool idle = it->second.m_open == 0;
        if (idle && (oldest == limits.m_usages.end() || it->second.m_refilled < oldest->second.m_refilled)) {
            oldest = it;
        }
    }
    if (oldest != limits.m_usages.end()) {
        limits.m_usages.erase(oldest);
    }
}

void rotateWindow(AdaptiveLimit &limit, const LimitSettings &settings, TimePoint now)
{
    if (now < limit.m_windowEnd) {
        return;
    }
    limit.m_previousLowestLatency = limit.m_lowestLatency;
    limit.m_lowestLatency = 0;
    limit.m_windowEnd = now + settings.m_baselineWindow;
}

double baseline(const AdaptiveLimit &limit)
{
    if (limit.m_lowestLatency > 0 && limit.m_previousLowestLatency > 0) {
        return std::min(limit.m_lowestLatency, limit.m_previousLowestLatency);
    }
    return std::max(limit.m_lowestLatency, limit.m_previousLowestLatency);
}

void decrease(AdaptiveLimit &limit, double factor, double minimum, TimePoint now)
{
    if (now < limit.m_nextDecrease) {
        return;
    }
    limit.m_limit = std::max(std::min(minimum, limit.m_limit), limit.m_limit * factor);
    // Answers to requests opened before this decrease still show the congestion that it removes, so they are ignored.
    limit.m_samples = 0;
    limit.m_nextDecrease = now + std::max(MinDecreaseGap, fromSeconds(2 * limit.m_meanLatency));
}

void increase(AdaptiveLimit &limit, const LimitSettings &settings, uint32_t open)
{
    // The number of open requests is an integer, so a limit of 2.5 is fully used at 2.
    if (static_cast<double>(open) < MinUtilisation * std::floor(limit.m_limit)) {
        return;
    }
    // Below 1, requests are rare and a step of m_increase at each would be many times the limit.
    const double step = settings.m_increase * std::min(limit.m_limit, 1 / limit.m_limit);
    limit.m_limit = std::min(settings.m_maximum, limit.m_limit + step);
}

/**
 * Tolerated latency as a multiple of the lowest. It is higher for small limits, so that small limits grow and large ones shrink
 * until the entries have equal shares of an upstream.
 */
double toleranceOf(const AdaptiveLimit &limit, const LimitSettings &settings)
{
    return settings.m_tolerance + settings.m_smallLimitTolerance / std::sqrt(std::max(1.0, limit.m_limit));
}

void recordLatency(AdaptiveLimit &limit, Duration latency)
{
    const double value = std::max(toSeconds(latency), 1 / MicrosecondsPerSecond);
    limit.m_samples += 1;
    limit.m_meanLatency += std::max(RecentGain, 1.0 / limit.m_samples) * (value - limit.m_meanLatency);
    // The lowest mean is used, because one short request would set a baseline below the latency of an average request.
    if (limit.m_samples >= MinMeanSamples) {
        limit.m_lowestLatency = limit.m_lowestLatency > 0 ? std::min(limit.m_lowestLatency, limit.m_meanLatency) : limit.m_meanLatency;
    }
}

} // namespace

RateDecision beginOrganisationRequest(OrganisationLimits &limits, const Organisation &organisation, double share, TimePoint now)
{
    const uint64_t key = hash64(organisation.m_name);
    auto it = limits.m_usages.find(key);
    if (it == limits.m_usages.end()) {
        if (limits.m_usages.size() >= MaxTrackedOrganisations) {
            removeOldestIdle(limits);
        }
        it = limits.m_usages.emplace(key, OrganisationUsage{burstOf(organisation), now, 0}).first;
    }
    OrganisationUsage &use = it->second;
    if (organisation.m_maxConcurrent > 0 && use.m_open >= organisation.m_maxConcurrent) {
        return {Reason::ConcurrencyLimited, ConcurrencyRetryAfter};
    }
    if (organisation.m_requestsPerSecond > 0) {
        refill(use, organisation, share, now);
        if (use.m_tokens < 1) {
            const double rate = std::max(ratePerSecond(organisation, share), 1e-3);
            return {Reason::RateLimited, fromSeconds((1 - use.m_tokens) / rate)};
        }
        use.m_tokens -= 1;
    }
    use.m_open += 1;
    return {};
}

void endOrganisationRequest(OrganisationLimits &limits, const Organisation &organisation)
{
    const auto it = limits.m_usages.find(hash64(organisation.m_name));
    assert(it != limits.m_usages.end() && it->second.m_open > 0);
    it->second.m_open -= 1;
}

LimitSignal limitSignal(const AttemptVerdict &verdict)
{
    if (verdict.m_outcome == Outcome::Answered) {
        return LimitSignal::Success;
    }
    if (verdict.m_reason == Reason::UpstreamOverloaded) {
        return LimitSignal::Rejected;
    }
    return verdict.m_reason == Reason::AttemptTimeout ? LimitSignal::Failed : LimitSignal::Ignored;
}

AdaptiveLimit makeAdaptiveLimit(const LimitSettings &settings)
{
    AdaptiveLimit limit;
    limit.m_limit = std::clamp(settings.m_initial, settings.m_minimum, settings.m_maximum);
    return limit;
}

void observeSample(AdaptiveLimit &limit, const LimitSettings &settings, const LimitSample &sample, TimePoint now)
{
    if (sample.m_signal == LimitSignal::Ignored) {
        return;
    }
    if (sample.m_signal != LimitSignal::Success) {
        decrease(limit, settings.m_rejectedDecrease, settings.m_minimum, now);
        return;
    }
    if (now < limit.m_nextDecrease) {
        return;
    }
    rotateWindow(limit, settings, now);
    recordLatency(limit, sample.m_latency);
    const bool measured = limit.m_samples >= MinMeanSamples;
    if (measured && limit.m_meanLatency > toleranceOf(limit, settings) * baseline(limit)) {
        // By Little's law this factor empties the queue on the upstream, so that the lowest latency can be measured again.
        // Latency is noisy, so it does not reduce the limit below 1; only rejections and time-outs do.
        const double factor = std::max(settings.m_decrease, DecreaseMargin * baseline(limit) / limit.m_meanLatency);
        decrease(limit, factor, std::max(1.0, settings.m_minimum), now);
        return;
    }
    increase(limit, settings, sample.m_open);
}

bool hasFreeCapacity(const AdaptiveLimit &limit, uint32_t open, TimePoint now)
{
    if (limit.m_limit < 1) {
        return open == 0 && now >= limit.m_nextOpen;
    }
    return static_cast<double>(open) + 1 <= limit.m_limit;
}

void recordOpened(AdaptiveLimit &limit, TimePoint now)
{
    if (limit.m_limit < 1) {
        limit.m_nextOpen = now + fromSeconds(limit.m_meanLatency / limit.m_limit);
    }
}

} // namespace Medlarramp
