#include <cppunit/extensions/HelperMacros.h>

#include "chain_simulation.h"

using namespace Medlarramp;
using namespace Medlarramp::Serving;

/** Credit in bursts, against one queue with full knowledge. */
class PipelineCreditTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PipelineCreditTest);
    CPPUNIT_TEST(burstKeepsTheCreditOfTheOracle);
    CPPUNIT_TEST(burstAndSlowStageKeepTheCreditOfTheOracle);
    CPPUNIT_TEST_SUITE_END();

    // Guards against requests that are late in a burst of one kind, at the sizes of 8, 89 and 295 gateways.
    void burstKeepsTheCreditOfTheOracle()
    {
        for (const double gateways : {8.0, 89.0, 295.0}) {
            checkCredit("burst at " + std::to_string(gateways), burstLoad(gateways));
        }
    }

    // Guards against requests that are late when a burst meets a last stage at half its pace.
    void burstAndSlowStageKeepTheCreditOfTheOracle()
    {
        ChainLoad load;
        load.m_burst = 2.5;
        load.m_slowLastStage = 2;
        checkCredit("burst and slow last stage", load);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PipelineCreditTest, "pipeline_credit");
