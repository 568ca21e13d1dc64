// One run: a whole deployment in virtual time.

#pragma once

#include "Judge.h"
#include "TrialOptions.h"

#include <cstdint>
#include <string>
#include <vector>

namespace peridot::trial {

/** What a run showed. */
struct TrialResult {
    TrialOptions options;
    bool isOk = false;
    std::uint64_t checks = 0;
    std::uint64_t violations = 0;
    JudgeCounts counts;
    std::uint64_t callerRequests = 0;
    std::uint64_t callerCompleted = 0;
    std::uint64_t callersWithoutInstance = 0;
    std::uint64_t lookups = 0;
    std::uint64_t lookupsRefused = 0;
    std::uint64_t storeReads = 0;
    std::uint64_t storeWrites = 0;
    std::uint64_t changesAccepted = 0;
    std::uint64_t changesRefused = 0;
    std::uint64_t events = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    double worstWorkspaceP99Ms = 0;
    double headroomMin = 0;
    double regionOverloadSeconds = 0;
    std::uint64_t shiftCapExcess = 0;
    std::uint64_t linkExcess = 0;
    double linkUseMax = 0;
    int targetMissedClasses = 0;
    std::vector<std::string> violationTexts;
    std::map<Rule, std::uint64_t> violationsByRule;

    /** Figures that the summary leaves out. */
    std::string detailLine() const;
    /** The last line of the output. */
    std::string summaryLine() const;
};

TrialResult runTrial(const TrialOptions&);

}
