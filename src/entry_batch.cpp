// Durable batch: the shell around the accept and runner state machines of durable.h. The machines run under one lock; store
// calls and jobs run without it.

#include "entry_batch.h"

#include <algorithm>
#include <deque>

#include <fmt/format.h>

namespace Medlarramp {

namespace {

constexpr milliseconds BatchTick{50};
constexpr milliseconds ScanInterval{2'000}; ///< between two looks for groups that nobody runs, with few entries
constexpr milliseconds ScanPerEntry{50}; ///< keeps all entries together at 40 reads a second
constexpr seconds UsageInterval{60}; ///< times the number of entries
constexpr milliseconds JobRetryPause{500}; ///< before a job that did not run is started again
constexpr seconds LeaveLimit{3};
constexpr int64_t GroupPage = 500; ///< keys read at once

/** A group that this entry holds. */
struct HeldGroup {
    BatchRunner m_runner;
    std::deque<StoreActions> m_pending;
    std::map<ClaimKeyRequest, Identifier> m_keys; ///< claim keys that are durable
    std::set<CancelToken *> m_running; ///< of jobs at work
    bool m_ended = false;
};

struct JobTicket {
    bool m_decided = false;
    SubmitAnswer m_answer;
};

} // namespace

struct BatchService {
    Blackboard &m_board;
    const Store &m_store;
    NodeLease &m_lease;
    std::string m_node; ///< unique for this process
    std::mutex m_mutex;
    std::condition_variable m_changed;
    BatchAccept m_accept;
    std::deque<StoreActions> m_acceptPending;
    std::map<uint64_t, JobTicket> m_tickets;
    std::map<Identifier, std::shared_ptr<HeldGroup>> m_groups;
    std::vector<Identifier> m_accepted; ///< groups committed here, taken without a scan
    FetchTracker m_fetched;
    std::vector<StoreWrite> m_deletions;
    Random m_random;
};

std::shared_ptr<BatchService> makeBatchService(Blackboard &board, const Store &store, NodeLease &lease)
{
    auto service = std::shared_ptr<BatchService>(new BatchService{board, store, lease});
    service->m_random.m_state = entropySeed();
    service->m_node = fmt::format("{}/{:016x}", board.m_settings.m_node, entropySeed());
    service->m_accept.m_sequenceKey = "batch/sequence/" + service->m_node;
    return service;
}

//-----------------------------------------------------------------------------
// [SECTION] Accept
//-----------------------------------------------------------------------------

namespace {

void queueActions(std::deque<StoreActions> &pending, StoreActions actions)
{
    if (!actions.m_writes.empty() || !actions.m_reads.empty()) {
        pending.push_back(std::move(actions));
    }
}

/** The caller holds the lock. */
void take(BatchService &service, AcceptActions actions)
{
    queueActions(service.m_acceptPending, std::move(actions.m_store));
    for (const JobAccepted &accepted : actions.m_accepted) {
        const auto ticket = service.m_tickets.find(accepted.m_ticket);
        if (ticket != service.m_tickets.end()) {
            ticket->second = {true, {accepted.m_id, Reason::None, false}};
        }
        const bool known =
            std::find(service.m_accepted.begin(), service.m_accepted.end(), accepted.m_id.m_group) != service.m_accepted.end();
        if (!known && service.m_accepted.size() < MaxTrackedGroups) {
            service.m_accepted.push_back(accepted.m_id.m_group);
        }
    }
    for (const JobRefused &refused : actions.m_refused) {
        const auto ticket = service.m_tickets.find(refused.m_ticket);
        if (ticket != service.m_tickets.end()) {
            ticket->second = {true, {std::nullopt, refused.m_reason, false}};
        }
    }
    service.m_changed.notify_all();
}

} // namespace

SubmitAnswer submitBatchJob(BatchService &service, BatchJob job, int64_t quota, TimePoint deadline)
{
    const Clock &clock = service.m_board.m_clock;
    service.m_lease.m_wanted = true;
    std::unique_lock lock(service.m_mutex);
    AcceptActions actions;
    const uint64_t ticket = submitJob(service.m_accept, std::move(job), quota, durableTime(clock), service.m_random, actions);
    service.m_tickets[ticket] = {};
    take(service, std::move(actions));
    waitUntil(clock, lock, service.m_changed, deadline, [&] { return service.m_tickets.at(ticket).m_decided; });
    const JobTicket decided = service.m_tickets.at(ticket);
    service.m_tickets.erase(ticket);
    return decided.m_decided ? decided.m_answer : SubmitAnswer{std::nullopt, Reason::StoreUnavailable, true};
}

namespace {

/** The next store actions of the accept machine, or nothing until its timer or @p wake. */
std::optional<StoreActions> nextAcceptActions(BatchService &service)
{
    const Clock &clock = service.m_board.m_clock;
    std::unique_lock lock(service.m_mutex);
    const TimePoint current = now(clock);
    const TimePoint timer = acceptNextTimer(service.m_accept, current);
    waitUntil(clock, lock, service.m_changed, std::min<TimePoint>(timer, current + BatchTick), [&service] {
        return !service.m_acceptPending.empty();
    });
    if (service.m_acceptPending.empty()) {
        take(service, acceptTimer(service.m_accept, durableTime(clock), service.m_random));
    }
    if (service.m_acceptPending.empty()) {
        return std::nullopt;
    }
    StoreActions actions = std::move(service.m_acceptPending.front());
    service.m_acceptPending.pop_front();
    return actions;
}

} // namespace

void runBatchAccept(BatchService &service, StopSignal &stop)
{
    const Clock &clock = service.m_board.m_clock;
    const StoreCalls calls = makeStoreCalls(service.m_store, StorePurpose::Batch, service.m_lease, clock);
    while (!isStopped(stop)) {
        const std::optional<StoreActions> actions = nextAcceptActions(service);
        if (!actions) {
            continue;
        }
        runStoreActions(
            *actions,
            calls,
            [&](const StoreOutcome &outcome) {
                const std::lock_guard lock(service.m_mutex);
                take(service, storeAnswered(service.m_accept, outcome, durableTime(clock), service.m_random));
            },
            [&](const StoreRange &range) {
                const std::lock_guard lock(service.m_mutex);
                take(service, rangeAnswered(service.m_accept, range, durableTime(clock), service.m_random));
            });
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Groups
//-----------------------------------------------------------------------------

namespace {

/** The caller holds the lock. */
void take(BatchService &service, HeldGroup &group, RunnerActions actions)
{
    queueActions(group.m_pending, std::move(actions.m_store));
    for (const ClaimKeyReady &ready : actions.m_keys) {
        group.m_keys[{ready.m_job, ready.m_stage}] = ready.m_key;
    }
    if (actions.m_ended) {
        group.m_ended = true;
        for (CancelToken *cancel : group.m_running) {
            cancel->m_cancelled = true;
        }
    }
    for (const Finding &finding : actions.m_findings) {
        writeLog(LogLevel::Error, "batch", "Malformed value.", {{"place", finding.m_pointer}, {"finding", finding.m_reason}});
    }
    service.m_changed.notify_all();
}

/** All items under a prefix, in pages. Nothing when the store does not answer. */
std::optional<std::vector<StoreItem>> readAll(const StoreCalls &calls, const std::string &prefix, bool keysOnly)
{
    std::vector<StoreItem> items;
    std::string from;
    while (true) {
        StoreRead read;
        read.m_prefix = prefix;
        read.m_from = from;
        read.m_limit = GroupPage;
        read.m_keysOnly = keysOnly;
        StoreRange range = calls.m_range(read);
        if (!range.m_answered) {
            return std::nullopt;
        }
        for (StoreItem &item : range.m_items) {
            items.push_back(std::move(item));
        }
        if (!range.m_more || items.empty()) {
            return items;
        }
        from = items.back().m_key + '\0';
    }
}

void takeOne(BatchService &service, const Identifier &id)
{
    const std::lock_guard lock(service.m_mutex);
    if (service.m_groups.size() >= MaxGroupsAtOnce || service.m_groups.contains(id)) {
        return;
    }
    auto group = std::make_shared<HeldGroup>();
    service.m_groups[id] = group;
    take(service, *group, takeGroup(group->m_runner, id, service.m_node, durableTime(service.m_board.m_clock), service.m_random));
}

bool hasRoom(BatchService &service)
{
    const std::lock_guard lock(service.m_mutex);
    return service.m_groups.size() < MaxGroupsAtOnce;
}

/** Takes groups that were committed here. */
void takeAccepted(BatchService &service)
{
    while (hasRoom(service)) {
        Identifier id;
        {
            const std::lock_guard lock(service.m_mutex);
            if (service.m_accepted.empty()) {
                return;
            }
            id = service.m_accepted.front();
            service.m_accepted.erase(service.m_accepted.begin());
        }
        takeOne(service, id);
    }
}

/** Takes groups that nobody runs, in random order so that entries do not all try the same one. */
void scanGroups(BatchService &service, const StoreCalls &calls)
{
    const auto groups = readAll(calls, groupPrefix(), true);
    const auto owners = readAll(calls, groupOwnerPrefix(), false);
    if (!groups || !owners) {
        return;
    }
    std::set<Identifier> held;
    {
        const std::lock_guard lock(service.m_mutex);
        for (const auto &[id, group] : service.m_groups) {
            held.insert(id);
        }
        for (StoreWrite &write : releaseOrphans(*owners, service.m_node, held, durableTime(service.m_board.m_clock), service.m_random)) {
            service.m_deletions.push_back(std::move(write));
        }
    }
    std::vector<Identifier> free = groupsToTake(*groups, *owners);
    while (!free.empty() && hasRoom(service)) {
        size_t index = 0;
        {
            const std::lock_guard lock(service.m_mutex);
            index = uniformBelow(service.m_random, free.size());
        }
        service.m_lease.m_wanted = true;
        takeOne(service, free[index]);
        free.erase(free.begin() + static_cast<long>(index));
    }
}

/** Counts what is stored for the quotas and deletes groups whose time is over. */
void readUsage(BatchService &service, const StoreCalls &calls)
{
    const auto groups = readAll(calls, groupPrefix(), false);
    if (!groups) {
        return;
    }
    BatchUsage usage;
    const int64_t wall = wallMilliseconds(service.m_board.m_clock);
    for (const StoreItem &item : *groups) {
        addUsage(usage, item);
        const auto id = parseIdentifier(std::string_view(item.m_key).substr(groupPrefix().size()));
        if (id && isGroupExpired(*id, wall)) {
            const auto chunks = readAll(calls, progressPrefix(*id), true);
            const std::lock_guard lock(service.m_mutex);
            for (StoreWrite &write : deleteGroup(*id,
                                                 item.m_modRevision,
                                                 chunks.value_or(std::vector<StoreItem>{}),
                                                 durableTime(service.m_board.m_clock),
                                                 service.m_random)) {
                service.m_deletions.push_back(std::move(write));
            }
        }
    }
    const std::lock_guard lock(service.m_mutex);
    refreshUsage(service.m_accept, std::move(usage));
}

/** One store action of one group, if any is due. */
struct GroupWork {
    std::shared_ptr<HeldGroup> m_group;
    StoreActions m_actions;
};

std::vector<GroupWork> dueGroupWork(BatchService &service)
{
    std::vector<GroupWork> work;
    const Clock &clock = service.m_board.m_clock;
    const std::lock_guard lock(service.m_mutex);
    for (auto position = service.m_groups.begin(); position != service.m_groups.end();) {
        HeldGroup &group = *position->second;
        if (group.m_pending.empty() && runnerNextTimer(group.m_runner, now(clock)) <= now(clock)) {
            take(service, group, runnerTimer(group.m_runner, durableTime(clock), service.m_random));
        }
        if (!group.m_pending.empty()) {
            work.push_back({position->second, std::move(group.m_pending.front())});
            group.m_pending.pop_front();
        }
        const bool over = group.m_ended && group.m_running.empty() && group.m_pending.empty();
        position = over ? service.m_groups.erase(position) : std::next(position);
    }
    return work;
}

void carryOutGroup(BatchService &service, const StoreCalls &calls, const GroupWork &work)
{
    const Clock &clock = service.m_board.m_clock;
    HeldGroup &group = *work.m_group;
    runStoreActions(
        work.m_actions,
        calls,
        [&](const StoreOutcome &outcome) {
            const std::lock_guard lock(service.m_mutex);
            take(service, group, storeAnswered(group.m_runner, outcome, durableTime(clock), service.m_random));
        },
        [&](const StoreRange &range) {
            const std::lock_guard lock(service.m_mutex);
            take(service, group, rangeAnswered(group.m_runner, range, durableTime(clock), service.m_random));
        });
}

/** Deletions may be lost: a group that stays is deleted again when its time is over. */
void carryOutDeletions(BatchService &service, const StoreCalls &calls)
{
    std::vector<StoreWrite> deletions;
    {
        const std::lock_guard lock(service.m_mutex);
        deletions.swap(service.m_deletions);
    }
    for (const StoreWrite &write : deletions) {
        calls.m_transact(write);
    }
}

} // namespace

void runBatchGroups(BatchService &service, StopSignal &stop)
{
    const Clock &clock = service.m_board.m_clock;
    const StoreCalls calls = makeStoreCalls(service.m_store, StorePurpose::Batch, service.m_lease, clock);
    TimePoint nextScan = now(clock) + ScanInterval;
    TimePoint nextUsage = now(clock);
    while (!isStopped(stop)) {
        const TimePoint current = now(clock);
        const int64_t entries = service.m_board.m_liveEntries;
        if (!service.m_board.m_draining) {
            takeAccepted(service);
            if (current >= nextScan && hasRoom(service)) {
                nextScan = current + std::max<Duration>(ScanInterval, ScanPerEntry * entries);
                scanGroups(service, calls);
            }
            if (current >= nextUsage) {
                nextUsage = current + UsageInterval * entries;
                readUsage(service, calls);
            }
        }
        carryOutDeletions(service, calls);
        const std::vector<GroupWork> work = dueGroupWork(service);
        for (const GroupWork &entry : work) {
            carryOutGroup(service, calls, entry);
        }
        if (work.empty()) {
            std::unique_lock lock(service.m_mutex);
            waitUntil(clock, lock, service.m_changed, current + BatchTick, [&service] {
                return std::any_of(
                    service.m_groups.begin(), service.m_groups.end(), [](const auto &entry) { return !entry.second->m_pending.empty(); });
            });
        }
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Jobs
//-----------------------------------------------------------------------------

namespace {

/** A job that a worker runs. */
struct JobRun {
    std::shared_ptr<HeldGroup> m_group;
    StartJob m_start;
    BatchJob m_job;
    std::vector<std::string> m_stages; ///< outputs of finished stages
    CancelToken m_cancel;
};

std::unique_ptr<JobRun> nextJob(BatchService &service)
{
    std::unique_lock lock(service.m_mutex);
    if (!service.m_board.m_draining) {
        for (const auto &[id, group] : service.m_groups) {
            if (group->m_ended || group->m_runner.m_phase != RunnerPhase::Running) {
                continue;
            }
            const std::vector<StartJob> started = startJobs(group->m_runner, 1);
            if (started.empty()) {
                continue;
            }
            auto run = std::make_unique<JobRun>();
            run->m_group = group;
            run->m_start = started.front();
            const auto index = static_cast<size_t>(run->m_start.m_job);
            run->m_job = group->m_runner.m_jobs[index];
            run->m_stages = group->m_runner.m_progress[index].m_stages;
            group->m_running.insert(&run->m_cancel);
            return run;
        }
    }
    service.m_changed.wait_for(lock, std::chrono::milliseconds(BatchTick));
    return nullptr;
}

/** Waits until the claim key of a stage is durable. */
std::optional<Identifier> awaitClaimKey(BatchService &service, JobRun &run, size_t stage, TimePoint deadline)
{
    const Clock &clock = service.m_board.m_clock;
    const ClaimKeyRequest key{run.m_start.m_job, static_cast<int64_t>(stage)};
    std::unique_lock lock(service.m_mutex);
    HeldGroup &group = *run.m_group;
    group.m_keys.erase(key);
    take(service, group, requestClaimKey(group.m_runner, key.m_job, key.m_stage, durableTime(clock), service.m_random));
    waitUntil(clock, lock, service.m_changed, deadline, [&] { return group.m_keys.contains(key) || group.m_ended; });
    const auto found = group.m_keys.find(key);
    if (found == group.m_keys.end() || group.m_ended) {
        return std::nullopt;
    }
    return found->second;
}

std::string dumpJson(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/** The request of a job, or the reason why its configuration does not allow it any more. */
std::optional<AcceptedRequest> toRequest(BatchService &service, JobRun &run, Reason &reason)
{
    Blackboard &board = service.m_board;
    AcceptedRequest request;
    request.m_configuration = snapshot(board.m_configuration);
    const auto organisation = request.m_configuration->m_organisations.find(run.m_job.m_organisation);
    const auto pipeline = request.m_configuration->m_templates.find(run.m_job.m_pipeline);
    if (organisation == request.m_configuration->m_organisations.end() || pipeline == request.m_configuration->m_templates.end()) {
        reason = Reason::UnknownPipeline;
        return std::nullopt;
    }
    request.m_organisation = organisation->second;
    request.m_pipeline = applyOverrides(*pipeline->second, *request.m_organisation);
    request.m_identifier = makeIdentifier(board.m_clock);
    request.m_request.m_input = nlohmann::json::parse(run.m_job.m_input, nullptr, false);
    request.m_request.m_class = RequestClass::Batch;
    request.m_idempotencyKey = run.m_job.m_key;
    request.m_contentHash = contentHash(run.m_job.m_pipeline, request.m_request.m_input);
    request.m_arrival = now(board.m_clock);
    request.m_deadline = request.m_arrival + request.m_pipeline.m_batchDeadline;
    for (const std::string &output : run.m_stages) {
        request.m_finished.push_back(nlohmann::json::parse(output, nullptr, false));
    }
    request.m_claimKey = [&service, &run, deadline = request.m_deadline](size_t stage) {
        return awaitClaimKey(service, run, stage, deadline);
    };
    request.m_onStage = [&service, &run](size_t stage, const nlohmann::json &output) {
        const std::lock_guard lock(service.m_mutex);
        HeldGroup &group = *run.m_group;
        take(service,
             group,
             stageFinished(group.m_runner,
                           run.m_start.m_job,
                           static_cast<int64_t>(stage),
                           dumpJson(output),
                           durableTime(service.m_board.m_clock),
                           service.m_random));
    };
    if (isRefusedContent(*board.m_pools, request.m_contentHash)) {
        reason = Reason::CrashGuard;
        return std::nullopt;
    }
    return request;
}

/** Whether a job that was not answered may be started again without a stage with consequences running twice. */
bool mayRestart(const PipelineResult &result)
{
    switch (result.m_reason) {
    case Reason::UnknownPipeline:
    case Reason::UpstreamRejected:
    case Reason::CrashGuard:
    case Reason::IdempotencyKeyMismatch:
    case Reason::IdempotencyKeyExpired:
        return false;
    default:
        return !result.m_sideEffects;
    }
}

void endJob(BatchService &service, JobRun &run, const PipelineResult &result)
{
    const std::lock_guard lock(service.m_mutex);
    HeldGroup &group = *run.m_group;
    group.m_running.erase(&run.m_cancel);
    if (group.m_ended) {
        return;
    }
    if (result.m_outcome != Outcome::Answered && mayRestart(result)) {
        jobInterrupted(group.m_runner, run.m_start.m_job);
        return;
    }
    JobResult ended{result.m_outcome, result.m_reason, result.m_outcome == Outcome::Answered ? dumpJson(result.m_output) : std::string()};
    take(service,
         group,
         jobFinished(group.m_runner, run.m_start.m_job, std::move(ended), durableTime(service.m_board.m_clock), service.m_random));
}

void recordJob(BatchService &service, const AcceptedRequest &request, const PipelineResult &result)
{
    RequestRecord record;
    const TimePoint end = now(service.m_board.m_clock);
    record.m_pipeline = request.m_pipeline.m_name;
    record.m_tier = "batch";
    record.m_class = RequestClass::Batch;
    record.m_outcome = result.m_outcome;
    record.m_inDeadline = end <= request.m_deadline;
    record.m_duration = end - request.m_arrival;
    recordRequest(*service.m_board.m_metrics, record);
}

void runJob(BatchService &service, JobRun &run, StopSignal &stop)
{
    PipelineResult result;
    result.m_outcome = Outcome::NotRun;
    const std::optional<AcceptedRequest> request = toRequest(service, run, result.m_reason);
    if (request) {
        result = runPipeline(service.m_board, *request, {}, run.m_cancel);
        recordJob(service, *request, result);
    }
    if (result.m_outcome != Outcome::Answered) {
        countRefusal(*service.m_board.m_metrics, result.m_reason, RequestClass::Batch);
        if (mayRestart(result)) {
            sleepFor(service.m_board.m_clock, stop, JobRetryPause);
        }
    }
    endJob(service, run, result);
}

} // namespace

void runBatchWorker(BatchService &service, StopSignal &stop)
{
    while (!isStopped(stop)) {
        if (const std::unique_ptr<JobRun> run = nextJob(service)) {
            ++service.m_board.m_openRequests;
            runJob(service, *run, stop);
            --service.m_board.m_openRequests;
        }
    }
}

void leaveBatch(BatchService &service)
{
    const Clock &clock = service.m_board.m_clock;
    std::unique_lock lock(service.m_mutex);
    for (const auto &[id, group] : service.m_groups) {
        take(service, *group, releaseGroup(group->m_runner, durableTime(clock), service.m_random));
    }
    waitUntil(clock, lock, service.m_changed, now(clock) + LeaveLimit, [&service] {
        return std::all_of(service.m_groups.begin(), service.m_groups.end(), [](const auto &entry) { return entry.second->m_ended; });
    });
}

//-----------------------------------------------------------------------------
// [SECTION] Results
//-----------------------------------------------------------------------------

absl::StatusOr<JobView> readBatchJob(BatchService &service, const JobId &id)
{
    const StoreCalls calls = makeStoreCalls(service.m_store, StorePurpose::Batch, service.m_lease, service.m_board.m_clock);
    StoreRead read;
    read.m_keys = {groupKey(id.m_group)};
    const StoreRange group = calls.m_range(read);
    const auto chunks = readAll(calls, progressPrefix(id.m_group), false);
    if (!group.m_answered || !chunks) {
        return absl::UnavailableError("the store gives no answer");
    }
    return viewJob(id, group.m_items.empty() ? std::nullopt : std::optional(group.m_items.front()), *chunks);
}

void noteFetched(BatchService &service, const JobId &id)
{
    const StoreCalls calls = makeStoreCalls(service.m_store, StorePurpose::Batch, service.m_lease, service.m_board.m_clock);
    StoreRead read;
    read.m_keys = {groupKey(id.m_group)};
    const StoreRange group = calls.m_range(read);
    if (group.m_items.empty()) {
        return;
    }
    const absl::StatusOr<std::string> body = bodyOf(group.m_items.front().m_value);
    const absl::StatusOr<std::vector<BatchJob>> jobs = body.ok() ? decodeGroup(*body) : body.status();
    const auto chunks = readAll(calls, progressPrefix(id.m_group), true);
    const std::lock_guard lock(service.m_mutex);
    if (jobs.ok() && chunks && resultFetched(service.m_fetched, id, jobs->size())) {
        const DurableTime time = durableTime(service.m_board.m_clock);
        for (StoreWrite &write : deleteGroup(id.m_group, group.m_items.front().m_modRevision, *chunks, time, service.m_random)) {
            service.m_deletions.push_back(std::move(write));
        }
    }
}

} // namespace Medlarramp
