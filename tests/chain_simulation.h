#pragma once

/**
 * Simulation, in virtual time, of a chain of stage services and the queues of their owner, with bursts and slow stages.
 */

#include <cmath>
#include <functional>
#include <queue>

#include <cppunit/TestAssert.h>

#include "serving.h"

namespace Medlarramp::Serving {

const TimePoint ChainStart{seconds(100)};
constexpr Duration RunTime = milliseconds(200); ///< from the last stage to the first event
constexpr Duration Hop = milliseconds(10); ///< from the result of a stage to the submission of the next one
constexpr int MaxReruns = 1;

/** A chain of stage services and the requests that run through it. */
struct ChainLoad {
    std::vector<size_t> m_replicas = {16, 15, 18};
    std::vector<PieceLimits> m_limits = {
        {1, 2, 8, milliseconds(150), milliseconds(16), 39'000'000, seconds(4)},
        {1, 2, 40, milliseconds(150), Duration(3'200), 7'200'000, seconds(4)},
        {1, 2, 68, milliseconds(150), Duration(1'900), 1'200'000, seconds(4)},
    };
    std::vector<int> m_pieces = {1, 8, 16};
    std::vector<int64_t> m_resultBytes = {8'000, 60'000, 6'000};
    double m_perSecond = 140; ///< requests per second
    double m_burst = 1; ///< factor on the rate during the trouble
    double m_slowLastStage = 1; ///< factor on the call time of the last stage during the trouble
    bool m_losesOwner = false; ///< all waiting and open tasks are submitted again in the middle of the trouble
    Duration m_troubleStart = seconds(5);
    Duration m_troubleEnd = seconds(11);
    Duration m_length = seconds(25);
    Duration m_objective = seconds(2);
    Duration m_timeout = seconds(6);
};

struct ChainResult {
    double m_valueOnTime = 0;
    double m_valueAll = 0;
    double m_valueAfter = 0; ///< of requests that came later than 3 s after the trouble
    double m_valueOnTimeAfter = 0;
    int m_results = 0; ///< of stages
    int m_resultsUnused = 0; ///< of requests that were not answered, or made again
};

/** Simulates, in virtual time, the queues of a chain at their owner. */
class ChainSimulation
{
public:
    explicit ChainSimulation(ChainLoad load) : m_load(std::move(load))
    {
        for (size_t stage = 0; stage < m_load.m_replicas.size(); ++stage) {
            StageQueue &queue = m_queues.emplace_back();
            queue.m_service = serviceName(stage);
            queue.m_limits = m_load.m_limits[stage];
            for (size_t replica = 0; replica < m_load.m_replicas[stage]; ++replica) {
                const std::string id = std::to_string(replica);
                queue.m_workers[id].m_id = id;
            }
            m_busyUntil.emplace_back(m_load.m_replicas[stage]);
        }
    }

    ChainResult run(uint64_t seed)
    {
        Random random{seed};
        TimePoint now = ChainStart;
        if (m_load.m_losesOwner) {
            at(ChainStart + (m_load.m_troubleStart + m_load.m_troubleEnd) / 2, [this](TimePoint when) { loseOwner(when); });
        }
        while (now < ChainStart + m_load.m_length) {
            const double rate = m_load.m_perSecond * (isTrouble(now) ? m_load.m_burst : 1);
            now += Duration(static_cast<int64_t>(exponential(random, 1e6 / rate)));
            runUntil(now);
            addRequest(now, 0.3 + 0.7 * exponential(random, 1));
        }
        runUntil(now + m_load.m_timeout + seconds(1));
        for (const Request &request : m_requests) {
            m_result.m_resultsUnused += request.m_isAnswered ? 0 : request.m_results;
        }
        return m_result;
    }

private:
    struct Request {
        TimePoint m_arrival;
        double m_value = 1;
        size_t m_stage = 0;
        TimePoint m_inputsExpireAt;
        int m_results = 0; ///< of this run of its stages
        int m_reruns = 0;
        bool m_isAnswered = false;
        std::vector<std::string> m_handles; ///< results of the last stage
    };

    struct Event {
        TimePoint m_at;
        uint64_t m_order = 0;
        std::function<void(TimePoint)> m_run;

        bool operator>(const Event &other) const
        {
            return m_at != other.m_at ? m_at > other.m_at : m_order > other.m_order;
        }
    };

    static std::string serviceName(size_t stage)
    {
        return "s" + std::to_string(stage);
    }

    [[nodiscard]] bool isTrouble(TimePoint now) const
    {
        return now - ChainStart > m_load.m_troubleStart && now - ChainStart < m_load.m_troubleEnd;
    }

    [[nodiscard]] Duration stageTime(size_t stage) const
    {
        const PieceLimits &limits = m_load.m_limits[stage];
        return limits.m_callTime + limits.m_pieceTime * limits.m_batch * 3 / 4 + milliseconds(80);
    }

    void at(TimePoint when, std::function<void(TimePoint)> run)
    {
        m_events.push({when, ++m_order, std::move(run)});
    }

    void runUntil(TimePoint until)
    {
        while (!m_events.empty() && m_events.top().m_at <= until) {
            const Event event = m_events.top();
            m_events.pop();
            event.m_run(event.m_at);
        }
    }

    void addRequest(TimePoint now, double value)
    {
        Request request;
        request.m_arrival = now;
        request.m_value = value;
        m_requests.push_back(std::move(request));
        m_result.m_valueAll += value;
        m_result.m_valueAfter += isAfterTrouble(m_requests.back()) ? value : 0;
        submit(m_requests.size() - 1, now);
    }

    [[nodiscard]] bool isAfterTrouble(const Request &request) const
    {
        return request.m_arrival > ChainStart + m_load.m_troubleEnd + seconds(3);
    }

    void submit(size_t number, TimePoint now)
    {
        const Request &request = m_requests[number];
        StageTask task;
        task.m_submitter = "n";
        task.m_submission = number;
        task.m_request = std::to_string(number);
        task.m_stage = static_cast<int>(request.m_stage);
        task.m_value = request.m_value;
        task.m_inputs = request.m_handles;
        task.m_work = RunTime;
        for (size_t stage = request.m_stage; stage < m_queues.size(); ++stage) {
            task.m_work += stageTime(stage);
        }
        task.m_latestStart = request.m_arrival + m_load.m_objective - task.m_work;
        task.m_deadline = request.m_arrival + m_load.m_timeout;
        task.m_resultBytes = m_load.m_resultBytes[request.m_stage];
        for (int piece = 0; piece < m_load.m_pieces[request.m_stage]; ++piece) {
            task.m_pieces.push_back(piece);
        }
        CPPUNIT_ASSERT(addTask(m_queues[request.m_stage], std::move(task)));
        plan(request.m_stage, now);
    }

    void plan(size_t stage, TimePoint now)
    {
        StageQueue &queue = m_queues[stage];
        for (const StageOutcome &outcome : expireTasks(queue, now)) {
            handleOutcome(stage, outcome, now);
        }
        const std::vector<StageCall> calls = planCalls(queue, now);
        for (const StageCall &call : calls) {
            startCall(stage, call, now);
        }
        if (const std::optional<TimePoint> next = nextQueueEvent(queue, now)) {
            wake(stage, *next);
        }
    }

    void wake(size_t stage, TimePoint when)
    {
        TimePoint &planned = m_wakeAt[stage];
        if (planned > when || planned <= m_lastWake[stage]) {
            planned = when;
            at(when, [this, stage](TimePoint now) {
                m_lastWake[stage] = now;
                plan(stage, now);
            });
        }
    }

    void startCall(size_t stage, const StageCall &call, TimePoint now)
    {
        const PieceLimits &limits = m_load.m_limits[stage];
        const Duration work = limits.m_callTime + limits.m_pieceTime * static_cast<int64_t>(call.m_items.size());
        const bool slow = stage + 1 == m_queues.size() && isTrouble(now);
        TimePoint &busyUntil = m_busyUntil[stage][std::stoul(call.m_replica)];
        const TimePoint begin = std::max(now, busyUntil);
        busyUntil = begin + Duration(static_cast<int64_t>(static_cast<double>(work.count()) * (slow ? m_load.m_slowLastStage : 1)));
        at(busyUntil, [this, stage, call, begin](TimePoint end) { finishCall(stage, call, begin, end); });
    }

    void finishCall(size_t stage, const StageCall &call, TimePoint begin, TimePoint now)
    {
        StageQueue &queue = m_queues[stage];
        std::vector<StageOutcome> outcomes;
        for (size_t i = 0; i < call.m_items.size(); ++i) {
            const auto task = queue.m_tasks.find(call.m_items[i].m_ticket);
            const bool hasInputs =
                task == queue.m_tasks.end() || stage == 0 || begin < m_requests[task->second.m_submission].m_inputsExpireAt;
            if (task != queue.m_tasks.end() && hasInputs) {
                m_result.m_results += 1;
                m_requests[task->second.m_submission].m_results += 1;
            }
            const std::string handle = std::to_string(stage) + "/" + std::to_string(++m_handles);
            std::optional<StageOutcome> outcome =
                hasInputs ? completePiece(queue, call, i, handle, now) : failPiece(queue, call, i, PieceFailure::InputExpired);
            if (outcome) {
                outcomes.push_back(std::move(*outcome));
            }
        }
        endCall(queue, call.m_call, false, now);
        for (const StageOutcome &outcome : outcomes) {
            handleOutcome(stage, outcome, now);
        }
        plan(stage, now);
    }

    void release(size_t stage, const std::vector<std::string> &handles)
    {
        for (const std::string &handle : handles) {
            releaseResult(m_queues[stage], handle);
        }
    }

    void handleOutcome(size_t stage, const StageOutcome &outcome, TimePoint now)
    {
        Request &request = m_requests[outcome.m_task.m_submission];
        if (stage > 0) {
            release(stage - 1, request.m_handles);
        }
        request.m_handles.clear();
        if (outcome.m_reason != Reason::None) {
            release(stage, outcome.m_task.m_handles);
            if (outcome.m_reason == Reason::NotFound && request.m_reruns < MaxReruns) {
                m_result.m_resultsUnused += std::exchange(request.m_results, 0);
                request.m_reruns += 1;
                request.m_stage = 0;
                submitLater(outcome.m_task.m_submission, now);
            }
            return;
        }
        request.m_stage += 1;
        if (request.m_stage < m_queues.size()) {
            request.m_handles = outcome.m_task.m_handles;
            request.m_inputsExpireAt = now + m_load.m_limits[stage].m_resultLifetime;
            submitLater(outcome.m_task.m_submission, now);
            return;
        }
        release(stage, outcome.m_task.m_handles);
        request.m_isAnswered = true;
        if (now + RunTime <= request.m_arrival + m_load.m_objective) {
            m_result.m_valueOnTime += request.m_value;
            m_result.m_valueOnTimeAfter += isAfterTrouble(request) ? request.m_value : 0;
        }
    }

    void submitLater(size_t number, TimePoint now)
    {
        at(now + Hop, [this, number](TimePoint when) { submit(number, when); });
    }

    /** All tasks reach the next owner, which knows nothing of the first one's commitments, after the silence of the first. */
    void loseOwner(TimePoint now)
    {
        constexpr Duration OwnerSilence = milliseconds(1200);
        for (StageQueue &queue : m_queues) {
            const std::map<uint64_t, StageTask> tasks = std::exchange(queue.m_tasks, {});
            queue.m_waiting.clear();
            for (const auto &[ticket, task] : tasks) {
                const size_t number = task.m_submission;
                m_result.m_resultsUnused += static_cast<int>(task.m_done);
                m_requests[number].m_results -= static_cast<int>(task.m_done);
                at(now + OwnerSilence, [this, number](TimePoint when) { submit(number, when); });
            }
        }
    }

    ChainLoad m_load;
    std::vector<StageQueue> m_queues;
    std::vector<std::vector<TimePoint>> m_busyUntil; ///< by stage and replica
    std::vector<Request> m_requests;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::map<size_t, TimePoint> m_wakeAt;
    std::map<size_t, TimePoint> m_lastWake;
    uint64_t m_order = 0;
    uint64_t m_handles = 0;
    ChainResult m_result;
};

/** The load of 89 gateways, scaled to another number of gateways with as many replicas for each. */
inline ChainLoad loadOf(double gateways)
{
    ChainLoad load;
    const double scale = gateways / 89;
    for (size_t &replicas : load.m_replicas) {
        replicas = static_cast<size_t>(std::max(1.0, std::round(static_cast<double>(replicas) * scale)));
    }
    const std::vector<double> reference = {16, 15, 18};
    double share = 1;
    for (size_t stage = 0; stage < reference.size(); ++stage) {
        share = std::min(share, static_cast<double>(load.m_replicas[stage]) / reference[stage] / scale);
    }
    load.m_perSecond *= scale * share;
    return load;
}

/** Requests per second of the slowest stage with full batches. */
inline double capacityOf(const ChainLoad &load, double lastStageFactor)
{
    double capacity = 1e9;
    for (size_t stage = 0; stage < load.m_replicas.size(); ++stage) {
        const PieceLimits &limits = load.m_limits[stage];
        const bool isLast = stage + 1 == load.m_replicas.size();
        const double call =
            static_cast<double>((limits.m_callTime + limits.m_pieceTime * limits.m_batch).count()) / 1e6 * (isLast ? lastStageFactor : 1);
        capacity = std::min(capacity, static_cast<double>(load.m_replicas[stage]) * limits.m_batch / call / load.m_pieces[stage]);
    }
    return capacity;
}

/** Share of the requests that one queue with full knowledge could answer on time, by the capacity of the slowest stage. */
inline double achievableShare(const ChainLoad &load)
{
    const double trouble = static_cast<double>((load.m_troubleEnd - load.m_troubleStart).count()) / 1e6;
    const double length = static_cast<double>(load.m_length.count()) / 1e6;
    const double offered = load.m_perSecond * load.m_burst;
    const double served = std::min(offered, capacityOf(load, load.m_slowLastStage));
    return (load.m_perSecond * (length - trouble) + served * trouble) / (load.m_perSecond * (length - trouble) + offered * trouble);
}

inline std::string describe(const std::string &name, const ChainLoad &load, const ChainResult &result)
{
    return name + ": on time " + std::to_string(result.m_valueOnTime / result.m_valueAll) + " of " + std::to_string(achievableShare(load))
        + ", after the trouble " + std::to_string(result.m_valueOnTimeAfter / result.m_valueAfter) + ", unused "
        + std::to_string(static_cast<double>(result.m_resultsUnused) / result.m_results);
}

/** Checks that the overload ends with its cause, and that few results are made in vain. */
inline void checkEndOfOverload(const std::string &name, const ChainLoad &load)
{
    for (const uint64_t seed : {1, 2, 3}) {
        const ChainResult result = ChainSimulation(load).run(seed);
        const std::string figures = describe(name + " seed " + std::to_string(seed), load, result);
        CPPUNIT_ASSERT_MESSAGE(figures, result.m_valueOnTimeAfter >= 0.97 * result.m_valueAfter);
        CPPUNIT_ASSERT_MESSAGE(figures, result.m_resultsUnused <= 0.03 * result.m_results);
    }
}

/** Checks the credit against one queue with full knowledge. */
inline void checkCredit(const std::string &name, const ChainLoad &load)
{
    for (const uint64_t seed : {1, 2, 3}) {
        const ChainResult result = ChainSimulation(load).run(seed);
        const std::string figures = describe(name + " seed " + std::to_string(seed), load, result);
        CPPUNIT_ASSERT_MESSAGE(figures, result.m_valueOnTime >= 0.9 * achievableShare(load) * result.m_valueAll);
    }
}

inline ChainLoad burstLoad(double gateways)
{
    ChainLoad load = loadOf(gateways);
    load.m_burst = 2.5;
    return load;
}

inline ChainLoad slowStageLoad(double gateways)
{
    ChainLoad load = loadOf(gateways);
    load.m_slowLastStage = 2;
    load.m_troubleEnd = load.m_troubleStart + seconds(5);
    return load;
}

} // namespace Medlarramp::Serving
