#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>

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
    CPPUNIT_TEST(reuseDependsOnTheRepliesOfTheHost);
    CPPUNIT_TEST(copiesOfStageAnswersAreRecognised);
    CPPUNIT_TEST(preferredReplicasAreEven);
    CPPUNIT_TEST(cachedPromptIsNotGivenUpForAConnection);
    CPPUNIT_TEST(requestsThatCannotBeRepeatedShareAConnection);
    CPPUNIT_TEST(silentConnectionsGetNoRequestThatCannotBeRepeated);
    CPPUNIT_TEST(stageCallsShareConnections);
    CPPUNIT_TEST(lateCopyOfAStageAnswerIsDropped);
    CPPUNIT_TEST(stageCallsUseNewConnectionsWhenTheseAreNotScarce);
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

    // Guards against a request that can't be repeated on a connection that has become silent, and against a changed reuse where
    // connections are not scarce.
    void reuseDependsOnTheRepliesOfTheHost()
    {
        const auto may = [](int idleMs, std::optional<int> heardMs, ConnectionUse use, bool scarce) {
            const std::optional<Duration> heard = heardMs ? std::optional<Duration>(milliseconds(*heardMs)) : std::nullopt;
            return mayReuse({milliseconds(idleMs), milliseconds(4000), heard}, use, scarce);
        };
        CPPUNIT_ASSERT(may(3000, 900, ConnectionUse::Recent, true));
        CPPUNIT_ASSERT(!may(3000, 900, ConnectionUse::Recent, false));
        CPPUNIT_ASSERT(!may(3000, 1500, ConnectionUse::Recent, true));
        CPPUNIT_ASSERT(!may(3000, std::nullopt, ConnectionUse::Recent, true));
        CPPUNIT_ASSERT(may(900, std::nullopt, ConnectionUse::Recent, false));
        CPPUNIT_ASSERT(may(3000, std::nullopt, ConnectionUse::Pooled, false));
        CPPUNIT_ASSERT(!may(100, 100, ConnectionUse::Fresh, true));
        CPPUNIT_ASSERT(!may(4000, 100, ConnectionUse::Pooled, true));
        CPPUNIT_ASSERT(hasScarceConnections(240, 87));
        CPPUNIT_ASSERT(!hasScarceConnections(240, 60));
        CPPUNIT_ASSERT(shortenIdleLimit(LongIdleLimit, milliseconds(10)) == DefaultIdleLimit);
        CPPUNIT_ASSERT(shortenIdleLimit(LongIdleLimit, seconds(20)) == seconds(15));
    }

    // Guards against a late copy of an answer that passes for the answer to the next stage call, and against a true answer that is
    // taken for a copy.
    void copiesOfStageAnswersAreRecognised()
    {
        CarriedCalls carried;
        CPPUNIT_ASSERT(recordStageAnswer(carried, {1, 2, 3}, {"", "h2", "h3"}));
        CPPUNIT_ASSERT(recordStageAnswer(carried, {4}, {"h4"}));
        CPPUNIT_ASSERT(isEarlierAnswer(carried, {"", "h2", "h3"}));
        CPPUNIT_ASSERT(isEarlierAnswer(carried, {"h4"}));
        CPPUNIT_ASSERT(!isEarlierAnswer(carried, {"h5", "h4"}));
        CPPUNIT_ASSERT(!isEarlierAnswer(carried, {"", ""}));
        CPPUNIT_ASSERT(!recordStageAnswer(carried, {6, 7}, {"", ""}));
        CPPUNIT_ASSERT(hasCarried(carried, {9, 2})); // run again, it may return the same handle
        CPPUNIT_ASSERT(!hasCarried(carried, {9, 8}));
    }

    // Guards against replicas that few or many gateways prefer.
    void preferredReplicasAreEven()
    {
        for (const size_t gateways : {size_t(8), size_t(57), size_t(87), size_t(91), size_t(117), size_t(295)}) {
            for (const size_t replicas : {size_t(7), size_t(13), size_t(111), size_t(112)}) {
                size_t least = gateways;
                size_t most = 0;
                for (size_t replica = 0; replica < replicas; ++replica) {
                    size_t count = 0;
                    for (size_t index = 0; index < gateways; ++index) {
                        count += isPreferred(replica, replicas, index) ? 1 : 0;
                    }
                    least = std::min(least, count);
                    most = std::max(most, count);
                }
                CPPUNIT_ASSERT_MESSAGE(fmt::format("{} gateways, {} replicas: {} to {}", gateways, replicas, least, most),
                                       most - least <= 1);
            }
        }
    }

    // Guards against a prompt that is read again because another replica has an idle connection.
    void cachedPromptIsNotGivenUpForAConnection()
    {
        std::vector<ReplicaView> replicas(3);
        for (size_t i = 0; i < replicas.size(); ++i) {
            replicas[i].m_id = fmt::format("i-{}", i);
            replicas[i].m_slots = 8;
        }
        PlacementRequest request;
        request.m_parts = {{7, 100}, {8, 10}};
        const size_t home = *homeReplica(replicas, request.m_parts);
        replicas[home].m_connectionCost = 1;
        CPPUNIT_ASSERT(placePrompt(replicas, request) == home);
        request.m_parts = {{8, 10}};
        for (size_t i = 0; i < replicas.size(); ++i) {
            replicas[i].m_connectionCost = i == 2 ? 0 : 0.008;
        }
        CPPUNIT_ASSERT(placePrompt(replicas, request) == size_t(2));
    }

    /** Starts a gateway with a configuration that allows @p maxConnections connections to each replica of all services. */
    static const GatewayHarness::Process &
    startWithLimit(GatewayHarness &harness, int maxConnections, const std::vector<RegisteredFake> &replicas)
    {
        nlohmann::json limited = configuration(1);
        for (nlohmann::json &service : limited.at("services")) {
            service["max_connections"] = maxConnections;
        }
        harness.m_store.put("op/config", limited.dump());
        for (const RegisteredFake &replica : replicas) {
            harness.m_store.putReplica(replica.m_id, replica.m_service, replica.m_server->address());
        }
        return harness.startGateway("g1");
    }

    // Guards against a new connection for each request that can't be repeated and comes more than a second after the last one.
    void requestsThatCannotBeRepeatedShareAConnection()
    {
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, answerOk);
        const GatewayHarness::Process &gateway = startWithLimit(harness, 3, {{"i-1", "plain", &replica}});
        for (int i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT_EQUAL(200, ask(harness, gateway, "/plain/1", fmt::format("a{}", i)).m_reader.m_status);
            harness.runFor(milliseconds(1700));
        }
        CPPUNIT_ASSERT_EQUAL(1, replica.m_connections);
        CPPUNIT_ASSERT_EQUAL(2.0, metric(harness, gateway, "medlarramp_connections_reused"));
        CPPUNIT_ASSERT_EQUAL(1.0, metric(harness, gateway, "medlarramp_connections_opened"));
    }

    /** Drops all that arrives on the accepted connections of @p server, as a host does that has gone without a reset. */
    static void silenceConnections(const FakeServer &server)
    {
        constexpr int MaxDescriptors = 1024;
        sock_filter dropAll = {BPF_RET | BPF_K, 0, 0, 0};
        const sock_fprog program = {1, &dropAll};
        int silenced = 0;
        for (int descriptor = 0; descriptor < MaxDescriptors; ++descriptor) {
            sockaddr_in local{};
            sockaddr_in peer{};
            socklen_t localSize = sizeof local;
            socklen_t peerSize = sizeof peer;
            const bool isConnected = getsockname(descriptor, reinterpret_cast<sockaddr *>(&local), &localSize) == 0
                && getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &peerSize) == 0;
            if (isConnected && local.sin_family == AF_INET && ntohs(local.sin_port) == server.m_listener.port()) {
                CPPUNIT_ASSERT_EQUAL(0, setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program));
                silenced += 1;
            }
        }
        CPPUNIT_ASSERT(silenced > 0);
    }

    // Guards against a request that is lost on a connection that became silent without a reset.
    void silentConnectionsGetNoRequestThatCannotBeRepeated()
    {
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, answerOk);
        const GatewayHarness::Process &gateway = startWithLimit(harness, 3, {{"i-1", "plain", &replica}});
        CPPUNIT_ASSERT_EQUAL(200, ask(harness, gateway, "/plain/1", "a1").m_reader.m_status);
        silenceConnections(replica);
        harness.runFor(milliseconds(1700));
        CPPUNIT_ASSERT_EQUAL(200, ask(harness, gateway, "/plain/1", "a2").m_reader.m_status);
        CPPUNIT_ASSERT_EQUAL(2, replica.m_connections);
    }

    // Guards against a new connection for each stage call.
    void stageCallsShareConnections()
    {
        GatewayHarness harness;
        FakeServer stage;
        FakeServer model;
        stage.start(harness.m_loop, answerStageCall);
        model.start(harness.m_loop, [](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
            reply(request, formatAnswer(200, replicaHeaders(request), event(1), true));
        });
        const GatewayHarness::Process &gateway = startWithLimit(harness, 3, {{"i-1", "stage", &stage}, {"i-2", "model", &model}});
        for (int i = 0; i < 6; ++i) {
            CPPUNIT_ASSERT_EQUAL(200, ask(harness, gateway, "/chain/1", fmt::format("a{}", i), {{"X-Pieces", "2"}}).m_reader.m_status);
        }
        CPPUNIT_ASSERT_EQUAL(size_t(6), stage.requestsFor("/-/stage-run").size());
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} connections", stage.m_connections), stage.m_connections <= 2); // one for releases
        CPPUNIT_ASSERT_EQUAL(1, model.m_connections);
    }

    // Guards against a second copy of an answer to a stage call, late, that passes for the answer to the next one.
    void lateCopyOfAStageAnswerIsDropped()
    {
        GatewayHarness harness;
        FakeServer stage;
        FakeServer model;
        std::string earlier;
        stage.start(harness.m_loop, [&earlier](FakeServer &server, const std::shared_ptr<ReceivedRequest> &request) {
            if (request->m_request.m_target != "/-/stage-run") {
                answerStageCall(server, request);
                return;
            }
            const nlohmann::json entry = nlohmann::json::parse(request->m_request.m_body).at("entries").at(0);
            const std::string handle = fmt::format("{}/{}-0", server.address(), entry.at("id").get<std::string>());
            const nlohmann::json body = {{"entries", nlohmann::json::array({{{"handle", handle}}})}};
            const std::string answer = formatAnswer(200, {{"Content-Type", "application/json"}}, body.dump(), true);
            reply(request, std::exchange(earlier, answer) + answer);
        });
        model.start(harness.m_loop, [](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
            reply(request, formatAnswer(200, replicaHeaders(request), event(1), true));
        });
        const GatewayHarness::Process &gateway = startWithLimit(harness, 3, {{"i-1", "stage", &stage}, {"i-2", "model", &model}});
        for (const char *id : {"first", "second", "third"}) {
            CPPUNIT_ASSERT_EQUAL(200, ask(harness, gateway, "/chain/1", id, {{"X-Pieces", "1"}}).m_reader.m_status);
            std::string inputs;
            for (const HttpHeader &header : model.m_requests.back()->m_request.m_headers) {
                inputs += header.m_value.find(stage.address()) == std::string::npos ? "" : header.m_value;
            }
            CPPUNIT_ASSERT_MESSAGE(inputs, inputs.find(fmt::format("/{}-0", id)) != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(size_t(3), stage.requestsFor("/-/stage-run").size());
        CPPUNIT_ASSERT_EQUAL(2.0, metric(harness, gateway, "medlarramp_stage_answer_copies"));
    }

    // Guards against changed use of services with many connections for each gateway.
    void stageCallsUseNewConnectionsWhenTheseAreNotScarce()
    {
        GatewayHarness harness;
        FakeServer stage;
        FakeServer model;
        stage.start(harness.m_loop, answerStageCall);
        model.start(harness.m_loop, [](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
            reply(request, formatAnswer(200, replicaHeaders(request), event(1), true));
        });
        const GatewayHarness::Process &gateway = startWithLimit(harness, 4, {{"i-1", "stage", &stage}, {"i-2", "model", &model}});
        for (int i = 0; i < 4; ++i) {
            CPPUNIT_ASSERT_EQUAL(200, ask(harness, gateway, "/chain/1", fmt::format("a{}", i), {{"X-Pieces", "2"}}).m_reader.m_status);
        }
        CPPUNIT_ASSERT(stage.m_connections >= 4);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ConnectionsTest, "connections");
