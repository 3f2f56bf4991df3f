#include <cmath>
#include <functional>
#include <queue>

#include <cppunit/extensions/HelperMacros.h>

#include "serving.h"

using namespace Medlarramp;
using namespace Medlarramp::Serving;

namespace {

const TimePoint Start{seconds(100)};

/** Load of one stage service: rate, size and time limits of its requests. */
struct Load {
    double m_perSecond = 20; ///< requests per second
    int m_pieces = 6; ///< per request
    double m_burst = 1; ///< factor on the rate from second 4 to second 9
    Duration m_latestStart = milliseconds(900); ///< after arrival: latest start that meets the objective
    Duration m_timeout = seconds(6); ///< after arrival: deadline
    int64_t m_resultBytes = 0;
};

struct SimulationResult {
    int m_requests = 0;
    int m_onTime = 0; ///< their last call began by the latest start
    int m_served = 0;
    double m_valueOnTime = 0;
    double m_valueAll = 0;
    int m_calls = 0;
    int m_pieces = 0;
};

enum class QueueOrder : uint8_t { ByLatestStartAndValue, ByArrival };

/** Simulates, in virtual time, queues that share the replicas of one stage service. */
class StageSimulation
{
public:
    StageSimulation(size_t replicas, size_t queues, const PieceLimits &limits, QueueOrder queueOrder)
        : m_queueOrder(queueOrder), m_queues(queues), m_busyUntil(replicas)
    {
        for (StageQueue &queue : m_queues) {
            queue.m_limits = limits;
            for (size_t i = 0; i < replicas; ++i) {
                StageWorker worker;
                worker.m_id = std::to_string(i);
                queue.m_workers[worker.m_id] = worker;
            }
        }
    }

    SimulationResult run(const Load &load, Duration length, uint64_t seed)
    {
        Random random{seed};
        TimePoint now = Start;
        uint64_t number = 0;
        while (now < Start + length) {
            const Duration since = now - Start;
            const bool burst = since > seconds(4) && since < seconds(9);
            const double rate = load.m_perSecond * (burst ? load.m_burst : 1);
            now += Duration(static_cast<int64_t>(exponential(random, 1e6 / rate)));
            runUntil(now);
            addRequest(load, now, ++number, random);
        }
        runUntil(now + load.m_timeout);
        return m_result;
    }

private:
    struct SimulatedCallEnd {
        TimePoint m_at;
        size_t m_queue = 0;
        StageCall m_call;

        bool operator>(const SimulatedCallEnd &other) const
        {
            return m_at > other.m_at;
        }
    };

    void addRequest(const Load &load, TimePoint now, uint64_t number, Random &random)
    {
        StageTask task;
        task.m_submission = number;
        task.m_value = 0.3 + 0.7 * exponential(random, 1);
        task.m_latestStart = now + load.m_latestStart;
        task.m_deadline = now + load.m_timeout;
        task.m_resultBytes = load.m_resultBytes;
        for (int i = 0; i < load.m_pieces; ++i) {
            task.m_pieces.push_back(i);
        }
        m_latestStarts[number] = task.m_latestStart;
        m_result.m_requests += 1;
        m_result.m_valueAll += task.m_value;
        if (m_queueOrder == QueueOrder::ByArrival) {
            // All tasks have the same time limits far in the future, so they are served in the order of arrival.
            task.m_latestStart = now + seconds(1000);
            task.m_deadline = now + seconds(1000);
        }
        const size_t queue = number % m_queues.size();
        CPPUNIT_ASSERT(addTask(m_queues[queue], task));
        plan(queue, now);
    }

    void plan(size_t index, TimePoint now)
    {
        StageQueue &queue = m_queues[index];
        expireTasks(queue, now);
        for (const StageCall &call : planCalls(queue, now)) {
            const auto replica = static_cast<size_t>(std::stoul(call.m_replica));
            const Duration work = queue.m_limits.m_callTime + queue.m_limits.m_pieceTime * static_cast<int64_t>(call.m_items.size());
            const TimePoint begin = std::max(now, m_busyUntil[replica]);
            m_busyUntil[replica] = begin + work;
            m_callStarts[{index, call.m_call}] = begin;
            m_callEnds.push({begin + work, index, call});
            m_result.m_calls += 1;
            m_result.m_pieces += static_cast<int>(call.m_items.size());
        }
    }

    void runUntil(TimePoint until)
    {
        while (!m_callEnds.empty() && m_callEnds.top().m_at <= until) {
            const SimulatedCallEnd end = m_callEnds.top();
            m_callEnds.pop();
            finish(end);
            plan(end.m_queue, end.m_at);
        }
    }

    void finish(const SimulatedCallEnd &end)
    {
        StageQueue &queue = m_queues[end.m_queue];
        const TimePoint begin = m_callStarts.at({end.m_queue, end.m_call.m_call});
        for (size_t i = 0; i < end.m_call.m_items.size(); ++i) {
            std::string handle = std::to_string(end.m_queue) + "/" + std::to_string(++m_handles);
            const std::optional<StageOutcome> outcome = completePiece(queue, end.m_call, i, handle, end.m_at);
            releaseResult(queue, handle);
            if (outcome) {
                const bool onTime = begin <= m_latestStarts.at(outcome->m_task.m_submission) + milliseconds(50);
                m_result.m_served += 1;
                m_result.m_onTime += onTime ? 1 : 0;
                m_result.m_valueOnTime += onTime ? outcome->m_task.m_value : 0;
            }
        }
        endCall(queue, end.m_call.m_call, false, end.m_at);
    }

    QueueOrder m_queueOrder;
    std::vector<StageQueue> m_queues;
    std::vector<TimePoint> m_busyUntil; ///< by replica, over the calls of all queues
    std::priority_queue<SimulatedCallEnd, std::vector<SimulatedCallEnd>, std::greater<>> m_callEnds;
    std::map<std::pair<size_t, uint64_t>, TimePoint> m_callStarts;
    std::map<uint64_t, TimePoint> m_latestStarts;
    uint64_t m_handles = 0;
    SimulationResult m_result;
};

/** Limits of a stage service with batches of 26 pieces, for 9 gateways and 5 replicas. */
PieceLimits batchLimits()
{
    return {1, 2, 26, milliseconds(240), Duration(7'900), 0, seconds(4)};
}

/** Limits of a stage service with batches of 66 pieces, for 72 gateways and 15 replicas. */
PieceLimits largeBatchLimits()
{
    return {1, 2, 66, milliseconds(240), Duration(3'100), 0, seconds(4)};
}

double onTimeShare(const SimulationResult &result)
{
    return static_cast<double>(result.m_onTime) / result.m_requests;
}

double onTimeValueShare(const SimulationResult &result)
{
    return result.m_valueOnTime / result.m_valueAll;
}

} // namespace

class StageLoadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StageLoadTest);
    CPPUNIT_TEST(oneQueueServesTheOrdinaryLoad);
    CPPUNIT_TEST(oneQueueServesTheOrdinaryLoadOfALargeFleet);
    CPPUNIT_TEST(overloadMakesFewRequestsLate);
    CPPUNIT_TEST(resultCapacityIsNeverExceeded);
    CPPUNIT_TEST(scarceCapacityIsNotUsedForSplitTasks);
    CPPUNIT_TEST(taskLargerThanTheCapacityIsSplit);
    CPPUNIT_TEST(localOverdueTaskWaitsForTaskOnTime);
    CPPUNIT_TEST(tasksOfLeastValueAreSentLast);
    CPPUNIT_TEST(capacityUsedByOtherOwnersIsObserved);
    CPPUNIT_TEST(evictableResultsAreKeptWhileCapacityIsFree);
    CPPUNIT_TEST(failedReplicaGetsSmallBatchUntilItRecovers);
    CPPUNIT_TEST(retriesOfPiecesAreLimited);
    CPPUNIT_TEST(replicaInPreferredDomainIsUsedFirst);
    CPPUNIT_TEST(canceledTaskReturnsItsResults);
    CPPUNIT_TEST(newIncarnationHasNoResults);
    CPPUNIT_TEST(resultIsCountedOnce);
    CPPUNIT_TEST_SUITE_END();

    // Guards against small batches under the ordinary load of 18 requests of 8 pieces per second. The comparison is nine
    // gateways that each have a queue of their own.
    void oneQueueServesTheOrdinaryLoad()
    {
        const Load load{18, 8, 1, milliseconds(900), seconds(6), 0};
        const SimulationResult oneQueue = StageSimulation(5, 1, batchLimits(), QueueOrder::ByLatestStartAndValue).run(load, seconds(30), 1);
        const SimulationResult separateQueues =
            StageSimulation(5, 9, batchLimits(), QueueOrder::ByLatestStartAndValue).run(load, seconds(30), 1);
        CPPUNIT_ASSERT(onTimeShare(oneQueue) >= 0.99);
        CPPUNIT_ASSERT(onTimeShare(oneQueue) > onTimeShare(separateQueues));
        CPPUNIT_ASSERT(oneQueue.m_calls < separateQueues.m_calls);
    }

    // Guards against scheduling that works for nine gateways only: 140 requests of 8 pieces per second on 15 replicas.
    void oneQueueServesTheOrdinaryLoadOfALargeFleet()
    {
        const Load load{140, 8, 1, milliseconds(900), seconds(6), 0};
        const SimulationResult oneQueue =
            StageSimulation(15, 1, largeBatchLimits(), QueueOrder::ByLatestStartAndValue).run(load, seconds(20), 2);
        const SimulationResult separateQueues =
            StageSimulation(15, 72, largeBatchLimits(), QueueOrder::ByLatestStartAndValue).run(load, seconds(20), 2);
        CPPUNIT_ASSERT(onTimeShare(oneQueue) >= 0.99);
        CPPUNIT_ASSERT(onTimeShare(oneQueue) > onTimeShare(separateQueues));
    }

    // Guards against an overload that makes all requests late: a burst of 2.5 times the rate needs 1.2 times the capacity
    // of the replicas. The share of value on time must reach 0.9 of an estimate for the best possible order, which is
    // computed from the capacity.
    void overloadMakesFewRequestsLate()
    {
        const Load load{18, 8, 2.5, milliseconds(900), seconds(6), 0};
        const SimulationResult byValue = StageSimulation(5, 1, batchLimits(), QueueOrder::ByLatestStartAndValue).run(load, seconds(20), 3);
        const SimulationResult byArrival = StageSimulation(5, 1, batchLimits(), QueueOrder::ByArrival).run(load, seconds(20), 3);
        CPPUNIT_ASSERT(onTimeValueShare(byValue) > onTimeValueShare(byArrival));
        const double capacity = 5 * 26 / (0.240 + 26 * 0.0079) / 8; // requests per second with full batches
        const double offeredLoad = (15 * 18 + 5 * 18 * 2.5) / 20;
        const double achievable = std::min(1.0, (15 * 18 + 5 * std::min(capacity, 18 * 2.5) + capacity * 0.9) / (offeredLoad * 20));
        CPPUNIT_ASSERT(onTimeValueShare(byValue) >= 0.9 * achievable);
    }

    // Guards against calls whose results exceed the result capacity of their replica.
    void resultCapacityIsNeverExceeded()
    {
        StageQueue queue;
        queue.m_limits = {1, 2, 8, milliseconds(240), milliseconds(26), 9'600'000, seconds(4)};
        StageWorker worker;
        worker.m_id = "0";
        queue.m_workers["0"] = worker;
        int64_t usedBytes = 0;
        TimePoint now = Start;
        for (int round = 0; round < 10; ++round) {
            StageTask task;
            task.m_resultBytes = 800'000;
            task.m_pieces = {0, 1, 2, 3, 4, 5, 6, 7};
            task.m_latestStart = now + seconds(1);
            task.m_deadline = now + seconds(60);
            addTask(queue, task);
            for (const StageCall &call : planCalls(queue, now)) {
                usedBytes += call.m_resultBytes;
                CPPUNIT_ASSERT(usedBytes <= queue.m_limits.m_resultCapacityBytes);
                for (size_t i = 0; i < call.m_items.size(); ++i) {
                    completePiece(queue, call, i, std::to_string(round) + "/" + std::to_string(i), now);
                }
                endCall(queue, call.m_call, false, now);
            }
            now += milliseconds(10);
        }
        CPPUNIT_ASSERT(usedBytes > 0);
        // No result is released: the capacity becomes free when their lifetime is over.
        CPPUNIT_ASSERT(!planCalls(queue, now + seconds(5)).empty());
    }

    // Guards against results that take scarce capacity until the last piece of their task is done in another call.
    void scarceCapacityIsNotUsedForSplitTasks()
    {
        StageQueue queue;
        queue.m_limits = {1, 2, 26, milliseconds(240), Duration(7'900), 2'800'000, seconds(4)};
        for (const char *id : {"0", "1"}) {
            queue.m_workers[id].m_id = id;
        }
        queue.m_workers["0"].m_usedBytes = 22 * 60'000;
        queue.m_workers["1"].m_usedBytes = 22 * 60'000;
        for (int i = 0; i < 5; ++i) {
            StageTask task = makeTask(Start, 8);
            task.m_resultBytes = 60'000;
            addTask(queue, task);
        }
        for (const StageCall &call : planCalls(queue, Start)) {
            std::map<uint64_t, int> pieces;
            for (const StageCall::Item &item : call.m_items) {
                pieces[item.m_ticket] += 1;
            }
            CPPUNIT_ASSERT_EQUAL(size_t(16), call.m_items.size());
            for (const auto &[ticket, count] : pieces) {
                CPPUNIT_ASSERT_EQUAL(8, count);
            }
        }
    }

    // Guards against a task that is queued for ever because its results exceed the capacity of an empty replica.
    void taskLargerThanTheCapacityIsSplit()
    {
        StageQueue queue;
        queue.m_limits = {1, 2, 26, milliseconds(240), Duration(7'900), 600'000, seconds(4)};
        queue.m_workers["0"].m_id = "0";
        StageTask task = makeTask(Start, 12);
        task.m_resultBytes = 60'000;
        addTask(queue, task);
        const std::vector<StageCall> calls = planCalls(queue, Start);
        CPPUNIT_ASSERT_EQUAL(size_t(1), calls.size());
        CPPUNIT_ASSERT(!calls[0].m_items.empty() && calls[0].m_items.size() < 12);
    }

    // Guards against locality that puts an overdue task before a task that can still be on time.
    void localOverdueTaskWaitsForTaskOnTime()
    {
        StageQueue queue;
        queue.m_limits = batchLimits();
        queue.m_limits.m_batch = 8;
        queue.m_workers["0"].m_id = "0";
        queue.m_workers["0"].m_failureDomain = "a";
        StageTask overdue = makeTask(Start, 8);
        overdue.m_latestStart = Start - seconds(1);
        overdue.m_failureDomain = "a";
        addTask(queue, overdue);
        StageTask onTime = makeTask(Start, 8);
        onTime.m_failureDomain = "b";
        addTask(queue, onTime);
        const std::vector<StageCall> calls = planCalls(queue, Start);
        CPPUNIT_ASSERT_EQUAL(size_t(1), calls.size());
        CPPUNIT_ASSERT_EQUAL(uint64_t(2), calls[0].m_items.front().m_ticket);
    }

    // Guards against an order that prefers tasks of low value, or overdue tasks, when not all can be on time.
    void tasksOfLeastValueAreSentLast()
    {
        StageQueue queue;
        queue.m_limits = batchLimits(); // a full call takes 445 ms
        queue.m_workers["0"].m_id = "0";
        const double values[] = {0.5, 2, 1, 0.2};
        for (const double value : values) {
            StageTask task = makeTask(Start, 26);
            task.m_value = value;
            task.m_latestStart = Start + milliseconds(500); // two full calls can start by then
            addTask(queue, task);
        }
        StageTask past = makeTask(Start, 26);
        past.m_value = 4;
        past.m_latestStart = Start - seconds(1);
        addTask(queue, past);
        std::vector<uint64_t> sent;
        for (TimePoint now = Start; sent.size() < 2; now += milliseconds(445)) {
            const StageCall call = planCalls(queue, now).at(0);
            CPPUNIT_ASSERT_EQUAL(size_t(26), call.m_items.size());
            sent.push_back(call.m_items.front().m_ticket);
            for (size_t i = 0; i < call.m_items.size(); ++i) {
                completePiece(queue, call, i, std::to_string(call.m_call) + "/" + std::to_string(i), now);
            }
            endCall(queue, call.m_call, false, now + milliseconds(445));
        }
        // Tickets start at 1, so these are the tasks of value 2 and 1.
        CPPUNIT_ASSERT((sent == std::vector<uint64_t>{2, 3}));
    }

    // Guards against pieces that are refused repeatedly for lack of capacity, as results of another queue owner take it:
    // after a restart, or while a service has two owners.
    void capacityUsedByOtherOwnersIsObserved()
    {
        StageQueue queue;
        queue.m_limits = {1, 2, 8, milliseconds(240), milliseconds(26), 1'000'000, seconds(4)};
        queue.m_workers["0"].m_id = "0";
        StageTask task = makeTask(Start, 8);
        task.m_resultBytes = 100'000;
        addTask(queue, task);
        const StageCall call = planCalls(queue, Start).at(0);
        CPPUNIT_ASSERT_EQUAL(size_t(8), call.m_items.size());
        // Two results fit and six do not, so 800 kB belong to other owners.
        observeCapacityRefusal(queue, call, 2, Start);
        for (size_t i = 0; i < call.m_items.size(); ++i) {
            if (i < 2) {
                completePiece(queue, call, i, "h/" + std::to_string(i), Start);
            } else {
                failPiece(queue, call, i, PieceFailure::NoCapacity);
            }
        }
        endCall(queue, call.m_call, false, Start);
        CPPUNIT_ASSERT(planCalls(queue, Start).empty());
        CPPUNIT_ASSERT(*nextQueueEvent(queue, Start) <= Start + milliseconds(100));
        // By then nine tenths of the results of other owners have expired, and all six results fit.
        CPPUNIT_ASSERT(!planCalls(queue, Start + milliseconds(3600)).empty());
        CPPUNIT_ASSERT(queue.m_waiting.empty());
    }

    // Guards against releasing inputs that a failed piece has to read again although capacity is free, and against keeping
    // results that were read when capacity is scarce.
    void evictableResultsAreKeptWhileCapacityIsFree()
    {
        StageQueue queue;
        queue.m_limits = {1, 2, 8, milliseconds(240), milliseconds(26), 1'000'000, seconds(4)};
        queue.m_workers["0"].m_id = "0";
        StageTask task = makeTask(Start, 4);
        task.m_resultBytes = 100'000;
        addTask(queue, task);
        const StageCall call = planCalls(queue, Start).at(0);
        for (size_t i = 0; i < call.m_items.size(); ++i) {
            completePiece(queue, call, i, "h/" + std::to_string(i), Start);
        }
        endCall(queue, call.m_call, false, Start);
        markEvictable(queue, "h/0");
        CPPUNIT_ASSERT(resultsToEvict(queue).empty());
        addTask(queue, task);
        CPPUNIT_ASSERT_EQUAL(size_t(1), planCalls(queue, Start).size());
        CPPUNIT_ASSERT(resultsToEvict(queue) == std::vector<std::string>{"h/0"});
        CPPUNIT_ASSERT(beginRelease(queue, "h/0"));
        CPPUNIT_ASSERT(!beginRelease(queue, "h/0"));
        CPPUNIT_ASSERT(resultsToEvict(queue).empty());
        releaseResult(queue, "h/0");
        CPPUNIT_ASSERT(!beginRelease(queue, "h/0"));
        CPPUNIT_ASSERT_EQUAL(int64_t(700'000), queue.m_workers["0"].m_usedBytes);
    }

    static StageTask makeTask(TimePoint now, int pieces)
    {
        StageTask task;
        task.m_submitter = "n";
        task.m_submission = 1;
        task.m_latestStart = now + seconds(1);
        task.m_deadline = now + seconds(60);
        for (int i = 0; i < pieces; ++i) {
            task.m_pieces.push_back(i);
        }
        return task;
    }

    // Guards against losing full batches repeatedly at a crashed replica.
    void failedReplicaGetsSmallBatchUntilItRecovers()
    {
        StageQueue queue;
        queue.m_limits = batchLimits();
        queue.m_workers["0"].m_id = "0";
        addTask(queue, makeTask(Start, 26));
        StageCall call = planCalls(queue, Start).at(0);
        CPPUNIT_ASSERT_EQUAL(size_t(26), call.m_items.size());
        for (size_t i = 0; i < call.m_items.size(); ++i) {
            CPPUNIT_ASSERT(!failPiece(queue, call, i, PieceFailure::NotSent));
        }
        endCall(queue, call.m_call, true, Start);
        CPPUNIT_ASSERT(planCalls(queue, Start + milliseconds(100)).empty());
        call = planCalls(queue, Start + seconds(1)).at(0);
        CPPUNIT_ASSERT_EQUAL(size_t(2), call.m_items.size());
    }

    // Guards against a task that fails and is retried without limit.
    void retriesOfPiecesAreLimited()
    {
        StageQueue queue;
        queue.m_limits = batchLimits();
        queue.m_workers["0"].m_id = "0";
        addTask(queue, makeTask(Start, 1));
        std::optional<StageOutcome> outcome;
        int calls = 0;
        for (TimePoint now = Start; !outcome && calls < 100; now += seconds(10)) {
            const StageCall call = planCalls(queue, now).at(0);
            calls += 1;
            outcome = failPiece(queue, call, 0, PieceFailure::Error);
            endCall(queue, call.m_call, true, now);
        }
        CPPUNIT_ASSERT(outcome && outcome->m_reason == Reason::UpstreamError);
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(MaxRetriesPerPiece) + 1, calls);
    }

    // Guards against transfers between failure domains although a replica in the preferred one is free.
    void replicaInPreferredDomainIsUsedFirst()
    {
        StageQueue queue;
        queue.m_limits = batchLimits();
        for (const char *id : {"a", "b"}) {
            queue.m_workers[id].m_id = id;
            queue.m_workers[id].m_failureDomain = id;
        }
        StageTask task = makeTask(Start, 2);
        task.m_failureDomain = "b";
        addTask(queue, task);
        const std::vector<StageCall> calls = planCalls(queue, Start);
        CPPUNIT_ASSERT_EQUAL(size_t(1), calls.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), calls[0].m_replica);
    }

    // Guards against counting results and failures of the previous incarnation for a replica that restarted under its id.
    void newIncarnationHasNoResults()
    {
        StageQueue queue;
        queue.m_limits = {1, 2, 8, milliseconds(240), milliseconds(26), 9'600'000, seconds(4)};
        ReplicaRecord record;
        record.m_id = "0";
        record.m_incarnationStart = 1;
        updateWorker(queue, record);
        StageTask task = makeTask(Start, 8);
        task.m_resultBytes = 1'000'000;
        addTask(queue, task);
        const StageCall call = planCalls(queue, Start).at(0);
        for (size_t i = 0; i < call.m_items.size(); ++i) {
            completePiece(queue, call, i, "h/" + std::to_string(i), Start);
        }
        endCall(queue, call.m_call, false, Start);
        queue.m_workers["0"].m_failures = 3;
        updateWorker(queue, record);
        CPPUNIT_ASSERT(queue.m_workers["0"].m_usedBytes > 0 && queue.m_workers["0"].m_failures == 3);
        record.m_incarnationStart = 2;
        updateWorker(queue, record);
        CPPUNIT_ASSERT(queue.m_workers["0"].m_usedBytes == 0 && queue.m_workers["0"].m_failures == 0);
        CPPUNIT_ASSERT(queue.m_results.empty());
    }

    // Guards against a wrong count of used capacity when a handle is returned twice or a replica changes its address.
    void resultIsCountedOnce()
    {
        StageQueue queue;
        queue.m_limits = {1, 2, 8, milliseconds(240), milliseconds(26), 9'600'000, seconds(4)};
        ReplicaRecord record;
        record.m_id = "0";
        record.m_address = "10.0.0.1:80";
        updateWorker(queue, record);
        StageTask task = makeTask(Start, 2);
        task.m_resultBytes = 1'000'000;
        addTask(queue, task);
        StageCall call = planCalls(queue, Start).at(0);
        completePiece(queue, call, 0, "h/1", Start);
        completePiece(queue, call, 1, "h/1", Start);
        endCall(queue, call.m_call, false, Start);
        CPPUNIT_ASSERT_EQUAL(int64_t(1'000'000), queue.m_workers["0"].m_usedBytes);
        releaseResult(queue, "h/1");
        CPPUNIT_ASSERT_EQUAL(int64_t(0), queue.m_workers["0"].m_usedBytes);
        addTask(queue, task);
        call = planCalls(queue, Start).at(0);
        record.m_address = "10.0.0.2:80";
        updateWorker(queue, record);
        completePiece(queue, call, 0, "h/2", Start);
        endCall(queue, call.m_call, false, Start);
        CPPUNIT_ASSERT_EQUAL(int64_t(0), queue.m_workers["0"].m_usedBytes);
    }

    // Guards against results that stay at their replica after their task was canceled.
    void canceledTaskReturnsItsResults()
    {
        StageQueue queue;
        queue.m_limits = batchLimits();
        queue.m_limits.m_batch = 1;
        queue.m_workers["0"].m_id = "0";
        addTask(queue, makeTask(Start, 2));
        const StageCall call = planCalls(queue, Start).at(0);
        CPPUNIT_ASSERT(!completePiece(queue, call, 0, "h/1", Start));
        endCall(queue, call.m_call, false, Start);
        CPPUNIT_ASSERT(cancelTask(queue, "n", 1) == std::vector<std::string>{"h/1"});
        CPPUNIT_ASSERT(cancelTask(queue, "n", 1).empty());
        CPPUNIT_ASSERT(planCalls(queue, Start).empty());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(StageLoadTest, "stage_load");
