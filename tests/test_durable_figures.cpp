#include <cppunit/extensions/HelperMacros.h>

// The measuring functions belong to the benchmarks, which are no library.
#include "../bench/durable_measure.cpp" // NOLINT(bugprone-suspicious-include)

using namespace Medlarramp;
using namespace Medlarramp::Measure;

class DurableFiguresTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DurableFiguresTest);
    CPPUNIT_TEST(claimsMeetTheirTargets);
    CPPUNIT_TEST(drainMeetsItsTarget);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a change that costs more store writes or latency for claims than the targets allow.
    void claimsMeetTheirTargets()
    {
        ClaimScenario scenario;
        scenario.m_duration = seconds(10);
        const ClaimFigures figures = measureClaims(scenario);
        CPPUNIT_ASSERT_EQUAL(int64_t(0), figures.m_notGranted);
        CPPUNIT_ASSERT(figures.m_writesPerClaim <= 0.1);
        CPPUNIT_ASSERT(figures.m_addedMedian <= milliseconds(25));
    }

    // Guards against jobs that are lost on the way through accept, run and fetch, and against more writes than allowed.
    void drainMeetsItsTarget()
    {
        DrainScenario scenario;
        scenario.m_jobs = 20'000;
        const DrainFigures figures = measureDrain(scenario);
        CPPUNIT_ASSERT_EQUAL(scenario.m_jobs, figures.m_accepted);
        CPPUNIT_ASSERT_EQUAL(scenario.m_jobs, figures.m_finished);
        CPPUNIT_ASSERT(figures.m_writesPerJob <= 0.05);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(DurableFiguresTest, "durable_figures");
