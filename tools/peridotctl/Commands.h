// The commands of peridotctl.

#pragma once

#include "OperatorClient.h"

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace peridot {

constexpr int exitSuccess = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
constexpr int exitConflict = 3; // Another operator changed the same field first.
constexpr int exitNotInForce = 4; // Accepted, but not in force everywhere within the time of --timeout.

struct CommandOptions {
    std::string operatorName;
    std::optional<std::uint64_t> baseVersion;
    std::string keyId; // For `key issue`; made up if empty.
    std::uint32_t burst = 0; // For workspaces; half the rate if 0.
    bool isWaiting = false;
    bool isOff = false;
    bool isJson = false;
    std::uint32_t timeoutSeconds = 60;
};

class Commands {
public:
    Commands(const OperatorClient&, CommandOptions, std::ostream& output, std::ostream& errors);

    /** Runs one command with its arguments and returns the exit code. */
    int run(const std::vector<std::string>& words);

private:
    using Words = std::vector<std::string>;

    int show();
    int status();
    int explain(const std::string& requestId);
    int compare(const std::string& path, bool isApplied);
    int setTarget(const Words&);
    int workspace(const Words&);
    int key(const Words&);
    int route(const Words&);
    int drain(const Words&);

    int submit(const std::vector<nlohmann::json>& changes, std::uint64_t baseVersion);
    int submitOne(const nlohmann::json& change);
    int waitUntilInForce(std::uint64_t version);
    std::optional<nlohmann::json> configuration();
    int printReply(const Result<OperatorReply>&);
    int fail(const Error&);
    int usage(const std::string& message);

    const OperatorClient& m_client;
    const CommandOptions m_options;
    std::ostream& m_output;
    std::ostream& m_errors;
};

/** The commands with their arguments, for --help. */
extern const char* const commandSummary;

}
