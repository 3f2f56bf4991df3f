#include <numeric>

#include <cppunit/extensions/HelperMacros.h>

#include "serving.h"

using namespace Medlarramp;
using namespace Medlarramp::Serving;

namespace {

constexpr size_t Mebibyte = 1024 * 1024;

TimePoint at(int64_t ms)
{
    return TimePoint() + milliseconds(ms);
}

} // namespace

class ServingMemoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServingMemoryTest);
    CPPUNIT_TEST(limitsStayBelowTheMemory);
    CPPUNIT_TEST(dropsLongestWithoutProgress);
    CPPUNIT_TEST(sparesSmallHolders);
    CPPUNIT_TEST(dropsNothingBelowTheLimit);
    CPPUNIT_TEST(keepsDescriptorsFree);
    CPPUNIT_TEST(allowsLittleUnreadWhenFull);
    CPPUNIT_TEST_SUITE_END();

    // Guards against bounds that exceed the VM together, and against one that can't hold a single request of 4 MiB or answer of 16 MiB.
    void limitsStayBelowTheMemory()
    {
        for (const int64_t memory : {16, 32, 64, 120, 160, 256, 400, 512}) {
            const MemoryLimits limits = memoryLimits(memory);
            const size_t sum = std::accumulate(limits.m_bytes.begin(), limits.m_bytes.end(), size_t{0});
            CPPUNIT_ASSERT(sum > 0);
            if (memory >= 32) {
                CPPUNIT_ASSERT(sum + 16 * Mebibyte < static_cast<size_t>(memory) * Mebibyte);
            }
            if (memory >= 120) {
                CPPUNIT_ASSERT(limits[HolderKind::Caller] > 4 * 2 * 4 * Mebibyte);
                CPPUNIT_ASSERT(limits[HolderKind::Upstream] > 16 * Mebibyte);
                CPPUNIT_ASSERT(limits[HolderKind::Peer] > 4 * Mebibyte);
                CPPUNIT_ASSERT(limits[HolderKind::Store] > 8 * Mebibyte);
            }
        }
    }

    // Guards against a victim that makes progress while another holder is stuck.
    void dropsLongestWithoutProgress()
    {
        const std::vector<HolderView> holders = {{30, at(5)}, {30, at(1)}, {30, at(3)}, {30, at(4)}};
        const std::vector<size_t> dropped = chooseDropped(holders, 100);
        CPPUNIT_ASSERT((dropped == std::vector<size_t>{1, 2}));
    }

    // Guards against small requests of ordinary callers that are dropped instead of the large ones of a crowd.
    void sparesSmallHolders()
    {
        const std::vector<HolderView> holders = {{1, at(0)}, {1, at(0)}, {60, at(9)}, {60, at(8)}};
        const std::vector<size_t> dropped = chooseDropped(holders, 100);
        CPPUNIT_ASSERT((dropped == std::vector<size_t>{3}));
        // When all are small, the limit still holds.
        CPPUNIT_ASSERT_EQUAL(size_t(12), chooseDropped(std::vector<HolderView>(100, {1, at(0)}), 100).size());
    }

    // Guards against drops without need.
    void dropsNothingBelowTheLimit()
    {
        CPPUNIT_ASSERT(chooseDropped({}, 100).empty());
        CPPUNIT_ASSERT(chooseDropped({{90, at(0)}}, 100).empty());
        CPPUNIT_ASSERT_EQUAL(size_t(1), chooseDropped({{101, at(0)}}, 100).size());
    }

    // Guards against callers that leave no descriptors for their replicas, peers and the store.
    void keepsDescriptorsFree()
    {
        for (const uint64_t descriptors : {128, 1024, 3075, 10250}) {
            const ConnectionLimits limits = connectionLimits(descriptors);
            CPPUNIT_ASSERT(limits.m_callers > 0 && limits.m_readiness >= 8);
            CPPUNIT_ASSERT(2 * limits.m_callers + limits.m_readiness < descriptors - descriptors / 8);
        }
        CPPUNIT_ASSERT_EQUAL(size_t(1153), connectionLimits(3075).m_callers);
        CPPUNIT_ASSERT(connectionLimits(~uint64_t{0}).m_callers < 100000);
    }

    // Guards against a slow caller that takes the room of others, and against a replica that is never read while there is room.
    void allowsLittleUnreadWhenFull()
    {
        const size_t limit = 40 * Mebibyte;
        CPPUNIT_ASSERT_EQUAL(4 * Mebibyte, unreadAllowance(0, limit));
        CPPUNIT_ASSERT_EQUAL(size_t(64 * 1024), unreadAllowance(limit / 2, limit));
        CPPUNIT_ASSERT(mayReadAhead(milliseconds(1000), true, 0, limit));
        CPPUNIT_ASSERT(!mayReadAhead(milliseconds(900), true, 0, limit));
        CPPUNIT_ASSERT(!mayReadAhead(milliseconds(1000), false, 0, limit));
        CPPUNIT_ASSERT(!mayReadAhead(milliseconds(1000), true, limit - limit / 4, limit));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ServingMemoryTest, "serving_memory");
