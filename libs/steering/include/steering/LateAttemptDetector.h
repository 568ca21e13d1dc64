// Recognises requests of callers that have waited so long in earlier attempts that the target latency has passed.

#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <map>
#include <string>
#include <utility>

namespace peridot {

/**
 * The target latency counts from a caller's first attempt, but an attempt does not state when that was. Callers state
 * the time for which they still wait, and most requests are first attempts. The detector therefore tracks the median of
 * the stated times by route and workspace. A request that states less than the median by more than the target latency
 * has most likely been refused or has failed before. Not thread-safe.
 */
class LateAttemptDetector {
public:
    /** Returns whether the request is a late attempt, and takes its stated time into account. */
    bool isLate(const std::string& route, const WorkspaceId&, Duration remainingTime, Duration targetLatency);

private:
    std::map<std::pair<std::string, WorkspaceId>, double> m_medians; // In microseconds.
};

}
