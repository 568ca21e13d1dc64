// Faults of the platform's stand-in that can be switched while it runs.

#pragma once

#include "base/JsonReader.h"

#include <set>
#include <string>

namespace peridot {

/** Any of them may be on at once. Default values are no fault. */
struct PlatformFaults {
    bool isDown = false; // Refuses every store request before it takes effect.
    bool isHanging = false; // Takes store requests and never runs them.
    Duration delay { 0 }; // Waits this long before it runs a store request.
    double lostAnswerProbability = 0; // Of writes: runs them and never answers.
    std::set<std::string> unreachableCallers; // Callers by name for which the platform hangs.
    Duration listLag { 0 }; // Added to the usual lag of the list.
    bool isListFrozen = false; // The list stays as it was when this was switched on.
};

PlatformFaults readPlatformFaults(JsonReader&);
nlohmann::json encodePlatformFaults(const PlatformFaults&);

}
