#pragma once

// One accepting entry, two runners and a reader of durable batch, for explorer.h.

#include <memory>

#include "explorer.h"

namespace Medlarramp::Testing {

constexpr int64_t BatchWall = 1'800'000'000'000; ///< milliseconds since the Unix epoch
constexpr int64_t BatchStages = 2;
constexpr int BatchAcceptNode = 0;

struct BatchNode {
    bool m_alive = true;
    std::map<Identifier, BatchRunner> m_runners;
};

struct BatchWorld {
    MemoryStore m_store;
    Schedule m_schedule;
    TimePoint m_now{seconds(1'000)};
    Random m_random{1};
    BatchAccept m_accept;
    std::vector<BatchNode> m_nodes;
    std::map<uint64_t, JobId> m_accepted; ///< by ticket
    std::set<uint64_t> m_refused;
    std::map<JobId, std::string> m_seen; ///< first result that a reader saw
    std::map<JobId, int> m_stageRuns; ///< starts of the first stage
    std::set<JobId> m_stageDurable; ///< the store holds the output of the first stage
    std::map<Identifier, Identifier> m_groupOfJob; ///< by the job's key
    std::set<Identifier> m_deleted;
    FetchTracker m_fetched;
    std::string m_violation;
    int m_results = 0; ///< number of the next result, so that two runs differ
};

inline DurableTime timeOf(const BatchWorld &world)
{
    return {world.m_now, BatchWall + std::chrono::duration_cast<milliseconds>(world.m_now.time_since_epoch()).count()};
}

inline void fail(BatchWorld &world, const std::string &text)
{
    if (world.m_violation.empty()) {
        world.m_violation = text;
    }
}

void carryOut(BatchWorld &world, const AcceptActions &actions);
void carryOut(BatchWorld &world, int node, const Identifier &group, const RunnerActions &actions);

inline void carryOut(BatchWorld &world, const AcceptActions &actions)
{
    for (const JobAccepted &accepted : actions.m_accepted) {
        if (world.m_accepted.contains(accepted.m_ticket) || world.m_refused.contains(accepted.m_ticket)) {
            fail(world, "a job was answered twice");
        }
        world.m_accepted[accepted.m_ticket] = accepted.m_id;
    }
    for (const JobRefused &refused : actions.m_refused) {
        world.m_refused.insert(refused.m_ticket);
    }
    sendStoreActions(
        world.m_schedule,
        world.m_store,
        BatchAcceptNode,
        actions.m_store,
        [&world](const StoreOutcome &outcome) {
            if (world.m_nodes[BatchAcceptNode].m_alive) {
                carryOut(world, storeAnswered(world.m_accept, outcome, timeOf(world), world.m_random));
            }
        },
        [&world](const StoreRange &range) {
            if (world.m_nodes[BatchAcceptNode].m_alive) {
                carryOut(world, rangeAnswered(world.m_accept, range, timeOf(world), world.m_random));
            }
        });
}

inline BatchRunner *findRunner(BatchWorld &world, int node, const Identifier &group)
{
    BatchNode &state = world.m_nodes[static_cast<size_t>(node)];
    const auto found = state.m_runners.find(group);
    return state.m_alive && found != state.m_runners.end() ? &found->second : nullptr;
}

inline void finishStage(BatchWorld &world, int node, const Identifier &group, int64_t job, int64_t stage)
{
    BatchRunner *runner = findRunner(world, node, group);
    if (!runner || runner->m_phase != RunnerPhase::Running) {
        return;
    }
    const std::string output = "output " + std::to_string(++world.m_results);
    if (stage + 1 < BatchStages) {
        carryOut(world, node, group, stageFinished(*runner, job, stage, output, timeOf(world), world.m_random));
        world.m_schedule.m_pending.push_back({[&world, node, group, job, stage] { finishStage(world, node, group, job, stage + 1); }, {}});
        return;
    }
    const JobResult result{Outcome::Answered, Reason::None, output};
    carryOut(world, node, group, jobFinished(*runner, job, result, timeOf(world), world.m_random));
}

inline void startWork(BatchWorld &world, int node, const Identifier &group)
{
    BatchRunner *runner = findRunner(world, node, group);
    if (!runner) {
        return;
    }
    for (const StartJob &start : startJobs(*runner, 2)) {
        const JobId id{group, start.m_job};
        if (start.m_firstStage == 0 && world.m_stageDurable.contains(id)) {
            fail(world, "a finished stage was run again");
        }
        if (world.m_deleted.contains(group)) {
            fail(world, "a job of a deleted group was started");
        }
        const int64_t stage = start.m_firstStage;
        world.m_schedule.m_pending.push_back(
            {[&world, node, group, start, stage] { finishStage(world, node, group, start.m_job, stage); }, {}});
    }
}

inline void carryOut(BatchWorld &world, int node, const Identifier &group, const RunnerActions &actions)
{
    if (!actions.m_findings.empty()) {
        fail(world, toString(actions.m_findings));
    }
    sendStoreActions(
        world.m_schedule,
        world.m_store,
        node,
        actions.m_store,
        [&world, node, group](const StoreOutcome &outcome) {
            if (BatchRunner *runner = findRunner(world, node, group)) {
                carryOut(world, node, group, storeAnswered(*runner, outcome, timeOf(world), world.m_random));
            }
        },
        [&world, node, group](const StoreRange &range) {
            if (BatchRunner *runner = findRunner(world, node, group)) {
                carryOut(world, node, group, rangeAnswered(*runner, range, timeOf(world), world.m_random));
            }
        });
}

inline void noteDurableStages(BatchWorld &world, const JobId &id, const JobProgress &progress)
{
    if (!progress.m_stages.empty()) {
        world.m_stageDurable.insert(id);
    }
}

/** A caller asks for its job; the group goes when every result has been fetched. */
inline void fetch(BatchWorld &world, const JobId &id)
{
    const std::optional<StoreItem> group = readItem(world.m_store, groupKey(id.m_group));
    const std::vector<StoreItem> chunks = itemsWithPrefix(world.m_store, progressPrefix(id.m_group));
    const absl::StatusOr<JobView> view = viewJob(id, group, chunks);
    if (!view.ok()) {
        if (!world.m_deleted.contains(id.m_group)) {
            fail(world, "an accepted job was lost");
        }
        return;
    }
    noteDurableStages(world, id, view->m_progress);
    if (!view->m_progress.m_result) {
        if (world.m_seen.contains(id)) {
            fail(world, "a result that was seen has gone");
        }
        return;
    }
    const std::string &output = view->m_progress.m_result->m_output;
    if (!world.m_seen.try_emplace(id, output).second && world.m_seen[id] != output) {
        fail(world, "a job has two results");
    }
    const size_t jobs = decodeGroup(*bodyOf(group->m_value))->size();
    if (resultFetched(world.m_fetched, id, jobs)) {
        for (const StoreWrite &write : deleteGroup(id.m_group, group->m_modRevision, chunks, timeOf(world), world.m_random)) {
            applyWrite(world.m_store, write, BatchAcceptNode);
        }
        world.m_deleted.insert(id.m_group);
    }
}

inline void checkGroups(BatchWorld &world)
{
    for (const StoreItem &item : itemsWithPrefix(world.m_store, groupPrefix())) {
        const auto jobs = decodeGroup(*bodyOf(item.m_value));
        const std::optional<Identifier> group = parseIdentifier(item.m_key.substr(groupPrefix().size()));
        for (const BatchJob &job : *jobs) {
            if (world.m_groupOfJob.try_emplace(job.m_key, *group).first->second != *group) {
                fail(world, "a job was stored twice");
            }
        }
    }
}

inline void takeGroups(BatchWorld &world, int node)
{
    const std::vector<StoreItem> groups = itemsWithPrefix(world.m_store, groupPrefix());
    const std::vector<StoreItem> owners = itemsWithPrefix(world.m_store, groupOwnerPrefix());
    BatchNode &state = world.m_nodes[static_cast<size_t>(node)];
    std::set<Identifier> running;
    for (const auto &[group, runner] : state.m_runners) {
        if (runner.m_phase < RunnerPhase::Finished) {
            running.insert(group);
        }
    }
    const std::string name = "node" + std::to_string(node);
    for (const StoreWrite &write : releaseOrphans(owners, name, running, timeOf(world), world.m_random)) {
        applyWrite(world.m_store, write, node);
    }
    for (const Identifier &group : groupsToTake(groups, owners)) {
        BatchRunner &runner = state.m_runners[group];
        const bool idle = runner.m_node.empty() || runner.m_phase == RunnerPhase::Lost || runner.m_phase == RunnerPhase::Released;
        if (idle) {
            carryOut(world, node, group, takeGroup(runner, group, name, timeOf(world), world.m_random));
        }
    }
}

inline void tick(BatchWorld &world)
{
    world.m_now += milliseconds(600);
    checkGroups(world);
    if (world.m_nodes[BatchAcceptNode].m_alive) {
        carryOut(world, acceptTimer(world.m_accept, timeOf(world), world.m_random));
    }
    for (int node = 0; node < static_cast<int>(world.m_nodes.size()); ++node) {
        if (!world.m_nodes[static_cast<size_t>(node)].m_alive) {
            continue;
        }
        takeGroups(world, node);
        for (auto &[group, runner] : world.m_nodes[static_cast<size_t>(node)].m_runners) {
            carryOut(world, node, group, runnerTimer(runner, timeOf(world), world.m_random));
            startWork(world, node, group);
        }
    }
    for (const auto &[ticket, id] : world.m_accepted) {
        fetch(world, id);
    }
}

inline void killNode(BatchWorld &world, int node)
{
    if (!world.m_nodes[static_cast<size_t>(node)].m_alive) {
        return;
    }
    world.m_nodes[static_cast<size_t>(node)].m_alive = false;
    world.m_schedule.m_pending.push_back({[&world, node] { expireLease(world.m_store, node); }, {}});
}

inline std::unique_ptr<BatchWorld> makeBatchWorld(int nodes)
{
    auto world = std::make_unique<BatchWorld>();
    world->m_nodes.resize(static_cast<size_t>(nodes));
    BatchWorld &self = *world;
    self.m_schedule.m_tick = [&self] { tick(self); };
    for (int i = 0; i < nodes; ++i) {
        self.m_schedule.m_disturbances.push_back([&self, i] { expireLease(self.m_store, i); });
        if (i != nodes - 1) {
            // The last node survives, so that accepted jobs can end.
            self.m_schedule.m_disturbances.push_back([&self, i] { killNode(self, i); });
        }
    }
    return world;
}

inline void submit(BatchWorld &world, int number)
{
    if (!world.m_nodes[BatchAcceptNode].m_alive) {
        return;
    }
    AcceptActions actions;
    const BatchJob job{Identifier{5, static_cast<uint64_t>(number)}, "shop", "plan", std::to_string(number)};
    submitJob(world.m_accept, job, 100, timeOf(world), world.m_random, actions);
    carryOut(world, actions);
}

inline void settle(BatchWorld &world, int ticks)
{
    for (int i = 0; i < ticks; ++i) {
        runPending(world.m_schedule);
        passTime(world.m_schedule);
    }
}

/** Runs one schedule. @return the violation. */
inline std::string runBatchSchedule(Explorer &explorer, int nodes, int jobs, int steps, int faults)
{
    const auto world = makeBatchWorld(nodes);
    world->m_schedule.m_faultsLeft = faults;
    for (int i = 0; i < jobs; ++i) {
        world->m_schedule.m_pending.push_back({[&self = *world, i] { submit(self, i); }, {}});
    }
    for (int i = 0; i < steps; ++i) {
        step(world->m_schedule, explorer);
    }
    settle(*world, 40);
    if (!world->m_violation.empty()) {
        return world->m_violation;
    }
    for (const auto &[ticket, id] : world->m_accepted) {
        if (!world->m_seen.contains(id)) {
            return "accepted job " + toString(id) + " has no result";
        }
    }
    for (const Identifier &group : world->m_deleted) {
        if (readItem(world->m_store, groupKey(group))) {
            return "a deleted group has come back";
        }
    }
    const size_t stored = itemsWithPrefix(world->m_store, groupPrefix()).size();
    return stored > 0 && world->m_nodes[BatchAcceptNode].m_alive ? "a group was left behind" : "";
}

} // namespace Medlarramp::Testing
