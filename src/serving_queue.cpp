#include <algorithm>
#include <cmath>
#include <limits>
#include <queue>

#include "serving.h"

namespace Medlarramp::Serving {

namespace {

constexpr Duration FailurePause = milliseconds(500); ///< doubles with each consecutive failure
constexpr int MaxPauseDoublings = 3;
/** Longest wait for a replica in the preferred failure domain; about half of the time of a call. */
constexpr Duration MaxLocalityWait = milliseconds(200);
/** Time to the latest start that must remain when a task waits for a replica in its preferred failure domain. */
constexpr Duration LocalityMargin = milliseconds(300);
/** A replica counts as shared for this time after calls of other gateways were observed. */
constexpr Duration SharedReplicaWindow = seconds(2);
constexpr double UsableCapacityShare = 0.95; ///< part of the result capacity that is used, as sizes of results are estimates
constexpr Duration CapacityCheckInterval = milliseconds(50); ///< between checks while results of other owners expire one by one
constexpr Duration ExpiryCheckInterval = milliseconds(100); ///< between searches for expired results, of which there may be thousands
/**
 * Capacity is scarce, and evictable results are released, above this share of the usable capacity. The rest lets a call
 * reserve its results while those of the previous call are stored.
 */
constexpr double ScarceCapacityShare = 0.5;
constexpr int ProbeBatchSize = 2; ///< limit on the pieces of a call to a replica whose last call failed
/** The next call is sent this long before a replica is free, to cover the network round trip. */
constexpr Duration SendAhead = milliseconds(20);
constexpr Duration LatestStartSlack = milliseconds(50); ///< a task that starts this long after its latest start still counts as on time
constexpr double CallTimeRatioWeight = 0.2; ///< weight of a new observation in the moving mean
constexpr double MinCallTimeRatio = 0.2;
constexpr double MaxCallTimeRatio = 20;

Duration expectedCallTime(const StageQueue &queue, size_t pieces)
{
    return queue.m_limits.m_callTime + queue.m_limits.m_pieceTime * static_cast<int64_t>(pieces);
}

TimePoint expectedEnd(const StageQueue &queue, const StageCall &call, double callTimeRatio)
{
    const auto expected = static_cast<double>(expectedCallTime(queue, call.m_items.size()).count());
    return call.m_sentAt + Duration(static_cast<int64_t>(expected * callTimeRatio));
}

/** Observed over expected call time, with what the replica has just reported of its speed. */
double expectedRatio(const StageWorker &worker, TimePoint now)
{
    return worker.m_callTimeRatio * estimateSpeed(worker.m_speed, now).m_deviation;
}

size_t waitingPieces(const StageQueue &queue)
{
    size_t pieces = 0;
    for (const uint64_t ticket : queue.m_waiting) {
        pieces += queue.m_tasks.at(ticket).m_pieces.size();
    }
    return pieces;
}

/** The expected end of the open calls of @p worker; the earliest TimePoint when it has none. */
TimePoint lastEnd(const StageWorker &worker)
{
    return worker.m_calls > 0 ? worker.m_busyUntil : TimePoint();
}

bool isFree(const StageQueue &queue, const StageWorker &worker, size_t waiting, TimePoint now)
{
    if (!worker.m_usable || now < worker.m_pausedUntil) {
        return false;
    }
    const int slots = queue.m_limits.m_slots;
    if (worker.m_calls < slots) {
        // After a failure, one call at a time probes whether the replica has recovered.
        return worker.m_failures == 0 || worker.m_calls == 0;
    }
    const bool fillsBatch = waiting >= static_cast<size_t>(queue.m_limits.m_batch);
    return worker.m_calls == slots && queue.m_limits.m_queue > 0 && worker.m_failures == 0 && fillsBatch
        && lastEnd(worker) - now <= SendAhead;
}

/** Mean time between the starts of two full batches while all usable replicas are busy. */
Duration batchInterval(const StageQueue &queue)
{
    const auto usable =
        std::count_if(queue.m_workers.begin(), queue.m_workers.end(), [](const auto &entry) { return entry.second.m_usable; });
    return expectedCallTime(queue, static_cast<size_t>(queue.m_limits.m_batch)) / std::max<int64_t>(1, usable);
}

/** When the next usable replica becomes free; @p now when there is none. */
TimePoint firstFree(const StageQueue &queue, TimePoint now)
{
    std::optional<TimePoint> first;
    for (const auto &[id, worker] : queue.m_workers) {
        if (worker.m_usable) {
            const TimePoint free = std::max({now, worker.m_pausedUntil, lastEnd(worker)});
            first = first ? std::min(*first, free) : free;
        }
    }
    return first.value_or(now);
}

/** Whether no piece of the request was sent yet, in this or an earlier stage, so that it holds no results. */
bool isUnbegun(const StageTask &task)
{
    return task.m_inputs.empty() && task.m_pieces.size() == task.m_handles.size();
}

/** When @p task has to start at the latest for its request to be answered before its deadline. */
TimePoint lastUsefulStart(const StageQueue &queue, const StageTask &task)
{
    return task.m_deadline - std::max(expectedCallTime(queue, 1), isUnbegun(task) ? task.m_work : Duration(0));
}

double valueDensity(const StageTask &task)
{
    return task.m_value / static_cast<double>(std::max<size_t>(1, task.m_pieces.size()));
}

/** Tasks with pieces to send, in the order in which they are sent. */
struct WaitingOrder {
    std::vector<StageTask *> m_onTime; ///< expected to meet their latest start, in order of it
    std::vector<StageTask *> m_sentLast; ///< past their latest start, or moved behind the others
};

/**
 * Separates @p tasks, which are sorted by latest start, into those on time and the others. Takes O(n log n) time, as
 * thousands of pieces may be queued.
 */
WaitingOrder splitByLatestStart(const StageQueue &queue, const std::vector<StageTask *> &tasks, TimePoint now)
{
    using Candidate = std::pair<double, size_t>; // value per piece, index
    std::priority_queue<Candidate, std::vector<Candidate>, std::greater<>> lowestValue;
    std::vector<bool> isSentLast(tasks.size(), false);
    const double interval = static_cast<double>(batchInterval(queue).count()) / std::max(1, queue.m_limits.m_batch);
    const TimePoint start = firstFree(queue, now);
    WaitingOrder order;
    size_t pieces = 0; // of the tasks that are expected to be on time
    for (size_t i = 0; i < tasks.size(); ++i) {
        const StageTask &task = *tasks[i];
        const Duration ahead(static_cast<int64_t>(static_cast<double>(pieces) * interval));
        const bool isPastLatestStart = now > task.m_latestStart + LatestStartSlack;
        if (!isPastLatestStart) {
            pieces += task.m_pieces.size();
            lowestValue.emplace(valueDensity(task), i);
        }
        if (!isPastLatestStart && start + ahead <= task.m_latestStart + LatestStartSlack) {
            continue;
        }
        // Moving another task back does not help a task whose latest start has passed.
        const size_t displaced = isPastLatestStart ? i : lowestValue.top().second;
        if (!isPastLatestStart) {
            lowestValue.pop();
            pieces -= tasks[displaced]->m_pieces.size();
        }
        isSentLast[displaced] = true;
        order.m_sentLast.push_back(tasks[displaced]);
    }
    for (size_t i = 0; i < tasks.size(); ++i) {
        if (!isSentLast[i]) {
            order.m_onTime.push_back(tasks[i]);
        }
    }
    return order;
}

/** Order of the tasks that are sent last: requests that have begun first, as their results expire, then by rank. */
bool isMoreUrgent(const StageTask *left, const StageTask *right)
{
    if (isUnbegun(*left) != isUnbegun(*right)) {
        return isUnbegun(*right);
    }
    return left->m_rank != right->m_rank ? left->m_rank < right->m_rank : left->m_deadline < right->m_deadline;
}

WaitingOrder sortWaiting(StageQueue &queue, TimePoint now)
{
    std::vector<StageTask *> tasks;
    tasks.reserve(queue.m_waiting.size());
    for (const uint64_t ticket : queue.m_waiting) {
        tasks.push_back(&queue.m_tasks.at(ticket));
    }
    std::stable_sort(tasks.begin(), tasks.end(), [](const StageTask *left, const StageTask *right) {
        return left->m_latestStart < right->m_latestStart;
    });
    WaitingOrder order = splitByLatestStart(queue, tasks, now);
    std::stable_sort(order.m_sentLast.begin(), order.m_sentLast.end(), isMoreUrgent);
    return order;
}

int64_t usableCapacity(const StageQueue &queue)
{
    const int64_t capacity = queue.m_limits.m_resultCapacityBytes;
    return capacity <= 0 ? std::numeric_limits<int64_t>::max() : static_cast<int64_t>(static_cast<double>(capacity) * UsableCapacityShare);
}

/**
 * Estimated bytes of results of other owners. Decreases linearly over one result lifetime: the results expire one by
 * one, the newest of them a whole lifetime after the refusal.
 */
int64_t otherOwnersBytes(const StageQueue &queue, const StageWorker &worker, TimePoint now)
{
    const Duration left = worker.m_otherOwnersObservedAt + queue.m_limits.m_resultLifetime - now;
    if (worker.m_otherOwnersBytes == 0 || left <= Duration(0)) {
        return 0;
    }
    const double share = static_cast<double>(left.count()) / static_cast<double>(queue.m_limits.m_resultLifetime.count());
    return static_cast<int64_t>(static_cast<double>(worker.m_otherOwnersBytes) * std::min(1.0, share));
}

int64_t freeCapacity(const StageQueue &queue, const StageWorker &worker, TimePoint now)
{
    return usableCapacity(queue) - worker.m_usedBytes - otherOwnersBytes(queue, worker, now);
}

/** Number of results of @p bytes each that fit into @p capacity. */
size_t fittingResults(int64_t capacity, int64_t bytes)
{
    if (capacity <= 0) {
        return 0;
    }
    return bytes <= 0 ? std::numeric_limits<size_t>::max() : static_cast<size_t>(capacity / bytes);
}

/**
 * Whether the rest of @p call is left to other tasks, as the result capacity would split @p task over several calls.
 * Results of a split task take memory until its last piece is done, as they are read only then. A task whose results
 * do not fit into an empty replica is split all the same.
 */
bool isSplitByCapacity(const StageQueue &queue, int64_t capacity, const StageTask &task, const StageCall &call, size_t batch)
{
    const size_t fitting = fittingResults(capacity - call.m_resultBytes, task.m_resultBytes);
    const bool isCapacityLimit = fitting < batch - call.m_items.size();
    const size_t fittingWhenEmpty = std::min(batch, fittingResults(usableCapacity(queue), task.m_resultBytes));
    return isCapacityLimit && fitting < task.m_pieces.size() && task.m_pieces.size() <= fittingWhenEmpty;
}

/** Moves pieces of @p task into @p call until the batch is full or the results exceed @p capacity. */
void addPieces(const StageQueue &queue, const StageWorker &worker, int64_t capacity, StageTask &task, StageCall &call)
{
    // A replica whose last call failed gets a small batch until a call succeeds, as lost pieces cost a retry.
    const auto batch =
        static_cast<size_t>(worker.m_failures > 0 ? std::min(ProbeBatchSize, queue.m_limits.m_batch) : queue.m_limits.m_batch);
    if (isSplitByCapacity(queue, capacity, task, call, batch)) {
        return;
    }
    while (!task.m_pieces.empty() && call.m_items.size() < batch) {
        if (call.m_resultBytes + task.m_resultBytes > capacity) {
            return;
        }
        call.m_items.push_back({task.m_ticket, task.m_pieces.front()});
        call.m_resultBytes += task.m_resultBytes;
        task.m_pieces.erase(task.m_pieces.begin());
    }
}

bool prefersDomainOf(const StageTask &task, const StageWorker &worker)
{
    return task.m_failureDomain.empty() || task.m_failureDomain == worker.m_failureDomain;
}

/** When the first replica in the preferred failure domain of @p task becomes free; nothing when there is none. */
std::optional<TimePoint> firstFreeInPreferredDomain(const StageQueue &queue, const StageTask &task, TimePoint now)
{
    std::optional<TimePoint> first;
    for (const auto &[id, worker] : queue.m_workers) {
        if (worker.m_usable && worker.m_failures == 0 && prefersDomainOf(task, worker)) {
            const TimePoint free = std::max({now, worker.m_pausedUntil, lastEnd(worker)});
            first = first ? std::min(*first, free) : free;
        }
    }
    return first;
}

/** Whether @p task should wait, as a replica in its preferred failure domain becomes free soon enough. */
bool waitsForPreferredDomain(const StageQueue &queue, const StageTask &task, TimePoint now)
{
    const std::optional<TimePoint> preferredFree = firstFreeInPreferredDomain(queue, task, now);
    return preferredFree && *preferredFree - now <= MaxLocalityWait && *preferredFree + LocalityMargin <= task.m_latestStart;
}

/** Adds @p tasks to a call: first those that prefer the failure domain of the replica, then others that need not wait. */
void addTasks(const StageQueue &queue, const StageWorker &worker, const std::vector<StageTask *> &tasks, StageCall &call, TimePoint now)
{
    const int64_t capacity = freeCapacity(queue, worker, now);
    for (const bool preferredOnly : {true, false}) {
        for (StageTask *task : tasks) {
            if (call.m_items.size() >= static_cast<size_t>(queue.m_limits.m_batch)) {
                return;
            }
            const bool isPreferred = prefersDomainOf(*task, worker);
            if (preferredOnly ? isPreferred : !isPreferred && !waitsForPreferredDomain(queue, *task, now)) {
                addPieces(queue, worker, capacity, *task, call);
            }
        }
    }
}

/** Builds a call for one replica. Tasks on time go before those sent last; locality only orders the tasks of each group. */
StageCall buildCall(const StageQueue &queue, const StageWorker &worker, const WaitingOrder &order, TimePoint now)
{
    StageCall call;
    call.m_replica = worker.m_id;
    call.m_epoch = worker.m_epoch;
    addTasks(queue, worker, order.m_onTime, call, now);
    addTasks(queue, worker, order.m_sentLast, call, now);
    return call;
}

/** Free replicas, sorted by the number of open calls, then by observed call time, fastest first. */
std::vector<StageWorker *> freeWorkers(StageQueue &queue, TimePoint now)
{
    const size_t waiting = waitingPieces(queue);
    std::vector<StageWorker *> workers;
    for (auto &[id, worker] : queue.m_workers) {
        if (isFree(queue, worker, waiting, now)) {
            workers.push_back(&worker);
        }
    }
    std::stable_sort(workers.begin(), workers.end(), [now](const StageWorker *left, const StageWorker *right) {
        return left->m_calls != right->m_calls ? left->m_calls < right->m_calls : expectedRatio(*left, now) < expectedRatio(*right, now);
    });
    return workers;
}

StageOutcome removeTask(StageQueue &queue, uint64_t ticket, Reason reason)
{
    StageOutcome outcome{std::move(queue.m_tasks.at(ticket)), reason};
    queue.m_tasks.erase(ticket);
    std::erase(queue.m_waiting, ticket);
    return outcome;
}

Reason reasonOf(PieceFailure failure)
{
    switch (failure) {
    case PieceFailure::Late:
        return Reason::DeadlineUnreachable;
    case PieceFailure::InputExpired:
        return Reason::NotFound;
    case PieceFailure::NoCapacity:
    case PieceFailure::Rejected:
        return Reason::UpstreamOverloaded;
    case PieceFailure::Error:
        return Reason::UpstreamError;
    case PieceFailure::Lost:
    case PieceFailure::NotSent:
        return Reason::ConnectionLost;
    }
    return Reason::InternalError;
}

void updateCallTimeRatio(const StageQueue &queue, StageWorker &worker, const StageCall &call, TimePoint now)
{
    const auto expected = static_cast<double>(expectedCallTime(queue, call.m_items.size()).count());
    const auto observed = static_cast<double>((now - call.m_sentAt).count());
    const double ratio = std::clamp(observed / std::max(1.0, expected), MinCallTimeRatio, MaxCallTimeRatio);
    worker.m_callTimeRatio += CallTimeRatioWeight * (ratio - worker.m_callTimeRatio);
}

/** Removes the results whose lifetime is over, as their replicas have freed them. */
void removeExpiredResults(StageQueue &queue, TimePoint now)
{
    if (now < queue.m_nextExpiryCheck) {
        return;
    }
    queue.m_nextExpiryCheck = now + ExpiryCheckInterval;
    for (auto result = queue.m_results.begin(); result != queue.m_results.end();) {
        if (now < result->second.m_expiresAt) {
            ++result;
            continue;
        }
        const auto worker = queue.m_workers.find(result->second.m_replica);
        if (worker != queue.m_workers.end()) {
            worker->second.m_usedBytes -= result->second.m_bytes;
        }
        queue.m_evictableResults.erase(result->first);
        result = queue.m_results.erase(result);
    }
}

} // namespace

void updateWorker(StageQueue &queue, const ReplicaRecord &record)
{
    StageWorker &worker = queue.m_workers[record.m_id];
    const bool isNew = worker.m_incarnationStart != record.m_incarnationStart || worker.m_address != record.m_address;
    if (isNew) {
        std::erase_if(queue.m_results, [&record](const auto &entry) { return entry.second.m_replica == record.m_id; });
        std::erase_if(queue.m_evictableResults, [&queue](const std::string &handle) { return !queue.m_results.contains(handle); });
        // Calls to the previous incarnation stay open until each one ends.
        const int calls = worker.m_calls;
        const TimePoint busyUntil = worker.m_busyUntil;
        const uint64_t epoch = worker.m_epoch + 1;
        worker = StageWorker();
        worker.m_epoch = epoch;
        worker.m_calls = calls;
        worker.m_busyUntil = busyUntil;
    }
    worker.m_id = record.m_id;
    worker.m_address = record.m_address;
    worker.m_failureDomain = record.m_failureDomain;
    worker.m_incarnationStart = record.m_incarnationStart;
    worker.m_usable = true;
}

bool addTask(StageQueue &queue, StageTask task)
{
    if (queue.m_tasks.size() >= MaxUnfinishedTasks) {
        return false;
    }
    task.m_ticket = queue.m_nextTicket++;
    task.m_handles.resize(task.m_pieces.size());
    queue.m_waiting.push_back(task.m_ticket);
    queue.m_tasks.emplace(task.m_ticket, std::move(task));
    return true;
}

std::vector<std::string> cancelTask(StageQueue &queue, const std::string &submitter, uint64_t submission)
{
    for (auto &[ticket, task] : queue.m_tasks) {
        if (task.m_submission == submission && task.m_submitter == submitter) {
            std::vector<std::string> handles = std::move(removeTask(queue, ticket, Reason::CallerGone).m_task.m_handles);
            std::erase(handles, "");
            return handles;
        }
    }
    return {};
}

std::vector<StageCall> planCalls(StageQueue &queue, TimePoint now)
{
    std::vector<StageCall> calls;
    removeExpiredResults(queue, now);
    if (queue.m_waiting.empty()) {
        return calls;
    }
    const std::vector<StageWorker *> workers = freeWorkers(queue, now);
    if (workers.empty()) {
        return calls;
    }
    const WaitingOrder order = sortWaiting(queue, now);
    for (StageWorker *worker : workers) {
        StageCall call = buildCall(queue, *worker, order, now);
        if (call.m_items.empty()) {
            continue;
        }
        call.m_call = queue.m_nextCall++;
        call.m_sentAt = now;
        worker->m_busyUntil = std::max(lastEnd(*worker), expectedEnd(queue, call, expectedRatio(*worker, now)));
        worker->m_calls += 1;
        worker->m_usedBytes += call.m_resultBytes;
        queue.m_calls.emplace(call.m_call, call);
        calls.push_back(std::move(call));
    }
    std::erase_if(queue.m_waiting, [&queue](uint64_t ticket) { return queue.m_tasks.at(ticket).m_pieces.empty(); });
    return calls;
}

std::vector<uint64_t> callsExpectedToRun(const StageQueue &queue, TimePoint now)
{
    std::map<std::string, int> running;
    for (const auto &[id, call] : queue.m_calls) {
        running[call.m_replica] += call.m_isRunning ? 1 : 0;
    }
    std::vector<uint64_t> calls;
    for (const auto &[id, call] : queue.m_calls) {
        const auto worker = queue.m_workers.find(call.m_replica);
        const bool isShared = worker == queue.m_workers.end() || now < worker->second.m_sharedUntil;
        if (!call.m_isRunning && !isShared && running[call.m_replica] < queue.m_limits.m_slots) {
            running[call.m_replica] += 1;
            calls.push_back(id);
        }
    }
    return calls;
}

std::vector<StageTask> recordInputsRead(StageQueue &queue, uint64_t call)
{
    std::vector<StageTask> tasks;
    const auto open = queue.m_calls.find(call);
    if (open == queue.m_calls.end()) {
        return tasks;
    }
    for (const StageCall::Item &item : open->second.m_items) {
        const auto task = queue.m_tasks.find(item.m_ticket);
        if (task == queue.m_tasks.end()) {
            continue;
        }
        task->second.m_started += 1;
        if (task->second.m_started == task->second.m_handles.size()) {
            tasks.push_back(task->second);
        }
    }
    return tasks;
}

std::vector<StageOutcome> expireTasks(StageQueue &queue, TimePoint now)
{
    std::vector<uint64_t> expired;
    for (const uint64_t ticket : queue.m_waiting) {
        const StageTask &task = queue.m_tasks.at(ticket);
        if (lastUsefulStart(queue, task) < now) {
            expired.push_back(ticket);
        }
    }
    std::vector<StageOutcome> outcomes;
    outcomes.reserve(expired.size());
    for (const uint64_t ticket : expired) {
        outcomes.push_back(removeTask(queue, ticket, Reason::DeadlineUnreachable));
    }
    return outcomes;
}

std::optional<StageOutcome> completePiece(StageQueue &queue, const StageCall &call, size_t item, std::string handle, TimePoint now)
{
    const StageCall::Item &piece = call.m_items[item];
    const auto task = queue.m_tasks.find(piece.m_ticket);
    const int64_t bytes = call.m_resultBytes / static_cast<int64_t>(call.m_items.size());
    const auto worker = queue.m_workers.find(call.m_replica);
    if (worker != queue.m_workers.end() && worker->second.m_epoch == call.m_epoch) {
        const int64_t resultBytes = task == queue.m_tasks.end() ? bytes : task->second.m_resultBytes;
        const StoredResult result{call.m_replica, resultBytes, now + queue.m_limits.m_resultLifetime, ResultState::Stored};
        // A result whose handle is returned twice takes its memory once.
        const bool isNew = queue.m_results.emplace(handle, result).second;
        worker->second.m_usedBytes += isNew ? resultBytes : 0;
    }
    if (task == queue.m_tasks.end()) {
        return std::nullopt;
    }
    const auto index = static_cast<size_t>(piece.m_piece);
    if (index >= task->second.m_handles.size() || !task->second.m_handles[index].empty()) {
        return std::nullopt;
    }
    task->second.m_handles[index] = std::move(handle);
    task->second.m_done += 1;
    if (task->second.m_done < task->second.m_handles.size()) {
        return std::nullopt;
    }
    return removeTask(queue, piece.m_ticket, Reason::None);
}

std::optional<StageOutcome> failPiece(StageQueue &queue, const StageCall &call, size_t item, PieceFailure failure)
{
    const StageCall::Item &piece = call.m_items[item];
    const auto task = queue.m_tasks.find(piece.m_ticket);
    if (task == queue.m_tasks.end()) {
        return std::nullopt;
    }
    const bool final = failure == PieceFailure::Late || failure == PieceFailure::InputExpired;
    const bool reachedReplica = failure != PieceFailure::NotSent;
    task->second.m_retries += reachedReplica ? 1 : 0;
    if (final || task->second.m_retries > MaxRetriesPerPiece * task->second.m_handles.size()) {
        return removeTask(queue, piece.m_ticket, reasonOf(failure));
    }
    if (task->second.m_pieces.empty()) {
        queue.m_waiting.push_back(piece.m_ticket);
    }
    task->second.m_pieces.push_back(piece.m_piece);
    return std::nullopt;
}

void observeCapacityRefusal(StageQueue &queue, const StageCall &call, size_t completed, TimePoint now)
{
    const auto worker = queue.m_workers.find(call.m_replica);
    if (worker == queue.m_workers.end() || call.m_items.empty()) {
        return;
    }
    const int64_t completedBytes = call.m_resultBytes / static_cast<int64_t>(call.m_items.size()) * static_cast<int64_t>(completed);
    const int64_t ownBytes = worker->second.m_usedBytes - call.m_resultBytes;
    worker->second.m_otherOwnersBytes = std::max<int64_t>(0, queue.m_limits.m_resultCapacityBytes - ownBytes - completedBytes);
    worker->second.m_otherOwnersObservedAt = now;
}

void observeLoad(StageQueue &queue, const StageCall &call, int calls, TimePoint now)
{
    const auto worker = queue.m_workers.find(call.m_replica);
    if (worker != queue.m_workers.end() && calls > worker->second.m_calls - 1) {
        worker->second.m_sharedUntil = now + SharedReplicaWindow;
    }
}

void observeWorkerSpeed(StageQueue &queue, const std::string &id, double ratio, TimePoint now)
{
    const auto worker = queue.m_workers.find(id);
    if (worker != queue.m_workers.end()) {
        observeReportedSpeed(worker->second.m_speed, ratio, now);
    }
}

void pauseWorker(StageQueue &queue, const std::string &id, TimePoint until)
{
    const auto worker = queue.m_workers.find(id);
    if (worker != queue.m_workers.end()) {
        worker->second.m_pausedUntil = std::max(worker->second.m_pausedUntil, until);
    }
}

void endCall(StageQueue &queue, uint64_t call, bool failed, TimePoint now)
{
    const auto open = queue.m_calls.find(call);
    if (open == queue.m_calls.end()) {
        return;
    }
    const auto worker = queue.m_workers.find(open->second.m_replica);
    if (worker != queue.m_workers.end()) {
        StageWorker &replica = worker->second;
        replica.m_calls -= 1;
        if (replica.m_epoch == open->second.m_epoch) {
            replica.m_usedBytes -= open->second.m_resultBytes; // completePiece() has counted the results of the call
        }
        if (failed) {
            const Duration pause = FailurePause * (int64_t{1} << std::min(replica.m_failures, MaxPauseDoublings));
            replica.m_failures += 1;
            replica.m_pausedUntil = std::max(replica.m_pausedUntil, now + pause);
        } else {
            replica.m_failures = 0;
            updateCallTimeRatio(queue, replica, open->second, now);
        }
    }
    queue.m_calls.erase(open);
}

void markEvictable(StageQueue &queue, const std::string &handle)
{
    const auto result = queue.m_results.find(handle);
    if (result != queue.m_results.end() && result->second.m_state == ResultState::Stored) {
        result->second.m_state = ResultState::Evictable;
        queue.m_evictableResults.insert(handle);
    }
}

std::vector<std::string> resultsToEvict(const StageQueue &queue)
{
    const auto scarce = static_cast<int64_t>(static_cast<double>(usableCapacity(queue)) * ScarceCapacityShare);
    std::vector<std::string> handles;
    for (const std::string &handle : queue.m_evictableResults) {
        const auto worker = queue.m_workers.find(queue.m_results.at(handle).m_replica);
        if (worker != queue.m_workers.end() && worker->second.m_usedBytes > scarce) {
            handles.push_back(handle);
        }
    }
    return handles;
}

bool beginRelease(StageQueue &queue, const std::string &handle)
{
    const auto result = queue.m_results.find(handle);
    if (result == queue.m_results.end()) {
        return true; // it belongs to another queue owner, so it is not tracked here
    }
    const bool isFirst = result->second.m_state == ResultState::Stored || result->second.m_state == ResultState::Evictable;
    if (isFirst) {
        result->second.m_state = ResultState::Releasing;
        queue.m_evictableResults.erase(handle);
    }
    return isFirst;
}

void releaseResult(StageQueue &queue, const std::string &handle)
{
    const auto result = queue.m_results.find(handle);
    if (result == queue.m_results.end()) {
        return;
    }
    const auto worker = queue.m_workers.find(result->second.m_replica);
    if (worker != queue.m_workers.end()) {
        worker->second.m_usedBytes -= result->second.m_bytes;
    }
    result->second.m_bytes = 0;
    result->second.m_state = ResultState::Released;
    queue.m_evictableResults.erase(handle);
}

std::optional<TimePoint> nextQueueEvent(const StageQueue &queue, TimePoint now)
{
    if (queue.m_waiting.empty()) {
        return std::nullopt;
    }
    TimePoint next = now + seconds(1);
    for (const auto &[id, worker] : queue.m_workers) {
        if (!worker.m_usable) {
            continue;
        }
        if (now < worker.m_pausedUntil) {
            next = std::min(next, worker.m_pausedUntil);
        }
        if (otherOwnersBytes(queue, worker, now) > 0) {
            next = std::min(next, now + CapacityCheckInterval);
        }
        if (worker.m_calls == queue.m_limits.m_slots) {
            const TimePoint ahead = lastEnd(worker) - SendAhead;
            next = ahead > now ? std::min(next, ahead) : next;
        }
    }
    for (const uint64_t ticket : queue.m_waiting) {
        next = std::min(next, std::max(lastUsefulStart(queue, queue.m_tasks.at(ticket)), now));
    }
    return std::max(next, now + milliseconds(1));
}

} // namespace Medlarramp::Serving
