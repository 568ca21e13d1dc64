// Command line of a program that is driven by one settings file.

#pragma once

#include "base/Error.h"
#include "base/EventLog.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridot {

/** Exit codes of all programs. */
enum class ExitCode : int {
    Success = 0,
    Failure = 1,
    InvalidSettings = 2,
};

struct ProgramDescription {
    std::string name;
    std::string version;
    std::string purpose;
};

/** An option with a value that only one program has. */
struct ExtraOption {
    std::string name;
    std::string help;
};

struct CommandLine {
    std::optional<ExitCode> exitCode; // Set if the program is done, as after --help.
    std::string settingsPath;
    bool isCheckOnly = false;
    LogLevel logLevel = LogLevel::Info;
    std::map<std::string, std::string> extra; // Values of the extra options that were given.
};

/** Parses `--settings FILE [--check-settings] [--log-level L] [--help] [--version]`; prints help and errors. */
CommandLine parseCommandLine(
    const ProgramDescription&, int argc, const char* const* argv, const std::vector<ExtraOption>& = {});

/** Prints a settings error to standard error and returns the exit code for it. */
int reportInvalidSettings(const ProgramDescription&, const Error&);

}
