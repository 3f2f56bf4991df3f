#include <algorithm>
#include <cstdio>

#include <sstream>

#include <cereal/archives/binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include "engine_simulation.h"
#include "gateway_internal.h"
#include "gateway_world.h"

using namespace Medlarramp;
using namespace Medlarramp::Serving;

namespace {

const TimePoint Start{seconds(1000)};

EngineSite errorTracking()
{
    EngineSite site;
    site.m_gateways = 87;
    site.m_tokensPerMs = 112;
    site.m_cacheTokens = 594'184;
    site.m_perSecond = 484;
    site.m_burst = 3.1;
    site.m_slowShare = 0.25;
    site.m_slowSpeed = 0.55;
    site.m_fastSpeed = 1.2;
    site.m_gapObjective = milliseconds(400);
    site.m_firstObjectives = {milliseconds(1100), milliseconds(1000), milliseconds(1000)};
    return site;
}

double quantile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[static_cast<size_t>(share * static_cast<double>(values.size() - 1))];
}

double shareInTime(const KindResult &result)
{
    return static_cast<double>(result.m_inTime) / std::max(1, result.m_requests);
}

void printResult(const char *site, const char *order, const EnginePolicy &policy, const EngineResult &result)
{
    std::printf("%-15s %-10s %-41s", site, order, policy.m_name.c_str());
    for (const KindResult &kind : result.m_kinds) {
        std::printf(" | %5.1f%% %5.0f %5.0f %4.0f %4.0f",
                    shareInTime(kind) * 100,
                    quantile(kind.m_firstEvents, 0.5),
                    quantile(kind.m_firstEvents, 0.99),
                    quantile(kind.m_pauses, 0.5),
                    quantile(kind.m_pauses, 0.99));
    }
    std::printf(" | %4.0fM %5lld %5lld\n",
                static_cast<double>(result.m_readTokens) / 1e6,
                static_cast<long long>(result.m_preemptions),
                static_cast<long long>(result.m_reports));
}

/** The part as it is, and what was weighed. */
std::vector<EnginePolicy> policies()
{
    return {
        {"off"},
        {"reports only", true},
        {"on, with speeds learned (as built)", true, false, false, false, true},
        {"reports, with the real rate", true, false, false, false, false, true},
        {"reports, with a cap of one", true, false, true},
        {"reports, all prompts avoid", true, true},
        {"same, with the real rate", true, true, false, false, false, true},
        {"reports, others more urgent", true, false, false, true},
    };
}

/** Placement as it was before the part, from the constants of src/serving_placement.cpp. */
size_t placeBefore(const std::vector<ReplicaView> &views, const PlacementRequest &request)
{
    const std::optional<size_t> home = homeReplica(views, request.m_parts);
    size_t chosen = 0;
    double best = 0;
    for (size_t i = 0; i < views.size(); ++i) {
        const int64_t tokens = expectedUncachedTokens(request.m_parts, home == i);
        double cost = static_cast<double>(tokens + views[i].m_pendingTokens) * (1.0 / 50'000);
        cost += views[i].m_running * 0.004;
        cost += views[i].m_running >= views[i].m_slots ? 10 : 0;
        cost += (views[i].m_suspected ? 1000 : 0) + (views[i].m_tried ? 500 : 0);
        if (i == 0 || cost < best) {
            chosen = i;
            best = cost;
        }
    }
    return chosen;
}

std::vector<ReplicaView> makeViews(size_t count)
{
    std::vector<ReplicaView> views(count);
    for (size_t i = 0; i < count; ++i) {
        views[i].m_id = "r" + std::to_string(i);
        views[i].m_slots = 16;
    }
    return views;
}

PlacementRequest longRequest(uint64_t session, uint64_t unique)
{
    PlacementRequest request;
    request.m_parts = {{1, 500}, {session, 4800}, {unique, 49'300}};
    return request;
}

ServingConfiguration engineConfiguration(Duration gapObjective)
{
    ServingConfiguration configuration;
    ServingRoute loose;
    loose.m_services = {{"engines", 1}};
    loose.m_usesEngine = true;
    loose.m_gapObjective = milliseconds(800);
    ServingRoute tight = loose;
    tight.m_gapObjective = gapObjective;
    configuration.m_routes = {loose, tight};
    configuration.m_services["engines"].m_engine = EngineLimits{16, 500'000};
    configuration.m_services["plain"] = {};
    return configuration;
}

} // namespace

class LongPromptsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LongPromptsTest);
    CPPUNIT_TEST(longPromptAvoidsReplicaThatReadsAnother);
    CPPUNIT_TEST(movedPromptsOfManyGatewaysAreSpread);
    CPPUNIT_TEST(reportsExpire);
    CPPUNIT_TEST(reportsAreBounded);
    CPPUNIT_TEST(reportsStayWithinTheirRate);
    CPPUNIT_TEST(placementWithoutReportsIsAsBefore);
    CPPUNIT_TEST(modeFollowsTheTightestGap);
    CPPUNIT_TEST(settingIsRead);
    CPPUNIT_TEST(priorityOfCallersIsNotForwarded);
    CPPUNIT_TEST(reportsReachOtherGateways);
    CPPUNIT_TEST(looseObjectivesLeavePlacementAlone);
    CPPUNIT_TEST(bothKindsGain);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two long prompts at one replica while others read none, and against moving one when that costs more.
    void longPromptAvoidsReplicaThatReadsAnother()
    {
        std::vector<ReplicaView> views = makeViews(8);
        const PlacementRequest request = longRequest(7, 100);
        const size_t home = homeReplica(views, request.m_parts).value();
        CPPUNIT_ASSERT(placePrompt(views, request) == home);
        views[home].m_longPromptSeconds = 0.05; // less than reading 5,300 shared tokens again
        CPPUNIT_ASSERT(placePrompt(views, request) == home);
        views[home].m_longPromptSeconds = 0.35;
        CPPUNIT_ASSERT(placePrompt(views, request) != home);
    }

    // Guards against gateways that all move their long prompts to the replica that is first in the order of ids.
    void movedPromptsOfManyGatewaysAreSpread()
    {
        std::vector<ReplicaView> views = makeViews(20);
        std::vector<int> placed(views.size());
        for (uint64_t i = 0; i < 400; ++i) {
            PlacementRequest request = longRequest(1000 + i, 100'000 + i);
            request.m_spreadsTies = true;
            const size_t home = homeReplica(views, request.m_parts).value();
            views[home].m_longPromptSeconds = 1;
            placed[placePrompt(views, request).value()] += 1;
            views[home].m_longPromptSeconds = 0;
        }
        CPPUNIT_ASSERT(*std::max_element(placed.begin(), placed.end()) <= 40);
    }

    // Guards against replicas that are avoided for prompts of a gateway that is gone, and for prompts that are read.
    void reportsExpire()
    {
        LongPromptReports reports;
        CPPUNIT_ASSERT(applyLongPromptReport(reports, "a", {{1, Start + milliseconds(300)}, {2, Start + seconds(30)}}, Start));
        CPPUNIT_ASSERT(applyLongPromptReport(reports, "b", {{1, Start + milliseconds(500)}}, Start));
        std::unordered_map<uint64_t, double> left = longPromptSeconds(reports, Start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.8, left[1], 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, left[2], 1e-9);
        left = longPromptSeconds(reports, Start + milliseconds(400));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, left[1], 1e-9);
        CPPUNIT_ASSERT(longPromptSeconds(reports, Start + LongPromptReportLifetime).empty());
        CPPUNIT_ASSERT_EQUAL(size_t(0), expireLongPromptReports(reports, Start + milliseconds(999)));
        CPPUNIT_ASSERT_EQUAL(size_t(2), expireLongPromptReports(reports, Start + LongPromptReportLifetime));
        // A new report replaces the previous one of the same gateway.
        applyLongPromptReport(reports, "a", {{1, Start + seconds(3)}}, Start + seconds(2));
        applyLongPromptReport(reports, "a", {{3, Start + seconds(3)}}, Start + seconds(2));
        CPPUNIT_ASSERT_EQUAL(size_t(1), longPromptSeconds(reports, Start + seconds(2)).size());
    }

    // Guards against memory that grows with what peers send.
    void reportsAreBounded()
    {
        LongPromptReports reports;
        for (size_t i = 0; i < MaxLongPromptReporters; ++i) {
            CPPUNIT_ASSERT(applyLongPromptReport(reports, std::to_string(i), {{1, Start + seconds(1)}}, Start));
        }
        CPPUNIT_ASSERT(!applyLongPromptReport(reports, "one more", {{1, Start + seconds(1)}}, Start));
        CPPUNIT_ASSERT(applyLongPromptReport(reports, "7", std::vector<LongPrompt>(1000, {1, Start + seconds(1)}), Start));
        CPPUNIT_ASSERT_EQUAL(MaxReportedLongPrompts, reports.m_byNode["7"].m_prompts.size());
        const std::vector<LongPrompt> selected =
            selectLongPrompts({{1, Start}, {2, Start + seconds(1)}, {3, Start + seconds(2)}, {4, Start + seconds(3)}}, Start);
        CPPUNIT_ASSERT((selected == std::vector<LongPrompt>{{4, Start + seconds(3)}, {3, Start + seconds(2)}, {2, Start + seconds(1)}}));
    }

    // Guards against reports that take more than 1 KB/s to a peer.
    void reportsStayWithinTheirRate()
    {
        PeerMessage message;
        message.m_kind = PeerKind::LongPrompts;
        message.m_parts.resize(MaxReportedLongPrompts);
        message.m_requests.resize(MaxReportedLongPrompts);
        std::ostringstream stream;
        {
            cereal::BinaryOutputArchive archive(stream);
            archive(message);
        }
        constexpr size_t LengthBytes = 4;
        const auto perSecond = static_cast<size_t>(seconds(1) / MinLongPromptReportInterval);
        std::printf(" %zu bytes/s ", (stream.str().size() + LengthBytes) * perSecond);
        CPPUNIT_ASSERT((stream.str().size() + LengthBytes) * perSecond <= 1000);
    }

    // Guards against a change of placement in deployments without the part.
    void placementWithoutReportsIsAsBefore()
    {
        Random random{4};
        for (int i = 0; i < 3000; ++i) {
            std::vector<ReplicaView> views = makeViews(1 + uniformBelow(random, 30));
            for (ReplicaView &view : views) {
                view.m_running = static_cast<int>(uniformBelow(random, 18));
                view.m_pendingTokens = uniformBelow(random, 4) == 0 ? static_cast<int64_t>(uniformBelow(random, 60'000)) : 0;
                view.m_suspected = uniformBelow(random, 8) == 0;
                view.m_tried = uniformBelow(random, 8) == 0;
            }
            const PlacementRequest request = longRequest(uniformBelow(random, 50), 1000 + uniformBelow(random, 1000));
            CPPUNIT_ASSERT(placePrompt(views, request) == placeBefore(views, request));
        }
    }

    // Guards against the part in deployments with looser objectives, and in services that have no prompts.
    void modeFollowsTheTightestGap()
    {
        const ServingConfiguration tight = engineConfiguration(milliseconds(500));
        const ServingConfiguration loose = engineConfiguration(milliseconds(600));
        CPPUNIT_ASSERT(separatesLongPrompts(tight, "engines", LongPromptMode::Auto));
        CPPUNIT_ASSERT(!separatesLongPrompts(loose, "engines", LongPromptMode::Auto));
        CPPUNIT_ASSERT(!separatesLongPrompts(engineConfiguration(Duration(0)), "engines", LongPromptMode::Auto));
        CPPUNIT_ASSERT(separatesLongPrompts(loose, "engines", LongPromptMode::On));
        CPPUNIT_ASSERT(!separatesLongPrompts(tight, "engines", LongPromptMode::Off));
        CPPUNIT_ASSERT(!separatesLongPrompts(tight, "plain", LongPromptMode::On));
        CPPUNIT_ASSERT(!separatesLongPrompts(tight, "unknown", LongPromptMode::On));
    }

    // Guards against a setting that is ignored or silently misread.
    void settingIsRead()
    {
        const auto parse = [](const char *text, Findings &findings) {
            nlohmann::json value = {
                {"node", "n"}, {"failure_domain", "f"}, {"front", "a"}, {"readiness", "b"}, {"peers", "c"}, {"store", "d"}};
            if (text != nullptr) {
                value["long_prompts"] = text;
            }
            return parseGatewaySettings(value, "file", findings).m_longPrompts;
        };
        Findings findings;
        CPPUNIT_ASSERT(parse(nullptr, findings) == LongPromptMode::Auto);
        CPPUNIT_ASSERT(parse("auto", findings) == LongPromptMode::Auto);
        CPPUNIT_ASSERT(parse("on", findings) == LongPromptMode::On);
        CPPUNIT_ASSERT(parse("off", findings) == LongPromptMode::Off);
        CPPUNIT_ASSERT(findings.empty());
        parse("yes", findings);
        CPPUNIT_ASSERT_EQUAL(size_t(1), findings.size());
    }

    // Guards against callers that put their requests before those of others.
    void priorityOfCallersIsNotForwarded()
    {
        CPPUNIT_ASSERT(Platform::isReservedHeader("X-Request-Priority"));
        CPPUNIT_ASSERT(Platform::isReservedHeader("x-request-priority"));
    }

    /** Sends one long prompt each through two gateways, with the same shared parts. @return how many of them each replica got. */
    static std::vector<size_t> placeTwoLongPrompts(Duration gapObjective)
    {
        GatewayHarness harness;
        FakeServer first;
        FakeServer second;
        const auto keepOpen = [](FakeServer &, const std::shared_ptr<ReceivedRequest> &) {};
        first.start(harness.m_loop, keepOpen);
        second.start(harness.m_loop, keepOpen);
        nlohmann::json config = configuration(1);
        for (nlohmann::json &route : config["routes"]) {
            route["target_gap_ms"] = gapObjective / milliseconds(1);
        }
        harness.m_store.put("op/config", config.dump());
        harness.m_store.putReplica("m-1", "model", first.address(), "ready", 8, "z1");
        harness.m_store.putReplica("m-2", "model", second.address(), "ready", 8, "z1");
        const GatewayHarness::Process gateways[] = {harness.startGateway("g1"), harness.startGateway("g2")};
        harness.runFor(milliseconds(1500)); // the watch tells each of the other
        const auto received = [&] { return first.m_requests.size() + second.m_requests.size(); };
        for (size_t i = 0; i < 2; ++i) {
            const HttpHeaders headers = {{"X-Prefix-Hash", fmt::format("1:500,7:4800,6{}:49300", i)}, {"X-Request-Priority", "0"}};
            harness.send(gateways[i], "POST", "/stream/1", fmt::format("a{}", i), headers);
            harness.runUntil("request at a replica", [&] { return received() == i + 1; });
            harness.runFor(milliseconds(100));
        }
        for (const FakeServer *server : {&first, &second}) {
            for (const std::shared_ptr<ReceivedRequest> &request : server->m_requests) {
                CPPUNIT_ASSERT(!findHeader(request->m_request.m_headers, "X-Request-Priority"));
            }
        }
        return {first.m_requests.size(), second.m_requests.size()};
    }

    // Guards against reports that are not sent, not understood or not used by another gateway.
    void reportsReachOtherGateways()
    {
        CPPUNIT_ASSERT((placeTwoLongPrompts(milliseconds(300)) == std::vector<size_t>{1, 1}));
    }

    // Guards against moving a prompt away from its cache in deployments without the part.
    void looseObjectivesLeavePlacementAlone()
    {
        const std::vector<size_t> placed = placeTwoLongPrompts(milliseconds(600));
        CPPUNIT_ASSERT_EQUAL(size_t(0), std::min(placed[0], placed[1]));
    }

    // Guards against a part that helps one kind of prompt at the cost of the other, or reads much more of the prompts again. Prints
    // for each kind: share in time, first event and longest pause (median and 99th percentile, milliseconds).
    void bothKindsGain()
    {
        std::printf("\n%-68s | %-25s | %-25s | %-25s |\n", "", "long", "mean", "short");
        for (const ReadOrder order : {ReadOrder::ByArrival, ReadOrder::Shared}) {
            for (const bool isLeasing : {true, false}) {
                const EngineSite site = isLeasing ? EngineSite() : errorTracking();
                std::vector<EngineResult> results;
                for (const EnginePolicy &policy : policies()) {
                    results.push_back(EngineSimulation(site, policy, order, 5).run(seconds(24)));
                    printResult(isLeasing ? "leasing" : "error tracking",
                                order == ReadOrder::ByArrival ? "by arrival" : "shared",
                                policy,
                                results.back());
                }
                const auto &off = results[0].m_kinds;
                for (const EngineResult &result : {results[1], results[2]}) {
                    const auto &on = result.m_kinds;
                    CPPUNIT_ASSERT(shareInTime(on[0]) >= shareInTime(off[0]) + 0.03);
                    CPPUNIT_ASSERT(shareInTime(on[1]) >= shareInTime(off[1]) - 0.01);
                    CPPUNIT_ASSERT(shareInTime(on[2]) >= shareInTime(off[2]) - 0.01);
                    CPPUNIT_ASSERT(static_cast<double>(result.m_readTokens) <= 1.06 * static_cast<double>(results[0].m_readTokens));
                }
                CPPUNIT_ASSERT(static_cast<double>(results[1].m_readTokens) <= 1.03 * static_cast<double>(results[0].m_readTokens));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LongPromptsTest, "long_prompts");
