#include <cppunit/extensions/HelperMacros.h>

#include "gateway_world.h"

using namespace Medlarramp;
using namespace Medlarramp::Serving;

namespace {

constexpr Duration ContactTime = seconds(3); ///< contact_ms of the deployments: later changes have to be in force in time again
constexpr Duration ApplyTime = seconds(2); ///< config_apply_ms

size_t callsTo(const GatewayHarness &harness, const std::string &prefix)
{
    return harness.m_store.m_server.requestsFor(prefix).size();
}

void runUntilCall(GatewayHarness &harness, const std::string &prefix)
{
    harness.runUntil("call " + prefix, [&harness, prefix, before = callsTo(harness, prefix)] { return callsTo(harness, prefix) > before; });
}

void silence(FakeStore &store)
{
    store.m_isSilent = true;
    store.m_watches.clear();
}

nlohmann::json withKey(int64_t version, const std::string &key)
{
    nlohmann::json changed = configuration(version);
    changed["tenants"][0]["api_keys"] = {key};
    return changed;
}

Caller &askWithKey(GatewayHarness &harness, const GatewayHarness::Process &gateway, const std::string &key)
{
    Caller &caller = harness.send(gateway, "GET", "/keyed/1", "a1", {{"X-Api-Key", key}});
    harness.runUntil("answer", [&caller] { return caller.isAnswered() || caller.m_closed; });
    return caller;
}

} // namespace

class StoreOutageTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreOutageTest);
    CPPUNIT_TEST(lapsedLeaseDoesNotDelayTheWatch);
    CPPUNIT_TEST(changesInPartsAreReadWithoutPauses);
    CPPUNIT_TEST(newKeyIsNotRefusedForGoodByOldKnowledge);
    CPPUNIT_TEST(newsReachesGatewaysWhoseWatchesAreSilent);
    CPPUNIT_TEST(changesBeyondTheLimitOfAnAnswerAreListed);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a watch that stays parked while the store answers the calls that replace a lapsed lease.
    void lapsedLeaseDoesNotDelayTheWatch()
    {
        constexpr Duration NoticeTime = milliseconds(1000); // of ContactTime, 1.4 s may pass before the store's first answer
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, answerOk);
        startServing(harness, {{"i-1", "plain", &replica}});
        harness.runFor(milliseconds(1500)); // the watch waits
        silence(harness.m_store);
        runUntilCall(harness, "/-/kv-keep/");
        runUntilCall(harness, "/-/kv-watch");
        harness.runFor(milliseconds(1900)); // that call is given up, and the watch is parked
        harness.m_store.lapseLeases();
        runUntilCall(harness, "/-/kv-keep/"); // still without an answer
        harness.m_store.m_isSilent = false;
        runUntilCall(harness, "/-/kv-keep/");
        const TimePoint answeredAt = now(harness.m_clock);
        runUntilCall(harness, "/-/kv-watch");
        CPPUNIT_ASSERT(now(harness.m_clock) - answeredAt < NoticeTime);
    }

    // Guards against a pause after each part of what was missed, with more known to be there.
    void changesInPartsAreReadWithoutPauses()
    {
        constexpr int Changes = 40;
        constexpr Duration CatchUpTime = milliseconds(1000);
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, answerOk);
        const GatewayHarness::Process &gateway = startServing(harness, {{"i-1", "plain", &replica}});
        silence(harness.m_store);
        harness.runFor(milliseconds(4500));
        for (int i = 0; i < Changes; ++i) {
            harness.m_store.put(fmt::format("op/other-{}", i), "x");
        }
        harness.m_store.put("op/config", withKey(2, "k2").dump());
        harness.m_store.m_maxEvents = 10;
        harness.m_store.m_isSilent = false;
        runUntilCall(harness, "/-/kv-watch");
        harness.runFor(CatchUpTime);
        CPPUNIT_ASSERT_EQUAL(200, askWithKey(harness, gateway, "k2").m_reader.m_status);
    }

    // Guards against a refusal that callers don't repeat, by knowledge that an outage of the store has left behind.
    void newKeyIsNotRefusedForGoodByOldKnowledge()
    {
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, answerOk);
        const GatewayHarness::Process &gateway = startServing(harness, {{"i-1", "plain", &replica}});
        silence(harness.m_store);
        harness.m_store.put("op/config", withKey(2, "k2").dump());
        harness.runFor(milliseconds(4500));
        CPPUNIT_ASSERT_EQUAL(200, askWithKey(harness, gateway, "k1").m_reader.m_status); // traffic goes on with what is known
        const Caller &refused = askWithKey(harness, gateway, "k2");
        CPPUNIT_ASSERT_EQUAL(503, refused.m_reader.m_status);
        CPPUNIT_ASSERT(findHeader(refused.m_reader.m_headers, "Retry-After").has_value());
        harness.m_store.m_isSilent = false;
        harness.runFor(ContactTime);
        CPPUNIT_ASSERT_EQUAL(200, askWithKey(harness, gateway, "k2").m_reader.m_status);
        CPPUNIT_ASSERT_EQUAL(401, askWithKey(harness, gateway, "k1").m_reader.m_status);
    }

    // Guards against a change that passes from gateway to gateway too slowly when the long watches of most have become silent.
    void newsReachesGatewaysWhoseWatchesAreSilent()
    {
        constexpr size_t Gateways = 9;
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, answerOk);
        harness.m_store.put("op/config", withKey(1, "k1").dump());
        harness.m_store.putReplica("i-1", "plain", replica.address());
        std::vector<const GatewayHarness::Process *> gateways;
        for (size_t i = 0; i < Gateways; ++i) {
            gateways.push_back(&harness.startGateway(fmt::format("g{}", i)));
        }
        for (int64_t version = 2; version < 5; ++version) {
            harness.runFor(milliseconds(2500)); // the watches wait for long
            harness.m_store.m_watches.clear(); // none of them gets an answer any more
            harness.runFor(ContactTime);
            const std::string key = fmt::format("k{}", version);
            harness.m_store.put("op/config", withKey(version, key).dump());
            harness.runFor(ApplyTime);
            for (const GatewayHarness::Process *gateway : gateways) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(gateway->m_settings, 200, askWithKey(harness, *gateway, key).m_reader.m_status);
            }
        }
    }

    // Guards against an answer that is given up as too large and asked for again for as long as the store keeps its history.
    void changesBeyondTheLimitOfAnAnswerAreListed()
    {
        constexpr size_t ValueBytes = 1024 * 1024;
        constexpr int Values = 4; // with base64 5.3 MiB, above the 1.8 MiB of memoryLimits() for the store
        GatewayHarness harness;
        harness.m_extraSettings = {{"memory_mb", 32}};
        FakeServer replica;
        replica.start(harness.m_loop, answerOk);
        const GatewayHarness::Process &gateway = startServing(harness, {{"i-1", "plain", &replica}});
        silence(harness.m_store);
        harness.runFor(milliseconds(2500));
        for (int i = 0; i < Values; ++i) {
            harness.m_store.put(fmt::format("history/{}", i), std::string(ValueBytes, 'x'));
        }
        harness.m_store.put("op/config", withKey(2, "k2").dump());
        harness.m_store.m_isSilent = false;
        harness.runFor(ContactTime);
        CPPUNIT_ASSERT_EQUAL(200, askWithKey(harness, gateway, "k2").m_reader.m_status);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(StoreOutageTest, "store_outage");
