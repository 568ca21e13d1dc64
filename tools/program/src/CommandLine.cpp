// Options shared by the programs that run until a signal ends them.

#include "program/CommandLine.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace peridot {

namespace {

    namespace options = boost::program_options;

    std::optional<LogLevel> logLevelFromName(const std::string& name)
    {
        if (name == "debug")
            return LogLevel::Debug;
        if (name == "info")
            return LogLevel::Info;
        if (name == "warning")
            return LogLevel::Warning;
        if (name == "error")
            return LogLevel::Error;
        return std::nullopt;
    }

    CommandLine done(ExitCode code)
    {
        CommandLine line;
        line.exitCode = code;
        return line;
    }

}

CommandLine parseCommandLine(
    const ProgramDescription& program, int argc, const char* const* argv, const std::vector<ExtraOption>& extraOptions)
{
    options::options_description description("Options");
    auto add = description.add_options();
    add("settings", options::value<std::string>(), "settings file, JSON with comments");
    add("check-settings", "check the settings file and exit: 0 if it is valid, 2 if not");
    add("log-level", options::value<std::string>()->default_value("info"), "debug, info, warning or error");
    add("help", "print this text and exit");
    add("version", "print the version and exit");

    for (const auto& option : extraOptions)
        add(option.name.c_str(), options::value<std::string>(), option.help.c_str());

    CommandLine line;
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        if (values.contains("help")) {
            std::cout << program.name << ": " << program.purpose << "\n\nUsage: " << program.name
                      << " --settings FILE [option...]\n\n"
                      << description << "\nSIGTERM and SIGINT end the program cleanly with exit code 0.\n";
            return done(ExitCode::Success);
        }
        if (values.contains("version")) {
            std::cout << program.name << ' ' << program.version << '\n';
            return done(ExitCode::Success);
        }
        if (!values.contains("settings"))
            throw options::error("--settings is missing");
        line.settingsPath = values["settings"].as<std::string>();
        line.isCheckOnly = values.contains("check-settings");
        for (const auto& option : extraOptions) {
            if (values.contains(option.name))
                line.extra[option.name] = values[option.name].as<std::string>();
        }
        const auto& levelName = values["log-level"].as<std::string>();
        const auto level = logLevelFromName(levelName);
        if (!level)
            throw options::error("--log-level: found " + levelName + ", expected debug, info, warning or error");
        line.logLevel = *level;
    } catch (const options::error& error) {
        std::cerr << program.name << ": " << error.what() << "; see --help\n";
        return done(ExitCode::InvalidSettings);
    }
    return line;
}

int reportInvalidSettings(const ProgramDescription& program, const Error& error)
{
    std::cerr << program.name << ": " << error.describe() << '\n';
    return static_cast<int>(ExitCode::InvalidSettings);
}

}
