// What can be switched on a backend server while it runs: drain, false reports and faults.

#pragma once

#include "base/JsonReader.h"

#include <cstdint>
#include <optional>
#include <string>

namespace peridot {

/** What GET /health and GET /load report. */
struct LoadReport {
    bool isHealthy = true;
    bool isDraining = false;
    std::uint32_t inFlight = 0; // Running and waiting requests.
    std::uint32_t slots = 0;
};

/** Default values are no fault. Probabilities are per request. */
struct ServerControl {
    bool isDraining = false;
    Duration reportLag { 0 };
    bool isReportFrozen = false;
    std::optional<LoadReport> falseReport; // Reported instead of the truth.

    bool refusesConnections = false;
    double shedProbability = 0; // Refuses before running, with a true X-Not-Run.
    double closeBeforeRunProbability = 0; // Closes the connection without running the request.
    double closeAfterRunProbability = 0; // Runs the request and closes the connection without a response.
    bool closesReusedOnly = false; // The two above only on connections that have served a request.
    double truncateProbability = 0; // Sends half of the response body and closes the connection.
    double swapProbability = 0; // Exchanges the response with that of another request.
    double lateProbability = 0;
    Duration lateBy { 0 }; // Waits this long after the run before responding.
    double slowFactor = 1; // Multiplies service times.
};

ServerControl readServerControl(JsonReader&);
nlohmann::json encodeServerControl(const ServerControl&);
nlohmann::json encodeLoadReport(const LoadReport&);

}
