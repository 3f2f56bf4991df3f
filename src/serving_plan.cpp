#include <algorithm>

#include "serving.h"

namespace Medlarramp::Serving {

namespace {

constexpr int64_t LargeResultBytes = 200'000; ///< results above it fill the room of their replicas; they are made just in time

bool isFollowed(const ServingRoute &route, const StagePlan &plan, size_t stage)
{
    for (size_t other = 0; other < route.m_stages.size(); ++other) {
        const std::vector<size_t> &after = route.m_stages[other].m_after;
        if (plan.m_stages[other].m_pieces > 0 && std::find(after.begin(), after.end(), stage) != after.end()) {
            return true;
        }
    }
    return false;
}

bool areInputsDone(const ServingRoute &route, const StagePlan &plan, size_t stage)
{
    const std::vector<size_t> &after = route.m_stages[stage].m_after;
    return std::all_of(after.begin(), after.end(), [&](size_t input) {
        return input < plan.m_stages.size() && plan.m_stages[input].m_state == StageState::Done;
    });
}

enum class FollowerState : uint8_t { HasRead, IsDone };

bool areFollowers(FollowerState state, const ServingRoute &route, const StagePlan &plan, size_t stage)
{
    for (size_t other = 0; other < route.m_stages.size(); ++other) {
        const std::vector<size_t> &after = route.m_stages[other].m_after;
        const PlannedStage &follower = plan.m_stages[other];
        const bool reads = std::find(after.begin(), after.end(), stage) != after.end();
        const bool hasRead = state == FollowerState::HasRead && follower.m_inputsRead;
        if (reads && follower.m_state != StageState::Done && !hasRead) {
            return false;
        }
    }
    return true;
}

/** Stages with results that no run reads, and whose followers are in @p state. */
std::vector<size_t> stagesBefore(FollowerState state, const ServingRoute &route, const StagePlan &plan)
{
    std::vector<size_t> stages;
    for (size_t stage = 0; stage < plan.m_stages.size(); ++stage) {
        const PlannedStage &planned = plan.m_stages[stage];
        const bool holdsResults = planned.m_state == StageState::Done && !planned.m_freed && !planned.m_handles.empty();
        if (holdsResults && isFollowed(route, plan, stage) && areFollowers(state, route, plan, stage)) {
            stages.push_back(stage);
        }
    }
    return stages;
}

void addAncestors(const ServingRoute &route, size_t stage, std::vector<bool> &marked)
{
    for (const size_t input : route.m_stages[stage].m_after) {
        if (input < marked.size() && !marked[input]) {
            marked[input] = true;
            addAncestors(route, input, marked);
        }
    }
}

constexpr Duration StageWait = milliseconds(80); ///< until a replica is free, and the ways to it and back
constexpr double SizeGain = 0.02; ///< weight of a new request in the moving mean
constexpr double SmallestShare = 0.3; ///< part of a request's worth that does not depend on its size
constexpr double LargestValue = 4; ///< times the mean worth of the route
constexpr double BackgroundWeight = 0.3; ///< of ranks below the most urgent two
constexpr int LastUrgentRank = 1;

} // namespace

double requestValue(SizeMean &mean, int rank, double size)
{
    const double weight = rank <= LastUrgentRank ? 1.0 : BackgroundWeight;
    if (size <= 0) {
        return weight;
    }
    mean.m_mean = mean.m_mean > 0 ? mean.m_mean + SizeGain * (size - mean.m_mean) : size;
    return weight * std::min(LargestValue, SmallestShare + (1 - SmallestShare) * size / mean.m_mean);
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
        if (!isFollowed(route, plan, stage)) {
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
        if (plan.m_stages[stage].m_state == StageState::Waiting && areInputsDone(route, plan, stage)) {
            ready.push_back(stage);
        }
    }
    return ready;
}

std::vector<size_t> spareStages(const ServingRoute &route, const StagePlan &plan)
{
    std::vector<size_t> stages = stagesBefore(FollowerState::HasRead, route, plan);
    std::erase_if(stages, [&plan](size_t stage) { return plan.m_stages[stage].m_spare; });
    return stages;
}

std::vector<size_t> spentStages(const ServingRoute &route, const StagePlan &plan)
{
    return stagesBefore(FollowerState::IsDone, route, plan);
}

std::vector<size_t> stagesToRepeat(const ServingRoute &route, const StagePlan &plan, size_t stage)
{
    std::vector<bool> marked(plan.m_stages.size(), false);
    marked[stage] = true;
    addAncestors(route, stage, marked);
    std::vector<size_t> repeated;
    for (size_t other = 0; other < plan.m_stages.size(); ++other) {
        const std::vector<size_t> &after = route.m_stages[other].m_after;
        const bool readsMarked =
            std::any_of(after.begin(), after.end(), [&](size_t input) { return input < marked.size() && marked[input]; });
        marked[other] = marked[other] || (readsMarked && plan.m_stages[other].m_state != StageState::Done);
        if (marked[other] && plan.m_stages[other].m_pieces > 0) {
            repeated.push_back(other);
        }
    }
    return repeated;
}

Duration expectedStageTime(const ServingConfiguration &configuration, const ServingRoute &route, size_t stage)
{
    const ServingService *service = findService(configuration, route.m_stages[stage].m_service);
    if (service == nullptr || !service->m_pieces) {
        return Duration(0);
    }
    const PieceLimits &limits = *service->m_pieces;
    return limits.m_callTime + limits.m_pieceTime * limits.m_batch * 3 / 4 + StageWait;
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

std::string nearestDomain(const BytesByDomain &inputs, int pieces, const std::string &reader, int64_t resultBytes)
{
    BytesByDomain saved;
    for (const auto &[domain, bytes] : inputs) {
        saved[domain] += bytes * pieces;
    }
    if (!reader.empty()) {
        saved[reader] += resultBytes;
    }
    const auto most =
        std::max_element(saved.begin(), saved.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    return most == saved.end() ? std::string() : most->first;
}

int64_t finalBytes(const ServingRoute &route, const StagePlan &plan, size_t stage)
{
    return isFollowed(route, plan, stage) ? 0 : route.m_stages[stage].m_resultBytes * plan.m_stages[stage].m_pieces;
}

Duration stageDelay(const ServingConfiguration &configuration, const ServingRoute &route, const StagePlan &plan, size_t stage)
{
    if (route.m_stages[stage].m_resultBytes < LargeResultBytes || isFollowed(route, plan, stage)) {
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
