// Compares the backend pool with simple policies on the same requests. Prints one key=value line for each run.
// Usage: routing-comparison [SECONDS [SEED [POLICY]]]

#include "../simulation/ServiceSimulation.h"

#include "base/LogLine.h"

#include <iostream>
#include <string>

using namespace peridot;

namespace {

struct Service {
    const char* name;
    std::size_t servers;
    std::uint32_t slots;
};

constexpr Service services[] = {
    { "salonik", 16, 8 },
    { "stolic", 12, 6 },
    { "orkestar", 12, 4 },
    { "stockdesk", 18, 6 },
    { "orderdesk", 12, 5 },
    { "platehouse", 12, 3 },
};

struct Reports {
    const char* name;
    std::vector<ReportMode> modes;
    double slowness = 1; // Of the first server.
};

void run(const Service& service, double load, const Reports& reports, PolicyKind policy, int seconds, unsigned seed)
{
    SimulationOptions options;
    options.policy = policy;
    options.serverCount = service.servers;
    options.slots = service.slots;
    options.load = load;
    options.duration = std::chrono::seconds(seconds);
    options.reportModes = reports.modes;
    options.seed = seed;
    ServiceSimulation simulation(options);
    simulation.setSlowness(0, reports.slowness);
    const auto result = simulation.run();
    LogLine line("routing_comparison");
    line.add("service", service.name).add("servers", service.servers).add("slots", service.slots);
    line.add("load", load).add("reports", reports.name).add("policy", enumName(policy)).add("seed", seed);
    line.add("offered", result.offered).add("p50_wait_ms", result.wait(0.5)).add("p99_wait_ms", result.wait(0.99));
    line.add("sheds", result.sheds).add("lost", result.lost).add("refused", result.refused);
    line.add("overload_share", result.overloadShare).add("longest_overload_ms", result.longestOverload);
    std::cout << line.text() << std::endl;
}

}

int main(int argc, char** argv)
{
    const int seconds = argc > 1 ? std::stoi(argv[1]) : 20;
    const auto seed = static_cast<unsigned>(argc > 2 ? std::stoi(argv[2]) : 1);
    const std::string only = argc > 3 ? argv[3] : "";
    const Reports reports[] = {
        { "honest", { ReportMode::Honest } },
        { "lagging", { ReportMode::Lagging } },
        // One server in three lies.
        { "one_third_idle_lie", { ReportMode::SaysIdle, ReportMode::Honest, ReportMode::Honest } },
        { "one_third_full_lie", { ReportMode::SaysFull, ReportMode::Honest, ReportMode::Honest } },
        { "frozen", { ReportMode::Frozen } },
        { "honest_one_slow_server", { ReportMode::Honest }, 3 },
    };
    for (const auto& service : services) {
        for (const auto load : { 0.5, 0.8, 0.95 }) {
            for (const auto& kind : reports) {
                for (const auto& [policy, name] : enumNames<PolicyKind>) {
                    if (only.empty() || only == name)
                        run(service, load, kind, policy, seconds, seed);
                }
            }
        }
    }
}
