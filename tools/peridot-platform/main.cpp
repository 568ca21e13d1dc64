// The platform's stand-in: transactional table, object store and lagging list of instances over HTTP.

#include "PlatformServer.h"
#include "PlatformSettings.h"
#include "program/CommandLine.h"
#include "program/SignalWait.h"

#include <iostream>

using namespace peridot;

int main(int argc, char** argv)
{
    blockEndSignals();
    const ProgramDescription program { "peridot-platform", PERIDOT_VERSION,
        "stand-in of the platform: table, object store and list of instances" };
    const auto line = parseCommandLine(program, argc, argv);
    if (line.exitCode)
        return static_cast<int>(*line.exitCode);
    const auto settings = readPlatformSettings(line.settingsPath);
    if (!settings)
        return reportInvalidSettings(program, settings.error());
    if (line.isCheckOnly) {
        std::cout << line.settingsPath << ": valid\n";
        return static_cast<int>(ExitCode::Success);
    }

    configureLogging(program.name, line.logLevel);
    SpdlogEventLog log;
    PlatformServer server(*settings, log);
    if (auto opened = server.open(); !opened) {
        log.write(LogLevel::Error, LogLine("start_failed").add("error", opened.error().describe()));
        return static_cast<int>(ExitCode::Failure);
    }
    log.write(LogLevel::Info,
        LogLine("started")
            .add("deployment", settings->deployment)
            .add("listen", settings->listen)
            .add("instances", settings->instances.size()));
    const int signal = waitForEndSignal();
    server.close();
    log.write(LogLevel::Info, LogLine("stopped").add("signal", signal));
    return static_cast<int>(ExitCode::Success);
}
