// Entry point of peridot-trial: one run, a comparison of policies, or a soak of fresh seeds.

#include "Trial.h"
#include "TrialBatch.h"
#include "TrialOptions.h"

#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace peridot;
using namespace peridot::trial;

int runOnce(const std::vector<std::string>& arguments)
{
    const auto options = parseTrialOptions(arguments);
    if (!options) {
        std::cerr << "peridot-trial: " << options.error().message << '\n';
        return 2;
    }
    const TrialResult result = runTrial(*options);
    for (const std::string& text : result.violationTexts)
        std::cout << text << '\n';
    std::cout << result.detailLine() << '\n' << result.summaryLine() << '\n';
    return result.isOk ? 0 : 1;
}

}

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const std::string command = arguments.empty() ? "" : arguments.front();
    if (command == "compare")
        return compare({ arguments.begin() + 1, arguments.end() });
    if (command == "soak")
        return soak({ arguments.begin() + 1, arguments.end() });
    return runOnce(arguments);
}
