#include <algorithm>
#include <list>
#include <map>

#include <cppunit/extensions/HelperMacros.h>

#include "gateway_world.h"

using namespace Medlarramp;
using namespace Medlarramp::Serving;

namespace {

constexpr Duration SettleTime = milliseconds(2000); ///< in which a gateway learns of registrations, and the usual version is written

/** A model replica that sends one event of each stream and keeps it open, and ends a stream that is taken up. */
struct ModelReplica {
    std::string m_id;
    std::string m_version;
    FakeServer m_server;
};

/** Replicas of several software versions behind gateways. */
struct VersionedService {
    GatewayHarness m_harness;
    std::list<ModelReplica> m_replicas;
    std::map<std::string, std::string> m_versions; ///< version of the replica that got a request last, by attempt id

    ModelReplica &add(const std::string &id, const std::string &version)
    {
        ModelReplica &replica = m_replicas.emplace_back();
        replica.m_id = id;
        replica.m_version = version;
        replica.m_server.start(m_harness.m_loop, [this, version](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
            const HttpHeaders &headers = request->m_request.m_headers;
            m_versions[std::string(findHeader(headers, "X-Attempt-Id").value_or(""))] = version;
            const bool isTakenUp = findHeader(headers, "Last-Event-Id").has_value();
            reply(request, formatChunkedHead(200, replicaHeaders(request), true) + formatChunk(event(isTakenUp ? 2 : 1)));
            if (isTakenUp) {
                reply(request, std::string(LastChunk));
            }
        });
        announce(replica, "ready");
        return replica;
    }

    void announce(const ModelReplica &replica, const std::string &state)
    {
        m_harness.m_store.putReplica(replica.m_id, "model", replica.m_server.address(), state, 1, "z1", replica.m_version);
    }

    void leave(const std::string &version)
    {
        for (const ModelReplica &replica : m_replicas) {
            if (replica.m_version == version) {
                m_harness.m_store.remove("servers/" + replica.m_id);
            }
        }
    }

    const GatewayHarness::Process &start(const std::string &node)
    {
        if (!m_harness.m_store.m_items.contains("op/config")) {
            m_harness.m_store.put("op/config", configuration(1).dump());
        }
        return m_harness.startGateway(node);
    }

    /** Begins a stream and waits for its first event. @return the version of its replica */
    std::string begin(const GatewayHarness::Process &gateway, const std::string &id, Caller **caller = nullptr)
    {
        Caller &begun = m_harness.send(gateway, "POST", "/stream/1", id);
        m_harness.runUntil("first event of " + id, [&begun] { return begun.m_raw.find("piece 1") != std::string::npos || begun.m_closed; });
        if (caller != nullptr) {
            *caller = &begun;
        }
        return m_versions.at(id);
    }

    /** Begins streams until each version has @p count. @return versions by attempt id */
    std::map<std::string, std::string> beginEach(const GatewayHarness::Process &gateway, const std::string &prefix, size_t count)
    {
        constexpr int MaxStreams = 60;
        std::map<std::string, std::string> streams;
        std::map<std::string, size_t> counts;
        for (int i = 0; i < MaxStreams && (counts["v1"] < count || counts["v2"] < count); ++i) {
            const std::string id = prefix + std::to_string(i);
            const std::string version = begin(gateway, id);
            if (counts[version]++ < count) {
                streams[id] = version;
            }
        }
        CPPUNIT_ASSERT_EQUAL(2 * count, streams.size());
        return streams;
    }

    /** Takes up the stream @p resumes after its first event. @return the status; 0: closed without an answer */
    int takeUp(const GatewayHarness::Process &gateway, const std::string &resumes, const std::string &id)
    {
        return ask(gateway, id, {{"Resumes", resumes}, {"Last-Event-Id", "1"}});
    }

    int
    ask(const GatewayHarness::Process &gateway, const std::string &id, const HttpHeaders &headers, const std::string &target = "/stream/1")
    {
        Caller &caller = m_harness.send(gateway, "POST", target, id, headers);
        m_harness.runUntil("answer to " + id, [&caller] { return caller.isAnswered() || caller.m_closed; });
        return caller.isAnswered() ? caller.m_reader.m_status : 0;
    }
};

} // namespace

class SoftwareVersionsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SoftwareVersionsTest);
    CPPUNIT_TEST(brokenStreamIsNotJoinedToAnotherVersion);
    CPPUNIT_TEST(brokenStreamGoesOnAtItsVersion);
    CPPUNIT_TEST(streamsAreTakenUpAtTheirVersionAfterAllGatewaysWereKilled);
    CPPUNIT_TEST(streamBegunBeforeTheReleaseIsTakenUpAtItsVersion);
    CPPUNIT_TEST(streamWhoseVersionHasLeftIsRefusedAtOnce);
    CPPUNIT_TEST(nothingIsJoinedWhileTheStoreIsAway);
    CPPUNIT_TEST(malformedTakeUpsAreRejected);
    CPPUNIT_TEST(takeUpWithoutNameIsNotGuessed);
    CPPUNIT_TEST(takeUpWithoutTimeForItsStagesIsRefusedBeforeTheStoreIsAsked);
    CPPUNIT_TEST(oneVersionCostsNoWrites);
    CPPUNIT_TEST_SUITE_END();

    /** Kills the replica of the stream @p id. */
    static void crashUnder(VersionedService &service, const std::string &id)
    {
        for (ModelReplica &replica : service.m_replicas) {
            for (const std::shared_ptr<ReceivedRequest> &request : replica.m_server.requestsFor("/stream/")) {
                if (findHeader(request->m_request.m_headers, "X-Attempt-Id") == id) {
                    replica.m_server.crash(seconds(60), [] {});
                    return;
                }
            }
        }
    }

    // Guards against one answer with events of two versions, after its replica has crashed.
    void brokenStreamIsNotJoinedToAnotherVersion()
    {
        VersionedService service;
        service.add("i-1", "v1");
        service.add("i-2", "v2");
        const GatewayHarness::Process &gateway = service.start("g1");
        Caller *caller = nullptr;
        const std::string version = service.begin(gateway, "a1", &caller);
        crashUnder(service, "a1");
        service.m_harness.runUntil("end of the stream", [caller] { return caller->m_closed || caller->isAnswered(); });
        CPPUNIT_ASSERT(!caller->isAnswered());
        CPPUNIT_ASSERT_EQUAL(version, service.m_versions.at("a1"));
    }

    // Guards against caution that ends streams which can go on.
    void brokenStreamGoesOnAtItsVersion()
    {
        VersionedService service;
        for (const char *id : {"i-1", "i-2", "i-3"}) {
            service.add(id, "v1");
            service.add(std::string(id) + "b", "v2");
        }
        const GatewayHarness::Process &gateway = service.start("g1");
        Caller *caller = nullptr;
        const std::string version = service.begin(gateway, "a1", &caller);
        crashUnder(service, "a1");
        service.m_harness.runUntil("end of the stream", [caller] { return caller->m_closed || caller->isAnswered(); });
        CPPUNIT_ASSERT(caller->isAnswered());
        CPPUNIT_ASSERT_EQUAL(version, service.m_versions.at("a1"));
    }

    // Guards against a second half from another version when every process that knew the version is gone, and against refusing them all.
    void streamsAreTakenUpAtTheirVersionAfterAllGatewaysWereKilled()
    {
        VersionedService service;
        for (const char *id : {"i-1", "i-2"}) {
            service.add(id, "v1");
        }
        const GatewayHarness::Process &first = service.start("g1");
        service.m_harness.runFor(SettleTime);
        for (const char *id : {"i-3", "i-4"}) {
            service.add(id, "v2");
        }
        service.m_harness.runFor(SettleTime);
        const std::map<std::string, std::string> streams = service.beginEach(first, "a", 4);
        kill(first.m_pid, SIGKILL);
        const GatewayHarness::Process &second = service.start("g2");
        for (const auto &[id, version] : streams) {
            const std::string again = "r-" + id;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(id, 200, service.takeUp(second, id, again));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(id, version, service.m_versions.at(again));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(id, 200, service.takeUp(second, id, "s-" + id)); // once more
            CPPUNIT_ASSERT_EQUAL_MESSAGE(id, version, service.m_versions.at("s-" + id));
        }
    }

    // Guards against a stream that nothing was noted of, as there was one version when it began.
    void streamBegunBeforeTheReleaseIsTakenUpAtItsVersion()
    {
        VersionedService service;
        for (const char *id : {"i-1", "i-2"}) {
            service.add(id, "v1");
        }
        const GatewayHarness::Process &first = service.start("g1");
        service.m_harness.runFor(SettleTime);
        service.begin(first, "a1");
        for (const char *id : {"i-3", "i-4", "i-5", "i-6"}) {
            service.add(id, "v2");
        }
        service.m_harness.runFor(SettleTime);
        kill(first.m_pid, SIGKILL);
        const GatewayHarness::Process &second = service.start("g2");
        for (int i = 0; i < 6; ++i) {
            const std::string id = fmt::format("r{}", i);
            CPPUNIT_ASSERT_EQUAL(200, service.takeUp(second, "a1", id));
            CPPUNIT_ASSERT_EQUAL(std::string("v1"), service.m_versions.at(id));
        }
    }

    // Guards against a stream that is joined to another version, or held, because its own has left.
    void streamWhoseVersionHasLeftIsRefusedAtOnce()
    {
        VersionedService service;
        service.add("i-1", "v1");
        const GatewayHarness::Process &gateway = service.start("g1");
        service.m_harness.runFor(SettleTime);
        service.begin(gateway, "a1");
        service.add("i-2", "v2");
        service.leave("v1");
        service.m_harness.runFor(SettleTime);
        const TimePoint start = now(service.m_harness.m_clock);
        CPPUNIT_ASSERT_EQUAL(503, service.takeUp(gateway, "a1", "r1"));
        CPPUNIT_ASSERT(now(service.m_harness.m_clock) - start < milliseconds(500));
        CPPUNIT_ASSERT(!service.m_versions.contains("r1"));
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), service.begin(gateway, "a2")); // a new stream begins
    }

    // Guards against a guess when the store, which alone knows, does not answer.
    void nothingIsJoinedWhileTheStoreIsAway()
    {
        VersionedService service;
        service.add("i-1", "v1");
        service.add("i-2", "v2");
        const GatewayHarness::Process &first = service.start("g1");
        const GatewayHarness::Process &second = service.start("g2");
        service.m_harness.runFor(SettleTime);
        service.begin(first, "a1");
        service.m_harness.m_store.m_isSilent = true;
        service.m_harness.m_store.m_watches.clear();
        const TimePoint start = now(service.m_harness.m_clock);
        CPPUNIT_ASSERT_EQUAL(503, service.takeUp(second, "a1", "r1"));
        CPPUNIT_ASSERT(now(service.m_harness.m_clock) - start < seconds(2));
        CPPUNIT_ASSERT(!service.m_versions.contains("r1"));
    }

    // Guards against a take-up that is run although it can't be told what it takes up.
    void malformedTakeUpsAreRejected()
    {
        VersionedService service;
        service.add("i-1", "v1");
        service.add("i-2", "v2");
        const GatewayHarness::Process &gateway = service.start("g1");
        service.m_harness.runFor(SettleTime);
        const HttpHeader after = {"Last-Event-Id", "1"};
        CPPUNIT_ASSERT_EQUAL(400, service.ask(gateway, "r1", {{"Resumes", ""}, after}));
        CPPUNIT_ASSERT_EQUAL(400, service.ask(gateway, "r2", {{"Resumes", "a1"}, {"Resumes", "a2"}, after}));
        CPPUNIT_ASSERT_EQUAL(400, service.ask(gateway, "r3", {{"Resumes", std::string(4000, 'a')}, after}));
        CPPUNIT_ASSERT_EQUAL(400, service.ask(gateway, "r4", {{"Resumes", "a1 a2"}, after}));
        CPPUNIT_ASSERT_EQUAL(400, service.ask(gateway, "r5", {{"Resumes", "a1"}, {"Last-Event-Id", "x"}}));
        CPPUNIT_ASSERT_EQUAL(400, service.ask(gateway, "r6", {{"Resumes", "a1"}}));
        CPPUNIT_ASSERT(service.m_versions.empty());
    }

    // Guards against a stream that is continued somewhere because its caller does not name it.
    void takeUpWithoutNameIsNotGuessed()
    {
        VersionedService service;
        service.add("i-1", "v1");
        const GatewayHarness::Process &gateway = service.start("g1");
        service.m_harness.runFor(SettleTime);
        CPPUNIT_ASSERT_EQUAL(200, service.ask(gateway, "r1", {{"Last-Event-Id", "1"}})); // one version is there
        service.add("i-2", "v2");
        service.m_harness.runFor(SettleTime);
        CPPUNIT_ASSERT_EQUAL(503, service.ask(gateway, "r2", {{"Last-Event-Id", "1"}}));
        CPPUNIT_ASSERT(!service.m_versions.contains("r2"));
    }

    // Guards against a call to the store, and the wait for its answer, for a take-up whose stages can't end before its deadline.
    void takeUpWithoutTimeForItsStagesIsRefusedBeforeTheStoreIsAsked()
    {
        VersionedService service;
        service.add("i-1", "v1");
        const GatewayHarness::Process &gateway = service.start("g1");
        service.m_harness.runFor(SettleTime);
        const int64_t before = service.m_harness.m_store.m_listings;
        const HttpHeaders takeUp = {{"Resumes", "a1"}, {"Last-Event-Id", "1"}, {"X-Deadline-Ms", "450"}, {"X-Pieces", "1"}};
        CPPUNIT_ASSERT_EQUAL(503, service.ask(gateway, "r1", takeUp, "/chain/1"));
        CPPUNIT_ASSERT_EQUAL(before, service.m_harness.m_store.m_listings);
    }

    // Guards against calls to the store for streams that can't be joined to another version.
    void oneVersionCostsNoWrites()
    {
        VersionedService service;
        service.add("i-1", "v1");
        service.add("i-2", "v1");
        const GatewayHarness::Process &gateway = service.start("g1");
        service.m_harness.runFor(SettleTime);
        const int64_t before = service.m_harness.m_store.m_writes;
        for (int i = 0; i < 20; ++i) {
            service.begin(gateway, fmt::format("a{}", i));
        }
        CPPUNIT_ASSERT_EQUAL(before, service.m_harness.m_store.m_writes);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(SoftwareVersionsTest, "software_versions");
