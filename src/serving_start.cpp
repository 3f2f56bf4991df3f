#include <algorithm>

#include "serving.h"

namespace Medlarramp::Serving {

namespace {

constexpr double OrdinaryValue = 1; ///< requests of this value or more start if the expected delay is at most their slack
constexpr double MinSlackShare = 0.4; ///< lowest share of the slack that the delay may take; low values leave queue capacity to others
constexpr Duration FinishMargin = milliseconds(300); ///< time that must remain between the expected end and the deadline

/** Expected time from the start of the plan to the start of @p stage, with empty queues. */
Duration expectedStart(const ServingConfiguration &configuration, const ServingRoute &route, const StagePlan &plan, size_t stage)
{
    Duration latest{};
    for (const size_t input : route.m_stages[stage].m_after) {
        if (input < stage && plan.m_stages[input].m_pieces > 0) {
            latest = std::max(latest, expectedStart(configuration, route, plan, input) + expectedStageTime(configuration, route, input));
        }
    }
    return latest;
}

} // namespace

Duration expectedDelay(const ServingConfiguration &configuration,
                       const ServingRoute &route,
                       const StagePlan &plan,
                       const Backlogs &backlogs,
                       TimePoint now)
{
    Duration longest{};
    for (size_t stage = 0; stage < plan.m_stages.size(); ++stage) {
        const auto backlog = backlogs.find(route.m_stages[stage].m_service);
        if (plan.m_stages[stage].m_pieces == 0 || backlog == backlogs.end()) {
            continue;
        }
        // The queue of a later stage shrinks while the earlier stages run.
        const TimePoint arrival = now + expectedStart(configuration, route, plan, stage);
        longest = std::max(longest, backlog->second - arrival);
    }
    return longest;
}

Duration expectedPlanTime(const ServingConfiguration &configuration, const ServingRoute &route, const StagePlan &plan)
{
    Duration longest{};
    for (size_t stage = 0; stage < plan.m_stages.size(); ++stage) {
        if (plan.m_stages[stage].m_pieces > 0) {
            longest = std::max(longest, expectedStart(configuration, route, plan, stage) + expectedStageTime(configuration, route, stage));
        }
    }
    return longest;
}

Duration firstEventTimeout(const ServingRoute &route)
{
    if (route.m_kind != RequestKind::Streaming) {
        return route.m_timeout;
    }
    return std::max({MinFirstEventTimeout, route.m_objective * FirstEventTimeoutObjectives, route.m_gapObjective * FirstEventTimeoutGaps});
}

StartDecision decideStart(const StartRequest &request, TimePoint now)
{
    if (now + request.m_work + FinishMargin > request.m_deadline) {
        return StartDecision::Refuse;
    }
    const Duration slack = request.m_objectiveAt - now - request.m_work;
    if (slack <= Duration(0)) {
        return request.m_delay <= ShortBacklog ? StartDecision::Start : StartDecision::DeferStart;
    }
    const double share = std::clamp(request.m_value / OrdinaryValue, MinSlackShare, 1.0);
    const Duration usableSlack(static_cast<int64_t>(static_cast<double>(slack.count()) * share));
    return request.m_delay <= std::max(usableSlack, ShortBacklog) ? StartDecision::Start : StartDecision::DeferStart;
}

} // namespace Medlarramp::Serving
