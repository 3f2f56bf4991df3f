#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <queue>

#include "durable_measure.h"

namespace Medlarramp::Measure {

namespace {

constexpr int64_t StartWall = 1'800'000'000'000; ///< milliseconds since the Unix epoch
constexpr size_t HashNodeBytes = 32; ///< links and bucket of one record
constexpr size_t TreeNodeBytes = 48;

//-----------------------------------------------------------------------------
// Virtual time
//-----------------------------------------------------------------------------

struct Event {
    TimePoint m_at;
    uint64_t m_number = 0; ///< events of one time happen in the order of their creation
    std::function<void()> m_run;
};

struct Later {
    bool operator()(const Event &left, const Event &right) const
    {
        return std::tie(left.m_at, left.m_number) > std::tie(right.m_at, right.m_number);
    }
};

struct Simulation {
    std::priority_queue<Event, std::vector<Event>, Later> m_events;
    TimePoint m_now{seconds(1'000)};
    uint64_t m_next = 0;
    Random m_random;
};

void at(Simulation &simulation, TimePoint time, std::function<void()> run)
{
    simulation.m_events.push({std::max(time, simulation.m_now), simulation.m_next++, std::move(run)});
}

void after(Simulation &simulation, Duration delay, std::function<void()> run)
{
    at(simulation, simulation.m_now + delay, std::move(run));
}

void runUntil(Simulation &simulation, TimePoint end)
{
    while (!simulation.m_events.empty() && simulation.m_events.top().m_at <= end) {
        const Event event = simulation.m_events.top();
        simulation.m_events.pop();
        simulation.m_now = event.m_at;
        event.m_run();
    }
    simulation.m_now = end;
}

DurableTime timeOf(const Simulation &simulation)
{
    return {simulation.m_now, StartWall + std::chrono::duration_cast<milliseconds>(simulation.m_now.time_since_epoch()).count()};
}

Duration exponentialDuration(Random &random, Duration mean)
{
    return Duration(static_cast<int64_t>(exponential(random, static_cast<double>(mean.count()))));
}

Duration quantile(std::vector<Duration> &values, double share)
{
    if (values.empty()) {
        return Duration{};
    }
    const auto index = static_cast<size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<ptrdiff_t>(index), values.end());
    return values[index];
}

//-----------------------------------------------------------------------------
// Store
//-----------------------------------------------------------------------------

struct Stored {
    std::string m_value;
    int64_t m_revision = 0;
};

struct SimulatedStore {
    std::map<std::string, Stored> m_keys;
    int64_t m_revision = 1;
    int64_t m_writes = 0;
    int64_t m_reads = 0;
};

int64_t revisionOf(const SimulatedStore &store, const std::string &key)
{
    const auto found = store.m_keys.find(key);
    return found == store.m_keys.end() ? 0 : found->second.m_revision;
}

StoreOutcome transact(SimulatedStore &store, const StoreWrite &write)
{
    ++store.m_writes;
    for (const KeyCompare &compare : write.m_compares) {
        if (revisionOf(store, compare.m_key) != compare.m_modRevision) {
            return {write.m_mark, StoreWriteResult::NotApplied, 0};
        }
    }
    ++store.m_revision;
    for (const KeyPut &put : write.m_puts) {
        store.m_keys[put.m_key] = {put.m_value, store.m_revision};
    }
    for (const std::string &key : write.m_deletes) {
        store.m_keys.erase(key);
    }
    return {write.m_mark, StoreWriteResult::Applied, store.m_revision};
}

StoreRange range(SimulatedStore &store, const StoreRead &read)
{
    ++store.m_reads;
    StoreRange result;
    result.m_tag = read.m_tag;
    result.m_answered = true;
    const auto add = [&](const std::string &key, const Stored &stored) {
        result.m_items.push_back({key, read.m_keysOnly ? std::string() : stored.m_value, stored.m_revision});
    };
    for (const std::string &key : read.m_keys) {
        if (const auto found = store.m_keys.find(key); found != store.m_keys.end()) {
            add(key, found->second);
        }
    }
    if (!read.m_keys.empty()) {
        return result;
    }
    auto it = store.m_keys.lower_bound(read.m_from.empty() ? read.m_prefix : read.m_from);
    for (; it != store.m_keys.end() && it->first.starts_with(read.m_prefix); ++it) {
        if (read.m_limit > 0 && static_cast<int64_t>(result.m_items.size()) == read.m_limit) {
            result.m_more = true;
            break;
        }
        add(it->first, it->second);
    }
    return result;
}

std::vector<StoreItem> list(SimulatedStore &store, const std::string &prefix, bool keysOnly)
{
    StoreRead read;
    read.m_prefix = prefix;
    read.m_keysOnly = keysOnly;
    return range(store, read).m_items;
}

size_t storedBytes(const SimulatedStore &store)
{
    size_t bytes = 0;
    for (const auto &[key, stored] : store.m_keys) {
        bytes += key.size() + stored.m_value.size();
    }
    return bytes;
}

/** Each call takes effect after half of the store's answer time. */
void carryOut(Simulation &simulation,
              SimulatedStore &store,
              Duration latency,
              const StoreActions &actions,
              const std::function<void(const StoreOutcome &)> &written,
              const std::function<void(const StoreRange &)> &read)
{
    for (const StoreWrite &write : actions.m_writes) {
        after(simulation, latency / 2, [&simulation, &store, latency, write, written] {
            const StoreOutcome outcome = transact(store, write);
            after(simulation, latency / 2, [written, outcome] { written(outcome); });
        });
    }
    for (const StoreRead &request : actions.m_reads) {
        after(simulation, latency / 2, [&simulation, &store, latency, request, read] {
            const StoreRange result = range(store, request);
            after(simulation, latency / 2, [read, result] { read(result); });
        });
    }
}

//-----------------------------------------------------------------------------
// Claims
//-----------------------------------------------------------------------------

struct HeldCall {
    ClaimHolder m_holder;
    TimePoint m_startedAt;
    bool m_granted = false;
};

struct ClaimRun {
    ClaimScenario m_scenario;
    Simulation m_simulation;
    SimulatedStore m_store;
    std::vector<ClaimOwner> m_owners;
    std::vector<TimePoint> m_timers; ///< next timer of each owner
    std::unordered_map<uint64_t, HeldCall> m_calls;
    uint64_t m_nextCall = 1;
    std::vector<Duration> m_added;
    ClaimFigures m_figures;
};

void carryOut(ClaimRun &run, size_t owner, const OwnerActions &actions);
void carryOut(ClaimRun &run, uint64_t call, const HolderActions &actions);

Duration linkDelay(ClaimRun &run)
{
    return run.m_scenario.m_link + exponentialDuration(run.m_simulation.m_random, run.m_scenario.m_linkJitter);
}

void setOwnerTimer(ClaimRun &run, size_t owner)
{
    const TimePoint next = ownerNextTimer(run.m_owners[owner], run.m_simulation.m_now);
    if (run.m_timers[owner] > run.m_simulation.m_now && run.m_timers[owner] <= next) {
        return;
    }
    run.m_timers[owner] = next;
    at(run.m_simulation, next, [&run, owner, next] {
        if (run.m_timers[owner] == next) {
            run.m_timers[owner] = TimePoint{};
            carryOut(run, owner, ownerTimer(run.m_owners[owner], timeOf(run.m_simulation), run.m_simulation.m_random));
        }
    });
}

void carryOut(ClaimRun &run, size_t owner, const OwnerActions &actions)
{
    carryOut(
        run.m_simulation,
        run.m_store,
        run.m_scenario.m_store,
        actions.m_store,
        [&run, owner](const StoreOutcome &outcome) {
            carryOut(run, owner, storeAnswered(run.m_owners[owner], outcome, timeOf(run.m_simulation), run.m_simulation.m_random));
        },
        [&run, owner](const StoreRange &result) {
            carryOut(run, owner, rangeAnswered(run.m_owners[owner], result, timeOf(run.m_simulation), run.m_simulation.m_random));
        });
    for (const AddressedClaimAnswer &answer : actions.m_answers) {
        after(run.m_simulation, linkDelay(run), [&run, answer] {
            const uint64_t call = answer.m_answer.m_call.m_low;
            if (const auto found = run.m_calls.find(call); found != run.m_calls.end()) {
                carryOut(run, call, claimAnswered(found->second.m_holder, answer.m_answer, run.m_simulation.m_now));
            }
        });
    }
    for (const AddressedReportAck &ack : actions.m_acks) {
        after(run.m_simulation, linkDelay(run), [&run, ack] {
            if (const auto found = run.m_calls.find(ack.m_call.m_low); found != run.m_calls.end()) {
                reportAcknowledged(found->second.m_holder, ack.m_ack);
            }
        });
    }
    setOwnerTimer(run, owner);
}

size_t ownerIndex(const ClaimRun &run, const Identifier &key)
{
    return static_cast<size_t>(partitionOf(key, run.m_scenario.m_partitions));
}

void setHolderTimer(ClaimRun &run, uint64_t call)
{
    const TimePoint next = holderNextTimer(run.m_calls[call].m_holder);
    if (next == TimePoint::max()) {
        return;
    }
    at(run.m_simulation, next, [&run, call, next] {
        const auto found = run.m_calls.find(call);
        if (found == run.m_calls.end() || holderNextTimer(found->second.m_holder) != next) {
            return;
        }
        if (isHolderClosed(found->second.m_holder, run.m_simulation.m_now)) {
            run.m_calls.erase(found);
            return;
        }
        carryOut(run, call, holderTimer(found->second.m_holder, run.m_simulation.m_now));
    });
}

void endStage(ClaimRun &run, uint64_t call)
{
    const auto found = run.m_calls.find(call);
    const std::string answer(run.m_scenario.m_answerBytes, 'x');
    carryOut(run, call, runEnded(found->second.m_holder, Outcome::Answered, answer, run.m_simulation.m_now));
}

void carryOut(ClaimRun &run, uint64_t call, const HolderActions &actions)
{
    HeldCall &held = run.m_calls[call];
    const size_t owner = ownerIndex(run, held.m_holder.m_request.m_key);
    if (actions.m_ask) {
        after(run.m_simulation, linkDelay(run), [&run, owner, request = *actions.m_ask] {
            carryOut(run, owner, receiveClaim(run.m_owners[owner], request, timeOf(run.m_simulation), run.m_simulation.m_random));
        });
    }
    if (actions.m_report) {
        after(run.m_simulation, linkDelay(run), [&run, owner, report = *actions.m_report] {
            carryOut(run, owner, receiveReport(run.m_owners[owner], report, timeOf(run.m_simulation), run.m_simulation.m_random));
        });
    }
    if (actions.m_run) {
        held.m_granted = true;
        ++run.m_figures.m_granted;
        run.m_added.push_back(run.m_simulation.m_now - held.m_startedAt);
        after(
            run.m_simulation, exponentialDuration(run.m_simulation.m_random, run.m_scenario.m_run), [&run, call] { endStage(run, call); });
    }
    setHolderTimer(run, call);
}

void arrive(ClaimRun &run, TimePoint end)
{
    const uint64_t call = run.m_nextCall++;
    HeldCall &held = run.m_calls[call];
    held.m_startedAt = run.m_simulation.m_now;
    ClaimRequest request;
    request.m_key = makeMark(timeOf(run.m_simulation), run.m_simulation.m_random);
    request.m_call = Identifier{1, call};
    request.m_holder = Identifier{2, call % 6 + 1};
    request.m_bodyHash = call;
    request.m_runMilliseconds = 7'000;
    ++run.m_figures.m_claims;
    carryOut(run, call, startClaim(held.m_holder, request, run.m_simulation.m_now + seconds(7), run.m_simulation.m_now));
    const TimePoint next =
        run.m_simulation.m_now + Duration(static_cast<int64_t>(exponential(run.m_simulation.m_random, 1e6 / run.m_scenario.m_rate)));
    if (next < end) {
        at(run.m_simulation, next, [&run, end] { arrive(run, end); });
    }
}

size_t tableBytes(const ClaimOwner &owner)
{
    const size_t records = owner.m_table.size() * (sizeof(Identifier) + sizeof(ClaimRecord) + HashNodeBytes);
    size_t segments = 0;
    for (const auto &[key, highest] : owner.m_segments) {
        segments += TreeNodeBytes + sizeof(std::string) + sizeof(int64_t) + key.size();
    }
    const size_t answers = owner.m_answerOrder.size() * (sizeof(Identifier) + sizeof(std::string)) + owner.m_answerBytes;
    return records + answers + segments;
}

/** Reads of a takeover one after another, with the transfer time of their values. */
void measureTakeover(ClaimRun &run, int partition)
{
    Random random{run.m_scenario.m_seed};
    ClaimOwner owner = makeClaimOwner(partition, "successor", "127.0.0.1:9100");
    run.m_store.m_keys.erase(ownerKey(partition));
    const DurableTime time = timeOf(run.m_simulation);
    const auto started = std::chrono::steady_clock::now();
    OwnerActions actions = ownerObserved(owner, std::nullopt, true, time, random);
    actions = storeAnswered(owner, transact(run.m_store, actions.m_store.m_writes.at(0)), time, random);
    Duration total = run.m_scenario.m_store;
    int64_t reads = 0;
    while (!actions.m_store.m_reads.empty()) {
        const StoreRange result = range(run.m_store, actions.m_store.m_reads.front());
        double bytes = 0;
        for (const StoreItem &item : result.m_items) {
            bytes += static_cast<double>(item.m_key.size() + item.m_value.size());
        }
        total += run.m_scenario.m_store + Duration(static_cast<int64_t>(bytes / run.m_scenario.m_storeBytesPerSecond * 1e6));
        ++reads;
        actions = rangeAnswered(owner, result, time, random);
    }
    if (total > run.m_figures.m_takeover) {
        run.m_figures.m_takeover = total;
        run.m_figures.m_takeoverReads = reads;
        run.m_figures.m_takeoverWork = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - started);
    }
}

void summarize(ClaimRun &run, int64_t writesBefore)
{
    ClaimFigures &figures = run.m_figures;
    const auto writes = static_cast<double>(run.m_store.m_writes - writesBefore);
    figures.m_notGranted = figures.m_claims - figures.m_granted;
    figures.m_writesPerClaim = writes / static_cast<double>(std::max<int64_t>(1, figures.m_claims));
    figures.m_writesPerSecond = writes / (static_cast<double>(run.m_scenario.m_duration.count()) / 1e6);
    figures.m_addedMedian = quantile(run.m_added, 0.5);
    figures.m_added99 = quantile(run.m_added, 0.99);
    figures.m_storeKeys = run.m_store.m_keys.size();
    figures.m_storeBytes = storedBytes(run.m_store);
    for (const ClaimOwner &owner : run.m_owners) {
        figures.m_tableRecords += owner.m_table.size();
        figures.m_tableBytes += tableBytes(owner);
    }
}

} // namespace

ClaimFigures measureClaims(const ClaimScenario &scenario)
{
    ClaimRun run;
    run.m_scenario = scenario;
    run.m_simulation.m_random = Random{scenario.m_seed};
    for (int i = 0; i < scenario.m_partitions; ++i) {
        run.m_owners.push_back(makeClaimOwner(i, "owner", "127.0.0.1:9000"));
        run.m_timers.emplace_back();
    }
    for (size_t i = 0; i < run.m_owners.size(); ++i) {
        carryOut(run, i, ownerObserved(run.m_owners[i], std::nullopt, true, timeOf(run.m_simulation), run.m_simulation.m_random));
    }
    runUntil(run.m_simulation, run.m_simulation.m_now + seconds(1));
    const int64_t writesBefore = run.m_store.m_writes;
    const TimePoint end = run.m_simulation.m_now + scenario.m_duration;
    arrive(run, end);
    // The last results are written within this time.
    runUntil(run.m_simulation, end + seconds(3));
    summarize(run, writesBefore);
    for (int i = 0; i < scenario.m_partitions; ++i) {
        measureTakeover(run, i);
    }
    return run.m_figures;
}

//-----------------------------------------------------------------------------
// Drain
//-----------------------------------------------------------------------------

namespace {

struct DrainNode {
    BatchAccept m_accept;
    std::map<Identifier, BatchRunner> m_runners;
    std::map<uint64_t, TimePoint> m_submittedAt; ///< by ticket
};

struct DrainRun {
    DrainScenario m_scenario;
    Simulation m_simulation;
    SimulatedStore m_store;
    std::vector<DrainNode> m_nodes;
    std::map<Identifier, size_t> m_groups; ///< accepted groups -> jobs
    std::vector<Duration> m_accepts;
    int64_t m_submitted = 0;
    DrainFigures m_figures;
};

void carryOut(DrainRun &run, size_t node, const AcceptActions &actions)
{
    DrainNode &state = run.m_nodes[node];
    for (const JobAccepted &accepted : actions.m_accepted) {
        ++run.m_figures.m_accepted;
        ++run.m_groups[accepted.m_id.m_group];
        run.m_accepts.push_back(run.m_simulation.m_now - state.m_submittedAt[accepted.m_ticket]);
        state.m_submittedAt.erase(accepted.m_ticket);
    }
    carryOut(
        run.m_simulation,
        run.m_store,
        run.m_scenario.m_store,
        actions.m_store,
        [&run, node](const StoreOutcome &outcome) {
            carryOut(run, node, storeAnswered(run.m_nodes[node].m_accept, outcome, timeOf(run.m_simulation), run.m_simulation.m_random));
        },
        [](const StoreRange &) {});
}

void submitOne(DrainRun &run, size_t node)
{
    DrainNode &state = run.m_nodes[node];
    BatchJob job;
    job.m_key = makeMark(timeOf(run.m_simulation), run.m_simulation.m_random);
    job.m_organisation = "organisation";
    job.m_pipeline = "pipeline";
    job.m_input.assign(run.m_scenario.m_inputBytes, 'x');
    AcceptActions actions;
    const uint64_t ticket =
        submitJob(state.m_accept, std::move(job), run.m_scenario.m_jobs, timeOf(run.m_simulation), run.m_simulation.m_random, actions);
    state.m_submittedAt[ticket] = run.m_simulation.m_now;
    carryOut(run, node, actions);
}

/** Jobs arrive one by one, or as fast as the waiting lists of the entries take them. */
void submitNext(DrainRun &run)
{
    const size_t entries = run.m_nodes.size();
    Duration delay = milliseconds(1);
    if (run.m_scenario.m_submitRate > 0) {
        submitOne(run, static_cast<size_t>(uniformBelow(run.m_simulation.m_random, entries)));
        ++run.m_submitted;
        delay = Duration(static_cast<int64_t>(exponential(run.m_simulation.m_random, 1e6 / run.m_scenario.m_submitRate)));
    } else {
        for (size_t node = 0; node < entries; ++node) {
            while (run.m_nodes[node].m_accept.m_waiting.size() < MaxWaitingJobs / 2 && run.m_submitted < run.m_scenario.m_jobs) {
                submitOne(run, node);
                ++run.m_submitted;
            }
        }
    }
    if (run.m_submitted < run.m_scenario.m_jobs) {
        after(run.m_simulation, delay, [&run] { submitNext(run); });
    }
}

void carryOut(DrainRun &run, size_t node, const Identifier &group, const RunnerActions &actions);

BatchRunner &runnerOf(DrainRun &run, size_t node, const Identifier &group)
{
    return run.m_nodes[node].m_runners[group];
}

void finishStage(DrainRun &run, size_t node, const Identifier &group, int64_t job, int64_t stage)
{
    BatchRunner &runner = runnerOf(run, node, group);
    std::string output(run.m_scenario.m_outputBytes, 'y');
    if (stage + 1 == run.m_scenario.m_stages) {
        const JobResult result{Outcome::Answered, Reason::None, std::move(output)};
        carryOut(run, node, group, jobFinished(runner, job, result, timeOf(run.m_simulation), run.m_simulation.m_random));
        return;
    }
    carryOut(run, node, group, stageFinished(runner, job, stage, std::move(output), timeOf(run.m_simulation), run.m_simulation.m_random));
    after(run.m_simulation, exponentialDuration(run.m_simulation.m_random, run.m_scenario.m_stage), [&run, node, group, job, stage] {
        finishStage(run, node, group, job, stage + 1);
    });
}

void startWork(DrainRun &run, size_t node, const Identifier &group)
{
    BatchRunner &runner = runnerOf(run, node, group);
    const auto running = static_cast<size_t>(std::count_if(
        runner.m_progress.begin(), runner.m_progress.end(), [](const JobProgress &job) { return job.m_state == JobState::Running; }));
    if (running >= run.m_scenario.m_jobsAtOnce) {
        return;
    }
    for (const StartJob &start : startJobs(runner, run.m_scenario.m_jobsAtOnce - running)) {
        const Duration time = exponentialDuration(run.m_simulation.m_random, run.m_scenario.m_stage);
        after(run.m_simulation, time, [&run, node, group, start] { finishStage(run, node, group, start.m_job, start.m_firstStage); });
    }
}

/** The callers fetch all results of the group at one entry, which reads the group once. */
void fetchGroup(DrainRun &run, const Identifier &group)
{
    StoreRead read;
    read.m_keys = {groupKey(group)};
    const std::vector<StoreItem> items = range(run.m_store, read).m_items;
    const std::vector<StoreItem> chunks = list(run.m_store, progressPrefix(group), false);
    const size_t jobs = run.m_groups[group];
    FetchTracker tracker;
    bool complete = false;
    for (size_t i = 0; i < jobs; ++i) {
        const JobId id{group, static_cast<int64_t>(i)};
        const absl::StatusOr<JobView> view = viewJob(id, items.at(0), chunks);
        run.m_figures.m_finished += view.ok() && view->m_progress.m_result ? 1 : 0;
        complete = resultFetched(tracker, id, jobs);
    }
    if (!complete) {
        return;
    }
    const DurableTime time = timeOf(run.m_simulation);
    for (const StoreWrite &write : deleteGroup(group, items.at(0).m_modRevision, chunks, time, run.m_simulation.m_random)) {
        transact(run.m_store, write);
    }
}

void carryOut(DrainRun &run, size_t node, const Identifier &group, const RunnerActions &actions)
{
    carryOut(
        run.m_simulation,
        run.m_store,
        run.m_scenario.m_store,
        actions.m_store,
        [&run, node, group](const StoreOutcome &outcome) {
            BatchRunner &runner = runnerOf(run, node, group);
            carryOut(run, node, group, storeAnswered(runner, outcome, timeOf(run.m_simulation), run.m_simulation.m_random));
        },
        [&run, node, group](const StoreRange &result) {
            BatchRunner &runner = runnerOf(run, node, group);
            carryOut(run, node, group, rangeAnswered(runner, result, timeOf(run.m_simulation), run.m_simulation.m_random));
        });
    if (actions.m_ended && runnerOf(run, node, group).m_phase == RunnerPhase::Finished) {
        fetchGroup(run, group);
        return;
    }
    startWork(run, node, group);
}

size_t openGroups(const DrainNode &node)
{
    return static_cast<size_t>(std::count_if(
        node.m_runners.begin(), node.m_runners.end(), [](const auto &item) { return item.second.m_phase < RunnerPhase::Finished; }));
}

void takeGroups(DrainRun &run, size_t node)
{
    DrainNode &state = run.m_nodes[node];
    const size_t open = openGroups(state);
    if (open >= run.m_scenario.m_groupsAtOnce) {
        return;
    }
    const std::vector<StoreItem> groups = list(run.m_store, groupPrefix(), true);
    if (groups.empty()) {
        return;
    }
    std::vector<Identifier> free = groupsToTake(groups, list(run.m_store, groupOwnerPrefix(), false));
    // Nodes begin at different groups, so that they seldom try to take the same one.
    const size_t first = free.empty() ? 0 : uniformBelow(run.m_simulation.m_random, free.size());
    std::rotate(free.begin(), free.begin() + static_cast<ptrdiff_t>(first), free.end());
    for (size_t i = 0; i < free.size() && i + open < run.m_scenario.m_groupsAtOnce; ++i) {
        if (state.m_runners.contains(free[i])) {
            continue;
        }
        BatchRunner &runner = state.m_runners[free[i]];
        carryOut(run, node, free[i], takeGroup(runner, free[i], "node", timeOf(run.m_simulation), run.m_simulation.m_random));
    }
}

void acceptLoop(DrainRun &run, size_t node)
{
    DrainNode &state = run.m_nodes[node];
    carryOut(run, node, acceptTimer(state.m_accept, timeOf(run.m_simulation), run.m_simulation.m_random));
    after(run.m_simulation, milliseconds(5), [&run, node] { acceptLoop(run, node); });
}

void runnerLoop(DrainRun &run, size_t node)
{
    std::vector<Identifier> open;
    for (const auto &[group, runner] : run.m_nodes[node].m_runners) {
        if (runner.m_phase < RunnerPhase::Finished) {
            open.push_back(group);
        }
    }
    for (const Identifier &group : open) {
        BatchRunner &runner = runnerOf(run, node, group);
        carryOut(run, node, group, runnerTimer(runner, timeOf(run.m_simulation), run.m_simulation.m_random));
    }
    takeGroups(run, node);
    after(run.m_simulation, milliseconds(1'000), [&run, node] { runnerLoop(run, node); });
}

} // namespace

DrainFigures measureDrain(const DrainScenario &scenario)
{
    DrainRun run;
    run.m_scenario = scenario;
    run.m_simulation.m_random = Random{scenario.m_seed};
    run.m_nodes.resize(static_cast<size_t>(scenario.m_entries));
    const TimePoint start = run.m_simulation.m_now;
    submitNext(run);
    for (size_t node = 0; node < run.m_nodes.size(); ++node) {
        after(run.m_simulation, Duration(static_cast<int64_t>(node) * 625), [&run, node] { acceptLoop(run, node); });
        after(run.m_simulation, milliseconds(100 * static_cast<int64_t>(node)), [&run, node] { runnerLoop(run, node); });
    }
    const TimePoint limit = start + seconds(3'600);
    while (run.m_figures.m_finished < scenario.m_jobs && run.m_simulation.m_now < limit) {
        runUntil(run.m_simulation, run.m_simulation.m_now + seconds(1));
    }
    DrainFigures &figures = run.m_figures;
    figures.m_writes = run.m_store.m_writes;
    figures.m_reads = run.m_store.m_reads;
    figures.m_groups = static_cast<int64_t>(run.m_groups.size());
    const auto jobs = static_cast<double>(scenario.m_jobs);
    figures.m_writesPerJob = static_cast<double>(figures.m_writes) / jobs;
    figures.m_callsPerJob = static_cast<double>(figures.m_writes + figures.m_reads) / jobs;
    figures.m_acceptMedian = quantile(run.m_accepts, 0.5);
    figures.m_accept99 = quantile(run.m_accepts, 0.99);
    figures.m_total = run.m_simulation.m_now - start;
    return figures;
}

} // namespace Medlarramp::Measure
