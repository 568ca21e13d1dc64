// Entry point of every unit test program: runs the registered CppUnit suites and prints failures as compiler messages.

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>

int main(int argc, char** argv)
{
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector result;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&result);
    controller.addListener(&progress);

    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    try {
        runner.run(controller, argc > 1 ? argv[1] : "");
    } catch (const std::exception& error) {
        std::cerr << "cannot run the tests: " << error.what() << '\n';
        return 2;
    }
    CppUnit::CompilerOutputter(&result, std::cerr).write();
    // A program that ran no test has proved nothing.
    return result.wasSuccessful() && result.runTests() > 0 ? 0 : 1;
}
