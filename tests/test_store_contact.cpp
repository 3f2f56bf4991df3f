#include <algorithm>
#include <optional>
#include <set>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "serving.h"

using namespace Medlarramp;
using namespace Medlarramp::Serving;

namespace {

constexpr Duration RoundTrip = milliseconds(12); ///< to the store and back, with its time for an answer
constexpr Duration RenewalInterval = milliseconds(1900);
constexpr Duration Horizon = seconds(30);

/** The key-value store as one gateway sees it: silent for a while, in which leases may lapse. */
struct SilentStore {
    Duration m_silentFrom{};
    Duration m_silentUntil{};
    bool m_lapsesLeases = false;
};

bool isAnswered(const SilentStore &store, Duration at)
{
    return at < store.m_silentFrom || at >= store.m_silentUntil;
}

enum class CallKind : uint8_t { None, Renewal, Grant, Registration, Watch };

/** An open call or, with None, the time of the next one. */
struct SimulatedCall {
    CallKind m_kind = CallKind::None;
    CallKind m_next = CallKind::None;
    Duration m_at{}; ///< end of the open call, or start of the next one
    bool m_isAnswered = false;
};

/** The calls of one gateway to the store, on virtual time. */
struct SimulatedGateway {
    StoreContact m_contact;
    Random m_random;
    SimulatedCall m_lease;
    SimulatedCall m_watch;
    bool m_isParked = false;
    bool m_isLeaseValid = true;
    std::optional<Duration> m_regainedAt; ///< first watch call after the outage that is answered
    double m_pricedCalls = 0; ///< renewals cost a tenth
};

void startCall(SimulatedGateway &gateway, const SilentStore &store, SimulatedCall &call, CallKind kind, Duration now)
{
    const Duration usual = kind == CallKind::Watch ? milliseconds(1750) : StoreProbeTimeout;
    call.m_kind = kind;
    call.m_isAnswered = isAnswered(store, now);
    call.m_at = now + (call.m_isAnswered ? RoundTrip : storeCallTimeout(gateway.m_contact, usual));
    gateway.m_pricedCalls += kind == CallKind::Renewal ? 0.1 : 1;
}

void scheduleCall(SimulatedCall &call, CallKind next, Duration at)
{
    call = {CallKind::None, next, at, false};
}

void endLeaseCall(SimulatedGateway &gateway, const SilentStore &store, Duration now)
{
    SimulatedCall &call = gateway.m_lease;
    if (!call.m_isAnswered) {
        scheduleCall(call, call.m_kind, now + storeRetryDelay(gateway.m_contact, gateway.m_random));
    } else if (call.m_kind == CallKind::Renewal && !gateway.m_isLeaseValid) {
        startCall(gateway, store, call, CallKind::Grant, now);
    } else if (call.m_kind == CallKind::Grant) {
        gateway.m_isLeaseValid = true;
        startCall(gateway, store, call, CallKind::Registration, now);
    } else {
        scheduleCall(call, CallKind::Renewal, now + RenewalInterval);
    }
}

void endWatchCall(SimulatedGateway &gateway, const SilentStore &store, Duration now)
{
    constexpr Duration ParkedTime = seconds(3);
    SimulatedCall &call = gateway.m_watch;
    if (!call.m_isAnswered) {
        gateway.m_isParked = true;
        const bool isProbed = gateway.m_contact.m_failures > 1;
        scheduleCall(call, CallKind::Watch, now + (isProbed ? ParkedTime : storeRetryDelay(gateway.m_contact, gateway.m_random)));
        return;
    }
    if (now >= store.m_silentUntil && !gateway.m_regainedAt) {
        gateway.m_regainedAt = now;
    }
    scheduleCall(call, CallKind::Watch, now + seconds(1));
}

void endCall(SimulatedGateway &gateway, const SilentStore &store, SimulatedCall &call, Duration now)
{
    const bool wasLost = gateway.m_contact.m_failures > 0;
    observeStoreReply(gateway.m_contact, call.m_isAnswered ? StoreReply::Answered : StoreReply::None);
    if (&call == &gateway.m_watch) {
        endWatchCall(gateway, store, now);
    } else {
        endLeaseCall(gateway, store, now);
    }
    if (!wasLost || !gateway.m_contact.m_isAvailable) {
        return;
    }
    const bool isCalling = gateway.m_watch.m_kind == CallKind::Watch;
    const WatchRestart restart = restartAfterOutage(gateway.m_contact, gateway.m_isParked, isCalling);
    gateway.m_contact.m_hasLostAnswer = false;
    if (restart != WatchRestart::None) {
        gateway.m_isParked = false;
        startCall(gateway, store, gateway.m_watch, CallKind::Watch, now);
    }
}

void step(SimulatedGateway &gateway, const SilentStore &store)
{
    SimulatedCall &call = gateway.m_lease.m_at <= gateway.m_watch.m_at ? gateway.m_lease : gateway.m_watch;
    const Duration now = call.m_at;
    if (store.m_lapsesLeases && now >= store.m_silentUntil && now < store.m_silentUntil + seconds(3) && !gateway.m_regainedAt
        && call.m_kind == CallKind::None && call.m_next == CallKind::Renewal) {
        gateway.m_isLeaseValid = false;
    }
    if (call.m_kind == CallKind::None) {
        gateway.m_isParked = &call == &gateway.m_watch ? false : gateway.m_isParked;
        startCall(gateway, store, call, call.m_next, now);
    } else {
        endCall(gateway, store, call, now);
    }
}

/** Plays one gateway. @return the time between the return of the store and the first answered watch call */
Duration regainTime(SimulatedGateway &gateway, const SilentStore &store)
{
    while (std::min(gateway.m_lease.m_at, gateway.m_watch.m_at) < Horizon && !gateway.m_regainedAt) {
        step(gateway, store);
    }
    return gateway.m_regainedAt.value_or(Horizon) - store.m_silentUntil;
}

SimulatedGateway makeGateway(uint64_t seed)
{
    SimulatedGateway gateway;
    gateway.m_random.m_state = seed;
    gateway.m_contact.m_isAvailable = true;
    scheduleCall(gateway.m_lease, CallKind::Renewal, Duration(static_cast<int64_t>(uniformReal(gateway.m_random) * 1.9e6)));
    scheduleCall(gateway.m_watch, CallKind::Watch, Duration(static_cast<int64_t>(uniformReal(gateway.m_random) * 1e6)));
    return gateway;
}

/** Steps in which news of the first of @p gateways on a ring reaches all others but @p silent; that many when it does not. */
int stepsOfNews(size_t gateways, size_t silent)
{
    std::set<size_t> told = {0};
    int steps = 0;
    const size_t expected = gateways - (silent < gateways ? 1 : 0);
    while (told.size() < expected && steps < static_cast<int>(gateways)) {
        std::set<size_t> next = told;
        for (const size_t teller : told) {
            std::vector<std::string> others;
            for (size_t i = 1; i < gateways; ++i) {
                others.push_back(std::to_string((teller + i) % gateways));
            }
            for (const std::string &listener : revisionListeners(others)) {
                next.insert(std::stoul(listener));
            }
        }
        next.erase(silent);
        told = next;
        ++steps;
    }
    return steps;
}

} // namespace

class StoreContactTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreContactTest);
    CPPUNIT_TEST(anyAnswerShowsThatTheStoreIsBack);
    CPPUNIT_TEST(probesEndBeforeTheStoreIsMissed);
    CPPUNIT_TEST(watchGoesOnAtTheFirstAnswer);
    CPPUNIT_TEST(lapsedLeasesDoNotDelayChangesAtAnySize);
    CPPUNIT_TEST(partOfWhatWasMissedIsNotTakenForAll);
    CPPUNIT_TEST(endlessChangesDoNotKeepAGatewayBusy);
    CPPUNIT_TEST(unconfirmedKnowledgeDeniesNothingForGood);
    CPPUNIT_TEST(newsReachesAllGatewaysInFewSteps);
    CPPUNIT_TEST(newsAllowsForAnswersThatAreUnderWay);
    CPPUNIT_TEST_SUITE_END();

    // Guards against an answer that is not counted because of the call or the status it belongs to.
    void anyAnswerShowsThatTheStoreIsBack()
    {
        for (const int status : {200, 404, 410, 412}) {
            StoreContact contact;
            contact.m_isAvailable = true;
            CPPUNIT_ASSERT(observeStoreReply(contact, storeReplyOf(0)) == ContactStep::Lost);
            CPPUNIT_ASSERT(observeStoreReply(contact, storeReplyOf(503)) == ContactStep::None);
            CPPUNIT_ASSERT(contact.m_hasLostAnswer && contact.m_failures == 2);
            CPPUNIT_ASSERT(observeStoreReply(contact, storeReplyOf(status)) == ContactStep::Regained);
            CPPUNIT_ASSERT(observeStoreReply(contact, storeReplyOf(status)) == ContactStep::None);
        }
        for (const int status : {429, 500, 503}) {
            CPPUNIT_ASSERT(storeReplyOf(status) == StoreReply::Refused);
        }
    }

    // Guards against a call on the way at the store's return that is waited for longer than the next one needs.
    void probesEndBeforeTheStoreIsMissed()
    {
        StoreContact contact;
        contact.m_isAvailable = true;
        CPPUNIT_ASSERT(storeCallTimeout(contact, seconds(2)) == seconds(2));
        observeStoreReply(contact, StoreReply::None);
        CPPUNIT_ASSERT(storeCallTimeout(contact, seconds(2)) == StoreProbeTimeout);
        Random random{1};
        for (int failures = 1; failures < 100; ++failures) {
            observeStoreReply(contact, StoreReply::None);
            CPPUNIT_ASSERT(storeRetryDelay(contact, random) <= milliseconds(600));
        }
    }

    // Guards against a parked watch, or one whose call got lost, that is left alone after the first answer.
    void watchGoesOnAtTheFirstAnswer()
    {
        StoreContact contact;
        CPPUNIT_ASSERT(restartAfterOutage(contact, true, false) == WatchRestart::Resume);
        CPPUNIT_ASSERT(restartAfterOutage(contact, false, true) == WatchRestart::None);
        contact.m_hasLostAnswer = true;
        CPPUNIT_ASSERT(restartAfterOutage(contact, false, true) == WatchRestart::Replace);
        CPPUNIT_ASSERT(restartAfterOutage(contact, false, false) == WatchRestart::None);
    }

    // Guards against gateways that regain the store later than they count as in touch.
    void lapsedLeasesDoNotDelayChangesAtAnySize()
    {
        constexpr Duration RegainLimit = seconds(3) - seconds(1); // contact_ms, less the time to read and apply what was missed
        constexpr int Outages = 40;
        for (const uint64_t gateways : {9, 91, 295}) {
            for (const bool lapses : {false, true}) {
                Duration worst{};
                double calls = 0;
                for (int outage = 0; outage < Outages; ++outage) {
                    const SilentStore store{seconds(4), seconds(5) + milliseconds(110 * outage), lapses};
                    for (uint64_t i = 0; i < gateways; ++i) {
                        SimulatedGateway gateway = makeGateway(static_cast<uint64_t>(outage) * 1000 + i + 1);
                        worst = std::max(worst, regainTime(gateway, store));
                        calls += gateway.m_pricedCalls;
                    }
                }
                fmt::print("store_contact: {} gateways, leases {}: regained within {} ms, {:.1f} priced calls a gateway and outage\n",
                           gateways,
                           lapses ? "lapse" : "stay",
                           worst.count() / 1000,
                           calls / Outages / static_cast<double>(gateways));
                CPPUNIT_ASSERT(worst <= RegainLimit);
            }
        }
    }

    // Guards against a pause, or a claim to be current, between two parts of what was missed.
    void partOfWhatWasMissedIsNotTakenForAll()
    {
        constexpr Duration Interval = milliseconds(500);
        WatchProgress progress;
        TimePoint now = TimePoint() + seconds(100);
        observeListing(progress, true, now);
        CPPUNIT_ASSERT(progress.m_isCurrent);
        observeWatchAnswer(progress, true, now);
        CPPUNIT_ASSERT(progress.m_isCurrent); // a change that has just been made
        CPPUNIT_ASSERT(pauseBeforeWatch(progress, true, Interval, now) > Duration(0));
        observeInterruption(progress);
        for (int part = 0; part < 5; ++part) {
            now += milliseconds(20);
            observeWatchAnswer(progress, true, now);
            CPPUNIT_ASSERT(!progress.m_isCurrent);
            CPPUNIT_ASSERT(pauseBeforeWatch(progress, false, Interval, now) == Duration(0));
        }
        observeWatchAnswer(progress, false, now);
        CPPUNIT_ASSERT(progress.m_isCurrent && !progress.m_isProven);
        observeWatchAnswer(progress, false, now);
        CPPUNIT_ASSERT(progress.m_isProven);
    }

    // Guards against calls without pauses for as long as there are changes.
    void endlessChangesDoNotKeepAGatewayBusy()
    {
        constexpr int MostCalls = 20;
        WatchProgress progress;
        observeInterruption(progress);
        int calls = 0;
        while (!progress.m_isCurrent) {
            observeWatchAnswer(progress, true, TimePoint() + seconds(100));
            CPPUNIT_ASSERT(++calls <= MostCalls);
        }
    }

    // Guards against 401 and 404 by knowledge that is older than it may be, and against 503 in their place while the watch keeps up.
    void unconfirmedKnowledgeDeniesNothingForGood()
    {
        const TimePoint start = TimePoint() + seconds(100);
        WatchProgress progress;
        CPPUNIT_ASSERT(!mayDenyUnknown(progress, start));
        observeListing(progress, true, start);
        CPPUNIT_ASSERT(mayDenyUnknown(progress, start + seconds(15))); // a proven watch waits
        observeInterruption(progress);
        CPPUNIT_ASSERT(mayDenyUnknown(progress, start + milliseconds(900)));
        CPPUNIT_ASSERT(!mayDenyUnknown(progress, start + milliseconds(1100)));
        observeWatchAnswer(progress, true, start + seconds(9)); // a part of what was missed
        CPPUNIT_ASSERT(!mayDenyUnknown(progress, start + seconds(9)));
        observeWatchAnswer(progress, false, start + seconds(9));
        CPPUNIT_ASSERT(mayDenyUnknown(progress, start + seconds(9)));
    }

    // Guards against news that passes along the ring one gateway after the other, and against a silent one that keeps it from the rest.
    void newsReachesAllGatewaysInFewSteps()
    {
        for (const auto &[gateways, limit] : {std::pair<size_t, int>(2, 1), {3, 1}, {9, 3}, {17, 5}, {31, 7}}) {
            for (size_t silent = 1; silent <= gateways; ++silent) {
                CPPUNIT_ASSERT_MESSAGE(fmt::format("{} gateways, {} silent", gateways, silent), stepsOfNews(gateways, silent) <= limit + 2);
            }
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{} gateways", gateways), stepsOfNews(gateways, gateways) <= limit);
        }
    }

    // Guards against a call that is started again although its answer is arriving, and against a pause that is taken for silence.
    void newsAllowsForAnswersThatAreUnderWay()
    {
        CPPUNIT_ASSERT(newsGrace({true, false, seconds(0)}) < newsGrace({true, true, seconds(0)}));
        CPPUNIT_ASSERT(newsGrace({false, false, milliseconds(500)}) > milliseconds(500));
        CPPUNIT_ASSERT(newsGrace({true, false, seconds(15)}) <= milliseconds(200)); // of 2 s for all steps
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(StoreContactTest, "store_contact");
