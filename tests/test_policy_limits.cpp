#include <algorithm>
#include <cmath>

#include <cppunit/extensions/HelperMacros.h>

#include "policy.h"

using namespace Medlarramp;

namespace {

const TimePoint Start{seconds(1000)};

Organisation makeOrganisation(double rate, int64_t burst, int64_t concurrent)
{
    Organisation organisation;
    organisation.m_name = "north";
    organisation.m_requestsPerSecond = rate;
    organisation.m_burst = burst;
    organisation.m_maxConcurrent = concurrent;
    return organisation;
}

LimitSample success(Duration latency, uint32_t open)
{
    return {LimitSignal::Success, latency, open};
}

} // namespace

class PolicyLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PolicyLimitsTest);
    CPPUNIT_TEST(rateIsEnforced);
    CPPUNIT_TEST(retryAfterIsEnough);
    CPPUNIT_TEST(concurrencyIsEnforced);
    CPPUNIT_TEST(trackedOrganisationsAreBounded);
    CPPUNIT_TEST(earlierTimeAddsNoTokens);
    CPPUNIT_TEST(limitConvergesToCapacity);
    CPPUNIT_TEST(unusedLimitDoesNotGrow);
    CPPUNIT_TEST(rejectionBurstDecreasesOnce);
    CPPUNIT_TEST(limitBelowOneSpacesRequests);
    CPPUNIT_TEST(limitStaysInBounds);
    CPPUNIT_TEST(baselineFollowsSlowerUpstream);
    CPPUNIT_TEST(entriesConvergeToEqualLimits);
    CPPUNIT_TEST(unavailableReplicaKeepsItsLimit);
    CPPUNIT_TEST_SUITE_END();

    // Guards against an organisation that exceeds its rate over time.
    void rateIsEnforced()
    {
        OrganisationLimits limits;
        const Organisation organisation = makeOrganisation(10, 5, 0);
        size_t accepted = 0;
        for (int i = 0; i < 10'000; ++i) {
            const TimePoint at = Start + milliseconds(i);
            if (beginOrganisationRequest(limits, organisation, 1, at).m_reason == Reason::None) {
                accepted += 1;
                endOrganisationRequest(limits, organisation);
            }
        }
        CPPUNIT_ASSERT(accepted >= 103 && accepted <= 105);
    }

    // Guards against a retry-after time that is too short, so that the retry is refused again.
    void retryAfterIsEnough()
    {
        OrganisationLimits limits;
        const Organisation organisation = makeOrganisation(2, 1, 0);
        CPPUNIT_ASSERT(beginOrganisationRequest(limits, organisation, 0.5, Start).m_reason == Reason::None);
        const RateDecision refused = beginOrganisationRequest(limits, organisation, 0.5, Start);
        CPPUNIT_ASSERT(refused.m_reason == Reason::RateLimited);
        CPPUNIT_ASSERT(refused.m_retryAfter == seconds(1));
        CPPUNIT_ASSERT(beginOrganisationRequest(limits, organisation, 0.5, Start + refused.m_retryAfter).m_reason == Reason::None);
    }

    // Guards against more open requests than allowed, and against finished requests that are still counted.
    void concurrencyIsEnforced()
    {
        OrganisationLimits limits;
        const Organisation organisation = makeOrganisation(0, 1, 2);
        CPPUNIT_ASSERT(beginOrganisationRequest(limits, organisation, 1, Start).m_reason == Reason::None);
        CPPUNIT_ASSERT(beginOrganisationRequest(limits, organisation, 1, Start).m_reason == Reason::None);
        CPPUNIT_ASSERT(beginOrganisationRequest(limits, organisation, 1, Start).m_reason == Reason::ConcurrencyLimited);
        endOrganisationRequest(limits, organisation);
        CPPUNIT_ASSERT(beginOrganisationRequest(limits, organisation, 1, Start).m_reason == Reason::None);
    }

    // Guards against state that grows with the number of organisations ever seen, and against removing one with open requests.
    void trackedOrganisationsAreBounded()
    {
        OrganisationLimits limits;
        Organisation openOrganisation = makeOrganisation(1, 1, 1);
        openOrganisation.m_name = "open";
        beginOrganisationRequest(limits, openOrganisation, 1, Start);
        for (size_t i = 0; i < MaxTrackedOrganisations + 3; ++i) {
            limits.m_usages.size() < MaxTrackedOrganisations ? void(limits.m_usages[i]) : void();
        }
        Organisation other = makeOrganisation(1, 1, 1);
        beginOrganisationRequest(limits, other, 1, Start + seconds(1));
        CPPUNIT_ASSERT(limits.m_usages.size() <= MaxTrackedOrganisations);
        CPPUNIT_ASSERT(beginOrganisationRequest(limits, openOrganisation, 1, Start + seconds(9)).m_reason == Reason::ConcurrencyLimited);
    }

    // Guards against counting the same time twice when threads pass times out of order.
    void earlierTimeAddsNoTokens()
    {
        OrganisationLimits limits;
        const Organisation organisation = makeOrganisation(1, 1, 0);
        CPPUNIT_ASSERT(beginOrganisationRequest(limits, organisation, 1, Start).m_reason == Reason::None);
        CPPUNIT_ASSERT(beginOrganisationRequest(limits, organisation, 1, Start - seconds(5)).m_reason == Reason::RateLimited);
        CPPUNIT_ASSERT(beginOrganisationRequest(limits, organisation, 1, Start).m_reason == Reason::RateLimited);
    }

    // Guards against a limit that stays far above or below the number of requests that the upstream serves concurrently.
    void limitConvergesToCapacity()
    {
        const LimitSettings settings;
        AdaptiveLimit limit = makeAdaptiveLimit(settings);
        TimePoint at = Start;
        constexpr double Capacity = 40;
        for (int i = 0; i < 20'000; ++i) {
            const double open = std::floor(std::max(1.0, limit.m_limit));
            const double latencyMs = 100 * std::max(1.0, open / Capacity);
            at += Duration(static_cast<int64_t>(1000 * latencyMs / open));
            observeSample(limit, settings, success(Duration(static_cast<int64_t>(1000 * latencyMs)), static_cast<uint32_t>(open)), at);
        }
        CPPUNIT_ASSERT(limit.m_limit > Capacity && limit.m_limit < 2.2 * Capacity);
    }

    // Guards against a limit that grows while it is not used and then overloads the upstream at the next burst.
    void unusedLimitDoesNotGrow()
    {
        const LimitSettings settings;
        AdaptiveLimit limit = makeAdaptiveLimit(settings);
        for (int i = 0; i < 1000; ++i) {
            observeSample(limit, settings, success(milliseconds(10), 1), Start + milliseconds(i * 10));
        }
        CPPUNIT_ASSERT_EQUAL(settings.m_initial, limit.m_limit);
    }

    // Guards against a burst of rejections with one cause that decreases the limit once per rejection.
    void rejectionBurstDecreasesOnce()
    {
        const LimitSettings settings;
        AdaptiveLimit limit = makeAdaptiveLimit(settings);
        for (int i = 0; i < 16; ++i) {
            observeSample(limit, settings, {LimitSignal::Rejected, milliseconds(1), 16}, Start);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(settings.m_initial * settings.m_rejectedDecrease, limit.m_limit, 1e-9);
    }

    // Guards against overload by many entries that each keep one request open on an upstream with fewer slots.
    void limitBelowOneSpacesRequests()
    {
        AdaptiveLimit limit;
        limit.m_limit = 0.25;
        limit.m_meanLatency = 0.1;
        CPPUNIT_ASSERT(hasFreeCapacity(limit, 0, Start));
        recordOpened(limit, Start);
        CPPUNIT_ASSERT(!hasFreeCapacity(limit, 0, Start + milliseconds(399)));
        CPPUNIT_ASSERT(hasFreeCapacity(limit, 0, Start + milliseconds(400)));
        CPPUNIT_ASSERT(!hasFreeCapacity(limit, 1, Start + milliseconds(400)));
    }

    // Guards against a limit outside its bounds after random samples (20 seeds).
    void limitStaysInBounds()
    {
        for (uint64_t seed = 1; seed <= 20; ++seed) {
            Random random{seed};
            const LimitSettings settings;
            AdaptiveLimit limit = makeAdaptiveLimit(settings);
            TimePoint at = Start;
            for (int i = 0; i < 5000; ++i) {
                at += Duration(static_cast<int64_t>(uniformBelow(random, 20'000)));
                const auto signal = static_cast<LimitSignal>(uniformBelow(random, 4));
                const auto latency = Duration(static_cast<int64_t>(uniformBelow(random, 5'000'000)));
                observeSample(limit, settings, {signal, latency, static_cast<uint32_t>(uniformBelow(random, 600))}, at);
                CPPUNIT_ASSERT(limit.m_limit >= settings.m_minimum && limit.m_limit <= settings.m_maximum);
            }
        }
    }

    // Guards against a limit that stays at its minimum after the upstream became permanently slower, such as by a larger model.
    void baselineFollowsSlowerUpstream()
    {
        const LimitSettings settings;
        AdaptiveLimit limit = makeAdaptiveLimit(settings);
        TimePoint at = Start;
        for (int i = 0; i < 100; ++i) {
            observeSample(limit, settings, success(milliseconds(10), 16), at += milliseconds(10));
        }
        for (int i = 0; i < 1500; ++i) {
            const auto open = static_cast<uint32_t>(std::max(1.0, limit.m_limit));
            observeSample(limit, settings, success(milliseconds(200), open), at += milliseconds(200));
        }
        CPPUNIT_ASSERT(limit.m_limit > 4);
    }

    // Guards against an entry that keeps most of the capacity of an upstream because it started before the others.
    void entriesConvergeToEqualLimits()
    {
        const LimitSettings settings;
        std::vector<AdaptiveLimit> limits(4, makeAdaptiveLimit(settings));
        limits[0].m_limit = 100;
        for (size_t i = 1; i < limits.size(); ++i) {
            limits[i].m_limit = 2;
        }
        constexpr double Capacity = 64;
        TimePoint at = Start;
        for (int round = 0; round < 4000; ++round) {
            double total = 0;
            for (const AdaptiveLimit &limit : limits) {
                total += std::floor(limit.m_limit);
            }
            const Duration latency = Duration(static_cast<int64_t>(100'000 * std::max(1.0, total / Capacity)));
            at += latency;
            for (AdaptiveLimit &limit : limits) {
                const auto open = static_cast<uint32_t>(limit.m_limit);
                for (uint32_t i = 0; i < open; ++i) {
                    observeSample(limit, settings, success(latency, open), at);
                }
            }
        }
        for (const AdaptiveLimit &limit : limits) {
            CPPUNIT_ASSERT(limit.m_limit > 8 && limit.m_limit < 64);
        }
    }

    // Guards against a limit that decreases while a replica is down and is still too low when the replica is available again.
    void unavailableReplicaKeepsItsLimit()
    {
        const LimitSettings settings;
        AdaptiveLimit limit = makeAdaptiveLimit(settings);
        for (const Reason reason : {Reason::ConnectFailed, Reason::ConnectionLost, Reason::UpstreamError, Reason::CallerGone}) {
            const LimitSignal signal = limitSignal({Outcome::Unknown, reason});
            observeSample(limit, settings, {signal, milliseconds(1), 16}, Start);
        }
        CPPUNIT_ASSERT_EQUAL(settings.m_initial, limit.m_limit);
        CPPUNIT_ASSERT(limitSignal({Outcome::NotRun, Reason::UpstreamOverloaded}) == LimitSignal::Rejected);
        CPPUNIT_ASSERT(limitSignal({Outcome::Unknown, Reason::AttemptTimeout}) == LimitSignal::Failed);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PolicyLimitsTest, "policy_limits");
