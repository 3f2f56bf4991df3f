#include <algorithm>

#include "serving.h"

namespace Medlarramp::Serving {

namespace {

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

bool isUnreachable(TimePoint deadline, Duration work, TimePoint now)
{
    return now + work + FinishMargin > deadline;
}

} // namespace Medlarramp::Serving
