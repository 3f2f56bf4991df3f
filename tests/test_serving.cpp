#include <set>

#include <cppunit/extensions/HelperMacros.h>

#include "serving.h"

using namespace Medlarramp;
using namespace Medlarramp::Serving;

namespace {

const TimePoint Start{seconds(1000)};

ServingRoute makeRoute(const std::string &prefix)
{
    ServingRoute route;
    route.m_host = "h";
    route.m_prefix = prefix;
    route.m_services = {{"s", 1}};
    return route;
}

ReplicaRecord makeReplica(const std::string &id)
{
    ReplicaRecord record;
    record.m_id = id;
    record.m_service = "s";
    return record;
}

Member makeMember(const std::string &node, double weight = 1)
{
    Member member;
    member.m_node = node;
    member.m_weight = weight;
    return member;
}

/** Route with a chain of stages 0 -> 1 and an independent stage 2 with large results. */
ServingRoute chainRoute()
{
    ServingRoute route = makeRoute("/");
    route.m_stages = {{"a", {}, 1000}, {"b", {0}, 1000}, {"large", {}, 800'000}};
    return route;
}

ServingConfiguration chainConfiguration()
{
    ServingConfiguration configuration;
    for (const char *name : {"a", "b", "large"}) {
        ServingService service;
        service.m_name = name;
        service.m_pieces = PieceLimits{1, 2, 10, milliseconds(240), milliseconds(10), 1'000'000, seconds(4)};
        configuration.m_services[name] = service;
    }
    return configuration;
}

AttemptState makeAttempt(RequestKind kind)
{
    AttemptState state;
    state.m_kind = kind;
    state.m_maxAttempts = 2;
    state.m_sent = 1;
    state.m_deadline = Start + seconds(5);
    return state;
}

} // namespace

class ServingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServingTest);
    CPPUNIT_TEST(longestPrefixMatches);
    CPPUNIT_TEST(versionNeverDecreases);
    CPPUNIT_TEST(settingsReportEveryFinding);
    CPPUNIT_TEST(registrationsExpiredInAnOutageAreKept);
    CPPUNIT_TEST(lateReturnToTheStoreDoesNotProlongTheGracePeriod);
    CPPUNIT_TEST(missingReplicasAreUsedOnlyWhileMostAreMissing);
    CPPUNIT_TEST(replicaThatReportedLeavingGetsNoWorkUntilItsNextIncarnation);
    CPPUNIT_TEST(pauseOfAReplicaHoldsForItsIncarnation);
    CPPUNIT_TEST(removedRegistrationIsDroppedAtOnce);
    CPPUNIT_TEST(interruptedWatchIsNoOutage);
    CPPUNIT_TEST(listingRemovesMissingRegistrations);
    CPPUNIT_TEST(membersComputeEqualOwnersAndFewQueuesMove);
    CPPUNIT_TEST(ownersFollowWeights);
    CPPUNIT_TEST(smallMembersOwnNothingBesideLargeOnes);
    CPPUNIT_TEST(suspectedMemberOwnsNothing);
    CPPUNIT_TEST(memberCountIsTheLargestRecentOne);
    CPPUNIT_TEST(retriesOfAllGatewaysStayInTheBudget);
    CPPUNIT_TEST(nonIdempotentRunsOnce);
    CPPUNIT_TEST(notRunIsReportedOnlyWhenCertain);
    CPPUNIT_TEST(startedStreamIsAborted);
    CPPUNIT_TEST(stagesWaitForTheirInputs);
    CPPUNIT_TEST(resultsAreReleasableWhenReadersAreDone);
    CPPUNIT_TEST(largeStageStartsJustInTime);
    CPPUNIT_TEST(unreachableDeadlinesAreRefused);
    CPPUNIT_TEST(stagesRunWhereTheirInputsAre);
    CPPUNIT_TEST(expiredInputsRerunOnlyDependentStages);
    CPPUNIT_TEST(promptsArePlacedWhereTheyAreCached);
    CPPUNIT_TEST(suspectedReplicaIsTheLastChoice);
    CPPUNIT_TEST(requestThatCrashesReplicasIsRefusedAmongOthers);
    CPPUNIT_TEST(partsOfOneCrashingRequestAreNotRefused);
    CPPUNIT_TEST(partThatCrashesReplicasIsRefusedWhoeverHasIt);
    CPPUNIT_TEST(answerClearsWhatWasSuspected);
    CPPUNIT_TEST(refusedRequestThatComesAgainStaysRefused);
    CPPUNIT_TEST(replicasThatCrashTogetherDoNotBlameAPart);
    CPPUNIT_TEST(requestsOfOthersHaveOtherDigests);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a route with a short prefix that takes the requests of a longer one.
    void longestPrefixMatches()
    {
        ServingConfiguration configuration;
        configuration.m_routes = {makeRoute("/a/"), makeRoute("/a/b/")};
        indexRoutes(configuration);
        CPPUNIT_ASSERT(findRoute(configuration, "h", "/a/b/c?x=/a/") == &configuration.m_routes[1]);
        CPPUNIT_ASSERT(findRoute(configuration, "h", "/a/c") == &configuration.m_routes[0]);
        CPPUNIT_ASSERT(findRoute(configuration, "h", "/a") == nullptr);
        CPPUNIT_ASSERT(findRoute(configuration, "other", "/a/c") == nullptr);
    }

    // Guards against a stale read that replaces a newer configuration.
    void versionNeverDecreases()
    {
        ServingConfiguration older;
        older.m_version = 3;
        ServingConfiguration newer;
        newer.m_version = 7;
        CPPUNIT_ASSERT(isNewer(nullptr, older));
        CPPUNIT_ASSERT(isNewer(&older, newer));
        CPPUNIT_ASSERT(!isNewer(&newer, older));
        CPPUNIT_ASSERT(!isNewer(&newer, newer));
    }

    // Guards against invalid settings that are ignored without a finding.
    void settingsReportEveryFinding()
    {
        Findings findings;
        parseGatewaySettings({{"node", "n"}, {"log_level", "loud"}, {"memory_mb", 1}}, "f.json", findings);
        // Five required names and addresses are missing; the log level is unknown and the memory is below its minimum.
        CPPUNIT_ASSERT_EQUAL(size_t(7), findings.size());
    }

    // Guards against the loss of live replicas whose registrations expired while the store was unavailable.
    void registrationsExpiredInAnOutageAreKept()
    {
        Registry registry;
        upsertReplica(registry, makeReplica("r1"));
        upsertReplica(registry, makeReplica("r2"));
        observeStoreFailure(registry, Start - MinOutageDuration);
        observeStoreFailure(registry, Start - milliseconds(100));
        observeStoreSuccess(registry, Start);
        removeReplica(registry, "r1", Start + milliseconds(100));
        removeReplica(registry, "r2", Start + milliseconds(100));
        upsertReplica(registry, makeReplica("r2"));
        const TimePoint lastFailure = Start - milliseconds(100);
        CPPUNIT_ASSERT(expireReplicas(registry, Start + milliseconds(1800)) == lastFailure + RegistrationGrace);
        CPPUNIT_ASSERT_EQUAL(size_t(2), registry.m_replicas.size());
        CPPUNIT_ASSERT(!expireReplicas(registry, lastFailure + RegistrationGrace));
        CPPUNIT_ASSERT_EQUAL(size_t(1), registry.m_replicas.size());
        CPPUNIT_ASSERT(registry.m_replicas.contains("r2"));
    }

    // Guards against requests to replicas that left while this gateway was cut off and regained the store late.
    void lateReturnToTheStoreDoesNotProlongTheGracePeriod()
    {
        Registry registry;
        upsertReplica(registry, makeReplica("r1"));
        const TimePoint contact = Start;
        observeStoreFailure(registry, contact - milliseconds(3000));
        observeStoreFailure(registry, contact - milliseconds(50));
        observeStoreSuccess(registry, contact + milliseconds(1470));
        removeReplica(registry, "r1", contact + milliseconds(1500));
        expireReplicas(registry, contact + RegistrationGrace);
        CPPUNIT_ASSERT(registry.m_replicas.empty());
    }

    // Guards against requests to replicas with a missing registration while most of the service is registered.
    void missingReplicasAreUsedOnlyWhileMostAreMissing()
    {
        Registry registry;
        for (const char *id : {"r1", "r2", "r3", "r4"}) {
            upsertReplica(registry, makeReplica(id));
        }
        observeStoreFailure(registry, Start - seconds(3));
        observeStoreFailure(registry, Start);
        observeStoreSuccess(registry, Start + milliseconds(200));
        const std::string service = makeReplica("r1").m_service;
        removeReplica(registry, "r1", Start + milliseconds(300));
        removeReplica(registry, "r2", Start + milliseconds(300));
        CPPUNIT_ASSERT((usableReplicas(registry)[service] == std::vector<std::string>{"r3", "r4"}));
        removeReplica(registry, "r3", Start + milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(size_t(4), usableReplicas(registry)[service].size());
        ReplicaRecord draining = makeReplica("r4");
        draining.m_draining = true;
        upsertReplica(registry, draining);
        CPPUNIT_ASSERT((usableReplicas(registry)[service] == std::vector<std::string>{"r1", "r2", "r3"}));
    }

    // Guards against requests to a replica that said in an answer that it leaves, also after its registration came back.
    void replicaThatReportedLeavingGetsNoWorkUntilItsNextIncarnation()
    {
        Registry registry;
        upsertReplica(registry, makeReplica("r1"));
        CPPUNIT_ASSERT(observeLeaving(registry, "r1"));
        CPPUNIT_ASSERT(!observeLeaving(registry, "r1"));
        CPPUNIT_ASSERT(!acceptsWork(registry, "r1"));
        CPPUNIT_ASSERT(usableReplicas(registry)[makeReplica("r1").m_service].empty());
        removeReplica(registry, "r1", Start);
        upsertReplica(registry, makeReplica("r1"));
        CPPUNIT_ASSERT(!acceptsWork(registry, "r1"));
        ReplicaRecord next = makeReplica("r1");
        next.m_incarnationStart += 1;
        upsertReplica(registry, next);
        CPPUNIT_ASSERT(acceptsWork(registry, "r1"));
        CPPUNIT_ASSERT(!observeLeaving(registry, "r2"));
    }

    // Guards against a pause that a shorter one ends, that outlives its incarnation, or that hides a replica that is not paused.
    void pauseOfAReplicaHoldsForItsIncarnation()
    {
        Registry registry;
        upsertReplica(registry, makeReplica("r1"));
        upsertReplica(registry, makeReplica("r2"));
        observePause(registry, "r1", Start + seconds(5));
        observePause(registry, "r1", Start + seconds(2));
        CPPUNIT_ASSERT(pausedUntil(registry, "r1") == Start + seconds(5));
        CPPUNIT_ASSERT(!firstResume(registry, {"r1", "r2"}, Start));
        observePause(registry, "r2", Start + seconds(3));
        CPPUNIT_ASSERT(firstResume(registry, {"r1", "r2"}, Start) == Start + seconds(3));
        CPPUNIT_ASSERT(!firstResume(registry, {"r1", "r2"}, Start + seconds(3)));
        CPPUNIT_ASSERT(!firstResume(registry, {}, Start));
        ReplicaRecord next = makeReplica("r1");
        next.m_incarnationStart += 1;
        upsertReplica(registry, next);
        CPPUNIT_ASSERT(pausedUntil(registry, "r1") <= Start);
    }

    // Guards against requests to a replica that removed its registration while the store was available.
    void removedRegistrationIsDroppedAtOnce()
    {
        Registry registry;
        upsertReplica(registry, makeReplica("r1"));
        removeReplica(registry, "r1", Start);
        CPPUNIT_ASSERT(registry.m_replicas.empty());
    }

    // Guards against the use of a replica for two seconds after its removal: an interrupted watch must not count as an outage.
    void interruptedWatchIsNoOutage()
    {
        Registry registry;
        upsertReplica(registry, makeReplica("r1"));
        observeStoreFailure(registry, Start);
        observeStoreSuccess(registry, Start + milliseconds(200));
        removeReplica(registry, "r1", Start + milliseconds(300));
        CPPUNIT_ASSERT(registry.m_replicas.empty());
    }

    // Guards against replicas that stay registered for ever because the event of their removal was missed.
    void listingRemovesMissingRegistrations()
    {
        Registry registry;
        upsertReplica(registry, makeReplica("r1"));
        upsertReplica(registry, makeReplica("r2"));
        replaceReplicas(registry, {makeReplica("r2"), makeReplica("r3")}, Start);
        CPPUNIT_ASSERT_EQUAL(size_t(2), registry.m_replicas.size());
        CPPUNIT_ASSERT(!registry.m_replicas.contains("r1"));
    }

    static Membership makeMembership(const std::string &self, size_t count)
    {
        Membership membership;
        membership.m_self = makeMember(self);
        std::vector<Member> members;
        members.reserve(100);
        for (size_t i = 0; i < count; ++i) {
            members.push_back(makeMember("n" + std::to_string(i)));
        }
        replaceMembers(membership, members, Start);
        return membership;
    }

    // Guards against two owners of the queue of one service while all gateways are up, and against queues that change
    // their owner although another gateway left.
    void membersComputeEqualOwnersAndFewQueuesMove()
    {
        const Membership atN0 = makeMembership("n0", 9);
        const Membership atN5 = makeMembership("n5", 9);
        const Membership withoutN8 = makeMembership("n0", 8);
        int moved = 0;
        for (int i = 0; i < 100; ++i) {
            const std::string service = "service" + std::to_string(i);
            CPPUNIT_ASSERT_EQUAL(ownerOf(atN0, service, Start), ownerOf(atN5, service, Start));
            const bool stays = ownerOf(atN0, service, Start) == ownerOf(withoutN8, service, Start);
            CPPUNIT_ASSERT(stays || ownerOf(atN0, service, Start) == "n8");
            moved += stays ? 0 : 1;
        }
        CPPUNIT_ASSERT(moved > 0 && moved < 30);
    }

    // Guards against queues that are assigned regardless of the weights of the gateways, which overloads small VMs.
    void ownersFollowWeights()
    {
        Membership membership;
        membership.m_self = makeMember("n0", 0.26);
        std::vector<Member> members;
        members.reserve(100);
        for (int i = 0; i < 10; ++i) {
            members.push_back(makeMember("n" + std::to_string(i), i < 5 ? 0.26 : 0.5));
        }
        replaceMembers(membership, members, Start);
        int heavy = 0;
        for (int i = 0; i < 1000; ++i) {
            const std::string owner = ownerOf(membership, "service" + std::to_string(i), Start);
            heavy += owner >= "n5" ? 1 : 0;
        }
        CPPUNIT_ASSERT(heavy > 592 && heavy < 723); // 66 % by weight
    }

    // Guards against a queue on a VM with a small part of the processor and network of others, which its messages fill.
    void smallMembersOwnNothingBesideLargeOnes()
    {
        Membership membership;
        membership.m_self = makeMember("n0", 0.12);
        std::vector<Member> members;
        members.reserve(10);
        for (int i = 0; i < 10; ++i) {
            members.push_back(makeMember("n" + std::to_string(i), i < 7 ? 0.12 : 0.48));
        }
        replaceMembers(membership, members, Start);
        for (int i = 0; i < 100; ++i) {
            CPPUNIT_ASSERT(ownerOf(membership, "service" + std::to_string(i), Start) >= "n7");
        }
        for (const char *node : {"n7", "n8", "n9"}) {
            suspectMember(membership, node, Start);
        }
        for (int i = 0; i < 100; ++i) {
            CPPUNIT_ASSERT(ownerOf(membership, "service" + std::to_string(i), Start) < "n7");
        }
    }

    // Guards against tasks that are submitted to a crashed owner until its lease expires.
    void suspectedMemberOwnsNothing()
    {
        Membership membership = makeMembership("n0", 5);
        for (int i = 0; i < 50; ++i) {
            const std::string service = "service" + std::to_string(i);
            const std::string owner = ownerOf(membership, service, Start);
            suspectMember(membership, owner, Start);
            CPPUNIT_ASSERT(owner == "n0" || ownerOf(membership, service, Start) != owner);
            CPPUNIT_ASSERT_EQUAL(owner, ownerOf(membership, service, Start + SuspicionTime));
            membership.m_suspectedUntil.clear();
        }
    }

    // Guards against a share of a common limit that grows at once when gateways disappear from the store but still run.
    void memberCountIsTheLargestRecentOne()
    {
        Membership membership = makeMembership("n0", 9);
        replaceMembers(membership, {makeMember("n0")}, Start + seconds(1));
        CPPUNIT_ASSERT_EQUAL(size_t(9), memberCount(membership, Start + seconds(10)));
        CPPUNIT_ASSERT_EQUAL(size_t(1), memberCount(membership, Start + seconds(20)));
    }

    // Guards against retries of all gateways together that exceed the retry budget in some window.
    void retriesOfAllGatewaysStayInTheBudget()
    {
        GatewaySettings settings;
        settings.m_retryRatio = 0.2;
        settings.m_extraRetries = 58;
        std::vector<RetryBudget> budgets(9);
        std::deque<TimePoint> retries;
        std::deque<TimePoint> requests;
        Random random{7};
        for (int step = 0; step < 40'000; ++step) {
            const TimePoint now = Start + milliseconds(step);
            RetryBudget &budget = budgets[uniformBelow(random, budgets.size())];
            if (uniformBelow(random, 100) < 4) {
                countRequest(budget, settings, now);
                requests.push_back(now);
            }
            if (takeRetry(budget, settings, budgets.size(), now)) {
                retries.push_back(now);
            }
            while (!retries.empty() && retries.front() + settings.m_retryWindow <= now) {
                retries.pop_front();
            }
            while (!requests.empty() && requests.front() + settings.m_retryWindow <= now) {
                requests.pop_front();
            }
            const double allowed = settings.m_retryRatio * static_cast<double>(requests.size()) + settings.m_extraRetries;
            CPPUNIT_ASSERT(static_cast<double>(retries.size()) <= allowed);
        }
        CPPUNIT_ASSERT(!retries.empty());
    }

    // Guards against running a request twice that is not idempotent.
    void nonIdempotentRunsOnce()
    {
        const auto always = [] { return true; };
        AttemptState state = makeAttempt(RequestKind::NonIdempotent);
        CPPUNIT_ASSERT(decideNextStep(state, AttemptEnd::Rejected, Start, always) == NextStep::Retry);
        state.m_ran = 1;
        CPPUNIT_ASSERT(decideNextStep(state, AttemptEnd::Lost, Start, always) == NextStep::FailUnknown);
        state.m_kind = RequestKind::Streaming;
        CPPUNIT_ASSERT(decideNextStep(state, AttemptEnd::Lost, Start, always) == NextStep::FailUnknown);
        state.m_resumable = true;
        CPPUNIT_ASSERT(decideNextStep(state, AttemptEnd::Lost, Start, always) == NextStep::Retry);
    }

    // Guards against the outcome "not run" for a request that may have run, over all kinds and failures.
    void notRunIsReportedOnlyWhenCertain()
    {
        for (const RequestKind kind : {RequestKind::Idempotent, RequestKind::NonIdempotent, RequestKind::Streaming}) {
            for (const AttemptEnd end :
                 {AttemptEnd::NotSent, AttemptEnd::Rejected, AttemptEnd::Lost, AttemptEnd::Failed, AttemptEnd::Broken}) {
                for (int ran = 0; ran < 3; ++ran) {
                    AttemptState state = makeAttempt(kind);
                    const bool runs = end == AttemptEnd::Lost || end == AttemptEnd::Failed || end == AttemptEnd::Broken;
                    state.m_ran = ran + (runs ? 1 : 0);
                    const NextStep step = decideNextStep(state, end, Start, [] { return false; });
                    CPPUNIT_ASSERT(step != NextStep::RefuseNotRun || state.m_ran == 0);
                }
            }
        }
    }

    // Guards against a second answer on a connection that already carries part of the first one.
    void startedStreamIsAborted()
    {
        AttemptState state = makeAttempt(RequestKind::Streaming);
        state.m_answerStarted = true;
        state.m_ran = 1;
        CPPUNIT_ASSERT(decideNextStep(state, AttemptEnd::Broken, Start, [] { return true; }) == NextStep::AbortStream);
    }

    // Guards against a stage that starts without all of its inputs.
    void stagesWaitForTheirInputs()
    {
        const ServingRoute route = chainRoute();
        StagePlan plan = makePlan(route, {2, 1, 0});
        CPPUNIT_ASSERT(readyStages(route, plan) == std::vector<size_t>{0});
        plan.m_stages[0].m_state = StageState::Done;
        plan.m_stages[0].m_handles = {"x/1", "x/2"};
        CPPUNIT_ASSERT(readyStages(route, plan) == std::vector<size_t>{1});
        CPPUNIT_ASSERT((inputsOf(route, plan, 1) == std::vector<std::string>{"x/1", "x/2"}));
        plan.m_stages[1].m_state = StageState::Done;
        plan.m_stages[1].m_handles = {"y/1"};
        CPPUNIT_ASSERT(isPlanDone(plan));
        CPPUNIT_ASSERT(finalInputs(route, plan) == std::vector<std::string>{"y/1"});
    }

    // Guards against releasing results before their last reader is done, and against keeping them after that.
    void resultsAreReleasableWhenReadersAreDone()
    {
        const ServingRoute route = chainRoute();
        StagePlan plan = makePlan(route, {1, 1, 1});
        plan.m_stages[0].m_state = StageState::Done;
        plan.m_stages[0].m_handles = {"x/1"};
        CPPUNIT_ASSERT(releasableStages(route, plan).empty());
        plan.m_stages[1].m_state = StageState::Submitted;
        CPPUNIT_ASSERT(releasableStages(route, plan).empty());
        // A failed piece of the second stage reads the first stage again, so its results are evictable but not releasable.
        plan.m_stages[1].m_inputsRead = true;
        CPPUNIT_ASSERT(evictableStages(route, plan) == std::vector<size_t>{0});
        CPPUNIT_ASSERT(releasableStages(route, plan).empty());
        plan.m_stages[0].m_resultsEvictable = true;
        CPPUNIT_ASSERT(evictableStages(route, plan).empty());
        plan.m_stages[1].m_state = StageState::Done;
        plan.m_stages[1].m_handles = {"y/1"};
        // The run of the request reads the results of the last stages, so these are not released here.
        CPPUNIT_ASSERT(releasableStages(route, plan) == std::vector<size_t>{0});
    }

    // Guards against large results that occupy the result capacity of their replicas while a longer chain still runs.
    void largeStageStartsJustInTime()
    {
        const ServingRoute route = chainRoute();
        const ServingConfiguration configuration = chainConfiguration();
        StagePlan plan = makePlan(route, {1, 1, 1});
        CPPUNIT_ASSERT(stageDelay(configuration, route, plan, 0) == Duration(0));
        CPPUNIT_ASSERT(stageDelay(configuration, route, plan, 2) == expectedStageTime(configuration, route, 1));
        plan = makePlan(route, {0, 0, 1});
        CPPUNIT_ASSERT(stageDelay(configuration, route, plan, 2) == Duration(0));
    }

    // Guards against requests that wait for stages although they can't be finished before their deadline any more.
    void unreachableDeadlinesAreRefused()
    {
        CPPUNIT_ASSERT(isUnreachable(Start + seconds(1), seconds(1), Start));
        CPPUNIT_ASSERT(!isUnreachable(Start + seconds(2), seconds(1), Start));
    }

    // Guards against a stage in a failure domain where each of its pieces reads all inputs from another one.
    void stagesRunWhereTheirInputsAre()
    {
        // Six pieces that read 480 kB each transfer more than the 36 kB of results that the run reads.
        CPPUNIT_ASSERT_EQUAL(std::string("b"), preferredDomain({{"b", 480'000}}, 6, "a", 36'000));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), preferredDomain({{"a", 60'000}, {"b", 420'000}}, 6, "c", 36'000));
        // Without inputs, only the transfer to the replica of the run counts.
        CPPUNIT_ASSERT_EQUAL(std::string("a"), preferredDomain({}, 2, "a", 1'600'000));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), preferredDomain({{"b", 8'000}}, 1, "a", 800'000));
        CPPUNIT_ASSERT_EQUAL(std::string(), preferredDomain({}, 1, "", 0));
        const ServingRoute route = chainRoute();
        const StagePlan plan = makePlan(route, {2, 1, 0});
        CPPUNIT_ASSERT_EQUAL(int64_t(0), finalBytes(route, plan, 0));
        CPPUNIT_ASSERT_EQUAL(route.m_stages[1].m_resultBytes, finalBytes(route, plan, 1));
    }

    // Guards against running a stage again that does not depend on the lost result.
    void expiredInputsRerunOnlyDependentStages()
    {
        ServingRoute route = chainRoute(); // stage 1 reads stage 0, stage 2 is independent
        StagePlan plan = makePlan(route, {1, 2, 3});
        plan.m_stages[0].m_state = StageState::Done;
        plan.m_stages[1].m_state = StageState::Submitted;
        CPPUNIT_ASSERT((stagesToRerun(route, plan, 1) == std::vector<size_t>{0, 1}));
        CPPUNIT_ASSERT((stagesToRerun(route, plan, 2) == std::vector<size_t>{2}));
        CPPUNIT_ASSERT((stagesWithPieces(plan) == std::vector<size_t>{0, 1, 2}));
        // Another stage that waits and reads the first one would find its inputs expired, so it runs again as well.
        route.m_stages[2].m_after = {0};
        CPPUNIT_ASSERT((stagesToRerun(route, plan, 1) == std::vector<size_t>{0, 1, 2}));
        plan.m_stages[2].m_state = StageState::Done;
        CPPUNIT_ASSERT((stagesToRerun(route, plan, 1) == std::vector<size_t>{0, 1}));
    }

    static std::vector<ReplicaView> makeViews(size_t count)
    {
        std::vector<ReplicaView> views(count);
        for (size_t i = 0; i < count; ++i) {
            views[i].m_id = "r" + std::to_string(i);
            views[i].m_failureDomain = i % 3 == 0 ? "a" : i % 3 == 1 ? "b" : "c";
            views[i].m_slots = 64;
        }
        return views;
    }

    // Guards against shared prompt parts that are processed again at many replicas, and against one replica that gets most
    // prompts. Places 2,000 prompts of 180 sessions and compares the cache hits with the maximum of any placement.
    void promptsArePlacedWhereTheyAreCached()
    {
        const std::vector<ReplicaView> views = makeViews(9);
        std::vector<int> load(views.size());
        std::set<std::pair<size_t, uint64_t>> cached;
        int hits = 0;
        std::set<uint64_t> seen;
        int maxHits = 0;
        Random random{11};
        for (int i = 0; i < 2000; ++i) {
            const uint64_t session = 1000 + uniformBelow(random, 180);
            PlacementRequest request;
            request.m_parts = {{1, 500}, {session, 4800}, {static_cast<uint64_t>(100'000 + i), 1300}};
            const std::optional<size_t> index = placePrompt(views, request);
            CPPUNIT_ASSERT(index.has_value());
            load[*index] += 1;
            hits += cached.emplace(*index, session).second ? 0 : 1;
            maxHits += seen.insert(session).second ? 0 : 1;
        }
        CPPUNIT_ASSERT(hits >= maxHits * 9 / 10);
        const int mean = 2000 / static_cast<int>(views.size());
        CPPUNIT_ASSERT(*std::max_element(load.begin(), load.end()) < 2 * mean);
    }

    // Guards against new requests to a replica that has just failed while another is available.
    void suspectedReplicaIsTheLastChoice()
    {
        std::vector<ReplicaView> views = makeViews(3);
        views[0].m_suspected = true;
        views[1].m_suspected = true;
        views[2].m_running = 40;
        Random random{3};
        CPPUNIT_ASSERT(placePlain(views, {}, random) == size_t(2));
        PlacementRequest request;
        request.m_parts = {{1, 10}, {2, 10}};
        CPPUNIT_ASSERT(placePrompt(views, request) == size_t(2));
        views[2].m_suspected = true;
        CPPUNIT_ASSERT(placePlain(views, {}, random).has_value());
    }

    static constexpr uint64_t Guilty = 99; ///< digest of a request
    static constexpr uint64_t GuiltyPart = 0xdead;

    /** Time of crash number @p index, a second after the one before. */
    static TimePoint crashTime(uint64_t index)
    {
        return TimePoint(seconds(static_cast<int64_t>(index) + 1));
    }

    // Guards against a request that is never refused because other requests are lost with it, and against refusing these.
    void requestThatCrashesReplicasIsRefusedAmongOthers()
    {
        CrashEvidence evidence;
        for (uint64_t i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT(!isRequestRefused(evidence, Guilty, crashTime(i)));
            observeCrash(evidence, i, {{10 + i, Guilty, 20 + i}, {}}, crashTime(i));
        }
        CPPUNIT_ASSERT(isRequestRefused(evidence, Guilty, crashTime(3)));
        CPPUNIT_ASSERT_EQUAL(size_t(1), evidence.m_refusedRequests.size());
    }

    // Guards against refusing a shared part, and with it sound requests, for what one request does.
    void partsOfOneCrashingRequestAreNotRefused()
    {
        CrashEvidence evidence;
        for (uint64_t i = 0; i < 10; ++i) {
            observeCrash(evidence, i, {{Guilty}, {1, 2}}, crashTime(i));
        }
        CPPUNIT_ASSERT(isRequestRefused(evidence, Guilty, crashTime(10)));
        CPPUNIT_ASSERT(evidence.m_refusedParts.empty());
    }

    // Guards against a part that is never refused because each request with it is another one or is refused by itself.
    void partThatCrashesReplicasIsRefusedWhoeverHasIt()
    {
        CrashEvidence different;
        CrashEvidence repeated;
        for (uint64_t i = 0; i < 4; ++i) {
            observeCrash(different, i, {{i}, {1, GuiltyPart}}, crashTime(i));
            observeAnswer(different, {{}, {1}});
            observeCrash(repeated, i, {{i / 3}, {1, GuiltyPart}}, crashTime(i));
            observeAnswer(repeated, {{}, {1}});
        }
        for (const CrashEvidence &evidence : {different, repeated}) {
            CPPUNIT_ASSERT(isPartRefused(evidence, GuiltyPart, crashTime(4)));
            CPPUNIT_ASSERT(!isPartRefused(evidence, 1, crashTime(4)));
        }
    }

    // Guards against refusing what a replica has answered since it was lost in crashes.
    void answerClearsWhatWasSuspected()
    {
        CrashEvidence evidence;
        observeCrash(evidence, 1, {{Guilty}, {1}}, crashTime(1));
        observeCrash(evidence, 2, {{Guilty}, {1}}, crashTime(2));
        CPPUNIT_ASSERT((observeAnswer(evidence, {{Guilty}, {1}}) == CrashSuspects{{Guilty}, {1}}));
        observeCrash(evidence, 3, {{Guilty}, {1}}, crashTime(3));
        CPPUNIT_ASSERT(!isRequestRefused(evidence, Guilty, crashTime(3)));
        applyRefusals(evidence, {{Guilty}, {1}}, seconds(60), crashTime(3));
        observeAnswer(evidence, {{Guilty}, {1}});
        CPPUNIT_ASSERT(!hasRefused(evidence, {{Guilty}, {1}}, crashTime(3)));
    }

    // Guards against three more crashes after each end of a refusal.
    void refusedRequestThatComesAgainStaysRefused()
    {
        CrashEvidence evidence;
        applyRefusals(evidence, {{Guilty}, {}}, RequestRefusalTime, crashTime(0));
        prolongRefusal(evidence, Guilty, crashTime(0) + RequestRefusalTime / 2);
        CPPUNIT_ASSERT(isRequestRefused(evidence, Guilty, crashTime(0) + RequestRefusalTime));
        const TimePoint ended = crashTime(0) + RequestRefusalTime * 2;
        CPPUNIT_ASSERT(!isRequestRefused(evidence, Guilty, ended));
        observeCrash(evidence, 1, {{Guilty, 1}, {}}, ended);
        CPPUNIT_ASSERT(isRequestRefused(evidence, Guilty, ended + seconds(1)));
        CPPUNIT_ASSERT(!isRequestRefused(evidence, 1, ended + seconds(1)));
    }

    // Guards against refusing a part because a failure domain was lost, and a request that crashes its replicas in no time.
    void replicasThatCrashTogetherDoNotBlameAPart()
    {
        CrashEvidence evidence;
        for (uint64_t i = 0; i < 5; ++i) {
            observeCrash(evidence, i, {{Guilty, i}, {GuiltyPart}}, crashTime(0) + milliseconds(static_cast<int64_t>(i)));
        }
        CPPUNIT_ASSERT(evidence.m_refusedParts.empty());
        CPPUNIT_ASSERT(isRequestRefused(evidence, Guilty, crashTime(1)));
    }

    // Guards against refusing the requests of one caller for those of another.
    void requestsOfOthersHaveOtherDigests()
    {
        const std::vector<PromptPart> parts = {{1, 10}, {2, 10}};
        const uint64_t digest = requestDigest("/a", "caller", "body", parts);
        CPPUNIT_ASSERT_EQUAL(digest, requestDigest("/a", "caller", "body", parts));
        CPPUNIT_ASSERT(digest != requestDigest("/a", "other", "body", parts));
        CPPUNIT_ASSERT(digest != requestDigest("/a", "caller", "other", parts));
        CPPUNIT_ASSERT(digest != requestDigest("/a", "caller", "body", {{1, 10}, {3, 10}}));
        CPPUNIT_ASSERT(requestDigest("/a", "caller", "body", {}) != requestDigest("/ab", "caller", "ody", {}));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ServingTest, "serving");
