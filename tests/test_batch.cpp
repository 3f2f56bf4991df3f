#include <cppunit/extensions/HelperMacros.h>

#include "batch_world.h"

using namespace Medlarramp;
using namespace Medlarramp::Testing;

namespace {

/** One accepting entry and one runner against the store, driven by hand. */
struct BatchBench {
    MemoryStore m_store;
    DurableTime m_time{TimePoint(seconds(100)), BatchWall};
    Random m_random{3};
    BatchAccept m_accept;
    BatchRunner m_runner;
    std::vector<JobAccepted> m_accepted;
    std::vector<JobRefused> m_refused;
    std::vector<ClaimKeyReady> m_keys;
    std::vector<StoreWrite> m_unsent;
    bool m_hold = false;
    bool m_ended = false;
};

void carryOut(BatchBench &bench, const AcceptActions &actions)
{
    bench.m_accepted.insert(bench.m_accepted.end(), actions.m_accepted.begin(), actions.m_accepted.end());
    bench.m_refused.insert(bench.m_refused.end(), actions.m_refused.begin(), actions.m_refused.end());
    for (const StoreWrite &write : actions.m_store.m_writes) {
        if (bench.m_hold) {
            bench.m_unsent.push_back(write);
            continue;
        }
        carryOut(bench, storeAnswered(bench.m_accept, applyWrite(bench.m_store, write, 0), bench.m_time, bench.m_random));
    }
    for (const StoreRead &read : actions.m_store.m_reads) {
        carryOut(bench, rangeAnswered(bench.m_accept, readStore(bench.m_store, read), bench.m_time, bench.m_random));
    }
}

void carryOut(BatchBench &bench, const RunnerActions &actions)
{
    bench.m_keys.insert(bench.m_keys.end(), actions.m_keys.begin(), actions.m_keys.end());
    bench.m_ended = bench.m_ended || actions.m_ended;
    for (const StoreWrite &write : actions.m_store.m_writes) {
        if (bench.m_hold) {
            bench.m_unsent.push_back(write);
            continue;
        }
        carryOut(bench, storeAnswered(bench.m_runner, applyWrite(bench.m_store, write, 1), bench.m_time, bench.m_random));
    }
    for (const StoreRead &read : actions.m_store.m_reads) {
        carryOut(bench, rangeAnswered(bench.m_runner, readStore(bench.m_store, read), bench.m_time, bench.m_random));
    }
}

void advance(BatchBench &bench, milliseconds by)
{
    bench.m_time.m_now += by;
    bench.m_time.m_wall += by.count();
    carryOut(bench, acceptTimer(bench.m_accept, bench.m_time, bench.m_random));
    if (!bench.m_runner.m_node.empty()) {
        carryOut(bench, runnerTimer(bench.m_runner, bench.m_time, bench.m_random));
    }
}

BatchJob makeJob(uint64_t number)
{
    return {Identifier{4, number}, "shop", "plan", "{}"};
}

uint64_t submit(BatchBench &bench, const BatchJob &job, int64_t quota = 1'000'000)
{
    AcceptActions actions;
    const uint64_t ticket = submitJob(bench.m_accept, job, quota, bench.m_time, bench.m_random, actions);
    carryOut(bench, actions);
    return ticket;
}

/** Stores @p jobs jobs as one group and takes it. */
BatchBench runningGroup(size_t jobs)
{
    BatchBench bench;
    bench.m_hold = true;
    submit(bench, makeJob(0));
    for (size_t i = 1; i <= jobs; ++i) {
        submit(bench, makeJob(i));
    }
    bench.m_hold = false;
    const StoreOutcome outcome = applyWrite(bench.m_store, bench.m_unsent[0], 0);
    carryOut(bench, storeAnswered(bench.m_accept, outcome, bench.m_time, bench.m_random));
    bench.m_unsent.clear();
    advance(bench, BatchWriteSpacing);
    CPPUNIT_ASSERT_EQUAL(jobs + 1, bench.m_accepted.size());
    const Identifier group = bench.m_accepted.back().m_id.m_group;
    carryOut(bench, takeGroup(bench.m_runner, group, "a", bench.m_time, bench.m_random));
    CPPUNIT_ASSERT(bench.m_runner.m_phase == RunnerPhase::Running);
    CPPUNIT_ASSERT_EQUAL(jobs, bench.m_runner.m_jobs.size());
    return bench;
}

/** Another node takes the group after the lease of the first has ended. */
BatchBench takeOver(const BatchBench &from)
{
    BatchBench bench;
    bench.m_store = from.m_store;
    bench.m_time = from.m_time;
    expireLease(bench.m_store, 1);
    carryOut(bench, takeGroup(bench.m_runner, from.m_runner.m_group, "b", bench.m_time, bench.m_random));
    CPPUNIT_ASSERT(bench.m_runner.m_phase == RunnerPhase::Running);
    return bench;
}

void finish(BatchBench &bench, int64_t job, const std::string &output)
{
    carryOut(bench, jobFinished(bench.m_runner, job, {Outcome::Answered, Reason::None, output}, bench.m_time, bench.m_random));
}

} // namespace

class BatchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchTest);
    CPPUNIT_TEST(acceptedOnlyAfterCommit);
    CPPUNIT_TEST(markIsReadAfterTheCompares);
    CPPUNIT_TEST(jobsAreGrouped);
    CPPUNIT_TEST(largeJobsAreSplitByBytes);
    CPPUNIT_TEST(quotaAndStoreBoundRefuse);
    CPPUNIT_TEST(outageRefusesWhatWasNotSent);
    CPPUNIT_TEST(lostLeaseMovesJobsToAnotherGroup);
    CPPUNIT_TEST(lateCopyCannotBringAGroupBack);
    CPPUNIT_TEST(fencedRunnerCannotWrite);
    CPPUNIT_TEST(takeoverSkipsFinishedStages);
    CPPUNIT_TEST(repeatedResultIsDropped);
    CPPUNIT_TEST(outageKeepsProgressForLater);
    CPPUNIT_TEST(claimKeyIsDurableAndStable);
    CPPUNIT_TEST(unusedClaimKeyIsRenewed);
    CPPUNIT_TEST(finishedGroupIsNotTakenAgain);
    CPPUNIT_TEST(releasedGroupCanBeTaken);
    CPPUNIT_TEST(resultsStayUntilFetchedOrExpired);
    CPPUNIT_TEST(malformedValuesAreErrors);
    CPPUNIT_TEST(allSchedulesOfTwoNodes);
    CPPUNIT_TEST(randomSchedulesOfThreeNodes);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a 202 for a job that a crash would forget.
    void acceptedOnlyAfterCommit()
    {
        BatchBench bench;
        bench.m_hold = true;
        submit(bench, makeJob(1));
        CPPUNIT_ASSERT_EQUAL(size_t(1), bench.m_unsent.size());
        CPPUNIT_ASSERT(bench.m_accepted.empty());
        // The answer is lost after the write took effect.
        applyWrite(bench.m_store, bench.m_unsent[0], 0);
        const StoreOutcome unknown{bench.m_unsent[0].m_mark, StoreWriteResult::Unknown, 0};
        carryOut(bench, storeAnswered(bench.m_accept, unknown, bench.m_time, bench.m_random));
        CPPUNIT_ASSERT_EQUAL(size_t(1), bench.m_accepted.size());
        CPPUNIT_ASSERT_EQUAL(size_t(1), itemsWithPrefix(bench.m_store, groupPrefix()).size());
    }

    // Guards against a group that is stored twice: it is written, and the sequence key ends, between the two reads of a
    // read-back. With the mark read first, its absence would be older than the change of the compare.
    void markIsReadAfterTheCompares()
    {
        BatchBench bench;
        bench.m_hold = true;
        submit(bench, makeJob(1));
        const StoreWrite write = bench.m_unsent.at(0);
        const StoreOutcome unknown{write.m_mark, StoreWriteResult::Unknown, 0};
        const AcceptActions actions = storeAnswered(bench.m_accept, unknown, bench.m_time, bench.m_random);
        StoreRange range;
        range.m_tag = actions.m_store.m_reads.at(0).m_tag;
        range.m_answered = true;
        for (const std::string &key : actions.m_store.m_reads[0].m_keys) {
            StoreRead read;
            read.m_keys = {key};
            for (const StoreItem &item : readStore(bench.m_store, read).m_items) {
                range.m_items.push_back(item);
            }
            // The first copy arrives after the first read; another write changes the sequence key.
            applyWrite(bench.m_store, write, 0);
            bench.m_store.m_keys[bench.m_accept.m_sequenceKey].m_modRevision = 9'999;
        }
        carryOut(bench, rangeAnswered(bench.m_accept, range, bench.m_time, bench.m_random));
        CPPUNIT_ASSERT_EQUAL(size_t(1), bench.m_accepted.size());
    }

    // Guards against one store write for every job under load.
    void jobsAreGrouped()
    {
        BatchBench bench;
        for (uint64_t i = 0; i < 1 + 2 * MaxJobsPerGroup; ++i) {
            submit(bench, makeJob(i));
        }
        for (int i = 0; i < 3; ++i) {
            advance(bench, BatchWriteSpacing);
        }
        CPPUNIT_ASSERT_EQUAL(uint64_t(3), bench.m_accept.m_writes);
        CPPUNIT_ASSERT_EQUAL(1 + 2 * MaxJobsPerGroup, bench.m_accepted.size());
    }

    // Guards against a group that is larger than a value of the store may be.
    void largeJobsAreSplitByBytes()
    {
        BatchBench bench;
        BatchJob job = makeJob(1);
        job.m_input.assign(400'000, 'x');
        for (int i = 0; i < 4; ++i) {
            submit(bench, job);
        }
        for (int i = 0; i < 4; ++i) {
            advance(bench, BatchWriteSpacing);
        }
        CPPUNIT_ASSERT_EQUAL(size_t(4), bench.m_accepted.size());
        for (const StoreItem &item : itemsWithPrefix(bench.m_store, groupPrefix())) {
            CPPUNIT_ASSERT(item.m_value.size() < 1'000'000);
        }
        job.m_input.assign(2'000'000, 'x');
        submit(bench, job);
        CPPUNIT_ASSERT(bench.m_refused.back().m_reason == Reason::BodyTooLarge);
    }

    // Guards against one organisation, or all of them together, that fills the store.
    void quotaAndStoreBoundRefuse()
    {
        BatchBench bench;
        submit(bench, makeJob(1), 2);
        submit(bench, makeJob(2), 2);
        submit(bench, makeJob(3), 2);
        CPPUNIT_ASSERT(bench.m_refused.back().m_reason == Reason::QuotaExceeded);
        BatchJob other = makeJob(4);
        other.m_organisation = "other";
        submit(bench, other, 2);
        CPPUNIT_ASSERT_EQUAL(size_t(1), bench.m_refused.size());
        bench.m_accept.m_maxBytes = bench.m_accept.m_usage.m_bytes;
        submit(bench, other, 2);
        CPPUNIT_ASSERT(bench.m_refused.back().m_reason == Reason::BatchStoreFull);
        // Usage is read from the store, so that other entries' jobs count.
        advance(bench, BatchWriteSpacing);
        BatchUsage usage;
        for (const StoreItem &item : itemsWithPrefix(bench.m_store, "batch/")) {
            addUsage(usage, item);
        }
        CPPUNIT_ASSERT_EQUAL(int64_t(2), usage.m_jobs["shop"]);
        CPPUNIT_ASSERT_EQUAL(int64_t(1), usage.m_jobs["other"]);
        refreshUsage(bench.m_accept, usage);
        CPPUNIT_ASSERT_EQUAL(int64_t(2), bench.m_accept.m_usage.m_jobs["shop"]);
    }

    // Guards against "not run" for a job whose write may still take effect, and against callers that wait for ever.
    void outageRefusesWhatWasNotSent()
    {
        BatchBench bench;
        bench.m_hold = true;
        const uint64_t sent = submit(bench, makeJob(1));
        const uint64_t waiting = submit(bench, makeJob(2));
        advance(bench, BatchAcceptPatience);
        const JobRefused expected{waiting, Reason::StoreUnavailable};
        CPPUNIT_ASSERT(bench.m_refused == std::vector{expected});
        submit(bench, makeJob(3));
        CPPUNIT_ASSERT_EQUAL(size_t(2), bench.m_refused.size());
        const StoreOutcome outcome = applyWrite(bench.m_store, bench.m_unsent[0], 0);
        carryOut(bench, storeAnswered(bench.m_accept, outcome, bench.m_time, bench.m_random));
        CPPUNIT_ASSERT_EQUAL(sent, bench.m_accepted[0].m_ticket);
    }

    // Guards against jobs that are lost or refused because the entry's lease ended.
    void lostLeaseMovesJobsToAnotherGroup()
    {
        BatchBench bench;
        submit(bench, makeJob(1));
        expireLease(bench.m_store, 0);
        advance(bench, BatchWriteSpacing);
        submit(bench, makeJob(2));
        advance(bench, BatchWriteSpacing);
        CPPUNIT_ASSERT_EQUAL(size_t(2), bench.m_accepted.size());
        CPPUNIT_ASSERT_EQUAL(size_t(2), itemsWithPrefix(bench.m_store, groupPrefix()).size());
    }

    // Guards against jobs that run a second time because a repeated group write arrives after the group was deleted.
    void lateCopyCannotBringAGroupBack()
    {
        BatchBench bench;
        submit(bench, makeJob(1));
        const std::vector<StoreItem> groups = itemsWithPrefix(bench.m_store, groupPrefix());
        const StoreWrite late = bench.m_accept.m_write.m_write;
        const Identifier group = bench.m_accepted[0].m_id.m_group;
        for (const StoreWrite &write : deleteGroup(group, groups[0].m_modRevision, {}, bench.m_time, bench.m_random)) {
            CPPUNIT_ASSERT(applyWrite(bench.m_store, write, 0).m_result == StoreWriteResult::Applied);
        }
        CPPUNIT_ASSERT(applyWrite(bench.m_store, late, 0).m_result == StoreWriteResult::NotApplied);
    }

    // Guards against a runner that was paused past its lease and writes next to its successor.
    void fencedRunnerCannotWrite()
    {
        BatchBench paused = runningGroup(3);
        startJobs(paused.m_runner, 3);
        BatchBench successor = takeOver(paused);
        startJobs(successor.m_runner, 3);
        for (int64_t i = 0; i < 3; ++i) {
            finish(successor, i, "second");
        }
        CPPUNIT_ASSERT(successor.m_runner.m_phase == RunnerPhase::Finished);
        paused.m_store = successor.m_store;
        for (int64_t i = 0; i < 3; ++i) {
            finish(paused, i, "first");
        }
        CPPUNIT_ASSERT(paused.m_ended);
        CPPUNIT_ASSERT(paused.m_runner.m_phase == RunnerPhase::Lost);
        CPPUNIT_ASSERT(paused.m_store.m_keys.size() == successor.m_store.m_keys.size());
    }

    // Guards against cost for stages that are run again after the death of a runner.
    void takeoverSkipsFinishedStages()
    {
        BatchBench bench = runningGroup(3);
        startJobs(bench.m_runner, 2);
        carryOut(bench, stageFinished(bench.m_runner, 0, 0, "vector", bench.m_time, bench.m_random));
        finish(bench, 1, "done");
        advance(bench, ProgressDelay);
        BatchBench successor = takeOver(bench);
        const std::vector<StartJob> started = startJobs(successor.m_runner, 10);
        const std::vector<StartJob> expected = {{0, 1}, {2, 0}};
        CPPUNIT_ASSERT(started == expected);
        CPPUNIT_ASSERT_EQUAL(std::string("vector"), successor.m_runner.m_progress[0].m_stages[0]);
    }

    // Guards against a late or duplicate result that replaces the first one.
    void repeatedResultIsDropped()
    {
        BatchBench bench = runningGroup(2);
        startJobs(bench.m_runner, 2);
        carryOut(bench, stageFinished(bench.m_runner, 0, 0, "a", bench.m_time, bench.m_random));
        carryOut(bench, stageFinished(bench.m_runner, 0, 0, "b", bench.m_time, bench.m_random));
        CPPUNIT_ASSERT_EQUAL(size_t(1), bench.m_runner.m_progress[0].m_stages.size());
        finish(bench, 0, "first");
        finish(bench, 0, "second");
        CPPUNIT_ASSERT_EQUAL(std::string("first"), bench.m_runner.m_progress[0].m_result->m_output);
        CPPUNIT_ASSERT_EQUAL(size_t(1), bench.m_runner.m_ended);
        // The first result stays also when two chunks hold one.
        std::vector<JobProgress> jobs(1);
        ProgressEntry entry;
        entry.m_kind = ProgressEntry::Kind::Result;
        entry.m_output = "first";
        applyProgress(jobs, {entry});
        entry.m_output = "second";
        applyProgress(jobs, {entry});
        CPPUNIT_ASSERT_EQUAL(std::string("first"), jobs[0].m_result->m_output);
    }

    // Guards against results that are lost, or held without bound, while the store is down.
    void outageKeepsProgressForLater()
    {
        BatchBench bench = runningGroup(100);
        startJobs(bench.m_runner, 90);
        bench.m_hold = true;
        for (int64_t i = 0; i < 90; ++i) {
            finish(bench, i, std::string(100'000, 'x'));
        }
        CPPUNIT_ASSERT_EQUAL(size_t(1), bench.m_unsent.size());
        CPPUNIT_ASSERT(startJobs(bench.m_runner, 10).empty());
        bench.m_hold = false;
        const StoreOutcome outcome = applyWrite(bench.m_store, bench.m_unsent[0], 1);
        carryOut(bench, storeAnswered(bench.m_runner, outcome, bench.m_time, bench.m_random));
        advance(bench, ProgressDelay);
        CPPUNIT_ASSERT_EQUAL(size_t(10), startJobs(bench.m_runner, 10).size());
        BatchBench successor = takeOver(bench);
        CPPUNIT_ASSERT_EQUAL(size_t(90), successor.m_runner.m_ended);
    }

    // Guards against a non-idempotent stage that runs twice because a successor uses another claim key.
    void claimKeyIsDurableAndStable()
    {
        BatchBench bench = runningGroup(120);
        startJobs(bench.m_runner, 2);
        advance(bench, BatchWriteSpacing);
        bench.m_hold = true;
        carryOut(bench, requestClaimKey(bench.m_runner, 0, 1, bench.m_time, bench.m_random));
        CPPUNIT_ASSERT(bench.m_keys.empty());
        const StoreOutcome outcome = applyWrite(bench.m_store, bench.m_unsent.at(0), 1);
        carryOut(bench, storeAnswered(bench.m_runner, outcome, bench.m_time, bench.m_random));
        CPPUNIT_ASSERT_EQUAL(size_t(1), bench.m_keys.size());
        // The next jobs' keys were written along.
        carryOut(bench, requestClaimKey(bench.m_runner, 1, 1, bench.m_time, bench.m_random));
        CPPUNIT_ASSERT_EQUAL(size_t(2), bench.m_keys.size());
        CPPUNIT_ASSERT(bench.m_keys[0].m_key != bench.m_keys[1].m_key);
        BatchBench successor = takeOver(bench);
        successor.m_time.m_wall += 3'600'000;
        carryOut(successor, requestClaimKey(successor.m_runner, 0, 1, successor.m_time, successor.m_random));
        CPPUNIT_ASSERT(successor.m_keys.at(0).m_key == bench.m_keys[0].m_key);
    }

    // Guards against a claim key that is older than the window before it is used for the first time.
    void unusedClaimKeyIsRenewed()
    {
        BatchBench bench = runningGroup(10);
        startJobs(bench.m_runner, 10);
        advance(bench, BatchWriteSpacing);
        carryOut(bench, requestClaimKey(bench.m_runner, 0, 1, bench.m_time, bench.m_random));
        const Identifier used = bench.m_keys.at(0).m_key;
        advance(bench, ClaimKeyLifetime);
        carryOut(bench, requestClaimKey(bench.m_runner, 0, 1, bench.m_time, bench.m_random));
        CPPUNIT_ASSERT(bench.m_keys.at(1).m_key == used);
        carryOut(bench, requestClaimKey(bench.m_runner, 5, 1, bench.m_time, bench.m_random));
        CPPUNIT_ASSERT(identifierMilliseconds(bench.m_keys.at(2).m_key) == bench.m_time.m_wall);
    }

    // Guards against nodes that load every finished group again until it is fetched.
    void finishedGroupIsNotTakenAgain()
    {
        BatchBench bench = runningGroup(2);
        startJobs(bench.m_runner, 2);
        finish(bench, 0, "a");
        finish(bench, 1, "b");
        CPPUNIT_ASSERT(bench.m_runner.m_phase == RunnerPhase::Finished);
        expireLease(bench.m_store, 1);
        const std::vector<StoreItem> groups = itemsWithPrefix(bench.m_store, groupPrefix());
        const std::vector<Identifier> open = groupsToTake(groups, itemsWithPrefix(bench.m_store, groupOwnerPrefix()));
        CPPUNIT_ASSERT_EQUAL(groups.size() - 1, open.size());
        CPPUNIT_ASSERT(open[0] != bench.m_runner.m_group);
    }

    // Guards against a graceful shutdown that leaves a group waiting for the end of the lease.
    void releasedGroupCanBeTaken()
    {
        BatchBench bench = runningGroup(2);
        startJobs(bench.m_runner, 1);
        finish(bench, 0, "a");
        carryOut(bench, releaseGroup(bench.m_runner, bench.m_time, bench.m_random));
        CPPUNIT_ASSERT(bench.m_runner.m_phase == RunnerPhase::Released);
        CPPUNIT_ASSERT_EQUAL(int64_t(0), modRevision(bench.m_store, groupOwnerKey(bench.m_runner.m_group)));
        BatchBench successor = takeOver(bench);
        CPPUNIT_ASSERT_EQUAL(size_t(1), startJobs(successor.m_runner, 10).size());
    }

    // Guards against results that go before their caller came, and results that stay for ever.
    void resultsStayUntilFetchedOrExpired()
    {
        FetchTracker tracker;
        Random random{1};
        const Identifier group = makeMark({TimePoint{}, BatchWall}, random);
        CPPUNIT_ASSERT(!resultFetched(tracker, {group, 0}, 2));
        CPPUNIT_ASSERT(!resultFetched(tracker, {group, 0}, 2));
        CPPUNIT_ASSERT(resultFetched(tracker, {group, 1}, 2));
        CPPUNIT_ASSERT(!isGroupExpired(group, BatchWall + ResultLifetime.count() - 1));
        CPPUNIT_ASSERT(isGroupExpired(group, BatchWall + ResultLifetime.count()));
        CPPUNIT_ASSERT(viewJob({group, 0}, std::nullopt, {}).status().code() == absl::StatusCode::kNotFound);
        CPPUNIT_ASSERT(parseJobId(toString(JobId{group, 17})) == (JobId{group, 17}));
        CPPUNIT_ASSERT(!parseJobId(toString(JobId{group, 17}) + "x"));
        CPPUNIT_ASSERT(!parseJobId(toString(group) + ".200"));
        CPPUNIT_ASSERT(!parseJobId(toString(group)));
    }

    // Guards against a damaged value that crashes the process, and against a group that is dropped silently.
    void malformedValuesAreErrors()
    {
        const std::string group = encodeGroup({makeJob(1), makeJob(2)});
        for (size_t length = 0; length < group.size(); ++length) {
            CPPUNIT_ASSERT(!decodeGroup(group.substr(0, length)).ok());
        }
        ProgressEntry entry;
        entry.m_output = "x";
        const std::string progress = encodeProgress({entry, entry});
        for (size_t length = 0; length < progress.size(); ++length) {
            CPPUNIT_ASSERT(!decodeProgress(progress.substr(0, length)).ok());
        }
        entry.m_job = static_cast<int64_t>(MaxJobsPerGroup);
        CPPUNIT_ASSERT(!decodeProgress(encodeProgress({entry})).ok());
        BatchBench bench;
        submit(bench, makeJob(1));
        const Identifier id = bench.m_accepted[0].m_id.m_group;
        bench.m_store.m_keys[groupKey(id)].m_value.resize(45);
        const RunnerActions taken = takeGroup(bench.m_runner, id, "a", bench.m_time, bench.m_random);
        carryOut(bench, taken);
        CPPUNIT_ASSERT(bench.m_runner.m_phase == RunnerPhase::Lost);
        CPPUNIT_ASSERT(modRevision(bench.m_store, groupKey(id)) != 0);
    }

    // Guards against any order of store answers, lease ends and deaths (up to two departures from the default order
    // within the first steps) that loses an accepted job, doubles a result or runs a finished stage again.
    void allSchedulesOfTwoNodes()
    {
        constexpr int Steps = 22;
        Explorer explorer;
        int schedules = 0;
        do {
            const std::string wrong = runBatchSchedule(explorer, 2, 2, Steps, 2);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describeSchedule(explorer), std::string(), wrong);
            ++schedules;
        } while (nextSchedule(explorer));
        // Fewer schedules mean that the world no longer offers its faults.
        CPPUNIT_ASSERT(schedules > 5'000);
    }

    // Guards against the same with three nodes, more jobs and more faults in one schedule.
    void randomSchedulesOfThreeNodes()
    {
        constexpr int Steps = 80;
        for (uint64_t seed = 1; seed <= 3'000; ++seed) {
            Explorer explorer;
            explorer.m_maxDeviations = 20;
            beginRandomSchedule(explorer, seed);
            const std::string wrong = runBatchSchedule(explorer, 3, 4, Steps, 8);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed) + describeSchedule(explorer), std::string(), wrong);
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(BatchTest, "batch");
