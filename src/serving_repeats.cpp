#include <algorithm>
#include <cmath>

#include "serving.h"

namespace Medlarramp::Serving {

namespace {

constexpr int64_t BucketsPerWindow = 10;
constexpr double SafeShare = 0.8; ///< part of the common budget that is used, as windows of others differ

RepeatBudget::Bucket &bucketAt(RepeatBudget &budget, const GatewaySettings &settings, TimePoint now)
{
    const Duration width = settings.m_repeatWindow / BucketsPerWindow;
    while (!budget.m_buckets.empty() && budget.m_buckets.front().m_start + settings.m_repeatWindow + width < now) {
        budget.m_buckets.pop_front();
    }
    if (budget.m_buckets.empty() || budget.m_buckets.back().m_start + width <= now) {
        budget.m_buckets.push_back({now, 0, 0});
    }
    return budget.m_buckets.back();
}

bool mayRunAgain(const AttemptState &state)
{
    switch (state.m_kind) {
    case RequestKind::Idempotent:
        return true;
    case RequestKind::NonIdempotent:
        return false;
    case RequestKind::Streaming:
        return state.m_resumable;
    }
    return false;
}

NextStep giveUp(const AttemptState &state, AttemptEnd end)
{
    if (state.m_begun) {
        return NextStep::BreakOff;
    }
    if (end == AttemptEnd::Failed) {
        return NextStep::Relay;
    }
    return state.m_ran == 0 ? NextStep::RefuseNotRun : NextStep::FailUnknown;
}

} // namespace

void countRequest(RepeatBudget &budget, const GatewaySettings &settings, TimePoint now)
{
    bucketAt(budget, settings, now).m_requests += 1;
}

bool takeRepeat(RepeatBudget &budget, const GatewaySettings &settings, size_t gateways, TimePoint now)
{
    RepeatBudget::Bucket &current = bucketAt(budget, settings, now);
    int64_t requests = 0;
    int64_t repeats = 0;
    for (const RepeatBudget::Bucket &bucket : budget.m_buckets) {
        requests += bucket.m_requests;
        repeats += bucket.m_repeats;
    }
    const double extra = std::floor(SafeShare * settings.m_repeatExtra / static_cast<double>(std::max<size_t>(1, gateways)));
    const double allowed = SafeShare * settings.m_repeatRatio * static_cast<double>(requests) + extra;
    if (static_cast<double>(repeats + 1) > allowed) {
        return false;
    }
    current.m_repeats += 1;
    return true;
}

NextStep decideNext(const AttemptState &state, AttemptEnd end, TimePoint now, const std::function<bool()> &budgetLeft)
{
    const bool notRun = end == AttemptEnd::NotSent || end == AttemptEnd::Rejected;
    if (state.m_deadline - now < MinAttemptTime) {
        return giveUp(state, end);
    }
    if (notRun) {
        const bool enough = state.m_sent >= MaxRejections || (end == AttemptEnd::Rejected && state.m_ran >= state.m_maxAttempts);
        return !enough && budgetLeft() ? NextStep::Retry : giveUp(state, end);
    }
    if (!mayRunAgain(state) || state.m_ran >= state.m_maxAttempts || !budgetLeft()) {
        return giveUp(state, end);
    }
    return NextStep::Retry;
}

} // namespace Medlarramp::Serving
