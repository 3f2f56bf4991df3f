#include <algorithm>
#include <cmath>

#include "policy.h"

namespace Medlarramp {

namespace {

constexpr int MaxBackoffDoublings = 20; ///< keeps the shift below the width of the delay
/// An attempt that others may follow ends this many deviations above the mean, which leaves time for them.
constexpr double TimeoutDeviations = 8;
constexpr double MinTimeoutShare = 0.25; ///< of the stage's time, so that one slow period does not time out every attempt
constexpr uint64_t MinTimeoutSamples = 20;

RetryDecision giveUp(Reason reason)
{
    return {false, Duration{0}, reason};
}

bool mayRepeat(const FailedAttempt &failed)
{
    if (failed.m_verdict.m_outcome == Outcome::NotRun) {
        return true;
    }
    return !failed.m_delivered && (failed.m_idempotent || failed.m_refusesRepeats);
}

/** Failures that another attempt cannot change. */
bool isFinal(Reason reason)
{
    return reason == Reason::CallerGone || reason == Reason::UpstreamRejected || reason == Reason::None;
}

} // namespace

void countFirstAttempt(AttemptBudget &budget)
{
    budget.m_tokens = std::min(budget.m_maximum, budget.m_tokens + budget.m_share);
}

bool takeExtraAttempt(AttemptBudget &budget)
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
    if (isFinal(failed.m_verdict.m_reason) || !mayRepeat(failed) || failed.m_attempt + 1 >= failed.m_maxAttempts) {
        return giveUp(failed.m_verdict.m_reason);
    }
    const Duration limit = backoffLimit(settings, failed.m_attempt);
    const Duration jittered = Duration(static_cast<int64_t>(uniformReal(random) * static_cast<double>(limit.count())));
    const Duration delay = std::max(jittered, std::min(failed.m_retryAfter.value_or(Duration{0}), settings.m_maxDelay));
    if (now + delay + settings.m_minAttempt > failed.m_deadline) {
        return giveUp(Reason::DeadlineExceeded);
    }
    if (!takeExtraAttempt(budget)) {
        return giveUp(Reason::RetryBudgetExhausted);
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
    return std::min(stage, std::max(floor, upperOf(estimate, TimeoutDeviations)));
}

std::optional<Duration> hedgeDelay(const DurationEstimate &estimate, bool idempotent, const HedgeSettings &settings)
{
    if (!idempotent || estimate.m_samples < settings.m_minSamples) {
        return std::nullopt;
    }
    return std::max(settings.m_minDelay, upperOf(estimate, settings.m_deviations));
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
    return takeExtraAttempt(budget);
}

} // namespace Medlarramp
