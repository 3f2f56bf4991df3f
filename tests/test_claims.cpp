#include <cppunit/extensions/HelperMacros.h>

#include "claim_world.h"

using namespace Medlarramp;
using namespace Medlarramp::Testing;

namespace {

/** One owner on node 0 and the store, driven by hand. */
struct OwnerBench {
    MemoryStore m_store;
    ClaimOwner m_owner = makeClaimOwner(0, "a", "127.0.0.1:9001");
    DurableTime m_time{TimePoint(seconds(100)), WorldWall};
    Random m_random{3};
    int m_node = 0;
    std::vector<AddressedClaimAnswer> m_answers;
    std::vector<AddressedReportAck> m_acks;
    std::vector<StoreWrite> m_unsent; ///< writes held back while m_hold is set
    bool m_hold = false;
    bool m_steppedDown = false;
};

void carryOut(OwnerBench &bench, const OwnerActions &actions)
{
    bench.m_answers.insert(bench.m_answers.end(), actions.m_answers.begin(), actions.m_answers.end());
    bench.m_acks.insert(bench.m_acks.end(), actions.m_acks.begin(), actions.m_acks.end());
    bench.m_steppedDown = bench.m_steppedDown || actions.m_steppedDown;
    for (const StoreWrite &write : actions.m_store.m_writes) {
        if (bench.m_hold) {
            bench.m_unsent.push_back(write);
            continue;
        }
        const StoreOutcome outcome = applyWrite(bench.m_store, write, bench.m_node);
        carryOut(bench, storeAnswered(bench.m_owner, outcome, bench.m_time, bench.m_random));
    }
    for (const StoreRead &read : actions.m_store.m_reads) {
        carryOut(bench, rangeAnswered(bench.m_owner, readStore(bench.m_store, read), bench.m_time, bench.m_random));
    }
}

void observe(OwnerBench &bench)
{
    const std::optional<StoreItem> current = readItem(bench.m_store, ownerKey(0));
    carryOut(bench, ownerObserved(bench.m_owner, current, true, bench.m_time, bench.m_random));
}

void advance(OwnerBench &bench, milliseconds by)
{
    bench.m_time.m_now += by;
    bench.m_time.m_wall += by.count();
    carryOut(bench, ownerTimer(bench.m_owner, bench.m_time, bench.m_random));
}

Identifier keyAt(int64_t wall, uint64_t number)
{
    Random random{number};
    return makeMark({TimePoint{}, wall}, random);
}

ClaimRequest makeRequest(const Identifier &key, uint64_t call)
{
    return {key, Identifier{1, call}, Identifier{2, call}, 42, 1'000};
}

ClaimStatus claim(OwnerBench &bench, const ClaimRequest &request)
{
    bench.m_answers.clear();
    carryOut(bench, receiveClaim(bench.m_owner, request, bench.m_time, bench.m_random));
    if (bench.m_answers.empty()) {
        advance(bench, ClaimFlushSpacing);
    }
    CPPUNIT_ASSERT_EQUAL(size_t(1), bench.m_answers.size());
    CPPUNIT_ASSERT(bench.m_answers[0].m_answer.m_call == request.m_call);
    return bench.m_answers[0].m_answer.m_status;
}

void report(OwnerBench &bench, const ClaimRequest &request, ClaimReportKind kind, const std::string &answer)
{
    const bool kept = answer.size() <= MaxKeptAnswerBytes;
    const ClaimReport message{request.m_key, request.m_call, kind, kept, kept ? answer : ""};
    carryOut(bench, receiveReport(bench.m_owner, message, bench.m_time, bench.m_random));
}

OwnerBench servingOwner()
{
    OwnerBench bench;
    observe(bench);
    CPPUNIT_ASSERT(bench.m_owner.m_phase == OwnerPhase::Serving);
    return bench;
}

/** A second owner that takes the partition from the same store. */
OwnerBench takeOver(OwnerBench &from)
{
    OwnerBench bench;
    expireLease(from.m_store, from.m_node);
    bench.m_store = from.m_store;
    bench.m_owner = makeClaimOwner(0, "b", "127.0.0.1:9002");
    bench.m_node = 1;
    bench.m_time = from.m_time;
    observe(bench);
    CPPUNIT_ASSERT(bench.m_owner.m_phase == OwnerPhase::Serving);
    return bench;
}

} // namespace

class ClaimsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimsTest);
    CPPUNIT_TEST(grantComesAfterCommit);
    CPPUNIT_TEST(pausedOwnerCannotCommit);
    CPPUNIT_TEST(lostStoreAnswerIsReadBack);
    CPPUNIT_TEST(lateCopyOfAWriteChangesNothing);
    CPPUNIT_TEST(lostGrantIsRepeatedToTheSameCall);
    CPPUNIT_TEST(repeatElsewhereGetsTheStoredAnswer);
    CPPUNIT_TEST(longAnswerIsNotKept);
    CPPUNIT_TEST(oldAnswersMakeRoomForNewOnes);
    CPPUNIT_TEST(otherBodyIsRefused);
    CPPUNIT_TEST(deadHolderMeansUnknown);
    CPPUNIT_TEST(releasedKeyIsGrantedAgain);
    CPPUNIT_TEST(releaseBeforeItsClaimIsRemembered);
    CPPUNIT_TEST(releaseDuringTheCommitPreventsTheGrant);
    CPPUNIT_TEST(takeoverKnowsEveryClaim);
    CPPUNIT_TEST(storeOutageRefusesNewClaims);
    CPPUNIT_TEST(lateKeyIsNeverGranted);
    CPPUNIT_TEST(watermarkSurvivesTheOwner);
    CPPUNIT_TEST(clockAheadDoesNotExpireFreshKeys);
    CPPUNIT_TEST(keyFarAheadIsRefused);
    CPPUNIT_TEST(malformedSegmentStopsTakeover);
    CPPUNIT_TEST(malformedBytesAreErrors);
    CPPUNIT_TEST(messagesSurviveEncoding);
    CPPUNIT_TEST(lateGrantIsReleased);
    CPPUNIT_TEST(holderWaitsForTheOtherCall);
    CPPUNIT_TEST(leavingOwnerGivesThePartitionBack);
    CPPUNIT_TEST(ownerKeyThatArrivesLateIsDeleted);
    CPPUNIT_TEST(leaseIsGivenUpBeforeTheStoreEndsIt);
    CPPUNIT_TEST(allSchedulesOfTwoNodes);
    CPPUNIT_TEST(randomSchedulesOfThreeNodes);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a grant for a claim that a crash of the owner would forget.
    void grantComesAfterCommit()
    {
        OwnerBench bench = servingOwner();
        bench.m_hold = true;
        const ClaimRequest request = makeRequest(keyAt(WorldWall, 1), 1);
        carryOut(bench, receiveClaim(bench.m_owner, request, bench.m_time, bench.m_random));
        CPPUNIT_ASSERT_EQUAL(size_t(1), bench.m_unsent.size());
        CPPUNIT_ASSERT(bench.m_answers.empty());
        const StoreOutcome outcome = applyWrite(bench.m_store, bench.m_unsent[0], 0);
        carryOut(bench, storeAnswered(bench.m_owner, outcome, bench.m_time, bench.m_random));
        CPPUNIT_ASSERT(bench.m_answers[0].m_answer.m_status == ClaimStatus::Granted);
    }

    // Guards against an owner that was paused past its lease, wakes, and commits next to its successor.
    void pausedOwnerCannotCommit()
    {
        OwnerBench paused = servingOwner();
        OwnerBench successor = takeOver(paused);
        const ClaimRequest first = makeRequest(keyAt(WorldWall, 1), 1);
        CPPUNIT_ASSERT(claim(successor, first) == ClaimStatus::Granted);
        paused.m_store = successor.m_store;
        const ClaimRequest second = makeRequest(first.m_key, 2);
        CPPUNIT_ASSERT(claim(paused, second) == ClaimStatus::NotOwner);
        CPPUNIT_ASSERT(paused.m_steppedDown);
        CPPUNIT_ASSERT(paused.m_owner.m_phase == OwnerPhase::Standby);
    }

    // Guards against a claim counted as lost (or granted twice) when only the answer of the store was lost.
    void lostStoreAnswerIsReadBack()
    {
        OwnerBench bench = servingOwner();
        bench.m_hold = true;
        const ClaimRequest request = makeRequest(keyAt(WorldWall, 1), 1);
        carryOut(bench, receiveClaim(bench.m_owner, request, bench.m_time, bench.m_random));
        applyWrite(bench.m_store, bench.m_unsent[0], 0);
        const int64_t applied = bench.m_store.m_applied;
        const StoreOutcome unknown{bench.m_unsent[0].m_mark, StoreWriteResult::Unknown, 0};
        carryOut(bench, storeAnswered(bench.m_owner, unknown, bench.m_time, bench.m_random));
        CPPUNIT_ASSERT(bench.m_answers[0].m_answer.m_status == ClaimStatus::Granted);
        CPPUNIT_ASSERT_EQUAL(applied, bench.m_store.m_applied);
    }

    // Guards against a request that is given up, sent again, and then arrives late as well.
    void lateCopyOfAWriteChangesNothing()
    {
        OwnerBench bench = servingOwner();
        bench.m_hold = true;
        const ClaimRequest request = makeRequest(keyAt(WorldWall, 1), 1);
        carryOut(bench, receiveClaim(bench.m_owner, request, bench.m_time, bench.m_random));
        const StoreWrite late = bench.m_unsent[0];
        bench.m_hold = false;
        carryOut(bench, storeAnswered(bench.m_owner, {late.m_mark, StoreWriteResult::Unknown, 0}, bench.m_time, bench.m_random));
        CPPUNIT_ASSERT(bench.m_answers.empty());
        advance(bench, StoreRetryLimit * 2);
        CPPUNIT_ASSERT(bench.m_answers[0].m_answer.m_status == ClaimStatus::Granted);
        CPPUNIT_ASSERT(applyWrite(bench.m_store, late, 0).m_result == StoreWriteResult::NotApplied);
    }

    // Guards against a holder that waits for its own claim after the grant was lost.
    void lostGrantIsRepeatedToTheSameCall()
    {
        OwnerBench bench = servingOwner();
        const ClaimRequest request = makeRequest(keyAt(WorldWall, 1), 1);
        CPPUNIT_ASSERT(claim(bench, request) == ClaimStatus::Granted);
        CPPUNIT_ASSERT(claim(bench, request) == ClaimStatus::Granted);
        CPPUNIT_ASSERT(claim(bench, makeRequest(request.m_key, 2)) == ClaimStatus::InProgress);
    }

    // Guards against a second run for a caller that repeats its request at another entry.
    void repeatElsewhereGetsTheStoredAnswer()
    {
        OwnerBench bench = servingOwner();
        const ClaimRequest request = makeRequest(keyAt(WorldWall, 1), 1);
        CPPUNIT_ASSERT(claim(bench, request) == ClaimStatus::Granted);
        report(bench, request, ClaimReportKind::Result, "paid");
        CPPUNIT_ASSERT(claim(bench, makeRequest(request.m_key, 2)) == ClaimStatus::Done);
        CPPUNIT_ASSERT_EQUAL(std::string("paid"), bench.m_answers[0].m_answer.m_answer);
        CPPUNIT_ASSERT(bench.m_acks.empty());
        advance(bench, ResultFlushDelay);
        CPPUNIT_ASSERT_EQUAL(size_t(1), bench.m_acks.size());
    }

    // Guards against an answer that is cut at the limit and presented as complete.
    void longAnswerIsNotKept()
    {
        OwnerBench bench = servingOwner();
        const ClaimRequest request = makeRequest(keyAt(WorldWall, 1), 1);
        CPPUNIT_ASSERT(claim(bench, request) == ClaimStatus::Granted);
        report(bench, request, ClaimReportKind::Result, std::string(MaxKeptAnswerBytes + 1, 'x'));
        CPPUNIT_ASSERT(claim(bench, makeRequest(request.m_key, 2)) == ClaimStatus::DoneNotKept);
    }

    // Guards against a table whose answers use up the memory of the node, and against new answers that are not kept.
    void oldAnswersMakeRoomForNewOnes()
    {
        OwnerBench bench = servingOwner();
        const uint64_t count = MaxAnswerBytesInTable / MaxKeptAnswerBytes + 10;
        const std::string answer(MaxKeptAnswerBytes, 'x');
        for (uint64_t i = 1; i <= count; ++i) {
            const ClaimRequest request = makeRequest(keyAt(WorldWall, i), i);
            CPPUNIT_ASSERT(claim(bench, request) == ClaimStatus::Granted);
            report(bench, request, ClaimReportKind::Result, answer);
            CPPUNIT_ASSERT(bench.m_owner.m_answerBytes <= MaxAnswerBytesInTable);
        }
        CPPUNIT_ASSERT(claim(bench, makeRequest(keyAt(WorldWall, 1), count + 1)) == ClaimStatus::DoneNotKept);
        CPPUNIT_ASSERT(claim(bench, makeRequest(keyAt(WorldWall, count), count + 2)) == ClaimStatus::Done);
    }

    // Guards against the answer of one request given to another that reuses its key.
    void otherBodyIsRefused()
    {
        OwnerBench bench = servingOwner();
        ClaimRequest request = makeRequest(keyAt(WorldWall, 1), 1);
        CPPUNIT_ASSERT(claim(bench, request) == ClaimStatus::Granted);
        request.m_call = Identifier{1, 2};
        request.m_bodyHash = 43;
        CPPUNIT_ASSERT(claim(bench, request) == ClaimStatus::Mismatch);
    }

    // Guards against a second run after the death of a holder that may have run the stage.
    void deadHolderMeansUnknown()
    {
        OwnerBench bench = servingOwner();
        const ClaimRequest request = makeRequest(keyAt(WorldWall, 1), 1);
        CPPUNIT_ASSERT(claim(bench, request) == ClaimStatus::Granted);
        CPPUNIT_ASSERT(holdersInProgress(bench.m_owner).contains(request.m_holder));
        holderGone(bench.m_owner, request.m_holder, bench.m_time, bench.m_random);
        CPPUNIT_ASSERT(claim(bench, makeRequest(request.m_key, 2)) == ClaimStatus::Unknown);
        // A holder that was only thought to be dead still reports its result.
        report(bench, request, ClaimReportKind::Result, "paid");
        CPPUNIT_ASSERT(claim(bench, makeRequest(request.m_key, 3)) == ClaimStatus::Done);
    }

    // Guards against a key that is blocked although its stage certainly did not run.
    void releasedKeyIsGrantedAgain()
    {
        OwnerBench bench = servingOwner();
        const ClaimRequest first = makeRequest(keyAt(WorldWall, 1), 1);
        CPPUNIT_ASSERT(claim(bench, first) == ClaimStatus::Granted);
        report(bench, first, ClaimReportKind::Released, "");
        CPPUNIT_ASSERT(claim(bench, first) == ClaimStatus::Released);
        const ClaimRequest second = makeRequest(first.m_key, 2);
        CPPUNIT_ASSERT(claim(bench, second) == ClaimStatus::Granted);
        // The release that is repeated must not free the claim of the second call.
        report(bench, first, ClaimReportKind::Released, "");
        CPPUNIT_ASSERT(claim(bench, makeRequest(first.m_key, 3)) == ClaimStatus::InProgress);
        OwnerBench successor = takeOver(bench);
        CPPUNIT_ASSERT(claim(successor, makeRequest(first.m_key, 3)) == ClaimStatus::InProgress);
    }

    // Guards against a claim that overtakes nothing but its own release and then blocks the key.
    void releaseBeforeItsClaimIsRemembered()
    {
        OwnerBench bench = servingOwner();
        const ClaimRequest first = makeRequest(keyAt(WorldWall, 1), 1);
        report(bench, first, ClaimReportKind::Released, "");
        CPPUNIT_ASSERT(claim(bench, first) == ClaimStatus::Released);
        CPPUNIT_ASSERT(claim(bench, makeRequest(first.m_key, 2)) == ClaimStatus::Granted);
    }

    // Guards against a key that stays blocked because its release arrived while its claim was being committed.
    void releaseDuringTheCommitPreventsTheGrant()
    {
        OwnerBench bench = servingOwner();
        bench.m_hold = true;
        const ClaimRequest first = makeRequest(keyAt(WorldWall, 1), 1);
        carryOut(bench, receiveClaim(bench.m_owner, first, bench.m_time, bench.m_random));
        report(bench, first, ClaimReportKind::Released, "");
        bench.m_hold = false;
        const StoreOutcome outcome = applyWrite(bench.m_store, bench.m_unsent.at(0), 0);
        carryOut(bench, storeAnswered(bench.m_owner, outcome, bench.m_time, bench.m_random));
        CPPUNIT_ASSERT(bench.m_answers.empty());
        CPPUNIT_ASSERT(claim(bench, makeRequest(first.m_key, 2)) == ClaimStatus::Granted);
    }

    // Guards against claims that a successor does not know, across more segments than one page holds.
    void takeoverKnowsEveryClaim()
    {
        OwnerBench bench = servingOwner();
        const uint64_t count = TakeoverPageSegments * 2 + 10;
        for (uint64_t i = 1; i <= count; ++i) {
            const ClaimRequest request = makeRequest(keyAt(WorldWall, i), i);
            CPPUNIT_ASSERT(claim(bench, request) == ClaimStatus::Granted);
            report(bench, request, ClaimReportKind::Result, "paid");
        }
        advance(bench, ResultFlushDelay);
        OwnerBench successor = takeOver(bench);
        for (uint64_t i = 1; i <= count; ++i) {
            CPPUNIT_ASSERT(claim(successor, makeRequest(keyAt(WorldWall, i), count + i)) == ClaimStatus::Done);
        }
    }

    // Guards against callers that wait for a store that is down, and against claims refused after they were sent.
    void storeOutageRefusesNewClaims()
    {
        OwnerBench bench = servingOwner();
        bench.m_hold = true;
        const ClaimRequest sent = makeRequest(keyAt(WorldWall, 1), 1);
        const ClaimRequest queued = makeRequest(keyAt(WorldWall, 2), 2);
        carryOut(bench, receiveClaim(bench.m_owner, sent, bench.m_time, bench.m_random));
        carryOut(bench, receiveClaim(bench.m_owner, queued, bench.m_time, bench.m_random));
        advance(bench, ClaimCommitPatience);
        CPPUNIT_ASSERT_EQUAL(size_t(1), bench.m_answers.size());
        CPPUNIT_ASSERT(bench.m_answers[0].m_answer.m_call == queued.m_call);
        CPPUNIT_ASSERT(bench.m_answers[0].m_answer.m_reason == Reason::StoreUnavailable);
        CPPUNIT_ASSERT(claim(bench, makeRequest(keyAt(WorldWall, 3), 3)) == ClaimStatus::Refused);
        // The store is back: the claim that was sent is granted, and the refused key may be used.
        bench.m_hold = false;
        bench.m_answers.clear();
        const StoreOutcome outcome = applyWrite(bench.m_store, bench.m_unsent[0], 0);
        carryOut(bench, storeAnswered(bench.m_owner, outcome, bench.m_time, bench.m_random));
        CPPUNIT_ASSERT(bench.m_answers[0].m_answer.m_status == ClaimStatus::Granted);
        CPPUNIT_ASSERT(claim(bench, makeRequest(queued.m_key, 4)) == ClaimStatus::Granted);
    }

    // Guards against a key that is granted again after its record was discarded.
    void lateKeyIsNeverGranted()
    {
        OwnerBench bench = servingOwner();
        const ClaimRequest old = makeRequest(keyAt(WorldWall, 1), 1);
        CPPUNIT_ASSERT(claim(bench, old) == ClaimStatus::Granted);
        report(bench, old, ClaimReportKind::Result, "paid");
        advance(bench, ResultFlushDelay);
        advance(bench, ClaimWindow + milliseconds(60'000));
        CPPUNIT_ASSERT(claim(bench, makeRequest(keyAt(bench.m_time.m_wall, 2), 2)) == ClaimStatus::Granted);
        advance(bench, WatermarkSpacing);
        CPPUNIT_ASSERT(!bench.m_owner.m_table.contains(old.m_key));
        CPPUNIT_ASSERT_EQUAL(size_t(1), itemsWithPrefix(bench.m_store, segmentPrefix(0)).size());
        CPPUNIT_ASSERT(claim(bench, makeRequest(old.m_key, 3)) == ClaimStatus::Expired);
        CPPUNIT_ASSERT(claim(bench, makeRequest(keyAt(WorldWall + 1'000, 9), 4)) == ClaimStatus::Expired);
    }

    // Guards against a watermark that is lost with the owner's lease, after the segments below it were deleted.
    void watermarkSurvivesTheOwner()
    {
        OwnerBench bench = servingOwner();
        const ClaimRequest old = makeRequest(keyAt(WorldWall, 1), 1);
        CPPUNIT_ASSERT(claim(bench, old) == ClaimStatus::Granted);
        advance(bench, ClaimWindow + milliseconds(60'000));
        CPPUNIT_ASSERT(claim(bench, makeRequest(keyAt(bench.m_time.m_wall, 2), 2)) == ClaimStatus::Granted);
        advance(bench, WatermarkSpacing);
        OwnerBench successor = takeOver(bench);
        // The successor's clock is an hour behind.
        successor.m_time.m_wall -= 3'600'000;
        CPPUNIT_ASSERT(claim(successor, makeRequest(old.m_key, 3)) == ClaimStatus::Expired);
    }

    // Guards against an owner with a clock that is ahead, which would refuse the keys of all callers as too old.
    void clockAheadDoesNotExpireFreshKeys()
    {
        OwnerBench bench = servingOwner();
        const int64_t callers = bench.m_time.m_wall;
        bench.m_time.m_wall += 20 * 60'000;
        CPPUNIT_ASSERT(claim(bench, makeRequest(keyAt(callers, 1), 1)) == ClaimStatus::Granted);
        advance(bench, WatermarkSpacing * 2);
        CPPUNIT_ASSERT(claim(bench, makeRequest(keyAt(callers + 1'000, 2), 2)) == ClaimStatus::Granted);
    }

    // Guards against keys with a wrong time that would keep segments for ever.
    void keyFarAheadIsRefused()
    {
        OwnerBench bench = servingOwner();
        CPPUNIT_ASSERT(claim(bench, makeRequest(keyAt(WorldWall + MaxKeyAhead.count() + 1, 1), 1)) == ClaimStatus::Refused);
        CPPUNIT_ASSERT(claim(bench, makeRequest(Identifier{1, 2}, 2)) == ClaimStatus::Refused);
        CPPUNIT_ASSERT(claim(bench, makeRequest(keyAt(WorldWall + 5 * 60'000, 3), 3)) == ClaimStatus::Granted);
    }

    // Guards against an owner that serves although it could not read a segment with claims.
    void malformedSegmentStopsTakeover()
    {
        OwnerBench bench = servingOwner();
        CPPUNIT_ASSERT(claim(bench, makeRequest(keyAt(WorldWall, 1), 1)) == ClaimStatus::Granted);
        const std::string key = itemsWithPrefix(bench.m_store, segmentPrefix(0))[0].m_key;
        bench.m_store.m_keys[key].m_value.resize(50);
        expireLease(bench.m_store, 0);
        OwnerBench successor;
        successor.m_store = bench.m_store;
        successor.m_node = 1;
        observe(successor);
        CPPUNIT_ASSERT(successor.m_owner.m_phase == OwnerPhase::Loading);
        CPPUNIT_ASSERT(claim(successor, makeRequest(keyAt(WorldWall, 1), 2)) == ClaimStatus::NotOwner);
    }

    // Guards against a peer or a damaged store value that crashes the process or makes it allocate without bound.
    void malformedBytesAreErrors()
    {
        std::vector<ClaimEntry> entries(3);
        entries[1].m_kind = ClaimEntry::Kind::Result;
        entries[1].m_answer = "paid";
        const std::string segment = encodeSegment(entries);
        CPPUNIT_ASSERT(decodeSegment(segment).value() == entries);
        for (size_t length = 0; length < segment.size(); ++length) {
            CPPUNIT_ASSERT(!decodeSegment(segment.substr(0, length)).ok());
        }
        std::string huge = segment;
        for (size_t i = 1; i < 5; ++i) {
            huge[i] = '\xff';
        }
        CPPUNIT_ASSERT(!decodeSegment(huge).ok());
        Random random{5};
        for (int i = 0; i < 2'000; ++i) {
            std::string noise = segment;
            noise[uniformBelow(random, noise.size())] = static_cast<char>(nextRandom(random));
            (void)decodeSegment(noise);
            (void)decodeClaimRequest(noise);
            (void)decodeClaimAnswer(noise);
            (void)decodeClaimReport(noise);
            (void)decodeClaimReportAck(noise);
        }
        CPPUNIT_ASSERT(!parseOwnerRecord("").ok());
        CPPUNIT_ASSERT(!parseOwnerRecord(markValue(Identifier{1, 2}, "{}")).ok());
    }

    // Guards against fields that are left out or swapped on the wire.
    void messagesSurviveEncoding()
    {
        const ClaimRequest request = makeRequest(keyAt(WorldWall, 1), 1);
        CPPUNIT_ASSERT(decodeClaimRequest(encode(request)).value() == request);
        const ClaimAnswer answer{
            request.m_key, request.m_call, ClaimStatus::Done, Reason::ClaimUnknown, std::string(MaxKeptAnswerBytes, 'x')};
        CPPUNIT_ASSERT(decodeClaimAnswer(encode(answer)).value() == answer);
        const ClaimReport message{request.m_key, request.m_call, ClaimReportKind::Ambiguous, true, "text"};
        CPPUNIT_ASSERT(decodeClaimReport(encode(message)).value() == message);
        const ClaimReportAck ack{request.m_key, request.m_call};
        CPPUNIT_ASSERT(decodeClaimReportAck(encode(ack)).value() == ack);
    }

    // Guards against a run after the caller was told "not run", and against a key that such a call blocks.
    void lateGrantIsReleased()
    {
        const TimePoint start(seconds(5));
        const ClaimRequest request = makeRequest(keyAt(WorldWall, 1), 1);
        ClaimHolder holder;
        CPPUNIT_ASSERT(startClaim(holder, request, start + milliseconds(300), start).m_ask == request);
        const HolderActions ended = holderTimer(holder, start + milliseconds(300));
        CPPUNIT_ASSERT(ended.m_verdict.value().m_outcome == Outcome::NotRun);
        CPPUNIT_ASSERT(ended.m_report.value().m_kind == ClaimReportKind::Released);
        reportAcknowledged(holder, {request.m_key, request.m_call});
        const ClaimAnswer granted{request.m_key, request.m_call, ClaimStatus::Granted, Reason::None, ""};
        const HolderActions late = claimAnswered(holder, granted, start + milliseconds(400));
        CPPUNIT_ASSERT(!late.m_run);
        CPPUNIT_ASSERT(late.m_report.value().m_kind == ClaimReportKind::Released);
        CPPUNIT_ASSERT(!isHolderClosed(holder, start + milliseconds(400)));
    }

    // Guards against "not run" for a key that another call holds and may have run.
    void holderWaitsForTheOtherCall()
    {
        const TimePoint start(seconds(5));
        const ClaimRequest request = makeRequest(keyAt(WorldWall, 1), 1);
        ClaimHolder holder;
        startClaim(holder, request, start + seconds(1), start);
        const ClaimAnswer busy{request.m_key, request.m_call, ClaimStatus::InProgress, Reason::ClaimInProgress, ""};
        CPPUNIT_ASSERT(!claimAnswered(holder, busy, start).m_verdict);
        CPPUNIT_ASSERT(holderTimer(holder, start + AskInProgressAfter).m_ask == request);
        const HolderActions ended = holderTimer(holder, start + seconds(1));
        CPPUNIT_ASSERT(ended.m_verdict.value().m_outcome == Outcome::Unknown);
    }

    // Guards against a graceful shutdown that makes callers wait for the end of the lease.
    void leavingOwnerGivesThePartitionBack()
    {
        OwnerBench bench = servingOwner();
        const ClaimRequest request = makeRequest(keyAt(WorldWall, 1), 1);
        CPPUNIT_ASSERT(claim(bench, request) == ClaimStatus::Granted);
        report(bench, request, ClaimReportKind::Result, "paid");
        carryOut(bench, ownerLeave(bench.m_owner, bench.m_time, bench.m_random));
        advance(bench, ClaimFlushSpacing);
        CPPUNIT_ASSERT(bench.m_steppedDown);
        CPPUNIT_ASSERT_EQUAL(int64_t(0), modRevision(bench.m_store, ownerKey(0)));
        CPPUNIT_ASSERT_EQUAL(size_t(1), bench.m_acks.size());
    }

    // Guards against a partition that nobody serves, because a late copy of a take left a key of a node that gave up.
    void ownerKeyThatArrivesLateIsDeleted()
    {
        OwnerBench late;
        late.m_hold = true;
        carryOut(late, ownerObserved(late.m_owner, std::nullopt, true, late.m_time, late.m_random));
        carryOut(late, storeAnswered(late.m_owner, {late.m_unsent[0].m_mark, StoreWriteResult::NotApplied, 0}, late.m_time, late.m_random));
        CPPUNIT_ASSERT(late.m_owner.m_phase == OwnerPhase::Standby);
        late.m_hold = false;
        applyWrite(late.m_store, late.m_unsent[0], 0);
        observe(late);
        CPPUNIT_ASSERT_EQUAL(int64_t(0), modRevision(late.m_store, ownerKey(0)));
        advance(late, TakeoverRetry);
        observe(late);
        CPPUNIT_ASSERT(late.m_owner.m_phase == OwnerPhase::Serving);
    }

    // Guards against a node that counts on its lease longer than the store does.
    void leaseIsGivenUpBeforeTheStoreEndsIt()
    {
        Random random{1};
        LeaseState lease;
        const TimePoint start(seconds(10));
        CPPUNIT_ASSERT(leaseTimer(lease, start, random) == LeaseAction::Grant);
        CPPUNIT_ASSERT(leaseTimer(lease, start, random) == LeaseAction::None);
        leaseAnswered(lease, true, 77, start + milliseconds(900));
        CPPUNIT_ASSERT(isLeaseHeld(lease, start + lease.m_timeToLive - LeaseMargin - Duration(1)));
        // Counted from the sending: the answer was late.
        CPPUNIT_ASSERT(!isLeaseHeld(lease, start + lease.m_timeToLive - LeaseMargin));
        CPPUNIT_ASSERT(leaseTimer(lease, start + lease.m_timeToLive / 3, random) == LeaseAction::KeepAlive);
        leaseAnswered(lease, true, 0, start + seconds(2));
        CPPUNIT_ASSERT(!isLeaseHeld(lease, start + seconds(2)));
        CPPUNIT_ASSERT(leaseTimer(lease, start + seconds(2), random) == LeaseAction::Grant);
    }

    // Guards against any order of messages, store answers, lease ends and deaths (up to two departures from the
    // default order within the first steps) that runs a stage twice or makes "not run" untrue.
    void allSchedulesOfTwoNodes()
    {
        constexpr int Steps = 22;
        Explorer explorer;
        int schedules = 0;
        do {
            const std::string wrong = runClaimSchedule(explorer, 2, {1, 0}, Steps, 2);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describeSchedule(explorer), std::string(), wrong);
            ++schedules;
        } while (nextSchedule(explorer));
        // Fewer schedules mean that the world no longer offers its faults.
        CPPUNIT_ASSERT(schedules > 10'000);
    }

    // Guards against the same with three nodes, three calls and more faults in one schedule.
    void randomSchedulesOfThreeNodes()
    {
        constexpr int Steps = 80;
        for (uint64_t seed = 1; seed <= 5'000; ++seed) {
            Explorer explorer;
            explorer.m_maxDeviations = 20;
            beginRandomSchedule(explorer, seed);
            const std::string wrong = runClaimSchedule(explorer, 3, {1, 0, 2}, Steps, 8);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed) + describeSchedule(explorer), std::string(), wrong);
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ClaimsTest, "claims");
