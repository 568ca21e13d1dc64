// JSON form of the control state, see docs/stand-ins.md.

#include "ServerControl.h"

namespace peridot {

namespace {

    using namespace std::chrono_literals;

    std::string stateName(bool isDraining) { return isDraining ? "draining" : "live"; }

    LoadReport readLoadReport(JsonReader& reader)
    {
        LoadReport report;
        report.isHealthy = reader.boolean("healthy", true);
        const auto state = reader.string("state", "live");
        if (state != "live" && state != "draining")
            reader.fail("state", "live or draining");
        report.isDraining = state == "draining";
        report.inFlight = static_cast<std::uint32_t>(reader.integer("in_flight", 0, 1000000, 0));
        report.slots = static_cast<std::uint32_t>(reader.integer("slots", 0, 1000000));
        return report;
    }

}

ServerControl readServerControl(JsonReader& reader)
{
    ServerControl control;
    control.isDraining = reader.boolean("draining", false);
    control.reportLag = reader.milliseconds("report_lag_ms", 0us, 10min, 0us);
    control.isReportFrozen = reader.boolean("report_frozen", false);
    reader.object("false_report", false, [&](JsonReader& member) { control.falseReport = readLoadReport(member); });
    control.refusesConnections = reader.boolean("refuse_connections", false);
    control.shedProbability = reader.number("shed_probability", 0, 1, 0);
    control.closeBeforeRunProbability = reader.number("close_before_run_probability", 0, 1, 0);
    control.closeAfterRunProbability = reader.number("close_after_run_probability", 0, 1, 0);
    control.closesReusedOnly = reader.boolean("close_reused_only", false);
    control.truncateProbability = reader.number("truncate_probability", 0, 1, 0);
    control.swapProbability = reader.number("swap_probability", 0, 1, 0);
    control.lateProbability = reader.number("late_probability", 0, 1, 0);
    control.lateBy = reader.milliseconds("late_ms", 0us, 10min, 0us);
    control.slowFactor = reader.number("slow_factor", 0.01, 10000, 1);
    return control;
}

nlohmann::json encodeServerControl(const ServerControl& control)
{
    nlohmann::json object { { "draining", control.isDraining }, { "report_lag_ms", toMilliseconds(control.reportLag) },
        { "report_frozen", control.isReportFrozen }, { "refuse_connections", control.refusesConnections },
        { "shed_probability", control.shedProbability },
        { "close_before_run_probability", control.closeBeforeRunProbability },
        { "close_after_run_probability", control.closeAfterRunProbability },
        { "close_reused_only", control.closesReusedOnly }, { "truncate_probability", control.truncateProbability },
        { "swap_probability", control.swapProbability }, { "late_probability", control.lateProbability },
        { "late_ms", toMilliseconds(control.lateBy) }, { "slow_factor", control.slowFactor } };
    if (control.falseReport) {
        object["false_report"] = encodeLoadReport(*control.falseReport);
        object["false_report"]["healthy"] = control.falseReport->isHealthy;
    }
    return object;
}

nlohmann::json encodeLoadReport(const LoadReport& report)
{
    return { { "state", stateName(report.isDraining) }, { "in_flight", report.inFlight }, { "slots", report.slots } };
}

}
