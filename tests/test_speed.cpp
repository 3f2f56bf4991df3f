#include <cstdio>
#include <functional>
#include <map>

#include <cppunit/extensions/HelperMacros.h>

#include "gateway_world.h"
#include "platform/platform.h"
#include "serving.h"

using namespace Medlarramp;
using namespace Medlarramp::Serving;

namespace {

const TimePoint Start{seconds(1000)};

enum class PlainPolicy : uint8_t { Before, WithSpeed, Oracle };

/**
 * Virtual-time model of a plain service, 7 replicas x 6 slots: a quarter of them runs at 0.55 of the usual speed, the others at 1.2, and
 * each changes its speed abruptly ten times a second. Full replicas refuse; a refused request is sent to another, up to three times.
 */
class PlainSimulation
{
public:
    PlainSimulation(size_t gateways, PlainPolicy policy, uint64_t seed)
        : m_policy(policy), m_arrivals{seed}, m_speeds{seed + 1000}, m_placing{seed + 2000}, m_replicas(Replicas), m_gateways(gateways)
    {
        for (Gateway &gateway : m_gateways) {
            gateway.m_views.resize(Replicas);
            gateway.m_estimates.resize(Replicas);
            for (size_t i = 0; i < Replicas; ++i) {
                gateway.m_views[i].m_id = std::to_string(i);
                gateway.m_views[i].m_slots = Slots;
            }
        }
    }

    /** Number of answers in time. */
    int run(double perSecond, Duration length)
    {
        changeSpeeds();
        TimePoint next = Start;
        while (next < Start + length) {
            next += Duration(static_cast<int64_t>(exponential(m_arrivals, 1e6 / perSecond)));
            runUntil(next);
            m_now = next;
            m_requests += 1;
            const size_t gateway = uniformBelow(m_arrivals, m_gateways.size());
            send({m_now, gateway, 20 + exponential(m_arrivals, 40), {}});
        }
        m_isOver = true;
        runUntil(next + seconds(10));
        return m_inTime;
    }

    int m_requests = 0;

private:
    static constexpr size_t Replicas = 7;
    static constexpr int Slots = 6;
    static constexpr size_t Queue = 6;
    static constexpr Duration Objective = milliseconds(300);
    static constexpr Duration Transit = milliseconds(2);
    static constexpr size_t MaxAttempts = 4;

    struct Job {
        TimePoint m_arrival;
        size_t m_gateway = 0;
        double m_workMs = 0;
        std::vector<size_t> m_tried;
    };

    struct Replica {
        double m_ratio = 1;
        std::vector<TimePoint> m_ends; ///< of the running jobs
        std::deque<Job> m_waiting;
    };

    struct Gateway {
        std::vector<ReplicaView> m_views;
        std::vector<SpeedEstimate> m_estimates;
    };

    void at(TimePoint time, std::function<void()> action)
    {
        m_actions.emplace(std::pair(time, ++m_events), std::move(action));
    }

    void runUntil(TimePoint end)
    {
        while (!m_actions.empty() && m_actions.begin()->first.first <= end) {
            auto action = m_actions.extract(m_actions.begin());
            m_now = action.key().first;
            action.mapped()();
        }
    }

    void changeSpeeds()
    {
        for (size_t i = 0; i < Replicas; ++i) {
            const double base = i < 2 ? 1 / 0.55 : 1 / 1.2;
            const uint64_t state = uniformBelow(m_speeds, 3);
            m_replicas[i].m_ratio = base * (state == 0 ? 0.7 : state == 1 ? 1 : 1.5);
        }
        if (!m_isOver) {
            at(m_now + milliseconds(100), [this] { changeSpeeds(); });
        }
    }

    /** The replica that ends the job first, with all queues and the speeds of this moment known. */
    size_t chooseWithFullKnowledge(const Job &job) const
    {
        size_t chosen = 0;
        double best = 0;
        for (size_t i = 0; i < Replicas; ++i) {
            const Replica &replica = m_replicas[i];
            double ms = job.m_workMs;
            for (const Job &waiting : replica.m_waiting) {
                ms += waiting.m_workMs / Slots;
            }
            ms *= replica.m_ratio;
            if (replica.m_ends.size() >= Slots) {
                ms += std::chrono::duration<double, std::milli>(*std::min_element(replica.m_ends.begin(), replica.m_ends.end()) - m_now)
                          .count();
            }
            ms += replica.m_waiting.size() >= Queue ? 1e6 : 0;
            if (i == 0 || ms < best) {
                chosen = i;
                best = ms;
            }
        }
        return chosen;
    }

    size_t choose(const Job &job)
    {
        if (m_policy == PlainPolicy::Oracle) {
            return chooseWithFullKnowledge(job);
        }
        Gateway &gateway = m_gateways[job.m_gateway];
        for (size_t i = 0; i < Replicas; ++i) {
            ReplicaView &view = gateway.m_views[i];
            view.m_tried = std::find(job.m_tried.begin(), job.m_tried.end(), i) != job.m_tried.end();
            const SpeedValue speed = estimateSpeed(gateway.m_estimates[i], m_now);
            view.m_speedRatio = m_policy == PlainPolicy::Before ? 1 : view.m_latency > 0 ? speed.m_deviation : speed.m_ratio;
        }
        return placePlain(gateway.m_views, {}, m_placing).value();
    }

    void send(Job job)
    {
        const size_t index = choose(job);
        m_gateways[job.m_gateway].m_views[index].m_running += 1;
        at(m_now + Transit, [this, index, job = std::move(job)] { arrive(index, job); });
    }

    void arrive(size_t index, const Job &job)
    {
        Replica &replica = m_replicas[index];
        if (replica.m_ends.size() < Slots) {
            start(index, job);
        } else if (replica.m_waiting.size() < Queue) {
            replica.m_waiting.push_back(job);
        } else {
            at(m_now + Transit, [this, index, job] {
                m_gateways[job.m_gateway].m_views[index].m_running -= 1;
                Job again = job;
                again.m_tried.push_back(index);
                if (again.m_tried.size() < MaxAttempts) {
                    send(again);
                }
            });
        }
    }

    void start(size_t index, const Job &job)
    {
        Replica &replica = m_replicas[index];
        const TimePoint end = m_now + Duration(static_cast<int64_t>(job.m_workMs * replica.m_ratio * 1e3));
        replica.m_ends.push_back(end);
        at(end, [this, index, job] { finish(index, job); });
    }

    void finish(size_t index, const Job &job)
    {
        Replica &replica = m_replicas[index];
        replica.m_ends.erase(std::find(replica.m_ends.begin(), replica.m_ends.end(), m_now));
        if (!replica.m_waiting.empty()) {
            const Job next = replica.m_waiting.front();
            replica.m_waiting.pop_front();
            start(index, next);
        }
        at(m_now + Transit, [this, index, job, ratio = replica.m_ratio] { answer(index, job, ratio); });
    }

    void answer(size_t index, const Job &job, double ratio)
    {
        Gateway &gateway = m_gateways[job.m_gateway];
        ReplicaView &view = gateway.m_views[index];
        view.m_running -= 1;
        const double latency = std::chrono::duration<double>(m_now - job.m_arrival).count();
        view.m_latency = view.m_latency > 0 ? view.m_latency + 0.2 * (latency - view.m_latency) : latency;
        observeReportedSpeed(gateway.m_estimates[index], ratio, m_now);
        m_inTime += m_now - job.m_arrival <= Objective ? 1 : 0;
    }

    PlainPolicy m_policy;
    Random m_arrivals; ///< the same for all policies
    Random m_speeds;
    Random m_placing;
    TimePoint m_now = Start;
    std::vector<Replica> m_replicas;
    std::vector<Gateway> m_gateways;
    std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> m_actions;
    uint64_t m_events = 0;
    int m_inTime = 0;
    bool m_isOver = false;
};

/**
 * Virtual-time model of one stage queue with 18 replicas whose speeds change as in PlainSimulation. With full knowledge, the owner knows
 * all speeds at each decision.
 */
class StageSpeedSimulation
{
public:
    explicit StageSpeedSimulation(PlainPolicy policy, uint64_t seed) : m_policy(policy), m_arrivals{seed}, m_speeds{seed + 1000}
    {
        m_queue.m_limits = PieceLimits{1, 1, 24, milliseconds(240), microseconds(8600), 0, seconds(4)};
        for (size_t i = 0; i < Replicas; ++i) {
            ReplicaRecord record;
            record.m_id = std::to_string(i);
            updateWorker(m_queue, record);
        }
        m_busyUntil.resize(Replicas);
        m_ratios.resize(Replicas);
    }

    /** Number of requests whose pieces are all done in time. */
    int run(double perSecond, Duration length)
    {
        TimePoint next = Start;
        TimePoint nextChange = Start;
        while (next < Start + length) {
            next += Duration(static_cast<int64_t>(exponential(m_arrivals, 1e6 / perSecond)));
            while (nextChange <= next) {
                endCallsUntil(nextChange);
                changeSpeeds();
                nextChange += milliseconds(100);
            }
            endCallsUntil(next);
            StageTask task;
            task.m_deadline = next + seconds(6);
            task.m_latestStart = next + milliseconds(900);
            for (int i = 0; i < 6; ++i) {
                task.m_pieces.push_back(i);
            }
            m_requests += 1;
            addTask(m_queue, task);
            m_endsBy[m_requests] = next + Objective; // tickets are numbered from 1
            plan(next);
        }
        return m_inTime;
    }

    uint64_t m_requests = 0;

private:
    static constexpr size_t Replicas = 18;
    static constexpr Duration Objective = milliseconds(1400);
    using microseconds = std::chrono::microseconds;

    void changeSpeeds()
    {
        for (size_t i = 0; i < Replicas; ++i) {
            const uint64_t state = uniformBelow(m_speeds, 3);
            m_ratios[i] = (i < 5 ? 1 / 0.55 : 1 / 1.2) * (state == 0 ? 0.7 : state == 1 ? 1 : 1.5);
        }
    }

    void endCallsUntil(TimePoint end)
    {
        while (!m_calls.empty() && m_calls.begin()->first <= end) {
            const auto call = m_calls.extract(m_calls.begin());
            const TimePoint now = call.key();
            for (size_t i = 0; i < call.mapped().m_items.size(); ++i) {
                if (const auto outcome = completePiece(m_queue, call.mapped(), i, std::to_string(++m_results), now)) {
                    m_inTime += now <= m_endsBy.at(outcome->m_task.m_ticket) ? 1 : 0;
                }
            }
            endCall(m_queue, call.mapped().m_call, false, now);
            if (m_policy == PlainPolicy::WithSpeed) {
                observeWorkerSpeed(m_queue, call.mapped().m_replica, m_ratios[std::stoul(call.mapped().m_replica)], now);
            }
            plan(now);
        }
    }

    void plan(TimePoint now)
    {
        for (size_t i = 0; m_policy == PlainPolicy::Oracle && i < Replicas; ++i) {
            observeWorkerSpeed(m_queue, std::to_string(i), m_ratios[i], now);
        }
        for (StageCall &call : planCalls(m_queue, now)) {
            const size_t replica = std::stoul(call.m_replica);
            const double ms = (240 + 8.6 * static_cast<double>(call.m_items.size())) * m_ratios[replica];
            m_busyUntil[replica] = std::max(m_busyUntil[replica], now) + Duration(static_cast<int64_t>(ms * 1e3));
            m_calls.emplace(m_busyUntil[replica], std::move(call));
        }
    }

    PlainPolicy m_policy;
    Random m_arrivals;
    Random m_speeds;
    StageQueue m_queue;
    std::vector<TimePoint> m_busyUntil;
    std::vector<double> m_ratios;
    std::multimap<TimePoint, StageCall> m_calls;
    std::map<uint64_t, TimePoint> m_endsBy; ///< by ticket
    uint64_t m_results = 0;
    int m_inTime = 0;
};

std::vector<ReplicaView> makeViews(size_t count)
{
    std::vector<ReplicaView> views(count);
    for (size_t i = 0; i < count; ++i) {
        views[i].m_id = "r" + std::to_string(i);
        views[i].m_slots = 6;
        views[i].m_latency = 0.05;
    }
    return views;
}

} // namespace

class SpeedTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SpeedTest);
    CPPUNIT_TEST(figureIsParsed);
    CPPUNIT_TEST(estimateFollowsReportsAndAges);
    CPPUNIT_TEST(measurementsCountInPart);
    CPPUNIT_TEST(baselineRemovesTheCommonSpeed);
    CPPUNIT_TEST(nothingKnownIsAsBefore);
    CPPUNIT_TEST(nearEqualReplicasShareTheLoad);
    CPPUNIT_TEST(stageWorkerThatReportsSlownessIsUsedLater);
    CPPUNIT_TEST(newIncarnationHasNoSpeed);
    CPPUNIT_TEST(answersInTimeComparedWithFullKnowledge);
    CPPUNIT_TEST(stageRequestsInTimeComparedWithFullKnowledge);
    CPPUNIT_TEST(gatewayReadsTheFigure);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a speed from a header with three figures, as earlier deployments send it, and from a malformed one.
    void figureIsParsed()
    {
        CPPUNIT_ASSERT(!Platform::parseSpeedRatio(""));
        CPPUNIT_ASSERT(!Platform::parseSpeedRatio("3,0,8"));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.8, Platform::parseSpeedRatio("3,0,8,180").value(), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.835, Platform::parseSpeedRatio("3, 0, 8, 83.5").value(), 1e-9);
        for (const char *odd : {"3,0,8,", "3,0,8,x", "3,0,8,-5", "3,0,8,1e9", "3,0,8,nan", "3,0,8,12 3", "3,0,8,0"}) {
            SpeedEstimate estimate;
            CPPUNIT_ASSERT_MESSAGE(odd, !observeReportedSpeed(estimate, Platform::parseSpeedRatio(odd).value(), Start));
            CPPUNIT_ASSERT_EQUAL(0, estimate.m_samples);
        }
    }

    // Guards against an estimate that lags behind a report, and against one that is kept for good.
    void estimateFollowsReportsAndAges()
    {
        SpeedEstimate estimate;
        for (int i = 0; i < 10; ++i) {
            observeReportedSpeed(estimate, 1.2, Start + milliseconds(100 * i));
        }
        const TimePoint last = Start + seconds(1);
        observeReportedSpeed(estimate, 3, last);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3, estimateSpeed(estimate, last).m_ratio, 1e-9);
        CPPUNIT_ASSERT(estimateSpeed(estimate, last).m_deviation > 2);
        const SpeedValue later = estimateSpeed(estimate, last + milliseconds(500));
        CPPUNIT_ASSERT(later.m_age == milliseconds(500));
        CPPUNIT_ASSERT(later.m_ratio > 1.2 && later.m_ratio < 1.5);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, estimateSpeed(estimate, last + seconds(100)).m_ratio, 1e-3);
    }

    // Guards against a single measurement, which may include a wait for a slot, that moves prompts away from their cache.
    void measurementsCountInPart()
    {
        SpeedEstimate estimate;
        observeMeasuredSpeed(estimate, 2, Start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.25, estimateSpeed(estimate, Start).m_ratio, 1e-9);
        observeMeasuredSpeed(estimate, 1000, Start);
        CPPUNIT_ASSERT(estimateSpeed(estimate, Start).m_ratio < 3);
    }

    // Guards against replicas that look slow or fast because the prior doesn't fit the engines of a deployment.
    void baselineRemovesTheCommonSpeed()
    {
        SpeedBaseline baseline;
        double ratio = 0;
        for (int i = 0; i < 300; ++i) {
            ratio = measureFirstEvent(baseline, 10'000, 0, milliseconds(70));
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, ratio, 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2, measureFirstEvent(baseline, 10'000, 0, milliseconds(140)), 0.02);
    }

    // Guards against a change of placement in deployments that report no speeds.
    void nothingKnownIsAsBefore()
    {
        CPPUNIT_ASSERT_EQUAL(1.0, estimateSpeed(SpeedEstimate(), Start).m_ratio);
        CPPUNIT_ASSERT_EQUAL(1.0, estimateSpeed(SpeedEstimate(), Start).m_deviation);
        Random random{8};
        for (int i = 0; i < 2000; ++i) {
            std::vector<ReplicaView> views = makeViews(1 + uniformBelow(random, 9));
            for (ReplicaView &view : views) {
                view.m_running = static_cast<int>(uniformBelow(random, 8));
                view.m_latency = uniformReal(random);
            }
            Random before = random;
            size_t expected = 0;
            double best = 0;
            for (size_t k = 0; k < views.size(); ++k) {
                const double cost = views[k].m_latency * (1 + views[k].m_running / 6.0) * (1 + 0.1 * uniformReal(before));
                if (k == 0 || cost < best) {
                    expected = k;
                    best = cost;
                }
            }
            CPPUNIT_ASSERT(placePlain(views, {}, random) == expected);
        }
    }

    // Guards against gateways that read the same figures and all choose the same replica.
    void nearEqualReplicasShareTheLoad()
    {
        std::vector<ReplicaView> views = makeViews(7);
        views[0].m_speedRatio = 0.9;
        views[6].m_speedRatio = 2;
        std::vector<int> placed(views.size());
        Random random{2};
        for (int i = 0; i < 1000; ++i) {
            placed[placePlain(views, {}, random).value()] += 1;
        }
        CPPUNIT_ASSERT(placed[0] < 400);
        CPPUNIT_ASSERT_EQUAL(0, placed[6]);
        CPPUNIT_ASSERT(*std::min_element(placed.begin(), placed.end() - 1) > 50);
        CPPUNIT_ASSERT(!placePlain({}, {}, random));
    }

    // Guards against a queue owner that sends the next call to a replica that has just become slow.
    void stageWorkerThatReportsSlownessIsUsedLater()
    {
        StageQueue queue;
        queue.m_limits = PieceLimits{1, 0, 4, milliseconds(240), milliseconds(10), 0, seconds(4)};
        for (const char *id : {"a", "b"}) {
            ReplicaRecord record;
            record.m_id = id;
            updateWorker(queue, record);
        }
        for (int i = 0; i < 10; ++i) {
            observeWorkerSpeed(queue, "a", 1, Start);
        }
        observeWorkerSpeed(queue, "a", 3, Start);
        observeWorkerSpeed(queue, "unknown", 3, Start);
        StageTask task;
        task.m_deadline = Start + seconds(5);
        task.m_latestStart = Start + seconds(2);
        task.m_pieces = {0};
        CPPUNIT_ASSERT(addTask(queue, task));
        const std::vector<StageCall> calls = planCalls(queue, Start);
        CPPUNIT_ASSERT_EQUAL(size_t(1), calls.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), calls[0].m_replica);
    }

    // Guards against the speed of a machine that a replica has left.
    void newIncarnationHasNoSpeed()
    {
        StageQueue queue;
        ReplicaRecord record;
        record.m_id = "a";
        updateWorker(queue, record);
        observeWorkerSpeed(queue, "a", 3, Start);
        CPPUNIT_ASSERT_EQUAL(1, queue.m_workers.at("a").m_speed.m_samples);
        record.m_incarnationStart = 5;
        updateWorker(queue, record);
        CPPUNIT_ASSERT_EQUAL(0, queue.m_workers.at("a").m_speed.m_samples);
    }

    // Guards against speeds that are unused, lag or make gateways choose the same replica. Prints the answers in time.
    void answersInTimeComparedWithFullKnowledge()
    {
        std::printf("\n");
        for (const size_t gateways : {8, 87, 295}) {
            for (const double rate : {400.0, 500.0, 580.0}) {
                int counts[3] = {};
                int requests = 0;
                for (uint64_t seed = 1; seed <= 3; ++seed) {
                    for (const PlainPolicy policy : {PlainPolicy::Before, PlainPolicy::WithSpeed, PlainPolicy::Oracle}) {
                        PlainSimulation simulation(gateways, policy, seed);
                        counts[static_cast<size_t>(policy)] += simulation.run(rate, seconds(30));
                        requests += policy == PlainPolicy::Oracle ? simulation.m_requests : 0;
                    }
                }
                std::printf(
                    "%3zu gateways %3.0f/s: %5d requests, in time %5d before, %5d with speeds, %5d with full knowledge (%.1f%%, %.1f%%)\n",
                    gateways,
                    rate,
                    requests,
                    counts[0],
                    counts[1],
                    counts[2],
                    100.0 * counts[0] / counts[2],
                    100.0 * counts[1] / counts[2]);
                CPPUNIT_ASSERT(counts[1] >= counts[2] * 95 / 100);
            }
        }
    }

    // Guards against a queue owner for which reported speeds make matters worse. Prints the requests in time.
    void stageRequestsInTimeComparedWithFullKnowledge()
    {
        std::printf("\n");
        for (const double rate : {70.0, 90.0, 110.0}) {
            int counts[3] = {};
            uint64_t requests = 0;
            for (uint64_t seed = 1; seed <= 3; ++seed) {
                for (const PlainPolicy policy : {PlainPolicy::Before, PlainPolicy::WithSpeed, PlainPolicy::Oracle}) {
                    StageSpeedSimulation simulation(policy, seed);
                    counts[static_cast<size_t>(policy)] += simulation.run(rate, seconds(40));
                    requests += policy == PlainPolicy::Oracle ? simulation.m_requests : 0;
                }
            }
            std::printf("stage, %3.0f/s: %5llu requests, in time %5d before, %5d with speeds, %5d with all speeds known\n",
                        rate,
                        static_cast<unsigned long long>(requests),
                        counts[0],
                        counts[1],
                        counts[2]);
            CPPUNIT_ASSERT(counts[1] >= std::max(counts[0] * 99 / 100, counts[2] * 95 / 100));
        }
    }

    // Guards against a figure that is decoded but never learned, and an implausible one that is used or ends the process.
    void gatewayReadsTheFigure()
    {
        GatewayHarness harness;
        FakeServer replica;
        std::string load = "1,0,8,300";
        replica.start(harness.m_loop, [&load](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
            HttpHeaders headers = replicaHeaders(request);
            headers.push_back({"X-Replica-Load", load});
            reply(request, formatAnswer(200, headers, "whole", true));
        });
        harness.m_store.put("op/config", configuration(1).dump());
        harness.m_store.putReplica("i-1", "plain", replica.address(), "ready", 8, "z1");
        const GatewayHarness::Process &gateway = harness.startGateway("g1");
        const auto metrics = [&harness, &gateway] {
            Caller &caller = harness.connectCaller(gateway.m_ready);
            caller.m_net->write(formatRequest("GET", "/metrics", {{"Host", "h"}}, ""));
            harness.runUntil("metrics", [&] { return caller.isAnswered() || caller.m_closed; });
            return caller.m_reader.m_body;
        };
        const auto send = [&harness, &gateway](const std::string &id) {
            Caller &caller = harness.send(gateway, "POST", "/plain/1", id);
            harness.runUntil("answer", [&] { return caller.isAnswered() || caller.m_closed; });
            CPPUNIT_ASSERT_EQUAL(200, caller.m_reader.m_status);
        };
        send("a1");
        CPPUNIT_ASSERT(metrics().find("medlarramp_slowest_replica{service=\"plain\"} 2.9") != std::string::npos
                       || metrics().find("medlarramp_slowest_replica{service=\"plain\"} 3") != std::string::npos);
        load = "1,0,8,-7";
        send("a2");
        CPPUNIT_ASSERT(metrics().find("medlarramp_invalid_speeds 1") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(SpeedTest, "speed");
