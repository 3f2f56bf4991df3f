#include <cppunit/extensions/HelperMacros.h>

#include "gateway_world.h"
#include "serving.h"

using namespace Medlarramp;
using namespace Medlarramp::Serving;

/** Evacuation of a failure domain by the operator. */
class EvacuationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EvacuationTest);
    CPPUNIT_TEST(evacuatedReplicasAcceptNoWork);
    CPPUNIT_TEST(serviceIsEvacuatedOnlyWithAllItsReplicas);
    CPPUNIT_TEST(evacuatedReplicasGetNoRequests);
    CPPUNIT_TEST(evacuatedStageReplicasGetNoCalls);
    CPPUNIT_TEST(evacuationInForceAtTheStartIsKept);
    CPPUNIT_TEST(requestsAreRefusedWhenAllIsEvacuated);
    CPPUNIT_TEST(oddEvacuationsHarmNothing);
    CPPUNIT_TEST_SUITE_END();

    static ReplicaRecord record(const std::string &id, const std::string &failureDomain)
    {
        ReplicaRecord record;
        record.m_id = id;
        record.m_service = "plain";
        record.m_failureDomain = failureDomain;
        return record;
    }

    // Guards against placement in an evacuated failure domain, and against a replica there that is taken for one that leaves.
    void evacuatedReplicasAcceptNoWork()
    {
        Registry registry;
        upsertReplica(registry, record("i-1", "z1"));
        upsertReplica(registry, record("i-2", "z2"));
        registry.m_evacuatedDomains = {"z1"};
        CPPUNIT_ASSERT(!acceptsWork(registry, "i-1"));
        CPPUNIT_ASSERT_EQUAL(std::string("evacuated"), std::string(describeReplica(registry, "i-1")));
        CPPUNIT_ASSERT(acceptsWork(registry, "i-2"));
        CPPUNIT_ASSERT(usableReplicas(registry).at("plain") == std::vector<std::string>{"i-2"});
        registry.m_evacuatedDomains.clear();
        CPPUNIT_ASSERT(acceptsWork(registry, "i-1"));
    }

    // Guards against refusals while a replica outside still takes work, and against blaming the evacuation for a service without replicas.
    void serviceIsEvacuatedOnlyWithAllItsReplicas()
    {
        Registry registry;
        registry.m_evacuatedDomains = {"z1"};
        CPPUNIT_ASSERT(!isServiceEvacuated(registry, "plain"));
        upsertReplica(registry, record("i-1", "z1"));
        CPPUNIT_ASSERT(isServiceEvacuated(registry, "plain"));
        ReplicaRecord leaving = record("i-2", "z2");
        leaving.m_draining = true;
        upsertReplica(registry, leaving);
        CPPUNIT_ASSERT(isServiceEvacuated(registry, "plain"));
        upsertReplica(registry, record("i-3", "z2"));
        CPPUNIT_ASSERT(!isServiceEvacuated(registry, "plain"));
    }

    static void
    put(GatewayHarness &harness, const std::string &id, const std::string &service, const FakeServer &server, const std::string &domain)
    {
        harness.m_store.putReplica(id, service, server.address(), "ready", 1, domain);
    }

    static int answerTo(GatewayHarness &harness, const GatewayHarness::Process &gateway, const std::string &target, const std::string &id)
    {
        Caller &caller = harness.send(gateway, "POST", target, id);
        harness.runUntil("answer to " + id, [&] { return caller.isAnswered() || caller.m_closed; });
        return caller.m_reader.m_status;
    }

    /** Sends requests until @p condition is true: an evacuation has its effect when the watch has told of it. */
    static void sendUntil(GatewayHarness &harness,
                          const GatewayHarness::Process &gateway,
                          const std::string &target,
                          const std::string &name,
                          const std::function<bool()> &condition)
    {
        constexpr int MaxRequests = 200;
        for (int i = 0; i < MaxRequests && !condition(); ++i) {
            answerTo(harness, gateway, target, fmt::format("{}-{}", name, i));
            harness.runFor(milliseconds(20));
        }
        CPPUNIT_ASSERT_MESSAGE(name, condition());
    }

    /** Waits until the gateway has applied an evacuation, or its end; the watch answers at least once a second. */
    static void waitForWatch(GatewayHarness &harness)
    {
        harness.runFor(milliseconds(1500));
    }

    // Guards against requests to an evacuated failure domain, on new and on kept connections, and against a domain that stays unused
    // after the end of its evacuation.
    void evacuatedReplicasGetNoRequests()
    {
        GatewayHarness harness;
        FakeServer inside;
        FakeServer outside;
        inside.start(harness.m_loop, answerOk);
        outside.start(harness.m_loop, answerOk);
        harness.m_store.put("op/config", configuration(1).dump());
        put(harness, "i-1", "plain", inside, "z1");
        put(harness, "i-2", "plain", outside, "z2");
        const GatewayHarness::Process &gateway = harness.startGateway("g1");
        sendUntil(harness, gateway, "/read/1", "before", [&] { return !inside.m_requests.empty(); });
        harness.m_store.put("op/evacuate/z1", "{}");
        waitForWatch(harness);
        inside.m_requests.clear();
        for (int i = 0; i < 30; ++i) {
            CPPUNIT_ASSERT_EQUAL(200, answerTo(harness, gateway, i % 2 == 0 ? "/read/1" : "/plain/1", fmt::format("during-{}", i)));
        }
        CPPUNIT_ASSERT_EQUAL(size_t(0), inside.m_requests.size());
        harness.m_store.remove("op/evacuate/z1");
        sendUntil(harness, gateway, "/read/1", "after", [&] { return !inside.m_requests.empty(); });
    }

    // Guards against stage calls, and releases of results, to an evacuated failure domain.
    void evacuatedStageReplicasGetNoCalls()
    {
        GatewayHarness harness;
        FakeServer inside;
        FakeServer outside;
        FakeServer model;
        inside.start(harness.m_loop, answerStageCall);
        outside.start(harness.m_loop, answerStageCall);
        model.start(harness.m_loop, [](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
            reply(request, formatChunkedHead(200, replicaHeaders(request), true) + formatChunk(event(1)) + std::string(LastChunk));
        });
        harness.m_store.put("op/config", configuration(1).dump());
        put(harness, "s-1", "stage", inside, "z1");
        put(harness, "s-2", "stage", outside, "z2");
        put(harness, "m-1", "model", model, "z3"); // prefers neither of the stage replicas
        const GatewayHarness::Process &gateway = harness.startGateway("g1");
        const auto sendChain = [&](const std::string &id) {
            Caller &caller = harness.send(gateway, "POST", "/chain/1", id, {{"X-Pieces", "2"}, {"X-Piece-Key", "k"}});
            harness.runUntil("answer to " + id, [&] { return caller.isAnswered() || caller.m_closed; });
            CPPUNIT_ASSERT_EQUAL(200, caller.m_reader.m_status);
        };
        for (int i = 0; inside.m_requests.empty() && i < 50; ++i) {
            sendChain(fmt::format("before-{}", i));
        }
        CPPUNIT_ASSERT(!inside.m_requests.empty());
        harness.m_store.put("op/evacuate/z1", "{}");
        waitForWatch(harness);
        inside.m_requests.clear();
        for (int i = 0; i < 10; ++i) {
            sendChain(fmt::format("during-{}", i));
        }
        CPPUNIT_ASSERT_EQUAL(size_t(0), inside.m_requests.size());
    }

    // Guards against a gateway that is started during an evacuation and does not know of it.
    void evacuationInForceAtTheStartIsKept()
    {
        GatewayHarness harness;
        FakeServer inside;
        FakeServer outside;
        inside.start(harness.m_loop, answerOk);
        outside.start(harness.m_loop, answerOk);
        harness.m_store.put("op/config", configuration(1).dump());
        harness.m_store.put("op/evacuate/z1", "{}");
        put(harness, "i-1", "plain", inside, "z1");
        put(harness, "i-2", "plain", outside, "z2");
        const GatewayHarness::Process &gateway = harness.startGateway("g1");
        for (int i = 0; i < 10; ++i) {
            CPPUNIT_ASSERT_EQUAL(200, answerTo(harness, gateway, "/read/1", fmt::format("a{}", i)));
        }
        CPPUNIT_ASSERT_EQUAL(size_t(0), inside.m_requests.size());
    }

    // Guards against requests that wait until their deadline, or are sent all the same, when no replica is left outside.
    void requestsAreRefusedWhenAllIsEvacuated()
    {
        GatewayHarness harness;
        FakeServer inside;
        inside.start(harness.m_loop, answerOk);
        harness.m_store.put("op/config", configuration(1).dump());
        harness.m_store.put("op/evacuate/z1", "{}");
        put(harness, "i-1", "plain", inside, "z1");
        const GatewayHarness::Process &gateway = harness.startGateway("g1");
        CPPUNIT_ASSERT_EQUAL(503, answerTo(harness, gateway, "/plain/1", "a1"));
        CPPUNIT_ASSERT_EQUAL(size_t(0), inside.m_requests.size());
    }

    // Guards against an evacuation of an unknown failure domain, or without one, that ends the process or takes replicas out of use.
    void oddEvacuationsHarmNothing()
    {
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, answerOk);
        harness.m_store.put("op/config", configuration(1).dump());
        harness.m_store.put("op/evacuate/", "{}");
        harness.m_store.put("op/evacuate/nowhere", "no json");
        harness.m_store.put("op/other", "x");
        put(harness, "i-1", "plain", replica, "z1");
        const GatewayHarness::Process &gateway = harness.startGateway("g1");
        CPPUNIT_ASSERT_EQUAL(200, answerTo(harness, gateway, "/plain/1", "a1"));
        harness.m_store.remove("op/evacuate/");
        harness.m_store.remove("op/evacuate/nowhere");
        waitForWatch(harness);
        CPPUNIT_ASSERT_EQUAL(200, answerTo(harness, gateway, "/plain/1", "a2"));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(EvacuationTest, "evacuation");
