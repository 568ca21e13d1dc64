#include "TrialBatch.h"

#include "Random.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <iostream>
#include <mutex>
#include <thread>

namespace peridot::trial {

namespace {

    namespace po = boost::program_options;

    constexpr unsigned largestJobs = 64;

    const char* const deploymentNames[] = { "plesni-caj", "lithoplan" };

    /** Sums of the figures of several runs, for one row of the table. */
    struct Row {
        int runs = 0;
        int violated = 0;
        double requests = 0;
        double completed = 0;
        double overspent = 0;
        double doubleRuns = 0;
        double falseNotRun = 0;
        double wrongful = 0;
        double rateRefusals = 0;
        double otherRefusals = 0;
        double attempts = 0;
        double admitted = 0;
        double p50 = 0;
        double p99 = 0;
        double worstP99 = 0;
        double headroom = 1;
        double overload = 0;
        double shiftExcess = 0;
        double linkExcess = 0;
        double missed = 0;
        double drain = 0;
        std::map<Rule, std::uint64_t> rules;

        void add(const TrialResult& it)
        {
            ++runs;
            violated += it.isOk ? 0 : 1;
            requests += static_cast<double>(it.callerRequests);
            completed += static_cast<double>(it.callerCompleted);
            overspent += static_cast<double>(it.counts.overspent);
            doubleRuns += static_cast<double>(it.counts.doubleRuns);
            falseNotRun += static_cast<double>(it.counts.falseNotRun);
            wrongful += static_cast<double>(it.counts.wrongfulRefusals);
            rateRefusals += static_cast<double>(it.counts.rateRefusals);
            otherRefusals += static_cast<double>(it.counts.otherRefusals);
            attempts += static_cast<double>(it.counts.attempts);
            admitted += static_cast<double>(it.counts.admitted);
            p50 += it.p50Ms;
            p99 += it.p99Ms;
            worstP99 += it.worstWorkspaceP99Ms;
            headroom = std::min(headroom, it.headroomMin);
            overload += it.regionOverloadSeconds;
            shiftExcess += static_cast<double>(it.shiftCapExcess);
            linkExcess += static_cast<double>(it.linkExcess);
            missed += it.targetMissedClasses;
            drain = std::max(drain, toSeconds(it.counts.drainMaximum));
            for (const auto& [rule, count] : it.violationsByRule)
                rules[rule] += count;
        }

        std::string text(const std::string& name) const
        {
            const double n = runs;
            std::string line
                = fmt::format("{:<18} {:>6.1f} {:>6.2f} {:>8.0f} {:>6.0f} {:>6.0f} {:>6.0f} {:>7.0f} {:>7.1f} {:>7.1f} "
                              "{:>7.1f} {:>6.2f} {:>6.1f} {:>6.0f} {:>5.0f} {:>4.1f} {:>6.1f} {:>3}/{}",
                    name, 100 * completed / std::max(1.0, requests), attempts / std::max(1.0, requests), overspent / n,
                    doubleRuns / n, falseNotRun / n, wrongful / n, otherRefusals / n, p50 / n, p99 / n, worstP99 / n,
                    headroom, overload / n, shiftExcess / n, linkExcess / n, missed / n, drain, violated, runs);
            for (const auto& [rule, count] : rules)
                line += fmt::format(" {}={}", enumName(rule), count);
            return line;
        }

        static std::string heading()
        {
            return fmt::format("{:<18} {:>6} {:>6} {:>8} {:>6} {:>6} {:>6} {:>7} {:>7} {:>7} {:>7} {:>6} {:>6} {:>6} "
                               "{:>5} {:>4} {:>6} {}",
                "policy", "done_%", "att/rq", "overspnt", "double", "falsNR", "wrongf", "refused", "p50_ms", "p99_ms",
                "wsp99", "headrm", "overl", "shift", "link", "miss", "drain", "violated");
        }
    };

    po::options_description commonOptions()
    {
        po::options_description table("Options");
        table.add_options()("jobs", po::value<unsigned>()->default_value(1), "threads, 1 to 64");
        table.add_options()("minutes", po::value<double>()->default_value(2), "virtual minutes of each run");
        table.add_options()("policy", po::value<std::string>()->default_value(""), "only this policy");
        table.add_options()("scenario", po::value<std::string>()->default_value(""), "only this scenario");
        table.add_options()("deployment", po::value<std::string>()->default_value(""), "only this deployment");
        table.add_options()(
            "set", po::value<std::vector<std::string>>()->default_value({ "load=1" }, "load=1"), "as for one run");
        return table;
    }

    /** Throws po::error if an option is wrong. */
    po::variables_map parse(const std::vector<std::string>& arguments, const po::options_description& table)
    {
        po::variables_map variables;
        po::store(po::command_line_parser(arguments).options(table).positional({}).run(), variables);
        po::notify(variables);
        const unsigned jobs = variables["jobs"].as<unsigned>();
        if (jobs < 1 || jobs > largestJobs)
            throw po::error("--jobs: expected a number from 1 to 64");
        return variables;
    }

    TrialOptions optionsOf(const po::variables_map& variables, const std::string& deployment)
    {
        std::vector<std::string> arguments { "--deployment", deployment, "--minutes",
            std::to_string(variables["minutes"].as<double>()) };
        for (const std::string& text : variables["set"].as<std::vector<std::string>>()) {
            arguments.emplace_back("--set");
            arguments.push_back(text);
        }
        const auto options = parseTrialOptions(arguments);
        if (!options)
            throw po::error(options.error().message);
        return *options;
    }

    std::pair<std::uint64_t, std::uint64_t> parseSeeds(const std::string& text)
    {
        const auto dots = text.find("..");
        try {
            if (dots != std::string::npos) {
                const std::pair seeds { std::stoull(text.substr(0, dots)), std::stoull(text.substr(dots + 2)) };
                if (seeds.first <= seeds.second && seeds.second - seeds.first < 100000)
                    return seeds;
            }
        } catch (const std::logic_error&) {
            // Falls through to the error that names the expectation.
        }
        throw po::error(fmt::format("--seeds: found \"{}\", expected FIRST..LAST", text));
    }

    bool isSelected(const po::variables_map& variables, const char* option, std::string_view name)
    {
        const std::string& wanted = variables[option].as<std::string>();
        return wanted.empty() || wanted == name;
    }

    void compareScenario(
        const po::variables_map& variables, const TrialOptions& base, std::pair<std::uint64_t, std::uint64_t> seeds)
    {
        std::vector<TrialOptions> runs;
        for (const auto& [policy, name] : enumNames<Policy>) {
            for (std::uint64_t seed = seeds.first; isSelected(variables, "policy", name) && seed <= seeds.second;
                 ++seed) {
                TrialOptions options = base;
                options.policy = policy;
                options.seed = seed;
                runs.push_back(options);
            }
        }
        std::map<Policy, Row> rows;
        for (const TrialResult& result : runAll(runs, variables["jobs"].as<unsigned>()))
            rows[result.options.policy].add(result);
        std::cout << "\n## " << base.deployment << ' ' << enumName(base.scenario) << '\n' << Row::heading() << '\n';
        for (const auto& [policy, row] : rows)
            std::cout << row.text(std::string(enumName(policy))) << '\n';
        std::cout << std::flush;
    }

    /** Draws the kind of run for a seed, so that a soak covers both deployments, loads and densities of faults. */
    TrialOptions drawRun(const TrialOptions& base, std::uint64_t seed)
    {
        Random random(seed, "soak");
        TrialOptions options = base;
        options.seed = seed;
        options.deployment = deploymentNames[random.below(2)];
        options.faults = allFaults();
        options.load = random.uniform(0.1, 1.0);
        options.faultInterval = random.uniform(1, 30);
        // Loads and intervals are printed in command lines, so they are kept short.
        options.load = std::round(options.load * 100) / 100;
        options.faultInterval = std::round(options.faultInterval * 10) / 10;
        return options;
    }

    template <typename Function> int withParsedOptions(const Function& function)
    {
        try {
            return function();
        } catch (const po::error& error) {
            std::cerr << "peridot-trial: " << error.what() << '\n';
            return 2;
        }
    }

}

std::vector<TrialResult> runAll(const std::vector<TrialOptions>& runs, unsigned jobs)
{
    std::vector<TrialResult> results(runs.size());
    std::atomic<std::size_t> next { 0 };
    std::vector<std::thread> threads;
    for (unsigned n = 0; n < jobs; ++n) {
        threads.emplace_back([&] {
            for (std::size_t run = next++; run < runs.size(); run = next++)
                results[run] = runTrial(runs[run]);
        });
    }
    for (std::thread& it : threads)
        it.join();
    return results;
}

int compare(const std::vector<std::string>& arguments)
{
    po::options_description table = commonOptions();
    table.add_options()("seeds", po::value<std::string>()->required(), "FIRST..LAST");
    return withParsedOptions([&] {
        const po::variables_map variables = parse(arguments, table);
        const auto seeds = parseSeeds(variables["seeds"].as<std::string>());
        for (const std::string deployment : deploymentNames) {
            for (const auto& [scenario, name] : enumNames<Scenario>) {
                if (!isSelected(variables, "deployment", deployment) || !isSelected(variables, "scenario", name))
                    continue;
                TrialOptions base = optionsOf(variables, deployment);
                base.scenario = scenario;
                compareScenario(variables, base, seeds);
            }
        }
        return 0;
    });
}

int soak(const std::vector<std::string>& arguments)
{
    po::options_description table = commonOptions();
    table.add_options()("hours", po::value<double>()->required(), "bound on the real time");
    table.add_options()("first-seed", po::value<std::uint64_t>()->default_value(1), "first seed");
    return withParsedOptions([&] {
        const po::variables_map variables = parse(arguments, table);
        const TrialOptions base = optionsOf(variables, deploymentNames[0]);
        const double hours = variables["hours"].as<double>();
        if (!(hours > 0 && hours <= 1000))
            throw po::error("--hours: expected a number above 0, up to 1000");
        const auto end = std::chrono::steady_clock::now() + std::chrono::duration<double, std::ratio<3600>>(hours);
        std::atomic<std::uint64_t> nextSeed { variables["first-seed"].as<std::uint64_t>() };
        std::mutex mutex;
        std::uint64_t runs = 0;
        std::uint64_t violated = 0;
        std::vector<std::thread> threads;
        for (unsigned n = 0; n < variables["jobs"].as<unsigned>(); ++n) {
            threads.emplace_back([&] {
                while (std::chrono::steady_clock::now() < end) {
                    const TrialResult result = runTrial(drawRun(base, nextSeed++));
                    const std::lock_guard lock(mutex);
                    ++runs;
                    if (result.isOk)
                        continue;
                    ++violated;
                    std::cout << "peridot-trial " << describe(result.options) << '\n';
                    for (const std::string& text : result.violationTexts)
                        std::cout << "  " << text << '\n';
                    std::cout << "  " << result.summaryLine() << '\n' << std::flush;
                }
            });
        }
        for (std::thread& it : threads)
            it.join();
        std::cout << fmt::format("runs={} violated={}\n", runs, violated);
        return violated == 0 ? 0 : 1;
    });
}

}
