#include <cppunit/extensions/HelperMacros.h>

#include "gateway_world.h"
#include "serving.h"

using namespace Medlarramp;
using namespace Medlarramp::Serving;

/** Answers of the watch that a few gateways pass on to the others. */
class RelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayTest);
    CPPUNIT_TEST(smallFleetsWatchOnTheirOwn);
    CPPUNIT_TEST(watchersGrowWithTheSquareRoot);
    CPPUNIT_TEST(suspectedWatchersAreReplaced);
    CPPUNIT_TEST(subscriptionsEnd);
    CPPUNIT_TEST(answersProveTheirAge);
    CPPUNIT_TEST(gapsAreReadFromTheStore);
    CPPUNIT_TEST(followersLearnChangesWithoutOwnCalls);
    CPPUNIT_TEST(recordsOfStreamsAreNotRelayed);
    CPPUNIT_TEST(followersWatchWhenTheirSourcesAreGone);
    CPPUNIT_TEST_SUITE_END();

    static Member member(const std::string &node, double weight)
    {
        return {node, "127.0.0.1:1", "z1", weight, 1};
    }

    static Membership membership(size_t count, const std::string &self)
    {
        Membership result;
        result.m_self = member(self, 1);
        std::vector<Member> members;
        for (size_t i = 0; i < count; ++i) {
            members.push_back(member(fmt::format("g{}", i), 1));
        }
        replaceMembers(result, members, TimePoint());
        return result;
    }

    // Guards against a change of fleets that are too small to gain from relays.
    void smallFleetsWatchOnTheirOwn()
    {
        CPPUNIT_ASSERT(relayWatchers(membership(MinRelayMembers - 1, "g0"), TimePoint()).empty());
        CPPUNIT_ASSERT(relaySources(membership(MinRelayMembers - 1, "g0"), TimePoint()).empty());
    }

    // Guards against calls to the store that grow with the fleet, against gateways without sources, and against an uneven share.
    void watchersGrowWithTheSquareRoot()
    {
        for (const size_t size : {size_t(91), size_t(295), size_t(610)}) {
            std::map<std::string, int> subscribers;
            size_t watching = 0;
            for (size_t i = 0; i < size; ++i) {
                const std::string self = fmt::format("g{}", i);
                const std::vector<std::string> sources = relaySources(membership(size, self), TimePoint());
                watching += sources.empty() ? 1 : 0;
                CPPUNIT_ASSERT(sources.empty() || (sources.size() == RelaySources && sources[0] != sources[1]));
                for (const std::string &source : sources) {
                    CPPUNIT_ASSERT(source != self);
                    subscribers[source] += 1;
                }
            }
            const size_t expected = relayWatchers(membership(size, "g0"), TimePoint()).size();
            CPPUNIT_ASSERT_EQUAL(expected, watching);
            CPPUNIT_ASSERT(expected * expected <= size + 2 * expected);
            for (const auto &[node, count] : subscribers) {
                CPPUNIT_ASSERT_MESSAGE(node, static_cast<size_t>(count) <= 2 * RelaySources * size / expected);
            }
        }
    }

    // Guards against gateways that go on relying on a source that does not answer.
    void suspectedWatchersAreReplaced()
    {
        Membership members = membership(91, "g0");
        const TimePoint now = TimePoint() + seconds(100);
        const std::vector<std::string> before = relayWatchers(members, now);
        suspectMember(members, before.front() == "g0" ? before.back() : before.front(), now);
        const std::vector<std::string> after = relayWatchers(members, now);
        CPPUNIT_ASSERT_EQUAL(before.size(), after.size());
        size_t kept = 0;
        for (const std::string &node : before) {
            kept += std::count(after.begin(), after.end(), node);
        }
        CPPUNIT_ASSERT_EQUAL(before.size() - 1, kept);
    }

    // Guards against messages to gateways that have gone, and against subscriptions without bound.
    void subscriptionsEnd()
    {
        RelayState state;
        const TimePoint now = TimePoint() + seconds(100);
        for (size_t i = 0; i < MaxSubscribers; ++i) {
            CPPUNIT_ASSERT(addSubscriber(state, fmt::format("g{}", i), now));
        }
        CPPUNIT_ASSERT(!addSubscriber(state, "one-more", now));
        CPPUNIT_ASSERT(addSubscriber(state, "g0", now + seconds(1)));
        CPPUNIT_ASSERT_EQUAL(MaxSubscribers, currentSubscribers(state, now).size());
        CPPUNIT_ASSERT(currentSubscribers(state, now + SubscriptionTime) == std::vector<std::string>{"g0"});
    }

    // Guards against an answer that is taken for newer than the subscription that reached the watcher before its call.
    void answersProveTheirAge()
    {
        RelayState state;
        const TimePoint now = TimePoint() + seconds(100);
        noteSubscriberTime(state, "a", 5);
        CPPUNIT_ASSERT_EQUAL(int64_t(0), answeredTime(state, "a"));
        addSubscriber(state, "a", now);
        noteSubscriberTime(state, "a", 10);
        CPPUNIT_ASSERT_EQUAL(int64_t(0), answeredTime(state, "a"));
        beginRelayedCall(state);
        noteSubscriberTime(state, "a", 20);
        CPPUNIT_ASSERT_EQUAL(int64_t(10), answeredTime(state, "a"));
        currentSubscribers(state, now + SubscriptionTime);
        CPPUNIT_ASSERT_EQUAL(int64_t(0), answeredTime(state, "a"));
    }

    // Guards against changes that are skipped because the answer before them was lost, and against older knowledge that replaces newer.
    void gapsAreReadFromTheStore()
    {
        CPPUNIT_ASSERT(decideRelay(StoreVersion(0, 10), StoreVersion(0, 10), StoreVersion(0, 12)) == RelayStep::Apply);
        CPPUNIT_ASSERT(decideRelay(StoreVersion(0, 10), StoreVersion(0, 8), StoreVersion(0, 12)) == RelayStep::Apply);
        CPPUNIT_ASSERT(decideRelay(StoreVersion(0, 10), StoreVersion(0, 10), StoreVersion(0, 10)) == RelayStep::Apply);
        CPPUNIT_ASSERT(decideRelay(StoreVersion(0, 10), StoreVersion(0, 11), StoreVersion(0, 12)) == RelayStep::Read);
        CPPUNIT_ASSERT(decideRelay(StoreVersion(0, 10), StoreVersion(0, 5), StoreVersion(0, 9)) == RelayStep::Ignore);
        // Revisions of another era can't be compared with what is known.
        CPPUNIT_ASSERT(decideRelay(StoreVersion(1, 10), StoreVersion(0, 10), StoreVersion(0, 12)) == RelayStep::Ignore);
        CPPUNIT_ASSERT(decideRelay(StoreVersion(0, 10), StoreVersion(1, 10), StoreVersion(1, 12)) == RelayStep::Read);
    }

    /** Registers members that do not exist, so that the fleet is large enough for relays. */
    static void addMembers(FakeStore &store, double weight)
    {
        for (size_t i = 0; i < MinRelayMembers; ++i) {
            const std::string node = fmt::format("absent-{}", i);
            const nlohmann::json value = {
                {"node", node}, {"address", "127.0.0.1:1"}, {"failure_domain", "z1"}, {"weight", weight}, {"incarnation", 1}};
            store.put("entries/" + node, value.dump());
        }
    }

    static int64_t metric(GatewayHarness &harness, const GatewayHarness::Process &gateway, const std::string &name)
    {
        Caller &caller = harness.connectCaller(gateway.m_ready);
        caller.m_net->write(formatRequest("GET", "/metrics", {{"Host", "r"}}, ""));
        harness.runUntil("metrics", [&] { return caller.isAnswered(); });
        const std::string &text = caller.m_reader.m_body;
        const size_t start = text.find("\n" + name + " ");
        CPPUNIT_ASSERT_MESSAGE(name, start != std::string::npos);
        return std::stoll(text.substr(start + name.size() + 2));
    }

    static int answerTo(GatewayHarness &harness, const GatewayHarness::Process &gateway, const std::string &target, const std::string &id)
    {
        Caller &caller = harness.send(gateway, "GET", target, id);
        harness.runUntil("answer to " + id, [&] { return caller.isAnswered() || caller.m_closed; });
        return caller.m_reader.m_status;
    }

    static nlohmann::json withRoute(int64_t version, const std::string &prefix)
    {
        nlohmann::json changed = configuration(version);
        changed["routes"].push_back(route("added", prefix, "idempotent", "plain"));
        return changed;
    }

    /** Waits until @p gateway serves a route that was added. */
    static void waitForRoute(GatewayHarness &harness, const GatewayHarness::Process &gateway, const std::string &target)
    {
        int attempt = 0;
        harness.runUntil("route " + target, [&] {
            harness.runFor(milliseconds(20));
            return answerTo(harness, gateway, target, fmt::format("{}-{}", target, ++attempt)) == 200;
        });
    }

    /** Starts six gateways that watch the store and one that follows them. */
    static const GatewayHarness::Process &startFollower(GatewayHarness &harness, const FakeServer &replica)
    {
        harness.m_store.put("op/config", configuration(1).dump());
        harness.m_store.putReplica("i-1", "plain", replica.address());
        addMembers(harness.m_store, 1e-6);
        for (int i = 0; i < 6; ++i) {
            harness.startGateway(fmt::format("w{}", i));
        }
        // Too small a VM to watch for others.
        const GatewayHarness::Process &follower = harness.startGateway("f", 8000, {{"processor_share", 0.01}});
        harness.runUntil("relayed answers", [&] {
            harness.runFor(milliseconds(50));
            return metric(harness, follower, "medlarramp_relay_following") == 1;
        });
        return follower;
    }

    // Guards against a follower that watches all the same, and against one that does not learn of changes.
    void followersLearnChangesWithoutOwnCalls()
    {
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, answerOk);
        const GatewayHarness::Process &follower = startFollower(harness, replica);
        const int64_t calls = metric(harness, follower, "medlarramp_watch_calls");
        harness.m_store.put("op/config", withRoute(2, "/added/").dump());
        waitForRoute(harness, follower, "/added/1");
        harness.m_store.putReplica("i-2", "plain", replica.address());
        harness.m_store.putReplica("i-1", "plain", replica.address(), "draining");
        harness.runUntil("replicas", [&] {
            harness.runFor(milliseconds(50));
            return metric(harness, follower, "medlarramp_replicas") == 2;
        });
        CPPUNIT_ASSERT_EQUAL(calls, metric(harness, follower, "medlarramp_watch_calls"));
    }

    // Guards against records of streams that are passed on, and make followers read from the store what exceeds an answer.
    void recordsOfStreamsAreNotRelayed()
    {
        constexpr size_t RecordBytes = 100 * 1024; // more than one relayed answer holds
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, answerOk);
        const GatewayHarness::Process &follower = startFollower(harness, replica);
        const int64_t calls = metric(harness, follower, "medlarramp_watch_calls");
        harness.m_store.put("entries/.streams/absent-0/1", std::string(RecordBytes, 'x'));
        harness.m_store.put("op/config", withRoute(2, "/added/").dump());
        waitForRoute(harness, follower, "/added/1");
        CPPUNIT_ASSERT_EQUAL(calls, metric(harness, follower, "medlarramp_watch_calls"));
    }

    // Guards against changes that are not learned because the gateways that should pass them on do not exist any more.
    void followersWatchWhenTheirSourcesAreGone()
    {
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, answerOk);
        harness.m_store.put("op/config", configuration(1).dump());
        harness.m_store.putReplica("i-1", "plain", replica.address());
        addMembers(harness.m_store, 1e3);
        const GatewayHarness::Process &gateway = harness.startGateway("f");
        harness.m_store.put("op/config", withRoute(2, "/added/").dump());
        waitForRoute(harness, gateway, "/added/1");
        CPPUNIT_ASSERT_EQUAL(int64_t(0), metric(harness, gateway, "medlarramp_relay_following"));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RelayTest, "relay");
