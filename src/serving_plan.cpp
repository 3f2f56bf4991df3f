#include <algorithm>

#include "serving.h"

namespace Medlarramp::Serving {

namespace {

/** Larger results would fill the result capacity of their replicas, so their stage starts just in time. */
constexpr int64_t LargeResultBytes = 200'000;

bool hasDependents(const ServingRoute &route, const StagePlan &plan, size_t stage)
{
    for (size_t other = 0; other < route.m_stages.size(); ++other) {
        const std::vector<size_t> &after = route.m_stages[other].m_after;
        if (plan.m_stages[other].m_pieces > 0 && std::find(after.begin(), after.end(), stage) != after.end()) {
            return true;
        }
    }
    return false;
}

bool areAllInputsDone(const ServingRoute &route, const StagePlan &plan, size_t stage)
{
    const std::vector<size_t> &after = route.m_stages[stage].m_after;
    return std::all_of(after.begin(), after.end(), [&](size_t input) {
        return input < plan.m_stages.size() && plan.m_stages[input].m_state == StageState::Done;
    });
}

enum class DependentState : uint8_t { HasRead, IsDone };

bool haveAllDependentsReached(DependentState state, const ServingRoute &route, const StagePlan &plan, size_t stage)
{
    for (size_t other = 0; other < route.m_stages.size(); ++other) {
        const std::vector<size_t> &after = route.m_stages[other].m_after;
        const PlannedStage &dependent = plan.m_stages[other];
        const bool reads = std::find(after.begin(), after.end(), stage) != after.end();
        const bool hasRead = state == DependentState::HasRead && dependent.m_inputsRead;
        if (reads && dependent.m_state != StageState::Done && !hasRead) {
            return false;
        }
    }
    return true;
}

/** Stages with unreleased results that the run does not read, and whose dependent stages have all reached @p state. */
std::vector<size_t> stagesWithDependentsIn(DependentState state, const ServingRoute &route, const StagePlan &plan)
{
    std::vector<size_t> stages;
    for (size_t stage = 0; stage < plan.m_stages.size(); ++stage) {
        const PlannedStage &planned = plan.m_stages[stage];
        const bool hasResults = planned.m_state == StageState::Done && !planned.m_resultsReleased && !planned.m_handles.empty();
        if (hasResults && hasDependents(route, plan, stage) && haveAllDependentsReached(state, route, plan, stage)) {
            stages.push_back(stage);
        }
    }
    return stages;
}

void markAncestors(const ServingRoute &route, size_t stage, std::vector<bool> &marked)
{
    for (const size_t input : route.m_stages[stage].m_after) {
        if (input < marked.size() && !marked[input]) {
            marked[input] = true;
            markAncestors(route, input, marked);
        }
    }
}

constexpr Duration ExpectedQueueTime = milliseconds(80); ///< time in the queue and network round trip
constexpr double SizeMeanWeight = 0.02; ///< weight of a new request in the moving mean
constexpr double MinValueShare = 0.3; ///< part of a request's value that does not depend on its size
constexpr double MaxRelativeValue = 4; ///< limit, relative to a request of mean size on the route
constexpr double BackgroundRankWeight = 0.3; ///< for ranks after LastUrgentRank
constexpr int LastUrgentRank = 1;

} // namespace

double requestValue(SizeMean &mean, int rank, double size)
{
    const double weight = rank <= LastUrgentRank ? 1.0 : BackgroundRankWeight;
    if (size <= 0) {
        return weight;
    }
    mean.m_mean = mean.m_mean > 0 ? mean.m_mean + SizeMeanWeight * (size - mean.m_mean) : size;
    return weight * std::min(MaxRelativeValue, MinValueShare + (1 - MinValueShare) * size / mean.m_mean);
}

bool areValidCounts(const std::vector<int> &pieces)
{
    return std::all_of(pieces.begin(), pieces.end(), [](int count) { return count >= 0 && count <= MaxPieces; });
}

StagePlan makePlan(const ServingRoute &route, const std::vector<int> &pieces)
{
    StagePlan plan;
    plan.m_stages.resize(route.m_stages.size());
    for (size_t i = 0; i < plan.m_stages.size(); ++i) {
        plan.m_stages[i].m_pieces = i < pieces.size() ? std::max(0, pieces[i]) : 0;
        plan.m_stages[i].m_state = plan.m_stages[i].m_pieces == 0 ? StageState::Done : StageState::Waiting;
    }
    return plan;
}

std::vector<std::string> inputsOf(const ServingRoute &route, const StagePlan &plan, size_t stage)
{
    std::vector<std::string> inputs;
    for (const size_t input : route.m_stages[stage].m_after) {
        const std::vector<std::string> &handles = plan.m_stages[input].m_handles;
        inputs.insert(inputs.end(), handles.begin(), handles.end());
    }
    return inputs;
}

std::vector<std::string> finalInputs(const ServingRoute &route, const StagePlan &plan)
{
    std::vector<std::string> inputs;
    for (size_t stage = 0; stage < plan.m_stages.size(); ++stage) {
        if (!hasDependents(route, plan, stage)) {
            const std::vector<std::string> &handles = plan.m_stages[stage].m_handles;
            inputs.insert(inputs.end(), handles.begin(), handles.end());
        }
    }
    return inputs;
}

bool isPlanDone(const StagePlan &plan)
{
    return std::all_of(
        plan.m_stages.begin(), plan.m_stages.end(), [](const PlannedStage &stage) { return stage.m_state == StageState::Done; });
}

std::vector<size_t> stagesWithPieces(const StagePlan &plan)
{
    std::vector<size_t> stages;
    for (size_t stage = 0; stage < plan.m_stages.size(); ++stage) {
        if (plan.m_stages[stage].m_pieces > 0) {
            stages.push_back(stage);
        }
    }
    return stages;
}

std::vector<size_t> readyStages(const ServingRoute &route, const StagePlan &plan)
{
    std::vector<size_t> ready;
    for (size_t stage = 0; stage < plan.m_stages.size(); ++stage) {
        if (plan.m_stages[stage].m_state == StageState::Waiting && areAllInputsDone(route, plan, stage)) {
            ready.push_back(stage);
        }
    }
    return ready;
}

std::vector<size_t> evictableStages(const ServingRoute &route, const StagePlan &plan)
{
    std::vector<size_t> stages = stagesWithDependentsIn(DependentState::HasRead, route, plan);
    std::erase_if(stages, [&plan](size_t stage) { return plan.m_stages[stage].m_resultsEvictable; });
    return stages;
}

std::vector<size_t> releasableStages(const ServingRoute &route, const StagePlan &plan)
{
    return stagesWithDependentsIn(DependentState::IsDone, route, plan);
}

std::vector<size_t> stagesToRerun(const ServingRoute &route, const StagePlan &plan, size_t stage)
{
    std::vector<bool> marked(plan.m_stages.size(), false);
    marked[stage] = true;
    markAncestors(route, stage, marked);
    std::vector<size_t> rerunStages;
    for (size_t other = 0; other < plan.m_stages.size(); ++other) {
        const std::vector<size_t> &after = route.m_stages[other].m_after;
        const bool readsMarked =
            std::any_of(after.begin(), after.end(), [&](size_t input) { return input < marked.size() && marked[input]; });
        marked[other] = marked[other] || (readsMarked && plan.m_stages[other].m_state != StageState::Done);
        if (marked[other] && plan.m_stages[other].m_pieces > 0) {
            rerunStages.push_back(other);
        }
    }
    return rerunStages;
}

Duration expectedStageTime(const ServingConfiguration &configuration, const ServingRoute &route, size_t stage)
{
    const ServingService *service = findService(configuration, route.m_stages[stage].m_service);
    if (service == nullptr || !service->m_pieces) {
        return Duration(0);
    }
    const PieceLimits &limits = *service->m_pieces;
    return limits.m_callTime + limits.m_pieceTime * limits.m_batch * 3 / 4 + ExpectedQueueTime;
}

Duration expectedChainTime(const ServingConfiguration &configuration, const ServingRoute &route, const StagePlan &plan, size_t stage)
{
    Duration longest{};
    for (size_t other = stage + 1; other < route.m_stages.size(); ++other) {
        const std::vector<size_t> &after = route.m_stages[other].m_after;
        if (plan.m_stages[other].m_state != StageState::Done && std::find(after.begin(), after.end(), stage) != after.end()) {
            longest = std::max(longest, expectedChainTime(configuration, route, plan, other));
        }
    }
    return longest + expectedStageTime(configuration, route, stage);
}

std::string preferredDomain(const BytesByDomain &inputs, int pieces, const std::string &reader, int64_t resultBytes)
{
    BytesByDomain bytesByDomain;
    for (const auto &[domain, bytes] : inputs) {
        bytesByDomain[domain] += bytes * pieces;
    }
    if (!reader.empty()) {
        bytesByDomain[reader] += resultBytes;
    }
    const auto largest = std::max_element(
        bytesByDomain.begin(), bytesByDomain.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    return largest == bytesByDomain.end() ? std::string() : largest->first;
}

int64_t finalBytes(const ServingRoute &route, const StagePlan &plan, size_t stage)
{
    return hasDependents(route, plan, stage) ? 0 : route.m_stages[stage].m_resultBytes * plan.m_stages[stage].m_pieces;
}

Duration stageDelay(const ServingConfiguration &configuration, const ServingRoute &route, const StagePlan &plan, size_t stage)
{
    if (route.m_stages[stage].m_resultBytes < LargeResultBytes || hasDependents(route, plan, stage)) {
        return Duration(0);
    }
    Duration longest{};
    for (size_t other = 0; other < route.m_stages.size(); ++other) {
        if (other != stage && plan.m_stages[other].m_state != StageState::Done) {
            longest = std::max(longest, expectedChainTime(configuration, route, plan, other));
        }
    }
    return std::max(Duration(0), longest - expectedStageTime(configuration, route, stage));
}

} // namespace Medlarramp::Serving
