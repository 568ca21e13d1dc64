#include "TrialOptions.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <cmath>
#include <map>
#include <sstream>

namespace peridot::trial {

namespace {

    namespace po = boost::program_options;

    constexpr const char* step = "read the command line";

    template <typename Enum> std::string listNames()
    {
        std::string text;
        for (const auto& [value, name] : enumNames<Enum>)
            text += (text.empty() ? "" : ", ") + std::string(name);
        return text;
    }

    template <typename Enum> Result<Enum> parseName(const char* option, const std::string& text)
    {
        if (const auto value = enumFromName<Enum>(text))
            return *value;
        return makeError(ErrorCode::InvalidArgument, step, "",
            fmt::format("--{}: found \"{}\", expected one of {}", option, text, listNames<Enum>()));
    }

    Result<void> applySetting(TrialOptions& options, const std::string& text)
    {
        struct Setting {
            double TrialOptions::*member;
            double lowest;
            double highest;
        };
        static const std::map<std::string, Setting> settings {
            { "load", { &TrialOptions::load, 0.001, 20 } },
            { "slots", { &TrialOptions::slotScale, 0.05, 4 } },
            { "fault_interval", { &TrialOptions::faultInterval, 0.5, 3600 } },
            { "response_kb", { &TrialOptions::responseKilobytes, 0, 100000 } },
            { "burst_s", { &TrialOptions::burstSeconds, 0, 3600 } },
            { "shift_cap", { &TrialOptions::shiftCap, 0, 1e9 } },
        };
        const auto equals = text.find('=');
        const auto it = settings.find(text.substr(0, equals));
        if (equals == std::string::npos || it == settings.end())
            return makeError(ErrorCode::InvalidArgument, step, "",
                fmt::format("--set: found \"{}\", expected load=, slots=, fault_interval=, response_kb=, burst_s= or "
                            "shift_cap=",
                    text));
        double value = 0;
        std::istringstream stream(text.substr(equals + 1));
        const auto& [member, lowest, highest] = it->second;
        if (!(stream >> value) || !stream.eof() || !(value >= lowest && value <= highest))
            return makeError(ErrorCode::InvalidArgument, step, "",
                fmt::format("--set {}: expected a number from {} to {}", text, lowest, highest));
        options.*member = value;
        return {};
    }

    po::options_description optionTable()
    {
        po::options_description table("Options of one run");
        table.add_options()("deployment", po::value<std::string>()->required(), "plesni-caj or lithoplan");
        table.add_options()("seed", po::value<std::uint64_t>()->default_value(1), "seed of all random draws");
        table.add_options()("minutes", po::value<double>()->default_value(2), "virtual minutes");
        table.add_options()("policy", po::value<std::string>()->default_value("node"), "node or a baseline");
        table.add_options()("scenario", po::value<std::string>()->default_value("steady"), "planned course of events");
        table.add_options()("faults", po::value<std::string>()->default_value("none"), "all, none or a list");
        table.add_options()("mutate", po::value<std::string>()->default_value("none"), "fault in the trial's wiring");
        table.add_options()("set", po::value<std::vector<std::string>>(), "KEY=VALUE, may be repeated");
        table.add_options()("log", po::value<std::string>()->default_value(""), "file for the instances' log lines");
        table.add_options()("verbose", "print every violation");
        return table;
    }

    Result<TrialOptions> fromVariables(const po::variables_map& variables)
    {
        TrialOptions options;
        options.deployment = variables["deployment"].as<std::string>();
        if (options.deployment != "plesni-caj" && options.deployment != "lithoplan")
            return makeError(ErrorCode::InvalidArgument, step, "",
                fmt::format("--deployment: found \"{}\", expected plesni-caj or lithoplan", options.deployment));
        options.seed = variables["seed"].as<std::uint64_t>();
        const double minutes = variables["minutes"].as<double>();
        if (!(minutes > 0 && minutes <= 24 * 60))
            return makeError(ErrorCode::InvalidArgument, step, "", "--minutes: expected a number above 0, up to 1440");
        options.length = Duration { std::llround(minutes * 60e6) };
        options.logPath = variables["log"].as<std::string>();
        options.isVerbose = variables.count("verbose") > 0;

        const auto policy = parseName<Policy>("policy", variables["policy"].as<std::string>());
        if (!policy)
            return tl::unexpected(policy.error());
        options.policy = *policy;
        const auto scenario = parseName<Scenario>("scenario", variables["scenario"].as<std::string>());
        if (!scenario)
            return tl::unexpected(scenario.error());
        options.scenario = *scenario;
        const auto mutation = parseName<Mutation>("mutate", variables["mutate"].as<std::string>());
        if (!mutation)
            return tl::unexpected(mutation.error());
        options.mutation = *mutation;
        const auto faults = parseFaults(variables["faults"].as<std::string>());
        if (!faults)
            return tl::unexpected(faults.error());
        options.faults = *faults;
        if (variables.count("set") > 0) {
            for (const std::string& text : variables["set"].as<std::vector<std::string>>()) {
                if (const auto applied = applySetting(options, text); !applied)
                    return tl::unexpected(applied.error());
            }
        }
        return options;
    }

}

std::set<Fault> allFaults()
{
    std::set<Fault> faults;
    for (const auto& [fault, name] : enumNames<Fault>)
        faults.insert(fault);
    return faults;
}

Result<std::set<Fault>> parseFaults(const std::string& text)
{
    if (text == "all")
        return allFaults();
    std::set<Fault> faults;
    if (text == "none")
        return faults;
    std::istringstream stream(text);
    for (std::string name; std::getline(stream, name, ',');) {
        const auto fault = parseName<Fault>("faults", name);
        if (!fault)
            return tl::unexpected(fault.error());
        faults.insert(*fault);
    }
    return faults;
}

Result<TrialOptions> parseTrialOptions(const std::vector<std::string>& arguments)
{
    const po::options_description table = optionTable();
    try {
        po::variables_map variables;
        po::store(po::command_line_parser(arguments).options(table).positional({}).run(), variables);
        po::notify(variables);
        return fromVariables(variables);
    } catch (const po::error& error) {
        std::ostringstream usage;
        usage << error.what() << '\n' << table;
        return makeError(ErrorCode::InvalidArgument, step, "", usage.str());
    }
}

std::string describe(const TrialOptions& options)
{
    std::string faults;
    for (const Fault fault : options.faults)
        faults += (faults.empty() ? "" : ",") + std::string(enumName(fault));
    if (options.faults.empty())
        faults = "none";
    else if (options.faults == allFaults())
        faults = "all";
    std::string text = fmt::format("--deployment {} --seed {} --minutes {} --policy {} --scenario {} --faults {}",
        options.deployment, options.seed, toSeconds(options.length) / 60, enumName(options.policy),
        enumName(options.scenario), faults);
    text += fmt::format(" --set load={} --set slots={} --set fault_interval={} --set response_kb={}", options.load,
        options.slotScale, options.faultInterval, options.responseKilobytes);
    if (options.burstSeconds > 0)
        text += fmt::format(" --set burst_s={}", options.burstSeconds);
    if (options.shiftCap > 0)
        text += fmt::format(" --set shift_cap={}", options.shiftCap);
    if (options.mutation != Mutation::None)
        text += fmt::format(" --mutate {}", enumName(options.mutation));
    return text;
}

}
