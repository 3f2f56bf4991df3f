#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

#include "standins_store.h"
#include "store.h"

using namespace Medlarramp;

namespace {

constexpr TimePoint Start{seconds(1'000)};
constexpr int64_t StartWall = 1'700'000'000'000;
constexpr seconds GenerousLimit{20}; ///< for events over real sockets

/** A store on a paused clock whose waits advance the clock. */
struct LocalStore {
    Clock m_clock;
    KeyValueState m_state;
    Store m_store;
    Random m_random{7};
    StoreCounters m_counters;
    std::function<void()> m_duringWait; ///< runs once in each wait between two sends

    LocalStore()
    {
        pauseClock(m_clock, Start, StartWall);
        m_state.m_clock = &m_clock;
        m_store = makeLocalStore(m_state, [this](Duration duration) { advanceClock(m_clock, duration); });
    }

    WriteContext context()
    {
        WriteContext context{&m_store, &m_clock, &m_random, nullptr, &m_counters, {}};
        context.m_wait = [this](Duration duration) {
            advanceClock(m_clock, duration);
            if (m_duringWait) {
                m_duringWait();
            }
        };
        return context;
    }

    std::optional<KeyValue> read(const std::string &key)
    {
        const auto answer = m_store.m_range(keyRange(StorePurpose::Claims, key));
        CPPUNIT_ASSERT(answer.ok());
        return answer->m_entries.empty() ? std::nullopt : std::optional<KeyValue>(answer->m_entries.front());
    }

    void overwrite(const std::string &key, const std::string &payload)
    {
        Transaction transaction;
        transaction.m_operations = {putOperation(key, encodeMarked({makeIdentifier(m_clock), payload}))};
        const auto answer = m_store.m_transact(transaction);
        CPPUNIT_ASSERT(answer.ok() && answer->m_succeeded);
    }
};

/** A store behind the gateway on the running clock. */
struct RemoteStore {
    Clock m_clock;
    KeyValueState m_state;
    std::unique_ptr<StoreServer> m_server;
    std::shared_ptr<StoreCounters> m_counters = std::make_shared<StoreCounters>();
    Store m_store;

    explicit RemoteStore(std::vector<Address> firstEndpoints = {})
    {
        m_state.m_clock = &m_clock;
        m_server = startStoreServer(m_state);
        CPPUNIT_ASSERT(m_server);
        EtcdOptions options;
        options.m_endpoints = std::move(firstEndpoints);
        options.m_endpoints.push_back(m_server->m_address);
        options.m_guard.m_clock = &m_clock;
        options.m_guard.m_counters = m_counters;
        m_store = makeEtcdStore(options);
    }
};

Transaction put(const std::string &key, const std::string &value, int64_t lease = 0)
{
    Transaction transaction;
    transaction.m_operations = {putOperation(key, value, lease)};
    return transaction;
}

/** The mark of each put in the history. */
std::multiset<std::string> marksInHistory(KeyValueState &state)
{
    std::multiset<std::string> marks;
    const absl::StatusOr<WatchBatch> history = eventsSince(state, "", 1);
    CPPUNIT_ASSERT(history.ok());
    for (const WatchEvent &event : history->m_events) {
        const auto value = decodeMarked(event.m_entry.m_value);
        if (value) {
            marks.insert(toString(value->m_mark));
        }
    }
    return marks;
}

} // namespace

class StoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreTest);
    CPPUNIT_TEST(gatewayCarriesEveryMember);
    CPPUNIT_TEST(gatewayPagesAtOneRevision);
    CPPUNIT_TEST(gatewayKeepsLeases);
    CPPUNIT_TEST(gatewayWatchDeliversInOrderAndStops);
    CPPUNIT_TEST(gatewayWatchReportsCompaction);
    CPPUNIT_TEST(quietWatchIsNotAnOutage);
    CPPUNIT_TEST(gatewayTriesTheNextEndpoint);
    CPPUNIT_TEST(gatewayCallEndsAtItsDeadline);
    CPPUNIT_TEST(gatewayErrorsAreClassified);
    CPPUNIT_TEST(gatewayLostAnswerIsResolved);
    CPPUNIT_TEST(malformedAnswersAreErrors);
    CPPUNIT_TEST(lostAnswerIsApplied);
    CPPUNIT_TEST(lostRequestIsSentAgain);
    CPPUNIT_TEST(replacedWriteIsSuperseded);
    CPPUNIT_TEST(lateCopyOfARefusedWriteHasNoEffect);
    CPPUNIT_TEST(deletedWitnessIsNotCalledNotApplied);
    CPPUNIT_TEST(conflictWithoutLossIsNotApplied);
    CPPUNIT_TEST(outageBeforeTheSendIsNotApplied);
    CPPUNIT_TEST(outageAfterALostAnswerIsUnknown);
    CPPUNIT_TEST(expiredLeaseEndsAWrite);
    CPPUNIT_TEST(seededLossesNeverGiveAFalseResult);
    CPPUNIT_TEST(budgetRefusesAndRefills);
    CPPUNIT_TEST(breakerMakesAnOutageCheap);
    CPPUNIT_TEST(returningNodesAreSpread);
    CPPUNIT_TEST(probeWithoutResultIsReplaced);
    CPPUNIT_TEST(backoffHasFullJitter);
    CPPUNIT_TEST(expiredLeaseDeletesItsKeys);
    CPPUNIT_TEST(rateLimitRefusesWithoutEffect);
    CPPUNIT_TEST(localWatchOpensAndResumes);
    CPPUNIT_TEST_SUITE_END();

    // Guards against members that are lost or misread between the JSON gateway and the client.
    void gatewayCarriesEveryMember()
    {
        RemoteStore remote;
        const std::string binary("a\0\xff\n\"", 5);
        const auto first = remote.m_store.m_transact(put("k/1", binary));
        CPPUNIT_ASSERT(first.ok() && first->m_succeeded);
        const auto second = remote.m_store.m_transact(put("k/1", binary + "2"));
        CPPUNIT_ASSERT(second->m_revision > first->m_revision);
        const auto read = remote.m_store.m_range(keyRange(StorePurpose::Claims, "k/1"));
        const KeyValue expected{"k/1", binary + "2", first->m_revision, second->m_revision, 2, 0};
        CPPUNIT_ASSERT(read.ok() && read->m_entries == std::vector<KeyValue>{expected});
        const auto old = remote.m_store.m_range({StorePurpose::Claims, "k/1", {}, 0, 0, first->m_revision});
        CPPUNIT_ASSERT_EQUAL(binary, old->m_entries.at(0).m_value);

        Transaction guarded = put("k/1", "3");
        guarded.m_compares = {revisionEquals("k/1", first->m_revision)};
        guarded.m_readOnFailure = {"k/1", "k/none"};
        const auto refused = remote.m_store.m_transact(guarded);
        CPPUNIT_ASSERT(refused.ok() && !refused->m_succeeded);
        CPPUNIT_ASSERT(refused->m_entries == std::vector<KeyValue>{expected});
        for (const auto &[target, result, number, holds] : std::vector<std::tuple<CompareTarget, CompareResult, int64_t, bool>>{
                 {CompareTarget::Version, CompareResult::Equal, 2, true},
                 {CompareTarget::Version, CompareResult::Less, 2, false},
                 {CompareTarget::CreateRevision, CompareResult::Greater, 0, true},
                 {CompareTarget::CreateRevision, CompareResult::NotEqual, first->m_revision, false}}) {
            Transaction probe = put("probe", "x");
            probe.m_compares = {{"k/1", target, result, number, {}}};
            CPPUNIT_ASSERT_EQUAL(holds, remote.m_store.m_transact(probe)->m_succeeded);
        }
        Transaction byValue = put("probe", "x");
        byValue.m_compares = {{"k/1", CompareTarget::Value, CompareResult::Equal, 0, binary + "2"}};
        CPPUNIT_ASSERT(remote.m_store.m_transact(byValue)->m_succeeded);
        Transaction removal;
        removal.m_operations = {deleteOperation("k/", prefixEnd("k/"))};
        CPPUNIT_ASSERT(remote.m_store.m_transact(removal)->m_succeeded);
        CPPUNIT_ASSERT(remote.m_store.m_range(prefixRange(StorePurpose::Claims, "k/"))->m_entries.empty());
    }

    // Guards against a paged read that mixes two states of the store.
    void gatewayPagesAtOneRevision()
    {
        RemoteStore remote;
        for (int i = 0; i < 5; ++i) {
            CPPUNIT_ASSERT(remote.m_store.m_transact(put("p/" + std::to_string(i), "old")).ok());
        }
        RangeRequest request = prefixRange(StorePurpose::Configuration, "p/");
        request.m_limit = 3;
        const auto first = remote.m_store.m_range(request);
        CPPUNIT_ASSERT(first.ok() && first->m_more && first->m_entries.size() == 3);
        CPPUNIT_ASSERT(remote.m_store.m_transact(put("p/4", "new")).ok());
        request.m_revision = first->m_revision;
        request.m_key = first->m_entries.back().m_key + '\0';
        const auto second = remote.m_store.m_range(request);
        CPPUNIT_ASSERT(!second->m_more && second->m_entries.size() == 2);
        CPPUNIT_ASSERT_EQUAL(std::string("old"), second->m_entries.at(1).m_value);
        RangeRequest newer = prefixRange(StorePurpose::Configuration, "p/");
        newer.m_minModRevision = first->m_revision + 1;
        CPPUNIT_ASSERT_EQUAL(size_t(1), remote.m_store.m_range(newer)->m_entries.size());
    }

    // Guards against leases that outlive their revocation, and against a renewal of an expired lease that looks good.
    void gatewayKeepsLeases()
    {
        RemoteStore remote;
        const auto lease = remote.m_store.m_grantLease(StorePurpose::Leases, milliseconds(1'500));
        CPPUNIT_ASSERT(lease.ok() && lease->m_timeToLive == seconds(2));
        CPPUNIT_ASSERT(remote.m_store.m_transact(put("owned", "x", lease->m_identifier))->m_succeeded);
        CPPUNIT_ASSERT(remote.m_store.m_keepAlive(StorePurpose::Leases, lease->m_identifier).ok());
        CPPUNIT_ASSERT(remote.m_store.m_revokeLease(StorePurpose::Leases, lease->m_identifier).ok());
        CPPUNIT_ASSERT(remote.m_store.m_range(keyRange(StorePurpose::Leases, "owned"))->m_entries.empty());
        CPPUNIT_ASSERT(absl::IsNotFound(remote.m_store.m_keepAlive(StorePurpose::Leases, lease->m_identifier).status()));
        CPPUNIT_ASSERT(absl::IsNotFound(remote.m_store.m_transact(put("owned", "x", lease->m_identifier)).status()));
    }

    // Guards against missed or reordered events, and against a watch that does not end with its node.
    void gatewayWatchDeliversInOrderAndStops()
    {
        RemoteStore remote;
        const auto before = remote.m_store.m_transact(put("w/0", "0"));
        std::mutex mutex;
        std::condition_variable arrived;
        std::vector<WatchEvent> events;
        StopSignal stop;
        absl::Status status = absl::UnknownError("running");
        std::thread watcher([&] {
            const auto sink = [&](const WatchBatch &batch) {
                const std::lock_guard lock(mutex);
                events.insert(events.end(), batch.m_events.begin(), batch.m_events.end());
                arrived.notify_all();
                return true;
            };
            status = remote.m_store.m_watch({StorePurpose::Configuration, "w/", before->m_revision}, sink, stop);
        });
        for (int i = 1; i < 20; ++i) {
            CPPUNIT_ASSERT(remote.m_store.m_transact(put("w/" + std::to_string(i), std::to_string(i))).ok());
            CPPUNIT_ASSERT(remote.m_store.m_transact(put("other", "x")).ok());
        }
        Transaction removal;
        removal.m_operations = {deleteOperation("w/0")};
        CPPUNIT_ASSERT(remote.m_store.m_transact(removal).ok());
        {
            std::unique_lock lock(mutex);
            arrived.wait_for(lock, GenerousLimit, [&] { return events.size() >= 21; });
        }
        requestStop(stop);
        watcher.join();
        CPPUNIT_ASSERT(status.ok());
        CPPUNIT_ASSERT_EQUAL(size_t(21), events.size());
        for (size_t i = 0; i < 20; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::to_string(i), events[i].m_entry.m_value);
        }
        CPPUNIT_ASSERT(events.back().m_kind == OperationKind::Delete);
        CPPUNIT_ASSERT_EQUAL(std::string("w/0"), events.back().m_entry.m_key);
    }

    // Guards against a watcher that silently skips compacted events.
    void gatewayWatchReportsCompaction()
    {
        RemoteStore remote;
        const auto first = remote.m_store.m_transact(put("w/0", "0"));
        const auto last = remote.m_store.m_transact(put("w/0", "1"));
        compact(remote.m_state, last->m_revision);
        StopSignal stop;
        const auto sink = [](const WatchBatch &) { return true; };
        const absl::Status status = remote.m_store.m_watch({StorePurpose::Configuration, "w/", first->m_revision}, sink, stop);
        CPPUNIT_ASSERT(absl::IsOutOfRange(status));
        const auto old = remote.m_store.m_range({StorePurpose::Configuration, "w/0", {}, 0, 0, first->m_revision});
        CPPUNIT_ASSERT(absl::IsOutOfRange(old.status()));
    }

    // Guards against a breaker that opens because a prefix has no events for a while.
    void quietWatchIsNotAnOutage()
    {
        RemoteStore remote;
        EtcdOptions options;
        options.m_endpoints = {remote.m_server->m_address};
        options.m_watchIdleLimit = milliseconds(400); // below the progress interval of the stand-in
        options.m_guard.m_clock = &remote.m_clock;
        const Store store = makeEtcdStore(options);
        StopSignal stop;
        int opened = 0;
        const auto sink = [&opened](const WatchBatch &batch) {
            ++opened;
            return batch.m_events.empty();
        };
        for (int i = 0; i <= BreakerThreshold; ++i) {
            CPPUNIT_ASSERT(!store.m_watch({StorePurpose::Configuration, "quiet/", 1}, sink, stop).ok());
        }
        CPPUNIT_ASSERT(opened > 0);
        CPPUNIT_ASSERT(store.m_range(keyRange(StorePurpose::Configuration, "k")).ok());
    }

    // Guards against a node that depends on the one endpoint it tried first.
    void gatewayTriesTheNextEndpoint()
    {
        KeyValueState unused;
        Clock clock;
        unused.m_clock = &clock;
        Address dead;
        {
            const auto server = startStoreServer(unused);
            dead = server->m_address;
        }
        RemoteStore remote({dead});
        CPPUNIT_ASSERT(remote.m_store.m_transact(put("k", "v")).ok());
        CPPUNIT_ASSERT(remote.m_store.m_range(keyRange(StorePurpose::Claims, "k")).ok());
    }

    // Guards against calls that wait for a silent store without limit.
    void gatewayCallEndsAtItsDeadline()
    {
        RemoteStore remote;
        StoreFaults faults;
        faults.m_silent = true;
        setFaults(remote.m_state, faults);
        Transaction transaction = put("k", "v");
        transaction.m_timeout = milliseconds(100);
        const TimePoint before = now(remote.m_clock);
        const auto answer = remote.m_store.m_transact(transaction);
        CPPUNIT_ASSERT(!answer.ok() && mayHaveTakenEffect(answer.status()));
        CPPUNIT_ASSERT(now(remote.m_clock) - before < Duration(seconds(5)));
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), remote.m_counters->m_lostAnswers.load());
    }

    // Guards against a refusal that is taken for a lost answer, and above all against the reverse.
    void gatewayErrorsAreClassified()
    {
        RemoteStore remote;
        StoreFaults faults;
        faults.m_outage = true; // the gateway answers 503
        setFaults(remote.m_state, faults);
        CPPUNIT_ASSERT(mayHaveTakenEffect(remote.m_store.m_transact(put("k", "v")).status()));
        faults = {};
        faults.m_callsPerSecond = 0.001;
        setFaults(remote.m_state, faults);
        const auto limited = remote.m_store.m_transact(put("k", "v"));
        CPPUNIT_ASSERT(absl::IsResourceExhausted(limited.status()));
        setFaults(remote.m_state, {});
        stopStoreServer(*remote.m_server);
        CPPUNIT_ASSERT(!mayHaveTakenEffect(remote.m_store.m_transact(put("k", "v")).status()));
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), writeCount(remote.m_state));
    }

    // Guards against a duplicate or a false refusal when the connection breaks after the commit.
    void gatewayLostAnswerIsResolved()
    {
        RemoteStore remote;
        StoreFaults faults;
        faults.m_loseNextAnswers = 1;
        setFaults(remote.m_state, faults);
        Random random{1};
        const WriteContext context{&remote.m_store, &remote.m_clock, &random, nullptr, remote.m_counters.get(), {}};
        const WriteAnswer answer = putWithMark(context, StorePurpose::Batch, "batch/group/1", "payload", 0);
        CPPUNIT_ASSERT(answer.m_result == WriteResult::Applied);
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), writeCount(remote.m_state));
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), remote.m_counters->m_resolvedApplied.load());
    }

    // Guards against a store answer of another form that is read as an empty success.
    void malformedAnswersAreErrors()
    {
        CPPUNIT_ASSERT(!decodeMarked(""));
        CPPUNIT_ASSERT(!decodeMarked(std::string(36, 'x') + "\npayload"));
        const MarkedValue value{{1, 2}, std::string("\n\0x", 3)};
        CPPUNIT_ASSERT(decodeMarked(encodeMarked(value)) == value);
        CPPUNIT_ASSERT_EQUAL(std::string("config0"), prefixEnd("config/"));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), prefixEnd("a\xff"));
    }

    // Guards against a write that took effect and is reported otherwise.
    void lostAnswerIsApplied()
    {
        LocalStore local;
        local.m_state.m_faults.m_loseNextAnswers = 1;
        const WriteAnswer answer = putWithMark(local.context(), StorePurpose::Claims, "k", "mine", 0);
        CPPUNIT_ASSERT(answer.m_result == WriteResult::Applied);
        CPPUNIT_ASSERT_EQUAL(local.read("k")->m_modRevision, answer.m_revision);
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), writeCount(local.m_state));
    }

    // Guards against a write that is given up although it never reached the store.
    void lostRequestIsSentAgain()
    {
        LocalStore local;
        local.m_state.m_faults.m_loseNextRequests = 2;
        CPPUNIT_ASSERT(putWithMark(local.context(), StorePurpose::Claims, "k", "mine", 0).m_result == WriteResult::Applied);
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), writeCount(local.m_state));
    }

    // Guards against "not applied" for a write that was applied and then replaced by another writer.
    void replacedWriteIsSuperseded()
    {
        LocalStore local;
        local.overwrite("k", "before");
        const int64_t expected = local.read("k")->m_modRevision;
        local.m_state.m_faults.m_loseNextAnswers = 1;
        local.m_duringWait = [&] { local.overwrite("k", "other"); };
        const WriteAnswer answer = putWithMark(local.context(), StorePurpose::Claims, "k", "mine", expected);
        CPPUNIT_ASSERT(answer.m_result == WriteResult::Superseded);
        CPPUNIT_ASSERT_EQUAL(expected + 1, answer.m_revision);
        CPPUNIT_ASSERT(decodeMarked(answer.m_current->m_value)->m_payload == "other");
    }

    // Guards against "not applied" for a write that is still on its way and takes effect later.
    void lateCopyOfARefusedWriteHasNoEffect()
    {
        LocalStore local;
        local.overwrite("k", "before");
        const int64_t expected = local.read("k")->m_modRevision;
        local.m_state.m_faults.m_deferNextRequests = 1;
        local.m_duringWait = [&] { local.overwrite("k", "other"); };
        const WriteAnswer answer = putWithMark(local.context(), StorePurpose::Claims, "k", "mine", expected);
        CPPUNIT_ASSERT(answer.m_result == WriteResult::NotApplied);
        runDeferred(local.m_state);
        CPPUNIT_ASSERT(decodeMarked(local.read("k")->m_value)->m_payload == "other");
    }

    // Guards against "not applied" when the key was written, and deleted before it was read back.
    void deletedWitnessIsNotCalledNotApplied()
    {
        LocalStore local;
        local.overwrite("owner", "1");
        MarkedWrite write;
        write.m_mark = makeIdentifier(local.m_clock);
        write.m_witness = "segment/1";
        write.m_transaction.m_compares = {revisionEquals("owner", local.read("owner")->m_modRevision), revisionEquals("segment/1", 0)};
        write.m_transaction.m_operations = {putOperation("segment/1", encodeMarked({write.m_mark, "claims"}))};
        local.m_state.m_faults.m_loseNextAnswers = 1;
        local.m_duringWait = [&] {
            local.overwrite("owner", "2");
            Transaction removal;
            removal.m_operations = {deleteOperation("segment/1")};
            CPPUNIT_ASSERT(local.m_store.m_transact(removal)->m_succeeded);
        };
        CPPUNIT_ASSERT(transact(local.context(), write).m_result == WriteResult::Superseded);
    }

    // Guards against a plain conflict that is reported as uncertain.
    void conflictWithoutLossIsNotApplied()
    {
        LocalStore local;
        local.overwrite("k", "other");
        const WriteAnswer answer = putWithMark(local.context(), StorePurpose::Claims, "k", "mine", 0);
        CPPUNIT_ASSERT(answer.m_result == WriteResult::NotApplied && answer.m_reason == Reason::Conflict);
        CPPUNIT_ASSERT(answer.m_current == local.read("k"));
    }

    // Guards against a claim that stays "unknown" when nothing left this process.
    void outageBeforeTheSendIsNotApplied()
    {
        LocalStore local;
        local.m_state.m_faults.m_outage = true;
        const WriteAnswer answer = putWithMark(local.context(), StorePurpose::Claims, "k", "mine", 0);
        CPPUNIT_ASSERT(answer.m_result == WriteResult::NotApplied && answer.m_reason == Reason::StoreUnavailable);
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), local.m_counters.m_refusals[static_cast<size_t>(Reason::StoreUnavailable)].load());
    }

    // Guards against "not applied" when the outage begins right after a commit without an answer.
    void outageAfterALostAnswerIsUnknown()
    {
        LocalStore local;
        local.m_state.m_faults.m_loseNextAnswers = 1;
        local.m_duringWait = [&] { local.m_state.m_faults.m_outage = true; };
        const WriteAnswer answer = putWithMark(local.context(), StorePurpose::Claims, "k", "mine", 0);
        CPPUNIT_ASSERT(answer.m_result == WriteResult::Unknown);
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), local.m_counters.m_unresolved.load());
    }

    // Guards against a holder that keeps trying under an expired lease, and against "not applied" for a key that it had.
    void expiredLeaseEndsAWrite()
    {
        LocalStore local;
        const TimePoint before = now(local.m_clock);
        const WriteAnswer refused = putWithMark(local.context(), StorePurpose::Claims, "owner", "mine", 0, 77);
        CPPUNIT_ASSERT(refused.m_result == WriteResult::NotApplied && refused.m_reason == Reason::NotFound);
        CPPUNIT_ASSERT(now(local.m_clock) == before);
        const auto lease = local.m_store.m_grantLease(StorePurpose::Leases, seconds(1));
        local.m_state.m_faults.m_loseNextAnswers = 1;
        local.m_duringWait = [&] { advanceClock(local.m_clock, seconds(2)); };
        const WriteAnswer lost = putWithMark(local.context(), StorePurpose::Claims, "owner", "mine", 0, lease->m_identifier);
        CPPUNIT_ASSERT(lost.m_result == WriteResult::Superseded);
        CPPUNIT_ASSERT(!local.read("owner"));
    }

    // Guards against any false result under lost answers, lost requests, late copies, deletions and other writers.
    void seededLossesNeverGiveAFalseResult()
    {
        std::array<int, 4> results{};
        for (uint64_t seed = 1; seed <= 300; ++seed) {
            LocalStore local;
            local.m_random.m_state = seed;
            Random dice{seed * 1'000'003};
            std::vector<std::pair<Identifier, WriteAnswer>> finished;
            std::multiset<std::string> creating;
            int depth = 0;
            const std::function<void()> disturb = [&] {
                const std::string key = "k" + std::to_string(uniformBelow(dice, 3));
                switch (uniformBelow(dice, 5)) {
                case 0:
                    runDeferred(local.m_state);
                    break;
                case 1: {
                    // MarkedWrite forbids the deletion of a key whose creation may still be on its way.
                    runDeferred(local.m_state);
                    if (creating.contains(key)) {
                        break;
                    }
                    Transaction removal;
                    removal.m_operations = {deleteOperation(key)};
                    (void)local.m_store.m_transact(removal);
                    break;
                }
                case 2:
                    local.m_state.m_faults.m_deferNextRequests = 1;
                    break;
                default:
                    if (depth < 3) {
                        ++depth;
                        writeOnce(local, dice, key, creating, finished);
                        --depth;
                    }
                }
            };
            local.m_duringWait = disturb;
            local.m_state.m_random.m_state = seed;
            local.m_state.m_faults.m_lostAnswerShare = 0.3;
            local.m_state.m_faults.m_lostRequestShare = 0.2;
            for (int i = 0; i < 20; ++i) {
                writeOnce(local, dice, "k" + std::to_string(uniformBelow(dice, 3)), creating, finished);
                disturb();
            }
            local.m_duringWait = {};
            runDeferred(local.m_state);
            const std::multiset<std::string> marks = marksInHistory(local.m_state);
            for (const auto &[mark, answer] : finished) {
                ++results.at(static_cast<size_t>(answer.m_result));
                const size_t applied = marks.count(toString(mark));
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), applied <= 1);
                const bool truthful =
                    answer.m_result == WriteResult::Applied ? applied == 1 : answer.m_result != WriteResult::NotApplied || applied == 0;
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + " " + std::string(toString(answer.m_result)), truthful);
            }
        }
        // Every result must have occurred, or the seeds show nothing about it.
        for (const WriteResult result : {WriteResult::Applied, WriteResult::NotApplied, WriteResult::Superseded}) {
            CPPUNIT_ASSERT(results.at(static_cast<size_t>(result)) > 100);
        }
    }

    static void writeOnce(LocalStore &local,
                          Random &dice,
                          const std::string &key,
                          std::multiset<std::string> &creating,
                          std::vector<std::pair<Identifier, WriteAnswer>> &finished)
    {
        const auto current = local.read(key);
        const bool stale = uniformBelow(dice, 8) == 0;
        const int64_t expected = stale ? 1 : current ? current->m_modRevision : 0;
        MarkedWrite write;
        write.m_mark = makeIdentifier(local.m_clock);
        write.m_witness = key;
        write.m_limit = seconds(60);
        write.m_transaction.m_compares = {revisionEquals(key, expected)};
        write.m_transaction.m_operations = {putOperation(key, encodeMarked({write.m_mark, "x"}))};
        const auto created = expected == 0 ? creating.insert(key) : creating.end();
        const WriteAnswer answer = transact(local.context(), write);
        if (created != creating.end()) {
            creating.erase(created);
        }
        finished.emplace_back(write.m_mark, answer);
    }

    // Guards against one purpose that uses up the store's rate, and against a budget that never recovers.
    void budgetRefusesAndRefills()
    {
        LocalStore local;
        GuardOptions options;
        options.m_clock = &local.m_clock;
        options.m_counters = std::make_shared<StoreCounters>();
        CallBudgets budgets = defaultBudgets(Start);
        budgets[static_cast<size_t>(StorePurpose::Batch)] = {2, 3, 3, Start};
        options.m_budgets = budgets;
        const Store store = guardStore(local.m_store, options);
        for (int i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT(store.m_range(keyRange(StorePurpose::Batch, "k")).ok());
        }
        CPPUNIT_ASSERT(absl::IsResourceExhausted(store.m_range(keyRange(StorePurpose::Batch, "k")).status()));
        CPPUNIT_ASSERT(store.m_range(keyRange(StorePurpose::Claims, "k")).ok());
        CPPUNIT_ASSERT_EQUAL(uint64_t(4), callCount(local.m_state, StoreCall::Range));
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), options.m_counters->m_refusals[static_cast<size_t>(Reason::StoreBudgetExhausted)].load());
        advanceClock(local.m_clock, milliseconds(500));
        CPPUNIT_ASSERT(store.m_range(keyRange(StorePurpose::Batch, "k")).ok());
        CPPUNIT_ASSERT(!store.m_range(keyRange(StorePurpose::Batch, "k")).ok());
    }

    // Guards against an outage that costs every caller a timeout, and against a slow return to normal.
    void breakerMakesAnOutageCheap()
    {
        LocalStore local;
        GuardOptions options;
        options.m_clock = &local.m_clock;
        options.m_nodes = [] { return int64_t(9); };
        options.m_seed = 3;
        const Store store = guardStore(local.m_store, options);
        local.m_state.m_faults.m_outage = true;
        for (int i = 0; i < 60'000; ++i) {
            (void)store.m_range(keyRange(StorePurpose::Claims, "k"));
            advanceClock(local.m_clock, milliseconds(1));
        }
        // A minute at full jitter up to 1 s gives about 120 probes.
        CPPUNIT_ASSERT(callCount(local.m_state, StoreCall::Range) < 200);
        CPPUNIT_ASSERT(callCount(local.m_state, StoreCall::Range) > 60);
        local.m_state.m_faults.m_outage = false;
        Duration recovery{};
        while (!store.m_range(keyRange(StorePurpose::Claims, "k")).ok()) {
            advanceClock(local.m_clock, milliseconds(1));
            recovery += milliseconds(1);
        }
        CPPUNIT_ASSERT(recovery <= Duration(seconds(1)));
        CPPUNIT_ASSERT(store.m_range(keyRange(StorePurpose::Claims, "k")).ok());
    }

    // Guards against 610 nodes that call a returning store at the same moment.
    void returningNodesAreSpread()
    {
        constexpr int64_t Nodes = 610;
        CPPUNIT_ASSERT(returnSpread(Nodes) == Duration(milliseconds(30'500)));
        Random random{11};
        std::vector<int> perSecond(32);
        std::vector<CircuitBreaker> breakers(Nodes);
        for (CircuitBreaker &breaker : breakers) {
            for (int i = 0; i < BreakerThreshold; ++i) {
                CPPUNIT_ASSERT(admitCall(breaker, Start));
                recordFailure(breaker, Start, random, Nodes);
            }
            CPPUNIT_ASSERT(breaker.m_state == BreakerState::Open);
            const auto second = std::chrono::duration_cast<seconds>(breaker.m_probeAt - Start).count();
            ++perSecond.at(static_cast<size_t>(second));
        }
        CPPUNIT_ASSERT(*std::max_element(perSecond.begin(), perSecond.end()) < 45); // 20 on average
    }

    // Guards against a breaker that stays open because the thread with the probe died.
    void probeWithoutResultIsReplaced()
    {
        Random random{5};
        CircuitBreaker breaker;
        for (int i = 0; i < BreakerThreshold; ++i) {
            recordFailure(breaker, Start, random, 1);
        }
        const TimePoint probe = breaker.m_probeAt;
        CPPUNIT_ASSERT(admitCall(breaker, probe));
        CPPUNIT_ASSERT(!admitCall(breaker, probe));
        CPPUNIT_ASSERT(admitCall(breaker, probe + ProbeLimit));
        recordSuccess(breaker);
        CPPUNIT_ASSERT(breaker == CircuitBreaker());
    }

    // Guards against retries of many nodes in step, and against an overflow after many failures.
    void backoffHasFullJitter()
    {
        Random random{9};
        Duration low = BackoffCap;
        Duration high{};
        for (int i = 0; i < 1'000; ++i) {
            const Duration delay = backoffDelay(random, 1'000);
            low = std::min(low, delay);
            high = std::max(high, delay);
            CPPUNIT_ASSERT(backoffDelay(random, 0) <= Duration(BackoffBase));
        }
        CPPUNIT_ASSERT(low < Duration(milliseconds(20)) && high > Duration(milliseconds(980)) && high <= Duration(BackoffCap));
    }

    // Guards against a key of a dead holder that stays, and against a former holder that writes under its lease.
    void expiredLeaseDeletesItsKeys()
    {
        LocalStore local;
        const auto lease = local.m_store.m_grantLease(StorePurpose::Leases, seconds(3));
        CPPUNIT_ASSERT(local.m_store.m_transact(put("owner", "a", lease->m_identifier))->m_succeeded);
        advanceClock(local.m_clock, seconds(2));
        CPPUNIT_ASSERT(local.m_store.m_keepAlive(StorePurpose::Leases, lease->m_identifier).ok());
        advanceClock(local.m_clock, milliseconds(2'999));
        CPPUNIT_ASSERT(local.read("owner"));
        advanceClock(local.m_clock, milliseconds(1));
        CPPUNIT_ASSERT(!local.read("owner"));
        CPPUNIT_ASSERT(absl::IsNotFound(local.m_store.m_keepAlive(StorePurpose::Leases, lease->m_identifier).status()));
        const auto events = eventsSince(local.m_state, "owner", 1);
        CPPUNIT_ASSERT(events->m_events.back().m_kind == OperationKind::Delete);
    }

    // Guards against a stand-in that hides that the store's rate is exceeded.
    void rateLimitRefusesWithoutEffect()
    {
        LocalStore local;
        local.m_state.m_faults.m_callsPerSecond = 10;
        int accepted = 0;
        for (int i = 0; i < 100; ++i) {
            accepted += local.m_store.m_transact(put("k", "v")).ok() ? 1 : 0;
            advanceClock(local.m_clock, milliseconds(10));
        }
        CPPUNIT_ASSERT(accepted >= 9 && accepted <= 21);
        CPPUNIT_ASSERT_EQUAL(static_cast<uint64_t>(accepted), writeCount(local.m_state));
    }

    // Guards against an in-process watch that differs from the gateway's: no opening, or events lost when it resumes.
    void localWatchOpensAndResumes()
    {
        LocalStore local;
        StopSignal stop;
        int64_t revision = 0;
        std::vector<std::string> values;
        const auto takeOne = [&](const WatchBatch &batch) {
            revision = batch.m_revision;
            for (const WatchEvent &event : batch.m_events) {
                values.push_back(event.m_entry.m_value);
            }
            return false;
        };
        CPPUNIT_ASSERT(local.m_store.m_watch({StorePurpose::Configuration, "w/", 0}, takeOne, stop).ok());
        CPPUNIT_ASSERT(values.empty());
        CPPUNIT_ASSERT(local.m_store.m_transact(put("w/1", "a")).ok());
        CPPUNIT_ASSERT(local.m_store.m_transact(put("x", "no")).ok());
        CPPUNIT_ASSERT(local.m_store.m_transact(put("w/1", "b")).ok());
        CPPUNIT_ASSERT(local.m_store.m_watch({StorePurpose::Configuration, "w/", revision + 1}, takeOne, stop).ok());
        CPPUNIT_ASSERT((values == std::vector<std::string>{"a", "b"}));
        CPPUNIT_ASSERT_EQUAL(local.m_state.m_revision, revision);
        requestStop(stop);
        CPPUNIT_ASSERT(local.m_store.m_watch({StorePurpose::Configuration, "w/", revision + 1}, takeOne, stop).ok());
        CPPUNIT_ASSERT_EQUAL(0, local.m_state.m_openWatches);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(StoreTest, "store");
