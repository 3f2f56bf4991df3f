#include <algorithm>
#include <cmath>

#include "policy.h"

namespace Medlarramp {

namespace {

constexpr int MaxBackoffDoublings = 20; ///< keeps the shift below the width of the delay
/// An attempt that may be retried times out at the mean plus this many mean absolute deviations, which leaves time for retries.
constexpr double TimeoutDeviations = 8;
constexpr double MinTimeoutShare = 0.25; ///< of the time of the stage; lower bound, so that a slow period does not time out every attempt
constexpr uint64_t MinTimeoutSamples = 20; ///< with fewer samples, an attempt may use the whole time of the stage

RetryDecision noRetry(Reason reason)
{
    return {false, Duration{0}, reason};
}

bool mayRetry(const FailedAttempt &failed)
{
    if (failed.m_verdict.m_outcome == Outcome::NotRun) {
        return true;
    }
    return !failed.m_delivered && (failed.m_idempotent || failed.m_refusesRepeats);
}

/** Whether a retry cannot succeed or is not wanted. */
bool isFinal(Reason reason)
{
    return reason == Reason::CallerGone || reason == Reason::UpstreamRejected || reason == Reason::None;
}

} // namespace

void countFirstAttempt(AttemptBudget &budget)
{
    budget.m_tokens = std::min(budget.m_maximum, budget.m_tokens + budget.m_share);
}

bool spendExtraAttempt(AttemptBudget &budget)
{
    if (budget.m_tokens < 1) {
        return false;
    }
    budget.m_tokens -= 1;
    return true;
}

Duration backoffLimit(const RetrySettings &settings, int attempt)
{
    const int doublings = std::clamp(attempt, 0, MaxBackoffDoublings);
    return std::min(settings.m_maxDelay, settings.m_baseDelay * (int64_t{1} << doublings));
}

RetryDecision decideRetry(AttemptBudget &budget, const RetrySettings &settings, const FailedAttempt &failed, TimePoint now, Random &random)
{
    if (isFinal(failed.m_verdict.m_reason) || !mayRetry(failed) || failed.m_attempt + 1 >= failed.m_maxAttempts) {
        return noRetry(failed.m_verdict.m_reason);
    }
    const Duration limit = backoffLimit(settings, failed.m_attempt);
    const Duration jittered = Duration(static_cast<int64_t>(uniformReal(random) * static_cast<double>(limit.count())));
    const Duration delay = std::max(jittered, std::min(failed.m_retryAfter.value_or(Duration{0}), settings.m_maxDelay));
    if (now + delay + settings.m_minAttempt > failed.m_deadline) {
        return noRetry(Reason::DeadlineExceeded);
    }
    if (!spendExtraAttempt(budget)) {
        return noRetry(Reason::RetryBudgetExhausted);
    }
    return {true, delay, failed.m_verdict.m_reason};
}

Duration attemptTimeout(Duration left, double stageShare, const DurationEstimate &estimate, int64_t attemptsLeft)
{
    const double whole = static_cast<double>(std::max(left, Duration{0}).count()) * std::clamp(stageShare, 0.0, 1.0);
    const auto stage = Duration(static_cast<int64_t>(whole));
    if (attemptsLeft <= 0 || estimate.m_samples < MinTimeoutSamples) {
        return stage;
    }
    const auto floor = Duration(static_cast<int64_t>(whole * MinTimeoutShare));
    return std::min(stage, std::max(floor, upperBoundOf(estimate, TimeoutDeviations)));
}

std::optional<Duration> hedgeDelay(const DurationEstimate &estimate, bool idempotent, const HedgeSettings &settings)
{
    if (!idempotent || estimate.m_samples < settings.m_minSamples) {
        return std::nullopt;
    }
    return std::max(settings.m_minDelay, upperBoundOf(estimate, settings.m_deviations));
}

bool decideHedge(AttemptBudget &budget,
                 const DurationEstimate &estimate,
                 bool idempotent,
                 Duration elapsed,
                 Duration left,
                 const HedgeSettings &settings)
{
    const std::optional<Duration> delay = hedgeDelay(estimate, idempotent, settings);
    if (!delay || elapsed < *delay || left < meanOf(estimate)) {
        return false;
    }
    return spendExtraAttempt(budget);
}

} // namespace Medlarramp
