// Straight-line fits of measured points.

#pragma once

#include <vector>

namespace peridot::capacity {

struct Point {
    double x = 0;
    double y = 0;
};

/** y = intercept + slope * x by least squares. */
struct Fit {
    double slope = 0;
    double intercept = 0;
    double slopeError = 0; // Standard error of the slope; 0 with fewer than three points.
    double determination = 0; // R squared.

    double at(double x) const noexcept { return intercept + slope * x; }
};

/** Needs two points with different x; fewer give a fit of zeros. */
Fit fitLine(const std::vector<Point>&);

}
