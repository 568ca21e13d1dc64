// peridotctl: the operators' tool.

#include "Commands.h"
#include "RequestStory.h"

#include <boost/program_options.hpp>
#include <sodium.h>

#include <cstdlib>
#include <fstream>
#include <iostream>

namespace {

namespace options = boost::program_options;

const char* const keyVariable = "PERIDOT_OPERATOR_KEY";
const char* const endpointVariable = "PERIDOT_ENDPOINTS";

std::string environment(const char* name)
{
    const char* value = std::getenv(name);
    return value ? value : "";
}

std::vector<std::string> splitAtCommas(const std::string& text)
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (start < text.size()) {
        const auto end = std::min(text.find(',', start), text.size());
        if (end > start)
            parts.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return parts;
}

std::string operatorKey(const options::variables_map& values)
{
    if (values.count("key-file") == 0)
        return environment(keyVariable);
    std::ifstream file(values["key-file"].as<std::string>());
    std::string key;
    file >> key;
    return key;
}

options::options_description describeOptions(peridot::CommandOptions& command)
{
    options::options_description description("Options");
    description.add_options()("help,h", "print this text")("version", "print the version");
    description.add_options()("endpoint,e", options::value<std::string>()->default_value(environment(endpointVariable)),
        "operator endpoints host:port[,host:port...], tried in order; default from PERIDOT_ENDPOINTS");
    description.add_options()("key-file", options::value<std::string>(),
        "file with the operator key; without it the key is taken from PERIDOT_OPERATOR_KEY");
    description.add_options()(
        "ca-file", options::value<std::string>()->default_value(""), "certificate authority of https endpoints");
    description.add_options()("operator", options::value(&command.operatorName)->default_value(environment("USER")),
        "name shown to other operators in conflicts");
    description.add_options()("base-version", options::value<std::uint64_t>(),
        "version that the change starts from; default: the one in force");
    description.add_options()("key-id", options::value(&command.keyId), "id of the key that is issued");
    description.add_options()("burst", options::value(&command.burst), "burst of a workspace; default: half its rate");
    description.add_options()("off", options::bool_switch(&command.isOff), "end a drain");
    description.add_options()(
        "wait", options::bool_switch(&command.isWaiting), "return once the change is in force at every live instance");
    description.add_options()(
        "timeout", options::value(&command.timeoutSeconds)->default_value(60), "longest wait in seconds");
    description.add_options()("output", options::value<std::string>()->default_value("text"), "text or json");
    return description;
}

int explainFromLogs(const std::string& requestId, const std::vector<std::string>& paths)
{
    peridot::RequestStory story(requestId);
    for (const auto& path : paths) {
        std::ifstream file(path);
        if (!file) {
            std::cerr << "peridotctl: cannot read " << path << '\n';
            return peridot::exitFailure;
        }
        story.read(file, path);
    }
    if (!story.isKnown()) {
        std::cerr << "peridotctl: no line of these files is about request " << requestId << '\n';
        return peridot::exitFailure;
    }
    story.print(std::cout);
    return peridot::exitSuccess;
}

int runProgram(int argc, char** argv)
{
    peridot::CommandOptions command;
    const auto visible = describeOptions(command);
    options::options_description all;
    all.add(visible).add_options()("words", options::value<std::vector<std::string>>());
    options::positional_options_description positions;
    positions.add("words", -1);
    options::variables_map values;
    options::store(options::command_line_parser(argc, argv).options(all).positional(positions).run(), values);
    options::notify(values);
    if (values.count("help") != 0) {
        std::cout << "Usage: peridotctl [OPTION...] COMMAND [ARGUMENT...]\n"
                  << peridot::commandSummary << visible
                  << "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 lost race, 4 accepted but not yet in force\n";
        return peridot::exitSuccess;
    }
    if (values.count("version") != 0) {
        std::cout << "peridotctl " << PERIDOT_VERSION << '\n';
        return peridot::exitSuccess;
    }
    const auto words
        = values.count("words") != 0 ? values["words"].as<std::vector<std::string>>() : std::vector<std::string> {};
    constexpr std::ptrdiff_t explainWords = 2; // The command and the id; log files follow.
    if (words.size() > explainWords && words[0] == "explain")
        return explainFromLogs(words[1], { words.begin() + explainWords, words.end() });
    const auto endpoints = splitAtCommas(values["endpoint"].as<std::string>());
    const auto key = operatorKey(values);
    const auto output = values["output"].as<std::string>();
    if (endpoints.empty() || key.empty() || (output != "text" && output != "json")) {
        std::cerr << "peridotctl: needs --endpoint, an operator key, and --output text or json; see --help\n";
        return peridot::exitUsage;
    }
    if (values.count("base-version") != 0)
        command.baseVersion = values["base-version"].as<std::uint64_t>();
    command.isJson = output == "json";
    if (sodium_init() < 0)
        return peridot::exitFailure;
    const peridot::OperatorClient client(endpoints, key, values["ca-file"].as<std::string>());
    return peridot::Commands(client, command, std::cout, std::cerr).run(words);
}

}

int main(int argc, char** argv)
{
    try {
        return runProgram(argc, argv);
    } catch (const options::error& error) {
        std::cerr << "peridotctl: " << error.what() << '\n';
        return peridot::exitUsage;
    } catch (const std::exception& error) {
        std::cerr << "peridotctl: " << error.what() << '\n';
        return peridot::exitFailure;
    }
}
