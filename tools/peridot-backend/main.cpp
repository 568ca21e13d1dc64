// The backend servers' stand-in.

#include "BackendProcess.h"
#include "BackendSettings.h"
#include "program/CommandLine.h"
#include "program/SignalWait.h"

#include <cstdlib>
#include <iostream>

using namespace peridot;

namespace {

// Tells a leaked key apart from every other failure of the process.
constexpr int keySeenExitCode = 70;

}

int main(int argc, char** argv)
{
    blockEndSignals();
    const ProgramDescription program { "peridot-backend", PERIDOT_VERSION, "stand-in of backend servers" };
    const auto line = parseCommandLine(program, argc, argv);
    if (line.exitCode)
        return static_cast<int>(*line.exitCode);
    const auto settings = readBackendSettings(line.settingsPath);
    if (!settings)
        return reportInvalidSettings(program, settings.error());
    if (line.isCheckOnly) {
        std::cout << line.settingsPath << ": valid\n";
        return static_cast<int>(ExitCode::Success);
    }

    configureLogging(program.name, line.logLevel);
    SpdlogEventLog log;
    BackendProcess process(*settings, log, [] { std::_Exit(keySeenExitCode); });
    if (auto opened = process.open(); !opened) {
        log.write(LogLevel::Error, LogLine("start_failed").add("error", opened.error().describe()));
        return static_cast<int>(ExitCode::Failure);
    }
    log.write(LogLevel::Info,
        LogLine("started")
            .add("deployment", settings->deployment)
            .add("control_listen", settings->controlListen)
            .add("servers", settings->servers.size()));
    const int signal = waitForEndSignal();
    process.close();
    log.write(LogLevel::Info, LogLine("stopped").add("signal", signal));
    return static_cast<int>(ExitCode::Success);
}
