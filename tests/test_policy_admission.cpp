#include <algorithm>
#include <map>

#include <cppunit/extensions/HelperMacros.h>

#include "policy.h"

using namespace Medlarramp;

namespace {

const TimePoint Start{seconds(1000)};

AdmissionRequest makeRequest(uint64_t id, RequestClass requestClass, uint64_t organisation = 1, Duration deadline = seconds(7))
{
    AdmissionRequest request;
    request.m_id = id;
    request.m_class = requestClass;
    request.m_organisation = organisation;
    request.m_deadline = Start + deadline;
    request.m_preemptible = requestClass == RequestClass::Batch;
    request.m_resumable = request.m_preemptible;
    return request;
}

/** Fills the service estimates of both classes with samples of @p service. */
void fillServiceEstimate(Admission &admission, Duration service)
{
    for (int i = 0; i < 50; ++i) {
        addSample(admission.m_service[0], service);
        addSample(admission.m_service[1], service);
    }
}

} // namespace

class PolicyAdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PolicyAdmissionTest);
    CPPUNIT_TEST(urgentStartsBeforeBatch);
    CPPUNIT_TEST(batchGetsGuaranteedShare);
    CPPUNIT_TEST(organisationsShareByWeight);
    CPPUNIT_TEST(idleOrganisationGainsNoCredit);
    CPPUNIT_TEST(queuesAreBounded);
    CPPUNIT_TEST(unreachableDeadlineIsRefused);
    CPPUNIT_TEST(staleEstimateIsCorrected);
    CPPUNIT_TEST(queueWaitCountsTowardsDeadline);
    CPPUNIT_TEST(overdueUrgentPreemptsBatch);
    CPPUNIT_TEST(preemptionRespectsAllowance);
    CPPUNIT_TEST(guaranteedBatchIsNotPreempted);
    CPPUNIT_TEST(withdrawnRequestNeverStarts);
    CPPUNIT_TEST(laterStageTimeCountsAtFirstStage);
    CPPUNIT_TEST(preemptedRequestStartsFirst);
    CPPUNIT_TEST(batchWaitUsesMeasuredThroughput);
    CPPUNIT_TEST(everyRequestEndsOnce);
    CPPUNIT_TEST_SUITE_END();

    // Guards against batch that occupies slots while urgent requests are queued.
    void urgentStartsBeforeBatch()
    {
        Admission admission;
        AdmissionActions actions;
        enqueueRequest(admission, makeRequest(1, RequestClass::Batch), Start);
        enqueueRequest(admission, makeRequest(2, RequestClass::Urgent), Start);
        dispatchRequests(admission, 1, Start, actions);
        CPPUNIT_ASSERT(actions.m_start == std::vector<uint64_t>{2});
    }

    // Guards against batch that never runs while urgent requests are always queued.
    void batchGetsGuaranteedShare()
    {
        Admission admission;
        AdmissionActions actions;
        size_t batchStarted = 0;
        constexpr size_t Rounds = 2000;
        for (uint64_t i = 0; i < Rounds; ++i) {
            enqueueRequest(admission, makeRequest(2 * i, RequestClass::Urgent), Start);
            enqueueRequest(admission, makeRequest(2 * i + 1, RequestClass::Batch), Start);
            dispatchRequests(admission, 1, Start, actions);
            if (actions.m_start.empty()) {
                continue;
            }
            batchStarted += actions.m_start.front() % 2;
            finishRequest(admission, actions.m_start.front(), Finish::Useful, Start);
        }
        const double share = static_cast<double>(batchStarted) / Rounds;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(admission.m_settings.m_batchShare, share, 0.003);
    }

    // Guards against an organisation with many queued requests that starves a smaller one, and against weights without effect.
    void organisationsShareByWeight()
    {
        Admission admission;
        AdmissionActions actions;
        uint64_t id = 0;
        for (int i = 0; i < 900; ++i) {
            AdmissionRequest heavy = makeRequest(id++, RequestClass::Urgent, 1);
            heavy.m_weight = 3;
            CPPUNIT_ASSERT(enqueueRequest(admission, heavy, Start) == Reason::None);
        }
        for (int i = 0; i < 300; ++i) {
            CPPUNIT_ASSERT(enqueueRequest(admission, makeRequest(10'000 + id++, RequestClass::Urgent, 2), Start) == Reason::None);
        }
        size_t small = 0;
        for (int i = 0; i < 400; ++i) {
            dispatchRequests(admission, 1, Start, actions);
            small += actions.m_start.front() >= 10'000 ? 1 : 0;
            finishRequest(admission, actions.m_start.front(), Finish::Useful, Start);
        }
        CPPUNIT_ASSERT(small >= 98 && small <= 102);
    }

    // Guards against an organisation that accumulates its unused share while idle and then blocks the others.
    void idleOrganisationGainsNoCredit()
    {
        Admission admission;
        AdmissionActions actions;
        for (uint64_t i = 0; i < 200; ++i) {
            enqueueRequest(admission, makeRequest(i, RequestClass::Urgent, 1), Start);
        }
        for (int i = 0; i < 100; ++i) {
            dispatchRequests(admission, 1, Start, actions);
            finishRequest(admission, actions.m_start.front(), Finish::Useful, Start);
        }
        for (uint64_t i = 0; i < 100; ++i) {
            enqueueRequest(admission, makeRequest(1000 + i, RequestClass::Urgent, 2), Start);
        }
        size_t secondStarted = 0;
        for (int i = 0; i < 20; ++i) {
            dispatchRequests(admission, 1, Start, actions);
            secondStarted += actions.m_start.front() >= 1000 ? 1 : 0;
            finishRequest(admission, actions.m_start.front(), Finish::Useful, Start);
        }
        CPPUNIT_ASSERT(secondStarted >= 9 && secondStarted <= 11);
    }

    // Guards against queues that grow without bound under overload.
    void queuesAreBounded()
    {
        Admission admission;
        admission.m_settings.m_maxQueuedUrgent = 10;
        admission.m_settings.m_maxQueuedByOrganisation = 4;
        size_t accepted = 0;
        for (uint64_t i = 0; i < 100; ++i) {
            accepted += enqueueRequest(admission, makeRequest(i, RequestClass::Urgent, i % 5), Start) == Reason::None ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(size_t(10), accepted);
        CPPUNIT_ASSERT(enqueueRequest(admission, makeRequest(200, RequestClass::Urgent, 9), Start) == Reason::QueueFull);
        Admission single;
        single.m_settings.m_maxQueuedByOrganisation = 4;
        for (uint64_t i = 0; i < 4; ++i) {
            CPPUNIT_ASSERT(enqueueRequest(single, makeRequest(i, RequestClass::Urgent), Start) == Reason::None);
        }
        CPPUNIT_ASSERT(enqueueRequest(single, makeRequest(4, RequestClass::Urgent), Start) == Reason::QueueFull);
        CPPUNIT_ASSERT(enqueueRequest(single, makeRequest(5, RequestClass::Urgent, 2), Start) == Reason::None);
    }

    // Guards against starting a request that cannot finish before its deadline, its later stages included.
    void unreachableDeadlineIsRefused()
    {
        Admission admission;
        fillServiceEstimate(admission, seconds(2));
        admission.m_nextProbe = Start + seconds(100);
        AdmissionRequest request = makeRequest(1, RequestClass::Urgent, 1, seconds(1));
        CPPUNIT_ASSERT(enqueueRequest(admission, request, Start) == Reason::DeadlineUnreachable);
        request.m_deadline = Start + seconds(3);
        CPPUNIT_ASSERT(enqueueRequest(admission, request, Start) == Reason::None);
        request.m_id = 2;
        request.m_remaining = seconds(2);
        CPPUNIT_ASSERT(enqueueRequest(admission, request, Start) == Reason::DeadlineUnreachable);
        AdmissionActions actions;
        dispatchRequests(admission, 1, Start + milliseconds(1500), actions);
        CPPUNIT_ASSERT(actions.m_start.empty());
        CPPUNIT_ASSERT(actions.m_refuse == (std::vector<AdmissionRefusal>{{1, Reason::DeadlineUnreachable}}));
    }

    // Guards against an estimate that a slow period has raised so far that all requests are refused and it is never corrected.
    void staleEstimateIsCorrected()
    {
        Admission admission;
        fillServiceEstimate(admission, seconds(60));
        AdmissionActions actions;
        TimePoint at = Start;
        size_t answered = 0;
        for (uint64_t i = 0; i < 300; ++i) {
            at += seconds(1);
            AdmissionRequest request = makeRequest(i, RequestClass::Urgent);
            request.m_deadline = at + seconds(7);
            enqueueRequest(admission, request, at);
            dispatchRequests(admission, 4, at, actions);
            for (const uint64_t id : actions.m_start) {
                finishRequest(admission, id, Finish::Useful, at + milliseconds(100));
                answered += i >= 200 ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT(answered >= 99);
    }

    // Guards against a queue that accepts more requests than can be served before their deadlines.
    void queueWaitCountsTowardsDeadline()
    {
        Admission admission;
        fillServiceEstimate(admission, seconds(1));
        admission.m_nextProbe = Start + seconds(1000);
        AdmissionActions actions;
        size_t accepted = 0;
        for (uint64_t i = 0; i < 100; ++i) {
            accepted += enqueueRequest(admission, makeRequest(i, RequestClass::Urgent), Start) == Reason::None ? 1 : 0;
            dispatchRequests(admission, 2, Start, actions);
        }
        // 2 requests run. 2 requests per second can start during the next 6 s and still meet the deadline of 7 s.
        CPPUNIT_ASSERT(accepted >= 14 && accepted <= 16);
    }

    // Guards against urgent requests that stay queued until long batch requests finish.
    void overdueUrgentPreemptsBatch()
    {
        Admission admission;
        admission.m_wasteAllowance = 10;
        AdmissionActions actions;
        enqueueRequest(admission, makeRequest(1, RequestClass::Batch), Start);
        dispatchRequests(admission, 2, Start, actions);
        enqueueRequest(admission, makeRequest(2, RequestClass::Batch), Start + seconds(1));
        dispatchRequests(admission, 2, Start + seconds(1), actions);
        const TimePoint queuedAt = Start + seconds(2) - admission.m_settings.m_preemptAfter;
        enqueueRequest(admission, makeRequest(3, RequestClass::Urgent), queuedAt);
        dispatchRequests(admission, 2, queuedAt, actions);
        // Preemption discards work, so it starts only after the urgent request has been queued for m_preemptAfter.
        CPPUNIT_ASSERT(actions.m_preempt.empty());
        CPPUNIT_ASSERT(actions.m_nextDispatch == Start + seconds(2));
        dispatchRequests(admission, 2, Start + seconds(2), actions);
        CPPUNIT_ASSERT(actions.m_start.empty());
        CPPUNIT_ASSERT(actions.m_preempt == std::vector<uint64_t>{2}); // the request started last, which discards less work
        dispatchRequests(admission, 2, Start + seconds(2), actions);
        CPPUNIT_ASSERT(actions.m_preempt.empty()); // one preemption per overdue request
        finishRequest(admission, 2, Finish::Preempted, Start + seconds(2));
        dispatchRequests(admission, 2, Start + seconds(2), actions);
        CPPUNIT_ASSERT(actions.m_start == std::vector<uint64_t>{3});
    }

    // Guards against preemption that discards more service time than the allowance.
    void preemptionRespectsAllowance()
    {
        Admission admission;
        admission.m_wasteAllowance = 0.5;
        AdmissionActions actions;
        for (uint64_t i = 0; i < 4; ++i) {
            AdmissionRequest batch = makeRequest(i, RequestClass::Batch);
            batch.m_resumable = false;
            enqueueRequest(admission, batch, Start);
        }
        dispatchRequests(admission, 4, Start, actions);
        for (uint64_t i = 10; i < 14; ++i) {
            enqueueRequest(admission, makeRequest(i, RequestClass::Urgent), Start);
        }
        dispatchRequests(admission, 4, Start + milliseconds(200), actions);
        CPPUNIT_ASSERT_EQUAL(size_t(2), actions.m_preempt.size());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, admission.m_wastedSeconds, 1e-9);
    }

    // Guards against preemption of batch that has just been started from the guaranteed share.
    void guaranteedBatchIsNotPreempted()
    {
        Admission admission;
        admission.m_wasteAllowance = 100;
        admission.m_batchCredit = 1;
        AdmissionActions actions;
        enqueueRequest(admission, makeRequest(1, RequestClass::Batch), Start);
        enqueueRequest(admission, makeRequest(2, RequestClass::Urgent), Start);
        dispatchRequests(admission, 1, Start, actions);
        CPPUNIT_ASSERT(actions.m_start == std::vector<uint64_t>{1});
        CPPUNIT_ASSERT(actions.m_preempt.empty());
    }

    // Guards against starting a queued request whose caller has disconnected.
    void withdrawnRequestNeverStarts()
    {
        Admission admission;
        AdmissionActions actions;
        enqueueRequest(admission, makeRequest(1, RequestClass::Urgent, 1), Start);
        enqueueRequest(admission, makeRequest(2, RequestClass::Urgent, 2), Start);
        CPPUNIT_ASSERT(withdrawRequest(admission, 1, 1, RequestClass::Urgent));
        CPPUNIT_ASSERT(!withdrawRequest(admission, 1, 1, RequestClass::Urgent));
        dispatchRequests(admission, 4, Start, actions);
        CPPUNIT_ASSERT(actions.m_start == std::vector<uint64_t>{2});
    }

    // Guards against running the first stage of a request that the queue of its second stage would refuse.
    void laterStageTimeCountsAtFirstStage()
    {
        Admission second;
        fillServiceEstimate(second, seconds(1));
        second.m_nextProbe = Start + seconds(1000);
        AdmissionActions actions;
        for (uint64_t i = 0; i < 100; ++i) {
            enqueueRequest(second, makeRequest(i, RequestClass::Urgent), Start);
            dispatchRequests(second, 2, Start, actions);
        }
        AdmissionRequest request = makeRequest(1000, RequestClass::Urgent);
        CPPUNIT_ASSERT(enqueueRequest(second, request, Start) == Reason::DeadlineUnreachable);
        Admission first;
        first.m_nextProbe = Start + seconds(1000);
        request.m_remaining = expectedTime(second, request, Start);
        CPPUNIT_ASSERT(enqueueRequest(first, request, Start) == Reason::DeadlineUnreachable);
    }

    // Guards against a preempted request that is refused by a full queue or queued behind others, which loses its progress.
    void preemptedRequestStartsFirst()
    {
        Admission admission;
        admission.m_settings.m_maxQueuedBatch = 3;
        AdmissionActions actions;
        for (uint64_t i = 0; i < 3; ++i) {
            enqueueRequest(admission, makeRequest(i, RequestClass::Batch), Start);
        }
        AdmissionRequest resumed = makeRequest(9, RequestClass::Batch);
        resumed.m_resumed = true;
        CPPUNIT_ASSERT(enqueueRequest(admission, resumed, Start) == Reason::None);
        dispatchRequests(admission, 1, Start, actions);
        CPPUNIT_ASSERT(actions.m_start == std::vector<uint64_t>{9});
    }

    // Guards against a batch queue that accepts more requests than batch can finish while urgent work occupies the slots.
    void batchWaitUsesMeasuredThroughput()
    {
        Admission admission;
        AdmissionActions actions;
        TimePoint at = Start;
        for (uint64_t i = 0; i < 400; ++i) {
            at += milliseconds(500);
            AdmissionRequest request = makeRequest(i, RequestClass::Batch);
            request.m_deadline = at + seconds(60);
            enqueueRequest(admission, request, at);
            dispatchRequests(admission, 10, at, actions);
            for (const uint64_t id : actions.m_start) {
                finishRequest(admission, id, Finish::Useful, at + milliseconds(100));
            }
        }
        // Two requests per second were served, although ten slots with a service time of 0.1 s could serve a hundred.
        for (uint64_t i = 1000; i < 1010; ++i) {
            AdmissionRequest request = makeRequest(i, RequestClass::Batch);
            request.m_deadline = at + seconds(60);
            enqueueRequest(admission, request, at);
        }
        admission.m_capacity = 0;
        const AdmissionRequest next = makeRequest(2000, RequestClass::Batch);
        const Duration wait = expectedWait(admission, next, at);
        CPPUNIT_ASSERT(wait > seconds(4) && wait < seconds(6));
    }

    // Guards against requests that are lost, started twice, or left in the counters (random events, 20 seeds).
    void everyRequestEndsOnce()
    {
        for (uint64_t seed = 1; seed <= 20; ++seed) {
            Random random{seed};
            Admission admission;
            AdmissionActions actions;
            std::map<uint64_t, AdmissionRequest> waiting;
            std::map<uint64_t, AdmissionRequest> running;
            TimePoint at = Start;
            const auto dispatch = [&](double capacity) {
                dispatchRequests(admission, capacity, at, actions);
                for (const uint64_t id : actions.m_start) {
                    CPPUNIT_ASSERT(waiting.contains(id) && !running.contains(id));
                    CPPUNIT_ASSERT(waiting.at(id).m_deadline >= at);
                    running.insert(waiting.extract(id));
                }
                for (const AdmissionRefusal &refusal : actions.m_refuse) {
                    CPPUNIT_ASSERT_EQUAL(size_t(1), waiting.erase(refusal.m_id));
                }
                for (const uint64_t id : actions.m_preempt) {
                    CPPUNIT_ASSERT(running.at(id).m_class == RequestClass::Batch);
                }
                CPPUNIT_ASSERT_EQUAL(waiting.size(), admission.m_urgent.m_size + admission.m_batch.m_size);
                CPPUNIT_ASSERT_EQUAL(running.size(), admission.m_running.size());
                CPPUNIT_ASSERT(admission.m_wasteAllowance >= 0);
            };
            for (uint64_t id = 0; id < 2000; ++id) {
                at += milliseconds(static_cast<int64_t>(uniformBelow(random, 50)));
                const RequestClass requestClass = uniformBelow(random, 2) == 0 ? RequestClass::Urgent : RequestClass::Batch;
                AdmissionRequest request = makeRequest(id, requestClass, uniformBelow(random, 7));
                request.m_deadline = at + milliseconds(static_cast<int64_t>(uniformBelow(random, 3000)));
                request.m_cost = 0.1 + uniformReal(random);
                if (enqueueRequest(admission, request, at) == Reason::None) {
                    waiting.emplace(id, request);
                }
                if (!waiting.empty() && uniformBelow(random, 10) == 0) {
                    const AdmissionRequest withdrawn = waiting.begin()->second;
                    CPPUNIT_ASSERT(withdrawRequest(admission, withdrawn.m_id, withdrawn.m_organisation, withdrawn.m_class));
                    waiting.erase(withdrawn.m_id);
                }
                dispatch(static_cast<double>(uniformBelow(random, 8)));
                while (!running.empty() && uniformBelow(random, 3) > 0) {
                    finishRequest(admission, running.begin()->first, static_cast<Finish>(uniformBelow(random, 3)), at);
                    running.erase(running.begin());
                }
            }
            while (!running.empty()) {
                finishRequest(admission, running.begin()->first, Finish::Useful, at);
                running.erase(running.begin());
            }
            at += seconds(60);
            dispatch(8);
            CPPUNIT_ASSERT(waiting.empty() && admission.m_running.empty());
            CPPUNIT_ASSERT(admission.m_urgent.m_queues.empty() && admission.m_batch.m_queues.empty());
            CPPUNIT_ASSERT_EQUAL(size_t(0), admission.m_pendingPreemptions);
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PolicyAdmissionTest, "policy_admission");
