#include <algorithm>
#include <cmath>
#include <limits>
#include <queue>

#include "serving.h"

namespace Medlarramp::Serving {

namespace {

constexpr Duration FailurePause = milliseconds(500); ///< doubles with each failure in a row
constexpr int MaxPauseDoublings = 3;
constexpr Duration MaxNearWait = milliseconds(200); ///< about half of a call
constexpr Duration NearMargin = milliseconds(300); ///< left before the due time of work that waits for a replica near its reader
constexpr Duration SharedMemory = seconds(2); ///< a replica counts as shared for this time after calls of others were seen
constexpr double UsableRoom = 0.95; ///< of a replica's room for results: their sizes are known approximately only
constexpr Duration RoomCheck = milliseconds(50); ///< while results of other owners end one by one
constexpr Duration SweepInterval = milliseconds(100); ///< of looking through thousands of results for those that have ended
constexpr double ScarceRoom = 0.5; ///< of the usable room: a call reserves its room while results of the one before are held
constexpr int ProbeBatch = 2; ///< pieces for a replica that failed
constexpr Duration SendAhead = milliseconds(20); ///< covers the way to the replica and back
constexpr Duration DueSlack = milliseconds(50); ///< a task this late still counts as in time
constexpr double SpeedGain = 0.2; ///< weight of a new observation
constexpr double MinSpeed = 0.2;
constexpr double MaxSpeed = 20;

Duration expectedCallTime(const StageQueue &queue, size_t pieces)
{
    return queue.m_limits.m_callTime + queue.m_limits.m_pieceTime * static_cast<int64_t>(pieces);
}

TimePoint expectedEnd(const StageQueue &queue, const StageCall &call, double speed)
{
    const auto expected = static_cast<double>(expectedCallTime(queue, call.m_items.size()).count());
    return call.m_sentAt + Duration(static_cast<int64_t>(expected * speed));
}

size_t waitingPieces(const StageQueue &queue)
{
    size_t pieces = 0;
    for (const uint64_t ticket : queue.m_waiting) {
        pieces += queue.m_tasks.at(ticket).m_pieces.size();
    }
    return pieces;
}

/** The expected end of the calls that @p worker has; long ago when it has none. */
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
        // After a failure one piece of work at a time shows whether the replica is well again.
        return worker.m_failures == 0 || worker.m_calls == 0;
    }
    const bool fillsBatch = waiting >= static_cast<size_t>(queue.m_limits.m_batch);
    return worker.m_calls == slots && queue.m_limits.m_queue > 0 && worker.m_failures == 0 && fillsBatch
        && lastEnd(worker) - now <= SendAhead;
}

/** Time that one more batch takes from the queue while all usable replicas work. */
Duration batchInterval(const StageQueue &queue)
{
    const auto usable =
        std::count_if(queue.m_workers.begin(), queue.m_workers.end(), [](const auto &entry) { return entry.second.m_usable; });
    return expectedCallTime(queue, static_cast<size_t>(queue.m_limits.m_batch)) / std::max<int64_t>(1, usable);
}

/** When the next replica gets free. */
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

double valueDensity(const StageTask &task)
{
    return task.m_value / static_cast<double>(std::max<size_t>(1, task.m_pieces.size()));
}

/** Tasks with pieces to send, in the order in which they go. */
struct WaitingOrder {
    std::vector<StageTask *> m_inTime; ///< can keep their due time, in order of it
    std::vector<StageTask *> m_late;
};

/** Parts @p tasks, which are in order of their due times. Takes n log n: a queue may be thousands of pieces long. */
WaitingOrder partInTime(const StageQueue &queue, const std::vector<StageTask *> &tasks, TimePoint now)
{
    using Candidate = std::pair<double, size_t>; // value for each piece, index
    std::priority_queue<Candidate, std::vector<Candidate>, std::greater<>> least;
    std::vector<bool> putOff(tasks.size(), false);
    const double interval = static_cast<double>(batchInterval(queue).count()) / std::max(1, queue.m_limits.m_batch);
    const TimePoint start = firstFree(queue, now);
    WaitingOrder order;
    size_t pieces = 0; // of the tasks that are not put off
    for (size_t i = 0; i < tasks.size(); ++i) {
        const StageTask &task = *tasks[i];
        const Duration ahead(static_cast<int64_t>(static_cast<double>(pieces) * interval));
        const bool isPast = now > task.m_due + DueSlack;
        if (!isPast) {
            pieces += task.m_pieces.size();
            least.emplace(valueDensity(task), i);
        }
        if (!isPast && start + ahead <= task.m_due + DueSlack) {
            continue;
        }
        // A task past its due time can't be saved by putting off another.
        const size_t victim = isPast ? i : least.top().second;
        if (!isPast) {
            least.pop();
            pieces -= tasks[victim]->m_pieces.size();
        }
        putOff[victim] = true;
        order.m_late.push_back(tasks[victim]);
    }
    for (size_t i = 0; i < tasks.size(); ++i) {
        if (!putOff[i]) {
            order.m_inTime.push_back(tasks[i]);
        }
    }
    return order;
}

bool isMoreUrgent(const StageTask *left, const StageTask *right)
{
    return left->m_rank != right->m_rank ? left->m_rank < right->m_rank : left->m_deadline < right->m_deadline;
}

WaitingOrder sortWaiting(StageQueue &queue, TimePoint now)
{
    std::vector<StageTask *> tasks;
    tasks.reserve(queue.m_waiting.size());
    for (const uint64_t ticket : queue.m_waiting) {
        tasks.push_back(&queue.m_tasks.at(ticket));
    }
    std::stable_sort(tasks.begin(), tasks.end(), [](const StageTask *left, const StageTask *right) { return left->m_due < right->m_due; });
    WaitingOrder order = partInTime(queue, tasks, now);
    std::stable_sort(order.m_late.begin(), order.m_late.end(), isMoreUrgent);
    return order;
}

int64_t usableRoom(const StageQueue &queue)
{
    const int64_t room = queue.m_limits.m_roomBytes;
    return room <= 0 ? std::numeric_limits<int64_t>::max() : static_cast<int64_t>(static_cast<double>(room) * UsableRoom);
}

/** Results of other owners end at different times: those of calls just before the refusal last for a whole lifetime. */
int64_t otherBytes(const StageQueue &queue, const StageWorker &worker, TimePoint now)
{
    const Duration left = worker.m_otherSeenAt + queue.m_limits.m_resultLifetime - now;
    if (worker.m_otherBytes == 0 || left <= Duration(0)) {
        return 0;
    }
    const double share = static_cast<double>(left.count()) / static_cast<double>(queue.m_limits.m_resultLifetime.count());
    return static_cast<int64_t>(static_cast<double>(worker.m_otherBytes) * std::min(1.0, share));
}

int64_t roomLeft(const StageQueue &queue, const StageWorker &worker, TimePoint now)
{
    return usableRoom(queue) - worker.m_heldBytes - otherBytes(queue, worker, now);
}

/** Results of @p bytes that fit into @p room. */
size_t resultsIn(int64_t room, int64_t bytes)
{
    if (room <= 0) {
        return 0;
    }
    return bytes <= 0 ? std::numeric_limits<size_t>::max() : static_cast<size_t>(room / bytes);
}

/**
 * Whether @p task has to leave the rest of @p call to others. Where room is scarcer than places in the batch, a task goes
 * in one call: the results of one that is split take room until its last piece is done, and nobody reads them before.
 */
bool isSplitByRoom(const StageQueue &queue, int64_t room, const StageTask &task, const StageCall &call, size_t batch)
{
    const size_t fitting = resultsIn(room - call.m_resultBytes, task.m_resultBytes);
    const bool roomBinds = fitting < batch - call.m_items.size();
    const size_t empty = std::min(batch, resultsIn(usableRoom(queue), task.m_resultBytes));
    return roomBinds && fitting < task.m_pieces.size() && task.m_pieces.size() <= empty;
}

/** Moves pieces of @p task into @p call as far as batch and @p room go. */
void takePieces(const StageQueue &queue, const StageWorker &worker, int64_t room, StageTask &task, StageCall &call)
{
    // A replica that failed gets little work until it has answered, as what is lost there has to be sent again.
    const auto batch = static_cast<size_t>(worker.m_failures > 0 ? std::min(ProbeBatch, queue.m_limits.m_batch) : queue.m_limits.m_batch);
    if (isSplitByRoom(queue, room, task, call, batch)) {
        return;
    }
    while (!task.m_pieces.empty() && call.m_items.size() < batch) {
        if (call.m_resultBytes + task.m_resultBytes > room) {
            return;
        }
        call.m_items.push_back({task.m_ticket, task.m_pieces.front()});
        call.m_resultBytes += task.m_resultBytes;
        task.m_pieces.erase(task.m_pieces.begin());
    }
}

bool suitsDomain(const StageTask &task, const StageWorker &worker)
{
    return task.m_failureDomain.empty() || task.m_failureDomain == worker.m_failureDomain;
}

/** When a replica near the reader of the results gets free; nothing when there is none. */
std::optional<TimePoint> nearFree(const StageQueue &queue, const StageTask &task, TimePoint now)
{
    std::optional<TimePoint> first;
    for (const auto &[id, worker] : queue.m_workers) {
        if (worker.m_usable && worker.m_failures == 0 && suitsDomain(task, worker)) {
            const TimePoint free = std::max({now, worker.m_pausedUntil, lastEnd(worker)});
            first = first ? std::min(*first, free) : free;
        }
    }
    return first;
}

/** Whether a task should leave a replica that is far from the reader to others, as one that is near comes in time. */
bool waitsForNear(const StageQueue &queue, const StageTask &task, TimePoint now)
{
    const std::optional<TimePoint> near = nearFree(queue, task, now);
    return near && *near - now <= MaxNearWait && *near + NearMargin <= task.m_due;
}

/** Fills a call with those of @p tasks that suit: work whose results are read near the replica first, then any. */
void takeTasks(const StageQueue &queue, const StageWorker &worker, const std::vector<StageTask *> &tasks, StageCall &call, TimePoint now)
{
    const int64_t room = roomLeft(queue, worker, now);
    for (const bool nearOnly : {true, false}) {
        for (StageTask *task : tasks) {
            if (call.m_items.size() >= static_cast<size_t>(queue.m_limits.m_batch)) {
                return;
            }
            const bool isNear = suitsDomain(*task, worker);
            if (nearOnly ? isNear : !isNear && !waitsForNear(queue, *task, now)) {
                takePieces(queue, worker, room, *task, call);
            }
        }
    }
}

/** Fills a call for one replica: what keeps its due time goes before what is late wherever its results are read. */
StageCall fillCall(const StageQueue &queue, const StageWorker &worker, const WaitingOrder &order, TimePoint now)
{
    StageCall call;
    call.m_replica = worker.m_id;
    call.m_epoch = worker.m_epoch;
    takeTasks(queue, worker, order.m_inTime, call, now);
    takeTasks(queue, worker, order.m_late, call, now);
    return call;
}

/** Replicas that are free, the fastest and least laden first. */
std::vector<StageWorker *> freeWorkers(StageQueue &queue, TimePoint now)
{
    const size_t waiting = waitingPieces(queue);
    std::vector<StageWorker *> workers;
    for (auto &[id, worker] : queue.m_workers) {
        if (isFree(queue, worker, waiting, now)) {
            workers.push_back(&worker);
        }
    }
    std::stable_sort(workers.begin(), workers.end(), [](const StageWorker *left, const StageWorker *right) {
        return left->m_calls != right->m_calls ? left->m_calls < right->m_calls : left->m_speed < right->m_speed;
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
    case PieceFailure::InputGone:
        return Reason::NotFound;
    case PieceFailure::NoRoom:
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

void observeSpeed(const StageQueue &queue, StageWorker &worker, const StageCall &call, TimePoint now)
{
    const auto expected = static_cast<double>(expectedCallTime(queue, call.m_items.size()).count());
    const auto seen = static_cast<double>((now - call.m_sentAt).count());
    const double ratio = std::clamp(seen / std::max(1.0, expected), MinSpeed, MaxSpeed);
    worker.m_speed += SpeedGain * (ratio - worker.m_speed);
}

/** Results that nobody freed are gone at the replica by the end of their lifetime. */
void dropOldResults(StageQueue &queue, TimePoint now)
{
    if (now < queue.m_nextSweep) {
        return;
    }
    queue.m_nextSweep = now + SweepInterval;
    for (auto result = queue.m_results.begin(); result != queue.m_results.end();) {
        if (now < result->second.m_endsAt) {
            ++result;
            continue;
        }
        const auto worker = queue.m_workers.find(result->second.m_replica);
        if (worker != queue.m_workers.end()) {
            worker->second.m_heldBytes -= result->second.m_bytes;
        }
        queue.m_spareResults.erase(result->first);
        result = queue.m_results.erase(result);
    }
}

} // namespace

void updateWorker(StageQueue &queue, const ReplicaRecord &record)
{
    StageWorker &worker = queue.m_workers[record.m_id];
    const bool isNew = worker.m_born != record.m_born || worker.m_address != record.m_address;
    if (isNew) {
        std::erase_if(queue.m_results, [&record](const auto &entry) { return entry.second.m_replica == record.m_id; });
        std::erase_if(queue.m_spareResults, [&queue](const std::string &handle) { return !queue.m_results.contains(handle); });
        // Calls to the incarnation before end by themselves.
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
    worker.m_born = record.m_born;
    worker.m_usable = true;
}

bool addTask(StageQueue &queue, StageTask task)
{
    if (queue.m_tasks.size() >= MaxWaitingTasks) {
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
    dropOldResults(queue, now);
    if (queue.m_waiting.empty()) {
        return calls;
    }
    const std::vector<StageWorker *> workers = freeWorkers(queue, now);
    if (workers.empty()) {
        return calls;
    }
    const WaitingOrder order = sortWaiting(queue, now);
    for (StageWorker *worker : workers) {
        StageCall call = fillCall(queue, *worker, order, now);
        if (call.m_items.empty()) {
            continue;
        }
        call.m_call = queue.m_nextCall++;
        call.m_sentAt = now;
        worker->m_busyUntil = std::max(lastEnd(*worker), expectedEnd(queue, call, worker->m_speed));
        worker->m_calls += 1;
        worker->m_heldBytes += call.m_resultBytes;
        queue.m_calls.emplace(call.m_call, call);
        calls.push_back(std::move(call));
    }
    std::erase_if(queue.m_waiting, [&queue](uint64_t ticket) { return queue.m_tasks.at(ticket).m_pieces.empty(); });
    return calls;
}

std::vector<uint64_t> callsInTurn(const StageQueue &queue, TimePoint now)
{
    std::map<std::string, int> working;
    for (const auto &[id, call] : queue.m_calls) {
        working[call.m_replica] += call.m_working ? 1 : 0;
    }
    std::vector<uint64_t> calls;
    for (const auto &[id, call] : queue.m_calls) {
        const auto worker = queue.m_workers.find(call.m_replica);
        const bool isShared = worker == queue.m_workers.end() || now < worker->second.m_sharedUntil;
        if (!call.m_working && !isShared && working[call.m_replica] < queue.m_limits.m_slots) {
            working[call.m_replica] += 1;
            calls.push_back(id);
        }
    }
    return calls;
}

std::vector<StageTask> noteInputsRead(StageQueue &queue, uint64_t call)
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
        if (task.m_deadline < now + expectedCallTime(queue, 1)) {
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
        const int64_t room = task == queue.m_tasks.end() ? bytes : task->second.m_resultBytes;
        const HeldResult result{call.m_replica, room, now + queue.m_limits.m_resultLifetime, ResultState::Held};
        // A replica that names a result twice holds it once.
        const bool isNew = queue.m_results.emplace(handle, result).second;
        worker->second.m_heldBytes += isNew ? room : 0;
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
    const bool final = failure == PieceFailure::Late || failure == PieceFailure::InputGone;
    const bool arrived = failure != PieceFailure::NotSent;
    task->second.m_repeats += arrived ? 1 : 0;
    if (final || task->second.m_repeats > MaxRepeatsPerPiece * task->second.m_handles.size()) {
        return removeTask(queue, piece.m_ticket, reasonOf(failure));
    }
    if (task->second.m_pieces.empty()) {
        queue.m_waiting.push_back(piece.m_ticket);
    }
    task->second.m_pieces.push_back(piece.m_piece);
    return std::nullopt;
}

void observeNoRoom(StageQueue &queue, const StageCall &call, size_t made, TimePoint now)
{
    const auto worker = queue.m_workers.find(call.m_replica);
    if (worker == queue.m_workers.end() || call.m_items.empty()) {
        return;
    }
    const int64_t madeBytes = call.m_resultBytes / static_cast<int64_t>(call.m_items.size()) * static_cast<int64_t>(made);
    const int64_t ours = worker->second.m_heldBytes - call.m_resultBytes;
    worker->second.m_otherBytes = std::max<int64_t>(0, queue.m_limits.m_roomBytes - ours - madeBytes);
    worker->second.m_otherSeenAt = now;
}

void observeLoad(StageQueue &queue, const StageCall &call, int calls, TimePoint now)
{
    const auto worker = queue.m_workers.find(call.m_replica);
    if (worker != queue.m_workers.end() && calls > worker->second.m_calls - 1) {
        worker->second.m_sharedUntil = now + SharedMemory;
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
            replica.m_heldBytes -= open->second.m_resultBytes; // what it made counts by itself
        }
        if (failed) {
            const Duration pause = FailurePause * (int64_t{1} << std::min(replica.m_failures, MaxPauseDoublings));
            replica.m_failures += 1;
            replica.m_pausedUntil = now + pause;
        } else {
            replica.m_failures = 0;
            observeSpeed(queue, replica, open->second, now);
        }
    }
    queue.m_calls.erase(open);
}

void spareResult(StageQueue &queue, const std::string &handle)
{
    const auto result = queue.m_results.find(handle);
    if (result != queue.m_results.end() && result->second.m_state == ResultState::Held) {
        result->second.m_state = ResultState::Spare;
        queue.m_spareResults.insert(handle);
    }
}

std::vector<std::string> scarceSpareResults(const StageQueue &queue)
{
    const auto scarce = static_cast<int64_t>(static_cast<double>(usableRoom(queue)) * ScarceRoom);
    std::vector<std::string> handles;
    for (const std::string &handle : queue.m_spareResults) {
        const auto worker = queue.m_workers.find(queue.m_results.at(handle).m_replica);
        if (worker != queue.m_workers.end() && worker->second.m_heldBytes > scarce) {
            handles.push_back(handle);
        }
    }
    return handles;
}

bool beginRelease(StageQueue &queue, const std::string &handle)
{
    const auto result = queue.m_results.find(handle);
    if (result == queue.m_results.end()) {
        return true; // made for another owner
    }
    const bool isFirst = result->second.m_state == ResultState::Held || result->second.m_state == ResultState::Spare;
    if (isFirst) {
        result->second.m_state = ResultState::Releasing;
        queue.m_spareResults.erase(handle);
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
        worker->second.m_heldBytes -= result->second.m_bytes;
    }
    result->second.m_bytes = 0;
    result->second.m_state = ResultState::Dropped;
    queue.m_spareResults.erase(handle);
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
        if (otherBytes(queue, worker, now) > 0) {
            next = std::min(next, now + RoomCheck);
        }
        if (worker.m_calls == queue.m_limits.m_slots) {
            const TimePoint ahead = lastEnd(worker) - SendAhead;
            next = ahead > now ? std::min(next, ahead) : next;
        }
    }
    for (const uint64_t ticket : queue.m_waiting) {
        const TimePoint expiry = queue.m_tasks.at(ticket).m_deadline - expectedCallTime(queue, 1);
        next = std::min(next, std::max(expiry, now));
    }
    return std::max(next, now + milliseconds(1));
}

Duration queueBacklog(const StageQueue &queue, TimePoint now)
{
    const size_t waiting = waitingPieces(queue);
    if (waiting == 0) {
        return Duration(0);
    }
    const double interval = static_cast<double>(batchInterval(queue).count()) / std::max(1, queue.m_limits.m_batch);
    return firstFree(queue, now) - now + Duration(static_cast<int64_t>(static_cast<double>(waiting) * interval));
}

} // namespace Medlarramp::Serving
