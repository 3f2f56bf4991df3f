#include <queue>

#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cppunit/extensions/HelperMacros.h>

#include "gateway_world.h"
#include "serving.h"

using namespace Medlarramp;
using namespace Medlarramp::Serving;

namespace {

/** Gateways and replicas on virtual time; the gateways use the decisions on connections. */
class VirtualFleet
{
public:
    struct Settings {
        size_t m_replicas = 7;
        int m_slots = 6;
        int m_maxConnections = 240;
        double m_rate = 5; ///< requests per second and gateway
        Duration m_meanHold = seconds(1); ///< of the time that a request takes
        bool m_isPrompt = false; ///< placed by placePrompt(), without shared parts
    };

    VirtualFleet(const Settings &settings, uint64_t seed) : m_settings(settings), m_random{seed}, m_requests(settings.m_replicas)
    {
    }

    /** Adds gateways that are settled or start now. */
    void join(size_t count, bool isSettled)
    {
        for (size_t i = 0; i < count; ++i) {
            Gateway &gateway = m_gateways.emplace_back();
            gateway.m_member.m_node = fmt::format("g{:04}", m_gateways.size());
            gateway.m_startedAt = isSettled ? m_now - ShareSettlingTime : m_now;
            gateway.m_membership.m_self = gateway.m_member;
            gateway.m_replicas.resize(m_settings.m_replicas);
        }
        announce();
        for (Gateway &gateway : m_gateways) {
            if (gateway.m_startedAt == m_now || isSettled) {
                replaceMembers(gateway.m_membership, members(), m_now); // listed before the first request
            }
        }
    }

    /** Ends the last @p count live gateways, and with them their connections. */
    void die(size_t count)
    {
        for (auto gateway = m_gateways.rbegin(); gateway != m_gateways.rend() && count > 0; ++gateway) {
            count -= gateway->m_isAlive ? 1 : 0;
            gateway->m_isAlive = false;
        }
        announce();
    }

    /** The first @p count gateways learn of no more changes of the membership. */
    void partition(size_t count)
    {
        for (size_t i = 0; i < count; ++i) {
            m_gateways[i].m_isPartitioned = true;
        }
    }

    void run(Duration duration)
    {
        constexpr Duration Step = milliseconds(10);
        for (const TimePoint end = m_now + duration; m_now < end; m_now += Step) {
            for (Gateway &gateway : m_gateways) {
                if (gateway.m_isAlive) {
                    runGateway(gateway, Step);
                }
            }
            checkLimit();
        }
    }

    /** Number of requests that got a replica, by replica. */
    const std::vector<int64_t> &requests() const
    {
        return m_requests;
    }

    double opened() const
    {
        return static_cast<double>(m_opened);
    }

    int most() const
    {
        return m_most;
    }

private:
    struct Replica {
        int m_busy = 0;
        std::vector<TimePoint> m_idle; ///< since when, oldest first
    };

    struct Gateway {
        Member m_member;
        Membership m_membership;
        TimePoint m_startedAt;
        bool m_isAlive = true;
        bool m_isPartitioned = false;
        std::optional<TimePoint> m_readAt; ///< when the last change of the membership is read
        std::vector<Replica> m_replicas;
        std::priority_queue<std::pair<int64_t, size_t>, std::vector<std::pair<int64_t, size_t>>, std::greater<>> m_ends;
    };

    std::vector<Member> members() const
    {
        std::vector<Member> members;
        for (const Gateway &gateway : m_gateways) {
            if (gateway.m_isAlive) {
                members.push_back(gateway.m_member);
            }
        }
        return members;
    }

    void announce()
    {
        for (Gateway &gateway : m_gateways) {
            gateway.m_readAt = m_now + milliseconds(static_cast<int64_t>(2000 * uniformReal(m_random)));
        }
    }

    int share(Gateway &gateway) const
    {
        const size_t count = memberCount(gateway.m_membership, m_now);
        return connectionShare(m_settings.m_maxConnections, count, m_now - gateway.m_startedAt, TimePoint(), m_now);
    }

    static int held(const Replica &replica)
    {
        return replica.m_busy + static_cast<int>(replica.m_idle.size());
    }

    void runGateway(Gateway &gateway, Duration step)
    {
        if (gateway.m_readAt && *gateway.m_readAt <= m_now && !gateway.m_isPartitioned) {
            replaceMembers(gateway.m_membership, members(), m_now);
            gateway.m_readAt.reset();
        }
        while (!gateway.m_ends.empty() && gateway.m_ends.top().first <= m_now.time_since_epoch().count()) {
            Replica &replica = gateway.m_replicas[gateway.m_ends.top().second];
            gateway.m_ends.pop();
            replica.m_busy -= 1;
            replica.m_idle.push_back(m_now);
        }
        constexpr Duration IdleLimit = seconds(3); // of a Keep-Alive time of 4 s
        const int limit = share(gateway);
        for (Replica &replica : gateway.m_replicas) {
            while (!replica.m_idle.empty() && (m_now - replica.m_idle.front() >= IdleLimit || held(replica) > limit)) {
                replica.m_idle.erase(replica.m_idle.begin());
            }
        }
        const double expected = m_settings.m_rate * static_cast<double>(step.count()) / 1e6;
        for (double chance = expected; chance > 0; chance -= 1) {
            if (uniformReal(m_random) < chance) {
                place(gateway, limit);
            }
        }
    }

    void place(Gateway &gateway, int limit)
    {
        const auto &nodes = gateway.m_membership.m_members;
        const auto index = static_cast<size_t>(std::distance(nodes.begin(), nodes.find(gateway.m_member.m_node)));
        std::vector<ReplicaView> views;
        std::vector<size_t> positions;
        for (size_t i = 0; i < gateway.m_replicas.size(); ++i) {
            const Replica &replica = gateway.m_replicas[i];
            if (replica.m_idle.empty() && replica.m_busy >= limit) {
                continue;
            }
            ReplicaView view;
            view.m_slots = m_settings.m_slots;
            view.m_running = replica.m_busy;
            view.m_connectionCost = connectionCost(!replica.m_idle.empty(), isPreferred(i, gateway.m_replicas.size(), index), m_random);
            views.push_back(std::move(view));
            positions.push_back(i);
        }
        PlacementRequest request;
        const std::optional<size_t> chosen = m_settings.m_isPrompt ? placePrompt(views, request) : placePlain(views, request, m_random);
        if (!chosen) {
            return; // all connections of the share are in use
        }
        const size_t position = positions[*chosen];
        Replica &replica = gateway.m_replicas[position];
        if (replica.m_idle.empty()) {
            m_opened += 1;
        } else {
            replica.m_idle.pop_back();
        }
        replica.m_busy += 1;
        m_requests[position] += 1;
        const double hold = std::min(12e6, -std::log(1 - uniformReal(m_random)) * static_cast<double>(m_settings.m_meanHold.count()));
        gateway.m_ends.emplace((m_now + Duration(static_cast<int64_t>(hold))).time_since_epoch().count(), position);
    }

    void checkLimit()
    {
        for (size_t i = 0; i < m_settings.m_replicas; ++i) {
            int connections = 0;
            for (const Gateway &gateway : m_gateways) {
                connections += gateway.m_isAlive && !gateway.m_isPartitioned ? held(gateway.m_replicas[i]) : 0;
            }
            m_most = std::max(m_most, connections);
        }
    }

    Settings m_settings;
    Random m_random;
    TimePoint m_now{seconds(1000)};
    std::deque<Gateway> m_gateways;
    std::vector<int64_t> m_requests;
    int64_t m_opened = 0;
    int m_most = 0;
};

/** The least and the largest number in @p counts, as shares of their mean. */
std::pair<double, double> spread(const std::vector<int64_t> &counts)
{
    double sum = 0;
    for (const int64_t count : counts) {
        sum += static_cast<double>(count);
    }
    const double mean = sum / static_cast<double>(counts.size());
    const auto [least, most] = std::minmax_element(counts.begin(), counts.end());
    return {static_cast<double>(*least) / mean, static_cast<double>(*most) / mean};
}

} // namespace

/** Connections of gateways to replicas: retries of refused ones, reuse, and shares of a replica's limit. */
class ConnectionsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionsTest);
    CPPUNIT_TEST(pausesGrowAndAdmitOneConnectionEach);
    CPPUNIT_TEST(requestsAreRefusedWhenNoReplicaIsLikelyInTime);
    CPPUNIT_TEST(refusedConnectionsAreNotRetriedWithoutAPause);
    CPPUNIT_TEST(portOfAStoppedFakeServerIsNotGivenAway);
    CPPUNIT_TEST(failoverFromARefusingReplicaSucceeds);
    CPPUNIT_TEST(waitingRequestIsServedWhenAReplicaIsBack);
    CPPUNIT_TEST(allWaitingRequestsAreServedWhenAReplicaIsBack);
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
    CPPUNIT_TEST(sharesDependOnTheMembership);
    CPPUNIT_TEST(limitIsKeptWhileGatewaysDieAndJoin);
    CPPUNIT_TEST(fewConnectionsAreOpenedAndLoadIsEven);
    CPPUNIT_TEST(requestsBeyondTheShareWait);
    CPPUNIT_TEST(requestsBeyondTheShareAreRefusedAtTheirDeadline);
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
                replica.stopListening();
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(target, 503, ask(harness, gateway, target, "a1", {{"X-Deadline-Ms", "1000"}}).m_reader.m_status);
            const double failed = failedConnections(harness, gateway);
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{}: {} retries", target, failed), failed > 0 && failed <= MaxConnections);
        }
    }

    // Guards against tests that reach a server of another process at the address of a fake server that has stopped.
    void portOfAStoppedFakeServerIsNotGivenAway()
    {
        GatewayHarness harness;
        FakeServer server;
        server.start(harness.m_loop, answerOk);
        const std::string address = server.address();
        server.stopListening();
        Caller &caller = harness.connectCaller(address);
        harness.runUntil("the refusal of a connection", [&] { return caller.m_closed; });
        const int rival = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in local{};
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        local.sin_port = htons(static_cast<uint16_t>(parseSocketAddress(address)->m_port));
        const int code = bind(rival, reinterpret_cast<const sockaddr *>(&local), sizeof local);
        close(rival);
        CPPUNIT_ASSERT_EQUAL(-1, code);
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
        refusing.stopListening();
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

    // Guards against a refusal when the pause of a replica ends between two steps of the same decision.
    void allWaitingRequestsAreServedWhenAReplicaIsBack()
    {
        constexpr size_t Requests = 1000; // they wait for the end of the same pauses
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, answerOk);
        const GatewayHarness::Process &gateway = startServing(harness, {{"i-1", "plain", &replica}});
        replica.crash(milliseconds(1000), [] {});
        std::vector<Caller *> callers;
        for (size_t i = 0; i < Requests; ++i) {
            callers.push_back(&harness.send(gateway, "POST", "/plain/1", fmt::format("a{}", i)));
        }
        harness.runUntil("all answers", [&] {
            return std::all_of(
                callers.begin(), callers.end(), [](const Caller *caller) { return caller->isAnswered() || caller->m_closed; });
        });
        for (const Caller *caller : callers) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(caller->m_reader.m_body, 200, caller->m_reader.m_status);
        }
        CPPUNIT_ASSERT_EQUAL(Requests, replica.m_requests.size());
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

    // Guards against shares that together exceed the limit of a replica, and against a share of none.
    void sharesDependOnTheMembership()
    {
        const TimePoint now{seconds(100)};
        const auto share = [now](int limit, size_t gateways) {
            return connectionShare(limit, gateways, ShareSettlingTime, TimePoint(), now);
        };
        CPPUNIT_ASSERT_EQUAL(2, share(240, 87));
        CPPUNIT_ASSERT_EQUAL(2, share(250, 91));
        CPPUNIT_ASSERT_EQUAL(1, share(120, 87));
        CPPUNIT_ASSERT_EQUAL(3, share(240, 57));
        CPPUNIT_ASSERT_EQUAL(1, share(240, 295));
        CPPUNIT_ASSERT_EQUAL(1, connectionShare(240, 57, ShareSettlingTime - milliseconds(1), TimePoint(), now));
        CPPUNIT_ASSERT_EQUAL(2, connectionShare(240, 57, ShareSettlingTime, now + milliseconds(1), now));
        CPPUNIT_ASSERT_EQUAL(1, connectionShare(240, 120, ShareSettlingTime, now + milliseconds(1), now));
        for (size_t gateways = 1; gateways <= 210; ++gateways) {
            const int total = share(240, gateways) * static_cast<int>(gateways);
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{} gateways", gateways), total + 30 <= 240);
        }
    }

    // Guards against more connections than a replica accepts while gateways with more demand than their shares die and join, with
    // views of the membership that differ for up to 2 s; and against replicas that get little.
    void limitIsKeptWhileGatewaysDieAndJoin()
    {
        for (uint64_t seed = 1; seed <= 10; ++seed) {
            VirtualFleet::Settings settings;
            settings.m_rate = 40;
            VirtualFleet fleet(settings, seed);
            fleet.join(87, true);
            fleet.run(seconds(10));
            fleet.die(30);
            fleet.run(seconds(5));
            if (seed % 2 == 0) {
                fleet.partition(5);
            }
            fleet.run(seconds(25));
            fleet.join(30, false);
            fleet.run(seconds(30));
            fleet.join(30, false);
            fleet.run(seconds(30));
            CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: {} connections", seed, fleet.most()), fleet.most() <= 240);
            CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: {} connections", seed, fleet.most()), fleet.most() >= 150);
            const auto [least, most] = spread(fleet.requests());
            CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: {:.2f} to {:.2f}", seed, least, most), least >= 0.8 && most <= 1.2);
        }
    }

    // Guards against a new connection for most requests, and against replicas that get many requests because they have idle connections.
    void fewConnectionsAreOpenedAndLoadIsEven()
    {
        for (uint64_t seed = 1; seed <= 3; ++seed) {
            VirtualFleet::Settings settings;
            settings.m_replicas = 112;
            settings.m_slots = 16;
            settings.m_isPrompt = true;
            VirtualFleet fleet(settings, seed);
            fleet.join(87, true);
            fleet.run(seconds(60));
            fleet.die(30);
            fleet.run(seconds(40));
            fleet.join(30, false);
            fleet.run(seconds(100));
            double requests = 0;
            for (const int64_t count : fleet.requests()) {
                requests += static_cast<double>(count);
            }
            CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: {:.3f} per request", seed, fleet.opened() / requests),
                                   fleet.opened() <= 0.3 * requests);
            const auto [least, most] = spread(fleet.requests());
            CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: {:.2f} to {:.2f}", seed, least, most), least >= 0.8 && most <= 1.2);
            CPPUNIT_ASSERT(fleet.most() <= 240);
        }
    }

    // Guards against a connection beyond the share, and against a refusal while one becomes free in time.
    void requestsBeyondTheShareWait()
    {
        GatewayHarness harness;
        FakeServer replica;
        std::list<NetTimer> timers;
        replica.start(harness.m_loop, [&](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
            timers.emplace_back().start(harness.m_loop, milliseconds(200), [request] {
                reply(request, formatAnswer(200, replicaHeaders(request), "whole", true));
            });
        });
        const GatewayHarness::Process &gateway = startWithLimit(harness, 3, {{"i-1", "plain", &replica}});
        constexpr int Requests = 4;
        std::vector<Caller *> callers;
        callers.reserve(Requests);
        for (int i = 0; i < Requests; ++i) {
            callers.push_back(&harness.send(gateway, "POST", "/plain/1", fmt::format("a{}", i)));
        }
        for (const Caller *caller : callers) {
            harness.runUntil("answer", [&] { return caller->isAnswered() || caller->m_closed; });
            CPPUNIT_ASSERT_EQUAL(200, caller->m_reader.m_status);
        }
        CPPUNIT_ASSERT_EQUAL(1, replica.m_connections); // the share of a gateway that has just started
        CPPUNIT_ASSERT_EQUAL(size_t(4), replica.m_requests.size());
    }

    // Guards against a refusal that is not counted, and against a refused request that runs.
    void requestsBeyondTheShareAreRefusedAtTheirDeadline()
    {
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, [](FakeServer &, const std::shared_ptr<ReceivedRequest> &) {});
        const GatewayHarness::Process &gateway = startWithLimit(harness, 3, {{"i-1", "plain", &replica}});
        harness.send(gateway, "POST", "/plain/1", "a1");
        harness.runUntil("the first request", [&] { return replica.m_requests.size() == 1; });
        CPPUNIT_ASSERT_EQUAL(503, ask(harness, gateway, "/plain/1", "a2", {{"X-Deadline-Ms", "400"}}).m_reader.m_status);
        CPPUNIT_ASSERT_EQUAL(size_t(1), replica.m_requests.size());
        CPPUNIT_ASSERT_EQUAL(1.0, metric(harness, gateway, "medlarramp_connections_refused_by_share"));
        CPPUNIT_ASSERT_EQUAL(1.0, metric(harness, gateway, "medlarramp_refusals_total{reason=\"too_many_connections\"}"));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ConnectionsTest, "connections");
