#include <algorithm>
#include <cassert>
#include <cmath>

#include "policy.h"

namespace Medlarramp {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
constexpr double HealthGain = 0.1; ///< weight of a new sample
constexpr int MaxDoublings = 16; ///< keeps the shift below the width of the duration
constexpr size_t MinLatencyPeers = 3; ///< a median over fewer replicas does not show which of them is slow

double toSeconds(Duration duration)
{
    return static_cast<double>(duration.count()) / MicrosecondsPerSecond;
}

size_t ejectedCount(std::span<const ReplicaHealth> pool, TimePoint now)
{
    return static_cast<size_t>(
        std::count_if(pool.begin(), pool.end(), [now](const ReplicaHealth &health) { return isEjected(health, now); }));
}

bool hasLatency(const ReplicaHealth &health)
{
    return health.m_latency > 0;
}

/** Median latency of the replicas with a measured latency; 0: too few. Found by counting, without a copy of the pool. */
double medianLatency(std::span<const ReplicaHealth> pool)
{
    const auto measured = static_cast<size_t>(std::count_if(pool.begin(), pool.end(), hasLatency));
    if (measured < MinLatencyPeers) {
        return 0;
    }
    for (const ReplicaHealth &health : pool) {
        if (!hasLatency(health)) {
            continue;
        }
        size_t below = 0;
        size_t equal = 0;
        for (const ReplicaHealth &other : pool) {
            below += hasLatency(other) && other.m_latency < health.m_latency ? 1 : 0;
            equal += other.m_latency == health.m_latency ? 1 : 0;
        }
        if (below <= measured / 2 && measured / 2 < below + equal) {
            return health.m_latency;
        }
    }
    return 0;
}

bool isSlow(std::span<const ReplicaHealth> pool, const ReplicaHealth &health, const OutlierSettings &settings)
{
    const double median = medianLatency(pool);
    return median > 0 && health.m_latency > settings.m_latencyFactor * median;
}

bool isOutlier(std::span<const ReplicaHealth> pool, const ReplicaHealth &health, const OutlierSettings &settings)
{
    if (health.m_consecutiveFailures >= settings.m_consecutiveFailures) {
        return true;
    }
    if (health.m_samples < settings.m_minSamples) {
        return false;
    }
    return health.m_failureShare > settings.m_failureShare || isSlow(pool, health, settings);
}

void record(ReplicaHealth &health, const HealthSample &sample)
{
    health.m_samples += 1;
    health.m_consecutiveFailures = sample.m_failed ? health.m_consecutiveFailures + 1 : 0;
    health.m_failureShare += HealthGain * ((sample.m_failed ? 1.0 : 0.0) - health.m_failureShare);
    const double latency = toSeconds(sample.m_latency);
    // A fast failure is no evidence of the latency; an attempt that failed after more than the mean latency is.
    if (latency > 0 && (!sample.m_failed || latency > health.m_latency)) {
        health.m_latency = hasLatency(health) ? health.m_latency + HealthGain * (latency - health.m_latency) : latency;
    }
}

void eject(ReplicaHealth &health, const OutlierSettings &settings, TimePoint now)
{
    if (now - health.m_ejectedUntil > settings.m_resetAfter) {
        health.m_ejections = 0;
    }
    const int doublings = std::min(health.m_ejections, MaxDoublings);
    const int ejections = health.m_ejections + 1;
    const Duration ejectionTime = std::min(settings.m_maxEjection, settings.m_baseEjection * (int64_t{1} << doublings));
    health = ReplicaHealth{};
    health.m_ejections = ejections;
    health.m_ejectedUntil = now + ejectionTime;
}

} // namespace

bool isReplicaFailure(const AttemptVerdict &verdict)
{
    switch (verdict.m_reason) {
    case Reason::ConnectFailed:
    case Reason::ConnectionLost:
    case Reason::AttemptTimeout:
    case Reason::UpstreamError:
    case Reason::StreamTruncated:
    case Reason::InvalidAnswer:
        return verdict.m_outcome != Outcome::Answered;
    default:
        // Silence is attributed to the connection; an attempt on a new one shows whether the replica has failed. Overload and
        // leaving are handled by the adaptive limit and observeReplica().
        return false;
    }
}

bool isEjected(const ReplicaHealth &health, TimePoint now)
{
    return now < health.m_ejectedUntil;
}

bool observeHealth(std::span<ReplicaHealth> pool, size_t index, const HealthSample &sample, const OutlierSettings &settings, TimePoint now)
{
    assert(index < pool.size());
    ReplicaHealth &health = pool[index];
    if (isEjected(health, now)) {
        return false;
    }
    record(health, sample);
    if (!isOutlier(pool, health, settings)) {
        return false;
    }
    const auto maxEjected = static_cast<size_t>(std::floor(settings.m_maxEjected * static_cast<double>(pool.size())));
    if (ejectedCount(pool, now) >= maxEjected) {
        return false;
    }
    eject(health, settings, now);
    return true;
}

} // namespace Medlarramp
