// Runs the CppUnit suites named on the command line, or all of them.

#include <cstdlib>
#include <iostream>

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

int main(int argc, char **argv)
{
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    result.addListener(&collector);
    result.addListener(&progress);
    CppUnit::TestRunner runner;
    if (argc < 2) {
        runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    }
    for (int i = 1; i < argc; ++i) {
        runner.addTest(CppUnit::TestFactoryRegistry::getRegistry(argv[i]).makeTest());
    }
    runner.run(result);
    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    // An unknown suite name must not pass as an empty success.
    const bool ranSomething = collector.runTests() > 0;
    return ranSomething && collector.wasSuccessful() ? EXIT_SUCCESS : EXIT_FAILURE;
}
