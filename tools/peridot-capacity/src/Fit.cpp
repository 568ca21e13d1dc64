// Least squares.

#include "Fit.h"

#include <cmath>
#include <cstddef>

namespace peridot::capacity {

Fit fitLine(const std::vector<Point>& points)
{
    const auto n = static_cast<double>(points.size());
    double meanX = 0;
    double meanY = 0;
    for (const auto& point : points) {
        meanX += point.x / n;
        meanY += point.y / n;
    }
    double xx = 0;
    double xy = 0;
    double yy = 0;
    for (const auto& point : points) {
        xx += (point.x - meanX) * (point.x - meanX);
        xy += (point.x - meanX) * (point.y - meanY);
        yy += (point.y - meanY) * (point.y - meanY);
    }
    if (points.size() < 2 || xx <= 0)
        return {};
    Fit fit;
    fit.slope = xy / xx;
    fit.intercept = meanY - fit.slope * meanX;
    const auto residual = std::max(0.0, yy - fit.slope * xy);
    fit.determination = yy > 0 ? 1 - residual / yy : 1;
    if (points.size() > 2)
        fit.slopeError = std::sqrt(residual / (n - 2) / xx);
    return fit;
}

}
