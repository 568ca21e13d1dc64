// A wrong fit would make every figure of the capacity page wrong.

#include "Fit.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot::capacity;

class FitTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FitTest);
    CPPUNIT_TEST(fitsExactLine);
    CPPUNIT_TEST(statesErrorOfScatteredPoints);
    CPPUNIT_TEST(refusesVerticalLine);
    CPPUNIT_TEST_SUITE_END();

public:
    void fitsExactLine()
    {
        const auto fit = fitLine({ { 1, 5 }, { 2, 7 }, { 4, 11 } });
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2, fit.slope, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3, fit.intercept, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, fit.slopeError, 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(23, fit.at(10), 1e-9);
    }

    void statesErrorOfScatteredPoints()
    {
        // By hand: residuals -0.5, 1, -0.5 around the line, their squares add up to 1.5; xx = 2, n - 2 = 1.
        const auto fit = fitLine({ { 0, 0 }, { 1, 2 }, { 2, 1 } });
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, fit.slope, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, fit.intercept, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.8660254, fit.slopeError, 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, fit.determination, 1e-9);
    }

    void refusesVerticalLine() { CPPUNIT_ASSERT_DOUBLES_EQUAL(0, fitLine({ { 1, 1 }, { 1, 2 } }).slope, 0); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FitTest);
