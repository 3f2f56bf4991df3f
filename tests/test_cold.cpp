#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <fstream>
#include <regex>
#include <sstream>

#include "gateway_world.h"
#include "platform/platform.h"
#include "serving.h"

using namespace Medlarramp;
using namespace Medlarramp::Serving;

namespace {

const TimePoint Start{Duration(seconds(1000))};

/**
 * Gateways, the members in the key-value store and one cold replica on virtual time. Views of the members, leases and requests follow
 * the rules of src/gateway_store.cpp; what the gateways know lags behind, is interrupted and differs from one to the other.
 */
class ColdSimulation
{
public:
    struct Options {
        size_t m_gateways = 91;
        double m_requestsPerSecond = 5; ///< that each gateway would send to the replica
        bool m_hasFaults = true;
        Duration m_length = seconds(120);
    };

    ColdSimulation(const Options &options, uint64_t seed) : m_options(options), m_random{seed}, m_now(Start)
    {
        for (size_t i = 0; i < options.m_gateways; ++i) {
            Gateway gateway;
            gateway.m_node = fmt::format("g{}", i);
            startProcess(gateway, Start + Duration(static_cast<int64_t>(uniformBelow(m_random, 2'000'000))));
            m_gateways.push_back(std::move(gateway));
        }
        if (options.m_hasFaults) {
            planFaults();
        }
    }

    void run()
    {
        while (m_now < Start + m_options.m_length) {
            m_now += Step;
            stepStore();
            for (Gateway &gateway : m_gateways) {
                stepGateway(gateway);
            }
        }
    }

    /** The largest number of requests that arrive within one second. */
    [[nodiscard]] size_t busiestSecond()
    {
        std::sort(m_arrivals.begin(), m_arrivals.end());
        size_t most = 0;
        size_t first = 0;
        for (size_t last = 0; last < m_arrivals.size(); ++last) {
            while (m_arrivals[last] - m_arrivals[first] >= seconds(1)) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    /** Requests per second that arrived after the gateways had settled. */
    [[nodiscard]] double meanRate() const
    {
        const TimePoint from = Start + ColdSettleTime + seconds(5);
        const auto count = std::count_if(m_arrivals.begin(), m_arrivals.end(), [from](TimePoint at) { return at >= from; });
        return static_cast<double>(count) / std::chrono::duration<double>(Start + m_options.m_length - from).count();
    }

    /** Writes in a slot that another gateway has used just before; they show a fault also while other slots are unused. */
    [[nodiscard]] size_t sharedUses() const
    {
        return m_sharedUses;
    }

    static constexpr int Limit = 26; ///< 14 requests per second x 1.5 + 5

private:
    static constexpr Duration Step = milliseconds(50);
    static constexpr Duration LeaseTime = seconds(6);

    struct Gateway {
        std::string m_node;
        ColdState m_state;
        TimePoint m_startsAt; ///< the process does not run before
        TimePoint m_storeCutUntil; ///< no call reaches the store before
        TimePoint m_watchCutUntil; ///< the watch gets no answer before
        bool m_hasLease = false;
        TimePoint m_nextRenewal;
        TimePoint m_nextWatch;
        TimePoint m_watchStartedAt;
        bool m_isLongWatch = false;
        TimePoint m_nextRequest;
        size_t m_seenChanges = 0; ///< number of m_changes in its view
        std::set<std::string> m_view;
    };

    struct Change {
        TimePoint m_at;
        std::string m_node;
        bool m_joins = false;
    };

    struct Fault {
        TimePoint m_at;
        std::function<void()> m_apply;
    };

    Duration randomTime(Duration least, Duration most)
    {
        return least + Duration(static_cast<int64_t>(uniformReal(m_random) * static_cast<double>((most - least).count())));
    }

    static void startProcess(Gateway &gateway, TimePoint at)
    {
        const std::string node = gateway.m_node;
        gateway = Gateway();
        gateway.m_node = node;
        gateway.m_state.m_self = node;
        gateway.m_startsAt = gateway.m_nextRenewal = gateway.m_nextWatch = gateway.m_watchStartedAt = gateway.m_nextRequest = at;
        ReplicaRecord record;
        record.m_id = "m-1";
        record.m_warmUpLeft = MaxColdTime;
        observeColdRegistration(gateway.m_state, record, 1, {seconds(3), Limit}, true, false, at);
    }

    /** Cuts from the store, lost watches, crashes, orderly restarts, a whole failure domain, and a store that loses what is recent. */
    void planFaults()
    {
        const auto at = [this] { return Start + randomTime(seconds(10), m_options.m_length - seconds(30)); };
        const size_t each = std::max<size_t>(1, m_gateways.size() / 30);
        for (size_t i = 0; i < each; ++i) {
            const size_t cut = uniformBelow(m_random, m_gateways.size());
            const Duration cutTime = randomTime(seconds(1), seconds(40));
            m_faults.push_back({at(), [this, cut, cutTime] { m_gateways[cut].m_storeCutUntil = m_now + cutTime; }});
            const size_t blind = uniformBelow(m_random, m_gateways.size());
            const Duration blindTime = randomTime(seconds(1), seconds(60));
            m_faults.push_back({at(), [this, blind, blindTime] { m_gateways[blind].m_watchCutUntil = m_now + blindTime; }});
            const size_t crashed = uniformBelow(m_random, m_gateways.size());
            const Duration downTime = randomTime(milliseconds(100), seconds(50));
            m_faults.push_back({at(), [this, crashed, downTime] { startProcess(m_gateways[crashed], m_now + downTime); }});
            const size_t restarted = uniformBelow(m_random, m_gateways.size());
            m_faults.push_back({at(), [this, restarted] {
                                    leave(m_gateways[restarted].m_node);
                                    startProcess(m_gateways[restarted], m_now + seconds(1));
                                }});
        }
        const Duration domainCut = randomTime(seconds(2), seconds(15));
        m_faults.push_back({at(), [this, domainCut] {
                                for (size_t i = 0; i < m_gateways.size(); i += 3) {
                                    m_gateways[i].m_storeCutUntil = m_now + domainCut;
                                }
                            }});
        if (uniformBelow(m_random, 4) == 0) {
            const Duration age = randomTime(seconds(0), seconds(10));
            m_faults.push_back({at(), [this, age] { restoreStore(age); }});
        }
        std::sort(m_faults.begin(), m_faults.end(), [](const Fault &left, const Fault &right) { return left.m_at < right.m_at; });
    }

    void join(const std::string &node, TimePoint expiresAt)
    {
        if (m_leases.emplace(node, expiresAt).second) {
            m_changes.push_back({m_now, node, true});
        }
        m_leases[node] = expiresAt;
    }

    void leave(const std::string &node)
    {
        if (m_leases.erase(node) > 0) {
            m_changes.push_back({m_now, node, false});
        }
    }

    /** The members become those of a backup, and all leases are unknown from then on. */
    void restoreStore(Duration age)
    {
        std::set<std::string> members;
        for (const Change &change : m_changes) {
            if (change.m_at > m_now - age) {
                break;
            }
            if (change.m_joins) {
                members.insert(change.m_node);
            } else {
                members.erase(change.m_node);
            }
        }
        const std::map<std::string, TimePoint> before = m_leases;
        for (const auto &[node, expiresAt] : before) {
            if (!members.contains(node)) {
                leave(node);
            }
        }
        for (const std::string &node : members) {
            join(node, m_now + LeaseTime);
            m_lostLeases.insert(node);
        }
    }

    void stepStore()
    {
        while (m_nextFault < m_faults.size() && m_faults[m_nextFault].m_at <= m_now) {
            m_faults[m_nextFault++].m_apply();
        }
        const std::map<std::string, TimePoint> before = m_leases;
        for (const auto &[node, expiresAt] : before) {
            if (expiresAt <= m_now) {
                leave(node);
            }
        }
    }

    void stepGateway(Gateway &gateway)
    {
        if (m_now < gateway.m_startsAt) {
            return;
        }
        if (m_now >= gateway.m_nextRenewal) {
            renew(gateway);
        }
        if (m_now >= gateway.m_nextWatch) {
            answerWatch(gateway);
        }
        while (gateway.m_nextRequest <= m_now) {
            sendRequest(gateway, gateway.m_nextRequest);
            gateway.m_nextRequest += Duration(static_cast<int64_t>(exponential(m_random, 1e6 / m_options.m_requestsPerSecond)));
        }
    }

    void renew(Gateway &gateway)
    {
        if (m_now < gateway.m_storeCutUntil) {
            gateway.m_nextRenewal = m_now + milliseconds(800) + randomTime(milliseconds(300), milliseconds(600));
            return;
        }
        const TimePoint sentAt = m_now - randomTime(milliseconds(0), milliseconds(200));
        const bool isUnknown = !m_leases.contains(gateway.m_node) || m_lostLeases.erase(gateway.m_node) > 0;
        if (gateway.m_hasLease && isUnknown) {
            gateway.m_hasLease = false;
            loseColdLease(gateway.m_state);
        }
        gateway.m_hasLease = true;
        gateway.m_nextRenewal = m_now + milliseconds(1900);
        join(gateway.m_node, sentAt + LeaseTime);
        const bool isAnswerLost = uniformBelow(m_random, 50) == 0;
        if (!isAnswerLost) {
            observeColdLease(gateway.m_state, sentAt, LeaseTime, m_now);
        }
    }

    /** An answer to the watch: soon, with events; after a long wait without any; or after a part of it, with events. */
    void answerWatch(Gateway &gateway)
    {
        if (m_now < std::max(gateway.m_storeCutUntil, gateway.m_watchCutUntil)) {
            gateway.m_nextWatch = m_now + Step;
            return;
        }
        const bool isEmpty = gateway.m_isLongWatch && uniformBelow(m_random, 2) == 0;
        const TimePoint viewAt = isEmpty ? m_now - randomTime(milliseconds(0), seconds(2)) : gateway.m_watchStartedAt;
        const TimePoint readAt = viewAt + randomTime(milliseconds(0), m_now - viewAt);
        applyChanges(gateway, readAt);
        observeColdView(gateway.m_state, viewAt, m_now);
        // Only a call that follows one without events waits for long, see callWatch().
        const bool wasEmpty = isEmpty || (!gateway.m_isLongWatch && uniformBelow(m_random, 8) == 0);
        gateway.m_isLongWatch = wasEmpty;
        gateway.m_watchStartedAt = m_now;
        gateway.m_nextWatch = m_now + (wasEmpty ? randomTime(seconds(5), seconds(15)) : randomTime(milliseconds(100), milliseconds(1750)));
    }

    void applyChanges(Gateway &gateway, TimePoint readAt)
    {
        const size_t before = gateway.m_seenChanges;
        while (gateway.m_seenChanges < m_changes.size() && m_changes[gateway.m_seenChanges].m_at <= readAt) {
            const Change &change = m_changes[gateway.m_seenChanges++];
            if (change.m_joins) {
                gateway.m_view.insert(change.m_node);
            } else {
                gateway.m_view.erase(change.m_node);
            }
        }
        if (gateway.m_seenChanges == before) {
            return;
        }
        const bool isListed = gateway.m_view.contains(gateway.m_node);
        std::set<std::string> nodes = gateway.m_view;
        nodes.insert(gateway.m_node);
        observeColdMembers(gateway.m_state, nodes, isListed, m_now);
    }

    void sendRequest(Gateway &gateway, TimePoint at)
    {
        const std::optional<int> slot = reserveColdPermit(gateway.m_state, "m-1", at);
        if (!slot) {
            return;
        }
        if (uniformBelow(m_random, 20) == 0) {
            returnColdPermit(gateway.m_state, "m-1", *slot); // its connection failed
            return;
        }
        if (useColdPermit(gateway.m_state, "m-1", *slot, at)) {
            m_arrivals.push_back(at + randomTime(milliseconds(0), ColdDeliveryVariation));
            const auto [last, isFirst] = m_lastWrites.try_emplace(*slot, at);
            const Duration distance = at > last->second ? at - last->second : last->second - at;
            m_sharedUses += !isFirst && distance < ColdSpacing ? 1 : 0;
            last->second = std::max(last->second, at);
        }
    }

    Options m_options;
    Random m_random;
    TimePoint m_now;
    std::vector<Gateway> m_gateways;
    std::map<std::string, TimePoint> m_leases; ///< end of the lease by node
    std::set<std::string> m_lostLeases; ///< members of a restored backup whose lease the store does not know
    std::vector<Change> m_changes;
    std::vector<Fault> m_faults; ///< in order of time
    size_t m_nextFault = 0;
    std::vector<TimePoint> m_arrivals;
    std::map<int, TimePoint> m_lastWrites; ///< by slot
    size_t m_sharedUses = 0;
};

} // namespace

/** Limits on the requests to cold replicas. */
class ColdTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ColdTest);
    CPPUNIT_TEST(boundHoldsWith91Gateways);
    CPPUNIT_TEST(boundHoldsWith295Gateways);
    CPPUNIT_TEST(allowedRateIsUsed);
    CPPUNIT_TEST(partIsOffWithoutItsFigures);
    CPPUNIT_TEST(gatewaySettlesBeforeItSends);
    CPPUNIT_TEST(departedMembersKeepTheirSlots);
    CPPUNIT_TEST(slotsAreReservedUntilTheWrite);
    CPPUNIT_TEST(registrationsTellWhatIsCold);
    CPPUNIT_TEST(implausibleNumbersAreIgnored);
    CPPUNIT_TEST(settingsTemplateIsValidWithAndWithoutFigures);
    CPPUNIT_TEST(coldReplicaGetsItsRate);
    CPPUNIT_TEST(newReplicaGetsNothingFromUnsettledGateway);
    CPPUNIT_TEST(replicasAreColdAfterAnEvacuation);
    CPPUNIT_TEST(answersTellWhatIsCold);
    CPPUNIT_TEST(coldStageReplicaGetsNoCalls);
    CPPUNIT_TEST(nothingIsColdWithoutSettings);
    CPPUNIT_TEST_SUITE_END();

#if defined(__SANITIZE_THREAD__) || defined(__SANITIZE_ADDRESS__)
    static constexpr uint64_t Seeds = 5; // one thread runs the simulation; the ordinary build plays all seeds
#else
    static constexpr uint64_t Seeds = 200;
#endif

    static void checkBound(size_t gateways)
    {
        size_t broken = 0;
        size_t most = 0;
        size_t sharedUses = 0;
        double least = 1e9;
        double sum = 0;
        for (uint64_t seed = 1; seed <= Seeds; ++seed) {
            ColdSimulation simulation({.m_gateways = gateways}, seed);
            simulation.run();
            const size_t busiest = simulation.busiestSecond();
            most = std::max(most, busiest);
            broken += busiest > ColdSimulation::Limit ? 1 : 0;
            sharedUses += simulation.sharedUses();
            least = std::min(least, simulation.meanRate());
            sum += simulation.meanRate();
        }
        const double mean = sum / static_cast<double>(Seeds);
        const std::string figures =
            fmt::format("{} gateways, {} seeds: {} with a second over {}, busiest second {}, {} shared uses of slots, "
                        "mean rate {:.1f}/s, least {:.1f}/s",
                        gateways,
                        Seeds,
                        broken,
                        ColdSimulation::Limit,
                        most,
                        sharedUses,
                        mean,
                        least);
        fmt::print("{}\n", figures);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(figures, size_t(0), broken);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(figures, size_t(0), sharedUses);
        // A test in which nothing is sent would hold the bound as well.
        CPPUNIT_ASSERT_MESSAGE(figures, mean >= 0.5 * ColdSimulation::Limit);
    }

    // Guards against two gateways that use one slot at the same time because their views of the members differ, after cuts, restarts,
    // lost watches and a store that was restored from a backup.
    void boundHoldsWith91Gateways()
    {
        checkBound(91);
    }

    void boundHoldsWith295Gateways()
    {
        checkBound(295);
    }

    // Guards against a limit that is kept by leaving most of it unused although the gateways have requests for the replica.
    void allowedRateIsUsed()
    {
        for (const size_t gateways : {91, 295}) {
            double sum = 0;
            for (uint64_t seed = 1; seed <= Seeds; ++seed) {
                ColdSimulation simulation({.m_gateways = gateways, .m_hasFaults = false, .m_length = seconds(60)}, seed);
                simulation.run();
                CPPUNIT_ASSERT(simulation.busiestSecond() <= ColdSimulation::Limit);
                sum += simulation.meanRate();
            }
            const double used = sum / static_cast<double>(Seeds) / ColdSimulation::Limit;
            const std::string figures = fmt::format("{} gateways without faults: {:.1f}% of the allowed rate used", gateways, used * 100);
            fmt::print("{}\n", figures);
            CPPUNIT_ASSERT_MESSAGE(figures, used >= 0.7);
        }
    }

    static ServingService coldService()
    {
        ServingService service;
        service.m_name = "model";
        service.m_coldTime = seconds(3);
        service.m_coldPerSecond = 14;
        return service;
    }

    static ReplicaRecord record(int64_t incarnationStart, Duration warmUpLeft = {})
    {
        ReplicaRecord record;
        record.m_id = "m-1";
        record.m_service = "model";
        record.m_incarnationStart = incarnationStart;
        record.m_warmUpLeft = warmUpLeft;
        return record;
    }

    /** A gateway that is a member with a valid lease and a recent view at @p at. */
    static void confirm(ColdState &state, const std::set<std::string> &nodes, TimePoint at)
    {
        observeColdMembers(state, nodes, true, at);
        observeColdView(state, at, at);
        observeColdLease(state, at, seconds(6), at);
    }

    static void confirmUntil(ColdState &state, const std::set<std::string> &nodes, TimePoint from, TimePoint until)
    {
        for (TimePoint at = from; at <= until; at += seconds(1)) {
            confirm(state, nodes, at);
        }
    }

    /** A gateway without others that has settled at @p at, and a replica that is cold for long. */
    static ColdState settled(TimePoint at)
    {
        ColdState state;
        state.m_self = "g1";
        confirmUntil(state, {"g1"}, at - ColdSettleTime, at);
        observeColdRegistration(state, record(1, seconds(600)), 1, {seconds(3), ColdSimulation::Limit}, true, false, at);
        return state;
    }

    // Guards against limits in deployments whose settings or configuration do not have both pairs of figures.
    void partIsOffWithoutItsFigures()
    {
        GatewaySettings settings;
        ServingService service = coldService();
        CPPUNIT_ASSERT(coldLimits(settings, service) == ColdLimits());
        settings.m_coldOverrun = 1.5;
        CPPUNIT_ASSERT(coldLimits(settings, service) == ColdLimits());
        settings.m_coldSlack = 5;
        CPPUNIT_ASSERT((coldLimits(settings, service) == ColdLimits{seconds(3), 26}));
        service.m_coldPerSecond = 1e4;
        CPPUNIT_ASSERT_EQUAL(MaxColdSlots, coldLimits(settings, service).m_slots);
        service.m_coldPerSecond = 0;
        CPPUNIT_ASSERT(coldLimits(settings, service) == ColdLimits());
        service = coldService();
        service.m_coldTime = Duration(0);
        CPPUNIT_ASSERT(coldLimits(settings, service) == ColdLimits());
        // Without limits, nothing becomes cold.
        ColdState state;
        CPPUNIT_ASSERT(!observeColdRegistration(state, record(1, seconds(9)), 1, {}, false, false, Start));
        CPPUNIT_ASSERT(!markCold(state, "m-1", {}, Start + seconds(9), Start));
        CPPUNIT_ASSERT(!isCold(state, "m-1", Start));
    }

    // Guards against a gateway that sends before others know of it, or after they may have given it up.
    void gatewaySettlesBeforeItSends()
    {
        ColdState state;
        state.m_self = "g1";
        observeColdRegistration(state, record(1, seconds(600)), 1, {seconds(3), 26}, true, false, Start);
        confirmUntil(state, {"g1"}, Start, Start + ColdSettleTime - seconds(1));
        CPPUNIT_ASSERT(!hasColdPermit(state, "m-1", Start + ColdSettleTime - milliseconds(1)));
        CPPUNIT_ASSERT(hasColdPermit(state, "m-1", Start + ColdSettleTime));
        // The lease of the last renewal ends.
        const TimePoint last = Start + ColdSettleTime - seconds(1);
        CPPUNIT_ASSERT(hasColdPermit(state, "m-1", last + seconds(6) - ColdLeaseMargin - milliseconds(1)));
        CPPUNIT_ASSERT(!hasColdPermit(state, "m-1", last + seconds(6) - ColdLeaseMargin));
        // A renewal after the end of the lease does not bring the permits back: another gateway may have them by now.
        confirm(state, {"g1"}, last + seconds(6));
        CPPUNIT_ASSERT(!hasColdPermit(state, "m-1", last + seconds(6)));

        ColdState blind = settled(Start);
        for (TimePoint at = Start; at <= Start + ColdViewAge + seconds(1); at += seconds(1)) {
            observeColdLease(blind, at, seconds(6), at);
            CPPUNIT_ASSERT_EQUAL(at < Start + ColdViewAge, hasColdPermit(blind, "m-1", at));
        }
        observeColdView(blind, Start + seconds(21), Start + seconds(21));
        CPPUNIT_ASSERT(!hasColdPermit(blind, "m-1", Start + seconds(21)));

        ColdState lost = settled(Start);
        loseColdLease(lost);
        confirm(lost, {"g1"}, Start);
        CPPUNIT_ASSERT(!hasColdPermit(lost, "m-1", Start));

        ColdState unlisted = settled(Start);
        observeColdMembers(unlisted, {"g1"}, false, Start);
        CPPUNIT_ASSERT(!hasColdPermit(unlisted, "m-1", Start));
        confirm(unlisted, {"g1"}, Start);
        CPPUNIT_ASSERT(!hasColdPermit(unlisted, "m-1", Start));
        // A lifetime that the store has shortened is kept; the time counts from the sending of the renewal.
        ColdState shortLease = settled(Start);
        shortLease.m_leaseUntil = Start + milliseconds(100);
        observeColdLease(shortLease, Start - seconds(1), seconds(2), Start);
        CPPUNIT_ASSERT(!maySendToCold(shortLease, Start + seconds(1) - ColdLeaseMargin));
    }

    // Guards against a gateway that takes the slots of one that it does not see any more but that may still use them.
    void departedMembersKeepTheirSlots()
    {
        ColdState state = settled(Start);
        const auto free = [&state](TimePoint at) {
            size_t count = 0;
            while (reserveColdPermit(state, "m-1", at)) {
                ++count;
            }
            for (int slot = 0; slot < ColdSimulation::Limit; ++slot) {
                returnColdPermit(state, "m-1", slot);
            }
            return count;
        };
        CPPUNIT_ASSERT_EQUAL(size_t(26), free(Start));
        confirm(state, {"g1", "g2"}, Start);
        const size_t shared = free(Start);
        CPPUNIT_ASSERT(shared > 3 && shared < 23);
        confirmUntil(state, {"g1"}, Start + seconds(1), Start + ColdSettleTime);
        CPPUNIT_ASSERT_EQUAL(shared, free(Start + ColdSettleTime));
        confirm(state, {"g1"}, Start + seconds(1) + ColdSettleTime);
        CPPUNIT_ASSERT_EQUAL(size_t(26), free(Start + seconds(1) + ColdSettleTime));
    }

    // Guards against a request that waits for its connection and is written later than its permit says, next to another one.
    void slotsAreReservedUntilTheWrite()
    {
        ColdState state = settled(Start);
        const std::optional<int> first = reserveColdPermit(state, "m-1", Start);
        CPPUNIT_ASSERT(first);
        const TimePoint written = Start + milliseconds(400);
        CPPUNIT_ASSERT(useColdPermit(state, "m-1", *first, written));
        CPPUNIT_ASSERT(!useColdPermit(state, "m-1", *first, written)); // a permit is for one request
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), state.m_permits);
        size_t others = 0;
        while (const std::optional<int> slot = reserveColdPermit(state, "m-1", written)) {
            CPPUNIT_ASSERT(*slot != *first);
            ++others;
        }
        CPPUNIT_ASSERT_EQUAL(size_t(25), others);
        CPPUNIT_ASSERT(nextColdPermit(state, "m-1", written) == written + ColdSpacing);
        CPPUNIT_ASSERT(!hasColdPermit(state, "m-1", written + ColdSpacing - milliseconds(1)));
        CPPUNIT_ASSERT(hasColdPermit(state, "m-1", written + ColdSpacing));
        // Nothing was written with this one, so that it is free again at once.
        returnColdPermit(state, "m-1", *first == 0 ? 1 : 0);
        CPPUNIT_ASSERT(hasColdPermit(state, "m-1", written));
        // A reservation does not outlast the right to send.
        const std::optional<int> late = reserveColdPermit(state, "m-1", written);
        loseColdLease(state);
        CPPUNIT_ASSERT(!useColdPermit(state, "m-1", *late, written));
    }

    // Guards against new replicas that are taken for warm, and against warm ones that are taken for new at each listing.
    void registrationsTellWhatIsCold()
    {
        const ColdLimits limits = {seconds(3), 26};
        ColdState state;
        CPPUNIT_ASSERT(!observeColdRegistration(state, record(5), 1, limits, true, false, Start)); // first listing
        CPPUNIT_ASSERT(!observeColdRegistration(state, record(5), 2, limits, false, true, Start)); // renewal
        CPPUNIT_ASSERT(!observeColdRegistration(state, record(5), 3, limits, false, false, Start)); // same one, missing meanwhile
        CPPUNIT_ASSERT(observeColdRegistration(state, record(6), 4, limits, false, true, Start)); // new incarnation
        CPPUNIT_ASSERT(isCold(state, "m-1", Start + milliseconds(2999)));
        CPPUNIT_ASSERT(!isCold(state, "m-1", Start + seconds(3)));
        // What the registration states extends the time, and does not shorten it.
        observeColdRegistration(state, record(6, milliseconds(10)), 5, limits, false, true, Start);
        CPPUNIT_ASSERT(isCold(state, "m-1", Start + milliseconds(2999)));
        CPPUNIT_ASSERT_EQUAL(size_t(1), coldReplicaCount(state, Start));
        observeColdRegistration(state, record(6, seconds(5)), 6, limits, false, true, Start);
        CPPUNIT_ASSERT(isCold(state, "m-1", Start + milliseconds(4999)));
        // A second listing repeats what was read before: it does not start anew.
        CPPUNIT_ASSERT(!observeColdRegistration(state, record(6, seconds(5)), 6, limits, false, true, Start + seconds(6)));
        CPPUNIT_ASSERT(!isCold(state, "m-1", Start + seconds(6)));
        // Without the start of the incarnation, a replica that was gone counts as new.
        ColdState unnamed;
        observeColdRegistration(unnamed, record(0), 1, limits, true, false, Start);
        CPPUNIT_ASSERT(!observeColdRegistration(unnamed, record(0), 2, limits, false, true, Start));
        CPPUNIT_ASSERT(observeColdRegistration(unnamed, record(0), 3, limits, false, false, Start));
    }

    // Guards against one odd number that takes a configuration or a replica out of use, or makes a replica cold for ever.
    void implausibleNumbersAreIgnored()
    {
        for (const std::string odd : {"-1", "1e300", "\"3\"", "[]", "true"}) {
            const std::string text = R"({"version":1,"routes":[],"services":[{"name":"s","cold_s":)" + odd + R"(,"cold_per_s":14}]})";
            const absl::StatusOr<ServingConfiguration> configuration = Platform::decodeConfiguration(text);
            CPPUNIT_ASSERT_MESSAGE(odd, configuration.ok());
            CPPUNIT_ASSERT_MESSAGE(odd, configuration->m_ignoredNumbers == std::vector<std::string>{"s.cold_s"});
            CPPUNIT_ASSERT_MESSAGE(odd, configuration->m_services.at("s").m_coldTime == Duration(0));
            CPPUNIT_ASSERT_MESSAGE(odd, configuration->m_services.at("s").m_coldPerSecond == 14);
            const absl::StatusOr<ReplicaRecord> replica = Platform::decodeRegistration(
                "i-1",
                R"({"service":"s","address":"1.2.3.4:80","zone":"z","version":"v1","state":"ready","slots":1,"cold_left_ms":)" + odd + "}");
            CPPUNIT_ASSERT_MESSAGE(odd, replica.ok() && replica->m_hasInvalidWarmUp && replica->m_warmUpLeft == Duration(0));
        }
        const absl::StatusOr<ServingConfiguration> configuration = Platform::decodeConfiguration(
            R"({"version":1,"routes":[],"services":[{"name":"s","cold_s":3.0,"cold_per_s":14},{"name":"t","cold_s":null}]})");
        CPPUNIT_ASSERT(configuration.ok() && configuration->m_ignoredNumbers.empty());
        CPPUNIT_ASSERT(configuration->m_services.at("s").m_coldTime == seconds(3));
        for (const std::string odd : {"", "-1", "x", "12x", "1.5", " 7", "3600001", "99999999999999999999"}) {
            CPPUNIT_ASSERT_MESSAGE(odd, !Platform::parseColdTime(odd));
        }
        CPPUNIT_ASSERT(Platform::parseColdTime("2500") == Duration(milliseconds(2500)));
        CPPUNIT_ASSERT(Platform::decodeLeaseLifetime(R"({"lease":7,"ttl_ms":4000})", seconds(6)) == Duration(seconds(4)));
        for (const std::string odd : {"", "[]", "{}", R"({"ttl_ms":"1"})", R"({"ttl_ms":-1})", R"({"ttl_ms":1e300})"}) {
            CPPUNIT_ASSERT_MESSAGE(odd, Platform::decodeLeaseLifetime(odd, seconds(6)) == Duration(seconds(6)));
        }
    }

    /** Fills in a template as the platform does: sections whose value is absent are left out. */
    static std::string render(std::string text, const std::map<std::string, std::string> &values)
    {
        const std::regex section(R"(\{\{#([a-z_.]+)\}\}([^{]*(?:\{\{[^#/][^}]*\}\}[^{]*)*)\{\{/\1\}\})");
        for (std::smatch match; std::regex_search(text, match, section);) {
            text = match.prefix().str() + (values.contains(match[1]) ? match[2].str() : "") + match.suffix().str();
        }
        const std::regex value(R"(\{\{([a-z_.0-9]+)(\|json)?\}\})");
        for (std::smatch match; std::regex_search(text, match, value);) {
            CPPUNIT_ASSERT_MESSAGE(match[1].str(), values.contains(match[1]));
            text = match.prefix().str() + values.at(match[1]) + match.suffix().str();
        }
        return text;
    }

    // Guards against a settings file that is no JSON, and stops the start, on a platform that lacks one or both figures.
    void settingsTemplateIsValidWithAndWithoutFigures()
    {
        const std::ifstream file(std::string(MEDLARRAMP_SOURCE_DIR) + "/deploy/settings.json");
        CPPUNIT_ASSERT(file.good());
        std::ostringstream content;
        content << file.rdbuf();
        const std::map<std::string, std::string> base = {{"node", "\"n\""},
                                                         {"zone", "\"z\""},
                                                         {"listen.front", "\"1.2.3.4:1\""},
                                                         {"listen.ready", "\"1.2.3.4:2\""},
                                                         {"ip", "1.2.3.4"},
                                                         {"internal_ports.0", "3"},
                                                         {"platform.address", "\"1.2.3.4:4\""},
                                                         {"limits.cpu_share", "0.5"},
                                                         {"limits.memory_mb", "512"},
                                                         {"bounds.grace_s", "8"},
                                                         {"heartbeat_ms", "1200"},
                                                         {"bounds.drain_ms", "2000"},
                                                         {"bounds.retry_budget_ratio", "0.1"},
                                                         {"bounds.budget_extra", "20"},
                                                         {"bounds.budget_window_s", "10"},
                                                         {"platform.ttl_min_ms", "1000"}};
        for (const bool hasOverrun : {false, true}) {
            for (const bool hasSlack : {false, true}) {
                std::map<std::string, std::string> values = base;
                if (hasOverrun) {
                    values["bounds.cold_overrun"] = "1.5";
                }
                if (hasSlack) {
                    values["bounds.cold_slack"] = "5";
                }
                const std::string text = render(content.str(), values);
                Findings findings;
                const std::optional<nlohmann::json> value = parseJson(text, "settings.json", findings);
                CPPUNIT_ASSERT_MESSAGE(text, value.has_value());
                const GatewaySettings settings = parseGatewaySettings(*value, "settings.json", findings);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(toString(findings), size_t(0), findings.size());
                CPPUNIT_ASSERT(settings.m_coldOverrun == (hasOverrun ? std::optional(1.5) : std::nullopt));
                CPPUNIT_ASSERT(settings.m_coldSlack == (hasSlack ? std::optional(5.0) : std::nullopt));
            }
        }
    }

    //-------------------------------------------------------------------------
    // Over processes
    //-------------------------------------------------------------------------

    /** The test configuration with 4 requests per second to a cold replica of each service. */
    static nlohmann::json coldConfiguration(double coldSeconds)
    {
        nlohmann::json value = configuration(1);
        for (nlohmann::json &service : value["services"]) {
            service["cold_s"] = coldSeconds;
            service["cold_per_s"] = 2;
        }
        return value;
    }

    static void enable(GatewayHarness &harness)
    {
        harness.m_extraSettings = {{"cold_overrun", 1.5}, {"cold_slack", 1}};
    }

    static int answerTo(GatewayHarness &harness, const GatewayHarness::Process &gateway, const std::string &target, const std::string &id)
    {
        Caller &caller = harness.send(gateway, "POST", target, id);
        harness.runUntil("answer to " + id, [&] { return caller.isAnswered() || caller.m_closed; });
        return caller.m_reader.m_status;
    }

    static void wait(GatewayHarness &harness, Duration duration)
    {
        constexpr Duration Part = seconds(5); // shorter than WaitLimit
        for (Duration left = duration; left > Duration(0); left -= Part) {
            harness.runFor(std::min(left, Part));
        }
    }

    /** Sends a request every 25 ms for @p duration, without waiting for the answers; each has to be answered with 200. */
    static void sendFor(GatewayHarness &harness, const GatewayHarness::Process &gateway, Duration duration, const std::string &name)
    {
        const TimePoint end = now(harness.m_clock) + duration;
        std::vector<Caller *> callers;
        while (now(harness.m_clock) < end) {
            callers.push_back(&harness.send(gateway, "POST", "/read/1", fmt::format("{}-{}", name, callers.size())));
            harness.runFor(milliseconds(25));
        }
        harness.runUntil("answers to " + name, [&callers] {
            return std::all_of(
                callers.begin(), callers.end(), [](const Caller *caller) { return caller->isAnswered() || caller->m_closed; });
        });
        for (const Caller *caller : callers) {
            CPPUNIT_ASSERT_EQUAL(200, caller->m_reader.m_status);
        }
    }

    /**
     * Handler that answers after a while, so that a replica that has not been used yet is the first choice.
     * @param times of the requests
     */
    static FakeServer::Handler
    slowly(std::vector<TimePoint> &times, GatewayHarness &harness, std::vector<std::shared_ptr<NetTimer>> &timers)
    {
        return [&](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
            times.push_back(now(harness.m_clock));
            timers.push_back(std::make_shared<NetTimer>());
            timers.back()->start(harness.m_loop, milliseconds(150), [request] {
                reply(request, formatAnswer(200, replicaHeaders(request), "whole", true));
            });
        };
    }

    static size_t mostInOneSecond(const std::vector<TimePoint> &times)
    {
        size_t most = 0;
        for (size_t first = 0; first < times.size(); ++first) {
            size_t last = first;
            while (last < times.size() && times[last] - times[first] < seconds(1)) {
                ++last;
            }
            most = std::max(most, last - first);
        }
        return most;
    }

    /** Two replicas of one service, of which the first is in use. */
    struct TwoReplicas {
        GatewayHarness m_harness;
        std::vector<std::shared_ptr<NetTimer>> m_timers;
        std::vector<TimePoint> m_firstTimes;
        std::vector<TimePoint> m_secondTimes;
        FakeServer m_first;
        FakeServer m_second;

        TwoReplicas()
        {
            m_first.start(m_harness.m_loop, slowly(m_firstTimes, m_harness, m_timers));
            m_second.start(m_harness.m_loop, slowly(m_secondTimes, m_harness, m_timers));
            m_harness.m_store.put("op/config", coldConfiguration(3).dump());
        }
    };

    // Guards against requests beyond the limit, on new and on kept connections, and against a limit that lets nothing through.
    void coldReplicaGetsItsRate()
    {
        TwoReplicas world;
        GatewayHarness &harness = world.m_harness;
        enable(harness);
        harness.m_store.putReplica("i-1", "plain", world.m_first.address());
        const GatewayHarness::Process &gateway = harness.startGateway("g1");
        wait(harness, ColdSettleTime + seconds(3));
        sendFor(harness, gateway, milliseconds(500), "before");
        harness.m_store.putReplica("i-2", "plain", world.m_second.address());
        sendFor(harness, gateway, milliseconds(2800), "during");
        const std::vector<TimePoint> during = world.m_secondTimes;
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} in a second", mostInOneSecond(during)), mostInOneSecond(during) <= 4);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} requests to the cold replica", during.size()), during.size() >= 4);
        harness.runFor(milliseconds(1500));
        sendFor(harness, gateway, seconds(1), "after");
        const size_t after = mostInOneSecond(world.m_secondTimes);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} in a second", after), after > 4);
    }

    // Guards against a gateway that sends to a new replica before others know of the gateway, and against one that takes what it found at
    // its start for new.
    void newReplicaGetsNothingFromUnsettledGateway()
    {
        TwoReplicas world;
        GatewayHarness &harness = world.m_harness;
        enable(harness);
        harness.m_store.putReplica("i-1", "plain", world.m_first.address());
        const GatewayHarness::Process &gateway = harness.startGateway("g1");
        sendFor(harness, gateway, milliseconds(500), "before");
        harness.m_store.putReplica("i-2", "plain", world.m_second.address());
        sendFor(harness, gateway, milliseconds(2800), "during");
        CPPUNIT_ASSERT_EQUAL(size_t(0), world.m_secondTimes.size());
        harness.runFor(milliseconds(1500));
        sendFor(harness, gateway, seconds(1), "after");
        CPPUNIT_ASSERT(!world.m_secondTimes.empty());
        // No replica is left that may be used: refused at once, and never sent.
        harness.m_store.putReplica("i-1", "plain", world.m_first.address(), "ready", 2);
        harness.m_store.putReplica("i-2", "plain", world.m_second.address(), "ready", 2);
        harness.runFor(milliseconds(1200));
        const size_t before = world.m_firstTimes.size() + world.m_secondTimes.size();
        CPPUNIT_ASSERT_EQUAL(503, answerTo(harness, gateway, "/plain/1", "a2"));
        CPPUNIT_ASSERT_EQUAL(before, world.m_firstTimes.size() + world.m_secondTimes.size());
    }

    // Guards against replicas that are taken for warm at the end of an evacuation.
    void replicasAreColdAfterAnEvacuation()
    {
        TwoReplicas world;
        GatewayHarness &harness = world.m_harness;
        enable(harness);
        harness.m_store.put("op/evacuate/z2", "{}");
        harness.m_store.putReplica("i-1", "plain", world.m_first.address(), "ready", 1, "z1");
        harness.m_store.putReplica("i-2", "plain", world.m_second.address(), "ready", 1, "z2");
        const GatewayHarness::Process &gateway = harness.startGateway("g1");
        sendFor(harness, gateway, milliseconds(500), "before");
        harness.m_store.remove("op/evacuate/z2");
        sendFor(harness, gateway, milliseconds(2800), "during");
        CPPUNIT_ASSERT_EQUAL(size_t(0), world.m_secondTimes.size());
        harness.runFor(milliseconds(1500));
        sendFor(harness, gateway, seconds(1), "after");
        CPPUNIT_ASSERT(!world.m_secondTimes.empty());
    }

    // Guards against a replica that is not treated as cold although its answers say so, and against odd numbers in them that end the
    // process or make it cold.
    void answersTellWhatIsCold()
    {
        GatewayHarness harness;
        enable(harness);
        FakeServer replica;
        std::string coldTime = "-7";
        replica.start(harness.m_loop, [&coldTime](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
            HttpHeaders headers = replicaHeaders(request);
            headers.push_back({"X-Cold-Ms", coldTime});
            reply(request, formatAnswer(200, headers, "whole", true));
        });
        harness.m_store.put("op/config", coldConfiguration(3).dump());
        harness.m_store.putReplica("i-1", "plain", replica.address());
        const GatewayHarness::Process &gateway = harness.startGateway("g1");
        CPPUNIT_ASSERT_EQUAL(200, answerTo(harness, gateway, "/plain/1", "a1"));
        coldTime = "1000";
        CPPUNIT_ASSERT_EQUAL(200, answerTo(harness, gateway, "/plain/1", "a2"));
        CPPUNIT_ASSERT_EQUAL(503, answerTo(harness, gateway, "/plain/1", "a3"));
        harness.runFor(milliseconds(1200));
        CPPUNIT_ASSERT_EQUAL(200, answerTo(harness, gateway, "/plain/1", "a4"));
        CPPUNIT_ASSERT_EQUAL(size_t(3), replica.m_requests.size());
    }

    // Guards against stage calls to a cold replica, which count as requests.
    void coldStageReplicaGetsNoCalls()
    {
        GatewayHarness harness;
        enable(harness);
        FakeServer warm;
        FakeServer cold;
        FakeServer model;
        warm.start(harness.m_loop, answerStageCall);
        cold.start(harness.m_loop, answerStageCall);
        model.start(harness.m_loop, [](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
            reply(request, formatChunkedHead(200, replicaHeaders(request), true) + formatChunk(event(1)) + std::string(LastChunk));
        });
        harness.m_store.put("op/config", coldConfiguration(4).dump());
        harness.m_store.putReplica("s-1", "stage", warm.address());
        harness.m_store.putReplica("m-1", "model", model.address());
        const GatewayHarness::Process &gateway = harness.startGateway("g1");
        int number = 0;
        const auto sendChains = [&] {
            std::vector<Caller *> callers;
            for (int i = 0; i < 8; ++i) {
                const HttpHeaders headers = {{"X-Pieces", "8"}, {"X-Piece-Key", "k"}};
                callers.push_back(&harness.send(gateway, "POST", "/chain/1", fmt::format("c{}", ++number), headers));
            }
            harness.runUntil("answers", [&callers] {
                return std::all_of(
                    callers.begin(), callers.end(), [](const Caller *caller) { return caller->isAnswered() || caller->m_closed; });
            });
            for (const Caller *caller : callers) {
                CPPUNIT_ASSERT_EQUAL(200, caller->m_reader.m_status);
            }
        };
        sendChains();
        harness.m_store.putReplica("s-2", "stage", cold.address());
        harness.runFor(milliseconds(1200));
        sendChains();
        sendChains();
        CPPUNIT_ASSERT_EQUAL(size_t(0), cold.m_requests.size());
        harness.runFor(seconds(4));
        for (int i = 0; i < 10 && cold.m_requests.empty(); ++i) {
            sendChains();
        }
        CPPUNIT_ASSERT(!cold.m_requests.empty());
    }

    // Guards against an effect on deployments whose platform has no such bound.
    void nothingIsColdWithoutSettings()
    {
        TwoReplicas world;
        GatewayHarness &harness = world.m_harness;
        harness.m_store.putReplica("i-1", "plain", world.m_first.address());
        const GatewayHarness::Process &gateway = harness.startGateway("g1");
        sendFor(harness, gateway, milliseconds(500), "before");
        harness.m_store.putReplica("i-2", "plain", world.m_second.address());
        sendFor(harness, gateway, seconds(2), "after");
        CPPUNIT_ASSERT(!world.m_secondTimes.empty());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ColdTest, "cold");
