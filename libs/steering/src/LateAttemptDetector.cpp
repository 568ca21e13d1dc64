#include "steering/LateAttemptDetector.h"

namespace peridot {

namespace {

    // Change of a median per request, relative to its value.
    constexpr double medianStep = 0.01;

}

bool LateAttemptDetector::isLate(
    const std::string& route, const WorkspaceId& workspace, Duration remainingTime, Duration targetLatency)
{
    const auto remaining = static_cast<double>(remainingTime.count());
    const auto [it, isNew] = m_medians.try_emplace({ route, workspace }, remaining);
    auto& median = it->second;
    const bool isLate = remaining < median - static_cast<double>(targetLatency.count());
    if (remaining != median)
        median *= remaining > median ? 1 + medianStep : 1 - medianStep;
    return isLate;
}

}
