#include <algorithm>
#include <cassert>
#include <cmath>

#include "policy.h"

namespace Medlarramp {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
constexpr double RecentGain = 0.1; ///< weight of a new latency sample
constexpr double FullUse = 0.8; ///< share of the limit that must be in use before it grows
constexpr uint32_t MinMeanSamples = 8; ///< before a mean counts as lowest or as congestion
/// Share of the work that was open at the lowest latency to which congestion reduces the limit. Below 1, so that a queue which
/// already stood when the lowest latency was measured shrinks from decrease to decrease instead of growing.
constexpr double Undershoot = 0.9;
constexpr Duration MinDecreaseGap = milliseconds(10);
constexpr Duration ConcurrencyRetryAfter = milliseconds(200);

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

void refill(OrganisationUse &use, const Organisation &organisation, double share, TimePoint now)
{
    const double earned = toSeconds(now - use.m_refilled) * ratePerSecond(organisation, share);
    use.m_tokens = std::min(burstOf(organisation), use.m_tokens + std::max(0.0, earned));
    use.m_refilled = std::max(use.m_refilled, now);
}

/** Drops the organisation without open requests that was refilled longest ago. */
void dropOldest(OrganisationLimits &limits)
{
    auto oldest = limits.m_uses.end();
    for (auto it = limits.m_uses.begin(); it != limits.m_uses.end(); ++it) {
        const bool idle = it->second.m_open == 0;
        if (idle && (oldest == limits.m_uses.end() || it->second.m_refilled < oldest->second.m_refilled)) {
            oldest = it;
        }
    }
    if (oldest != limits.m_uses.end()) {
        limits.m_uses.erase(oldest);
    }
}

void rotateWindow(AdaptiveLimit &limit, const LimitSettings &settings, TimePoint now)
{
    if (now < limit.m_windowEnd) {
        return;
    }
    limit.m_lowestBefore = limit.m_lowest;
    limit.m_lowest = 0;
    limit.m_windowEnd = now + settings.m_baselineWindow;
}

double baseline(const AdaptiveLimit &limit)
{
    if (limit.m_lowest > 0 && limit.m_lowestBefore > 0) {
        return std::min(limit.m_lowest, limit.m_lowestBefore);
    }
    return std::max(limit.m_lowest, limit.m_lowestBefore);
}

void decrease(AdaptiveLimit &limit, double factor, double minimum, TimePoint now)
{
    if (now < limit.m_nextDecrease) {
        return;
    }
    limit.m_limit = std::max(std::min(minimum, limit.m_limit), limit.m_limit * factor);
    // Answers to requests opened before this decrease still show the congestion that it removes, so they are left out.
    limit.m_samples = 0;
    limit.m_nextDecrease = now + std::max(MinDecreaseGap, fromSeconds(2 * limit.m_recent));
}

void increase(AdaptiveLimit &limit, const LimitSettings &settings, uint32_t open)
{
    // Only whole requests can be open, so a limit of 2.5 is in full use at 2.
    if (static_cast<double>(open) < FullUse * std::floor(limit.m_limit)) {
        return;
    }
    // Below 1 the requests are rare, and a whole step at each would be many times the limit.
    const double step = settings.m_increase * std::min(limit.m_limit, 1 / limit.m_limit);
    limit.m_limit = std::min(settings.m_maximum, limit.m_limit + step);
}

/** A small limit tolerates more, so that the small ones grow and the large ones shrink until entries have equal shares. */
double toleranceOf(const AdaptiveLimit &limit, const LimitSettings &settings)
{
    return settings.m_tolerance + settings.m_smallTolerance / std::sqrt(std::max(1.0, limit.m_limit));
}

void recordLatency(AdaptiveLimit &limit, Duration latency)
{
    const double value = std::max(toSeconds(latency), 1 / MicrosecondsPerSecond);
    limit.m_samples += 1;
    limit.m_recent += std::max(RecentGain, 1.0 / limit.m_samples) * (value - limit.m_recent);
    // A single short request would set a bound that the average one can never meet, so the lowest mean counts.
    if (limit.m_samples >= MinMeanSamples) {
        limit.m_lowest = limit.m_lowest > 0 ? std::min(limit.m_lowest, limit.m_recent) : limit.m_recent;
    }
}

} // namespace

RateDecision beginOrganisationRequest(OrganisationLimits &limits, const Organisation &organisation, double share, TimePoint now)
{
    const uint64_t key = hash64(organisation.m_name);
    auto it = limits.m_uses.find(key);
    if (it == limits.m_uses.end()) {
        if (limits.m_uses.size() >= MaxTrackedOrganisations) {
            dropOldest(limits);
        }
        it = limits.m_uses.emplace(key, OrganisationUse{burstOf(organisation), now, 0}).first;
    }
    OrganisationUse &use = it->second;
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
    const auto it = limits.m_uses.find(hash64(organisation.m_name));
    assert(it != limits.m_uses.end() && it->second.m_open > 0);
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
    if (measured && limit.m_recent > toleranceOf(limit, settings) * baseline(limit)) {
        // By Little's law this factor empties the queue on the upstream, so that the lowest latency can be seen again. Latency
        // is noisy, so it does not take the last request away; only rejections do.
        const double factor = std::max(settings.m_decrease, Undershoot * baseline(limit) / limit.m_recent);
        decrease(limit, factor, std::max(1.0, settings.m_minimum), now);
        return;
    }
    increase(limit, settings, sample.m_open);
}

bool hasRoom(const AdaptiveLimit &limit, uint32_t open, TimePoint now)
{
    if (limit.m_limit < 1) {
        return open == 0 && now >= limit.m_nextOpen;
    }
    return static_cast<double>(open) + 1 <= limit.m_limit;
}

void countOpened(AdaptiveLimit &limit, TimePoint now)
{
    if (limit.m_limit < 1) {
        limit.m_nextOpen = now + fromSeconds(limit.m_recent / limit.m_limit);
    }
}

} // namespace Medlarramp
