// Measures the slopes of docs/CAPACITY.md.

#include "Report.h"

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>

using namespace peridot::capacity;
namespace options = boost::program_options;

namespace {

bool writeFile(const std::string& path, const std::string& text)
{
    std::ofstream file(path, std::ios::binary);
    file << text;
    if (file)
        return true;
    std::cerr << "peridot-capacity: cannot write " << path << '\n';
    return false;
}

}

int main(int argc, char** argv)
{
    options::options_description description("Usage: peridot-capacity [OPTION...]\nOptions");
    description.add_options()("help,h", "print this text")("version", "print the version")(
        "json", options::value<std::string>(), "file for the results as JSON")("gnuplot", options::value<std::string>(),
        "file for a gnuplot script that writes one SVG per slope into docs/capacity");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << "peridot-capacity: " << error.what() << '\n';
        return 2;
    }
    if (values.count("help")) {
        std::cout << description;
        return 0;
    }
    if (values.count("version")) {
        std::cout << "peridot-capacity " << PERIDOT_VERSION << '\n';
        return 0;
    }
    const auto all = measureAll();
    for (const auto& series : all)
        std::cout << toLines(series);
    bool isWritten = true;
    if (values.count("json"))
        isWritten &= writeFile(values["json"].as<std::string>(), toJson(all));
    if (values.count("gnuplot"))
        isWritten &= writeFile(values["gnuplot"].as<std::string>(), toGnuplot(all, "docs/capacity"));
    return isWritten ? 0 : 1;
}
