#include <algorithm>
#include <cmath>

#include "serving.h"

namespace Medlarramp::Serving {

namespace {

constexpr int SamplesForHalfWeight = 3; ///< measured ratios include noise, so that a few of them count in part only
constexpr double MaxMeasuredRatio = 8; ///< a request that waits for a slot takes longer, but says little about the speed
constexpr double MinMeasuredRatio = 0.25;
constexpr double FixedFirstEventSeconds = 0.02; ///< network and first token
constexpr double SecondsPerRunningRequest = 0.004; ///< the prior of placement
constexpr int BaselineSamples = 200; ///< the baseline covers about this many first events

double remainingWeight(Duration age, Duration memory)
{
    return std::exp(-static_cast<double>(age.count()) / static_cast<double>(memory.count()));
}

void addToMean(SpeedEstimate &estimate, double ratio, TimePoint now)
{
    estimate.m_samples = std::min(estimate.m_samples + 1, MaxSpeedSamples);
    estimate.m_mean += (ratio - estimate.m_mean) / estimate.m_samples;
    estimate.m_observedAt = now;
}

} // namespace

bool observeReportedSpeed(SpeedEstimate &estimate, double ratio, TimePoint now)
{
    if (!(ratio >= MinSpeedRatio && ratio <= MaxSpeedRatio)) {
        return false;
    }
    addToMean(estimate, ratio, now);
    estimate.m_latest = ratio;
    estimate.m_reportedAt = now;
    return true;
}

void observeMeasuredSpeed(SpeedEstimate &estimate, double ratio, TimePoint now)
{
    addToMean(estimate, std::clamp(ratio, MinMeasuredRatio, MaxMeasuredRatio), now);
}

SpeedValue estimateSpeed(const SpeedEstimate &estimate, TimePoint now)
{
    SpeedValue value;
    if (estimate.m_samples == 0) {
        return value;
    }
    value.m_age = now - estimate.m_observedAt;
    const double samples = estimate.m_samples;
    const double confidence = estimate.m_reportedAt ? 1 : samples / (samples + SamplesForHalfWeight);
    const double mean = 1 + (estimate.m_mean - 1) * confidence * remainingWeight(value.m_age, SpeedMeanMemory);
    value.m_ratio = mean;
    if (estimate.m_reportedAt) {
        value.m_ratio += (estimate.m_latest - mean) * remainingWeight(now - *estimate.m_reportedAt, SpeedReportMemory);
    }
    value.m_deviation = value.m_ratio / mean;
    return value;
}

double measureFirstEvent(SpeedBaseline &baseline, int64_t uncachedTokens, int running, Duration time)
{
    const double expected =
        std::chrono::duration<double>(priorReadTime(uncachedTokens)).count() + running * SecondsPerRunningRequest + FixedFirstEventSeconds;
    const double ratio = std::chrono::duration<double>(time).count() / expected;
    baseline.m_samples = std::min(baseline.m_samples + 1, BaselineSamples);
    baseline.m_mean += (std::clamp(ratio, MinSpeedRatio, MaxSpeedRatio) - baseline.m_mean) / baseline.m_samples;
    return ratio / baseline.m_mean;
}

} // namespace Medlarramp::Serving
