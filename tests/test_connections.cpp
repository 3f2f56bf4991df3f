#include <cppunit/extensions/HelperMacros.h>

#include "gateway_world.h"
#include "serving.h"

using namespace Medlarramp;
using namespace Medlarramp::Serving;

/** Connections of gateways to replicas: retries of refused ones, reuse, and shares of a replica's limit. */
class ConnectionsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionsTest);
    CPPUNIT_TEST(pausesGrowAndAdmitOneConnectionEach);
    CPPUNIT_TEST(requestsAreRefusedWhenNoReplicaIsLikelyInTime);
    CPPUNIT_TEST(refusedConnectionsAreNotRetriedWithoutAPause);
    CPPUNIT_TEST(failoverFromARefusingReplicaSucceeds);
    CPPUNIT_TEST(waitingRequestIsServedWhenAReplicaIsBack);
    CPPUNIT_TEST(callerMayLeaveWhileItsRequestWaits);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a pause that does not grow, that ends for all waiting requests at once, or that grows with connections that failed
    // together.
    void pausesGrowAndAdmitOneConnectionEach()
    {
        Random random{1};
        ConnectHistory history;
        TimePoint now{seconds(100)};
        CPPUNIT_ASSERT(mayConnect(history, now));
        int opened = 0;
        for (const TimePoint end = now + seconds(10); now < end; now += milliseconds(1)) {
            for (int request = 0; request < 5; ++request) {
                if (mayConnect(history, now)) {
                    opened += 1;
                    beginConnect(history, random, now);
                    observeConnectFailure(history, now, random, now);
                }
            }
        }
        // Pauses of 10 to 500 ms in 10 s: at least 20 of them, and at most 40 of the longest after about six shorter ones.
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} connections", opened), opened >= 20 && opened <= 46);
        CPPUNIT_ASSERT(history.m_nextAt - now <= MaxConnectPause);
        const int failures = history.m_failures;
        observeConnectFailure(history, history.m_failedAt - milliseconds(1), random, now);
        CPPUNIT_ASSERT_EQUAL(failures, history.m_failures);
        observeConnected(history, now);
        CPPUNIT_ASSERT(mayConnect(history, now + ConnectPauseBase));
        observeConnectSuccess(history);
        CPPUNIT_ASSERT(mayConnect(history, now));
    }

    // Guards against a request that waits for a connection although none can come before its deadline, and against a pause before
    // the first failovers.
    void requestsAreRefusedWhenNoReplicaIsLikelyInTime()
    {
        Random random{1};
        const TimePoint now{seconds(100)};
        const TimePoint deadline = now + milliseconds(300);
        for (int failures = 0; failures <= MaxImmediateFailovers; ++failures) {
            CPPUNIT_ASSERT(nextConnectAt(failures, std::nullopt, deadline, random, now) == now);
        }
        CPPUNIT_ASSERT(nextConnectAt(1, now + milliseconds(90), deadline, random, now) == now + milliseconds(90));
        CPPUNIT_ASSERT(!nextConnectAt(1, deadline - milliseconds(10), deadline, random, now));
        const std::optional<TimePoint> paused = nextConnectAt(MaxImmediateFailovers + 1, std::nullopt, deadline, random, now);
        CPPUNIT_ASSERT(paused && *paused > now && *paused <= now + ConnectPauseBase);
        CPPUNIT_ASSERT(!nextConnectAt(MaxImmediateFailovers + 20, std::nullopt, now + milliseconds(200), random, now));
    }

    /** Value of a sample in the metrics of a gateway; 0 when it is missing. */
    static double metric(GatewayHarness &harness, const GatewayHarness::Process &gateway, const std::string &sample)
    {
        Caller &caller = harness.connectCaller(gateway.m_ready);
        caller.m_net->write(formatRequest("GET", "/metrics", {{"Host", "r"}}, ""));
        harness.runUntil("metrics", [&] { return caller.isAnswered(); });
        const std::string &text = caller.m_reader.m_body;
        const size_t start = text.find("\n" + sample + " ");
        return start == std::string::npos ? 0 : std::stod(text.substr(start + sample.size() + 2));
    }

    static double failedConnections(GatewayHarness &harness, const GatewayHarness::Process &gateway)
    {
        return metric(harness, gateway, "medlarramp_retries_total{reason=\"connect_failed\"}");
    }

    static Caller &ask(GatewayHarness &harness,
                       const GatewayHarness::Process &gateway,
                       const std::string &target,
                       const std::string &id,
                       const HttpHeaders &headers = {})
    {
        Caller &caller = harness.send(gateway, "POST", target, id, headers);
        harness.runUntil("answer to " + id, [&] { return caller.isAnswered() || caller.m_closed; });
        return caller;
    }

    // Guards against tens of thousands of connections in a second when all replicas of a service refuse them.
    void refusedConnectionsAreNotRetriedWithoutAPause()
    {
        constexpr double MaxConnections = 40; // three replicas, and a pause that doubles from 20 ms in 1,000 ms
        for (const char *target : {"/plain/1", "/read/1", "/stream/1"}) {
            GatewayHarness harness;
            std::list<FakeServer> replicas(3);
            for (FakeServer &replica : replicas) {
                replica.start(harness.m_loop, answerOk);
            }
            const std::string service = std::string(target).find("stream") == std::string::npos ? "plain" : "model";
            std::vector<RegisteredFake> registered;
            const char *const ids[] = {"i-1", "i-2", "i-3"};
            for (FakeServer &replica : replicas) {
                registered.push_back({ids[registered.size()], service.c_str(), &replica});
            }
            const GatewayHarness::Process &gateway = startServing(harness, registered);
            for (FakeServer &replica : replicas) {
                replica.m_listener.close();
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(target, 503, ask(harness, gateway, target, "a1", {{"X-Deadline-Ms", "1000"}}).m_reader.m_status);
            const double failed = failedConnections(harness, gateway);
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{}: {} retries", target, failed), failed > 0 && failed <= MaxConnections);
        }
    }

    // Guards against a pause, or a refusal, while another replica accepts connections.
    void failoverFromARefusingReplicaSucceeds()
    {
        GatewayHarness harness;
        FakeServer refusing;
        FakeServer sound;
        refusing.start(harness.m_loop, answerOk);
        sound.start(harness.m_loop, answerOk);
        const GatewayHarness::Process &gateway = startServing(harness, {{"i-1", "plain", &refusing}, {"i-2", "plain", &sound}});
        refusing.m_listener.close();
        for (int i = 0; i < 20; ++i) {
            const std::string id = fmt::format("a{}", i);
            CPPUNIT_ASSERT_EQUAL(200, ask(harness, gateway, "/plain/1", id, {{"X-Deadline-Ms", "400"}}).m_reader.m_status);
        }
        CPPUNIT_ASSERT_EQUAL(size_t(20), sound.m_requests.size());
        CPPUNIT_ASSERT(failedConnections(harness, gateway) <= 4);
    }

    // Guards against a refusal while the deadline leaves time for a replica that is back at its address.
    void waitingRequestIsServedWhenAReplicaIsBack()
    {
        for (const char *target : {"/plain/1", "/read/1"}) {
            GatewayHarness harness;
            FakeServer replica;
            replica.start(harness.m_loop, answerOk);
            const GatewayHarness::Process &gateway = startServing(harness, {{"i-1", "plain", &replica}});
            replica.crash(milliseconds(500), [] {});
            CPPUNIT_ASSERT_EQUAL(200, ask(harness, gateway, target, "a1").m_reader.m_status);
            CPPUNIT_ASSERT_EQUAL(size_t(1), replica.m_requests.size());
            const double failed = failedConnections(harness, gateway);
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{} retries", failed), failed <= 20);
        }
    }

    // Guards against a request that waits for a connection and is sent after its caller has left.
    void callerMayLeaveWhileItsRequestWaits()
    {
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, answerOk);
        const GatewayHarness::Process &gateway = startServing(harness, {{"i-1", "plain", &replica}});
        replica.crash(milliseconds(1000), [] {});
        Caller &caller = harness.send(gateway, "POST", "/plain/1", "a1");
        harness.runUntil("a failed connection", [&] { return failedConnections(harness, gateway) > 0; });
        caller.m_net->close();
        harness.runUntil("the end of the request", [&] { return metric(harness, gateway, "medlarramp_open_requests") == 0; });
        CPPUNIT_ASSERT_EQUAL(200, ask(harness, gateway, "/plain/1", "a2").m_reader.m_status);
        CPPUNIT_ASSERT_EQUAL(size_t(1), replica.m_requests.size());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ConnectionsTest, "connections");
