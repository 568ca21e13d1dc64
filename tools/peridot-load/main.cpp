// Callers of several workspaces. Prints what became of their requests.

#include "LoadSettings.h"
#include "WorkspaceCallers.h"
#include "base/EventLog.h"
#include "program/CommandLine.h"

#include <boost/lexical_cast.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

using namespace peridot;

namespace {

std::string tableLine(const std::string& name, const LoadStatistics& statistics)
{
    const auto milliseconds = [&statistics](double percent) {
        return static_cast<double>(statistics.percentile(percent).count()) / 1000.0;
    };
    return fmt::format("{:<22} {:>8} {:>9} {:>8} {:>8} {:>8} {:>7} {:>6} {:>8.1f} {:>8.1f} {:>8.1f}\n", name,
        statistics.sent(), statistics.count(Outcome::Completed), statistics.count(Outcome::RefusedInside),
        statistics.count(Outcome::RefusedAbove), statistics.count(Outcome::Unknown), statistics.count(Outcome::Failed),
        statistics.count(Outcome::Wrong), milliseconds(50), milliseconds(99), milliseconds(100));
}

/** Applies --duration-ms. Returns an error message, or nothing. */
std::string applyDuration(const std::string& text, LoadSettings& settings)
{
    std::uint32_t milliseconds = 0;
    if (!boost::conversion::try_lexical_convert(text, milliseconds) || milliseconds == 0)
        return "--duration-ms: found " + text + ", expected a number of milliseconds above 0";
    settings.duration = std::chrono::milliseconds { milliseconds };
    return "";
}

/** Applies --multiple, a list such as "a=10,b=0.5". Returns an error message, or nothing. */
std::string applyMultiples(const std::string& text, LoadSettings& settings)
{
    std::istringstream list(text);
    for (std::string item; std::getline(list, item, ',');) {
        const auto equals = std::min(item.find('='), item.size());
        const auto caller = std::find_if(settings.callers.begin(), settings.callers.end(),
            [&](const CallerSettings& candidate) { return candidate.workspace == item.substr(0, equals); });
        double multiple = 0;
        if (caller == settings.callers.end() || equals == item.size()
            || !boost::conversion::try_lexical_convert(item.substr(equals + 1), multiple)
            || !(multiple > 0 && multiple <= 1000))
            return "--multiple: found " + item + ", expected WORKSPACE=NUMBER with a workspace of the settings";
        caller->multiple = multiple;
    }
    return "";
}

std::string applyOptions(const CommandLine& line, LoadSettings& settings)
{
    if (const auto it = line.extra.find("duration-ms"); it != line.extra.end()) {
        if (auto error = applyDuration(it->second, settings); !error.empty())
            return error;
    }
    if (const auto it = line.extra.find("multiple"); it != line.extra.end())
        return applyMultiples(it->second, settings);
    return "";
}

/** Prints and reports what the backend servers counted. Returns false if it contradicts what callers were told. */
bool reportAudit(const LoadSettings& settings, const RunAudit& audit, nlohmann::json& report)
{
    if (settings.controlAddresses.empty())
        return true;
    const auto runs = fetchRuns(settings.controlAddresses);
    if (!runs) {
        std::cout << "audit: " << runs.error().describe() << '\n';
        report["audit"] = nullptr;
        return false;
    }
    const auto result = audit.compare(*runs);
    std::cout << fmt::format("audit: {} runs; {} ran twice, {} ran although refused, {} completed without a run\n",
        result.runs, result.ranTwice.size(), result.ranAlthoughRefused.size(), result.completedWithoutRun.size());
    report["audit"] = result.toJson();
    return result.isClean();
}

struct RunResult {
    nlohmann::json report;
    bool isClean = false; // No wrong response, and the audit found nothing.
};

RunResult run(const LoadSettings& settings, EventLog& log)
{
    RunAudit audit;
    const auto runId = fmt::format("{:08x}", std::random_device {}());
    std::vector<std::shared_ptr<WorkspaceCallers>> workspaces;
    for (const auto& caller : settings.callers) {
        workspaces.push_back(std::make_shared<WorkspaceCallers>(
            settings, caller, CallerRun { runId, settings.randomSeed + workspaces.size() }, audit, log));
    }
    for (const auto& workspace : workspaces)
        workspace->start();
    std::cout << fmt::format("{:<22} {:>8} {:>9} {:>8} {:>8} {:>8} {:>7} {:>6} {:>8} {:>8} {:>8}\n", "workspace",
        "sent", "completed", "refused<", "refused>", "unknown", "failed", "wrong", "p50 ms", "p99 ms", "max ms");
    LoadStatistics total;
    nlohmann::json report { { "deployment", settings.deployment.value() },
        { "duration_ms", toMilliseconds(settings.duration) }, { "workspaces", nlohmann::json::object() } };
    for (const auto& workspace : workspaces) {
        workspace->wait();
        const auto statistics = workspace->statistics();
        total.merge(statistics);
        std::cout << tableLine(workspace->workspace(), statistics);
        report["workspaces"][workspace->workspace()] = workspace->toJson();
    }
    std::cout << tableLine("total", total) << "refused<: inside the workspace's rate; refused>: above it\n";
    report["total"] = total.toJson();
    const bool isClean = reportAudit(settings, audit, report) && total.count(Outcome::Wrong) == 0;
    return { std::move(report), isClean };
}

}

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const ProgramDescription program { "peridot-load", PERIDOT_VERSION, "callers of several workspaces" };
    const auto line = parseCommandLine(program, argc, argv,
        { { "json", "file for the results as JSON" }, { "duration-ms", "time to send for, in milliseconds" },
            { "multiple", "multiples of the rates that differ from the settings, such as a=10,b=0.5" } });
    if (line.exitCode)
        return static_cast<int>(*line.exitCode);
    auto settings = readLoadSettings(line.settingsPath);
    if (!settings)
        return reportInvalidSettings(program, settings.error());
    if (const auto error = applyOptions(line, *settings); !error.empty()) {
        std::cerr << program.name << ": " << error << '\n';
        return static_cast<int>(ExitCode::InvalidSettings);
    }
    if (line.isCheckOnly) {
        std::cout << line.settingsPath << ": valid\n";
        return static_cast<int>(ExitCode::Success);
    }
    configureLogging(program.name, line.logLevel);
    SpdlogEventLog log;
    const auto result = run(*settings, log);
    if (const auto file = line.extra.find("json"); file != line.extra.end()) {
        std::ofstream out(file->second);
        out << result.report.dump(2) << '\n';
        if (!out.flush()) {
            std::cerr << program.name << ": cannot write " << file->second << '\n';
            return static_cast<int>(ExitCode::Failure);
        }
    }
    return static_cast<int>(result.isClean ? ExitCode::Success : ExitCode::Failure);
}
