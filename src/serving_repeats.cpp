#include <algorithm>
#include <cmath>

#include "serving.h"

namespace Medlarramp::Serving {

namespace {

constexpr int64_t BucketsPerWindow = 10;
constexpr double SafetyFactor = 0.8; ///< part of the common budget that is used, as the windows of the gateways are not aligned

RetryBudget::Bucket &currentBucket(RetryBudget &budget, const GatewaySettings &settings, TimePoint now)
{
    const Duration width = settings.m_retryWindow / BucketsPerWindow;
    while (!budget.m_buckets.empty() && budget.m_buckets.front().m_start + settings.m_retryWindow + width < now) {
        budget.m_buckets.pop_front();
    }
    if (budget.m_buckets.empty() || budget.m_buckets.back().m_start + width <= now) {
        budget.m_buckets.push_back({now, 0, 0});
    }
    return budget.m_buckets.back();
}

bool isRetryAllowed(const AttemptState &state)
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

NextStep finalStep(const AttemptState &state, AttemptEnd end)
{
    if (state.m_answerStarted) {
        return NextStep::AbortStream;
    }
    if (end == AttemptEnd::Failed) {
        return NextStep::Relay;
    }
    return state.m_ran == 0 ? NextStep::RefuseNotRun : NextStep::FailUnknown;
}

} // namespace

void countRequest(RetryBudget &budget, const GatewaySettings &settings, TimePoint now)
{
    currentBucket(budget, settings, now).m_requests += 1;
}

bool takeRetry(RetryBudget &budget, const GatewaySettings &settings, size_t gateways, TimePoint now)
{
    RetryBudget::Bucket &current = currentBucket(budget, settings, now);
    int64_t requests = 0;
    int64_t retries = 0;
    for (const RetryBudget::Bucket &bucket : budget.m_buckets) {
        requests += bucket.m_requests;
        retries += bucket.m_retries;
    }
    const double extraRetries = std::floor(SafetyFactor * settings.m_extraRetries / static_cast<double>(std::max<size_t>(1, gateways)));
    const double allowed = SafetyFactor * settings.m_retryRatio * static_cast<double>(requests) + extraRetries;
    if (static_cast<double>(retries + 1) > allowed) {
        return false;
    }
    current.m_retries += 1;
    return true;
}

NextStep decideNextStep(const AttemptState &state, AttemptEnd end, TimePoint now, const std::function<bool()> &budgetLeft)
{
    const bool notRun = end == AttemptEnd::NotSent || end == AttemptEnd::Rejected;
    if (state.m_deadline - now < MinAttemptTime) {
        return finalStep(state, end);
    }
    if (notRun) {
        const bool limitReached = state.m_sent >= MaxSentAttempts || (end == AttemptEnd::Rejected && state.m_ran >= state.m_maxAttempts);
        return !limitReached && budgetLeft() ? NextStep::Retry : finalStep(state, end);
    }
    if (!isRetryAllowed(state) || state.m_ran >= state.m_maxAttempts || !budgetLeft()) {
        return finalStep(state, end);
    }
    return NextStep::Retry;
}

} // namespace Medlarramp::Serving
