// peridotd: one entry instance of peridotpoint.

#include "Daemon.h"
#include "Registration.h"
#include "Settings.h"

#include <boost/program_options.hpp>
#include <pplx/threadpool.h>
#include <sodium.h>

#include <csignal>
#include <iostream>
#include <random>

namespace peridot {

namespace {

    namespace options = boost::program_options;
    using Clock = std::chrono::steady_clock;

    constexpr int exitFailure = 1;
    constexpr int exitBadSettings = 2;
    constexpr std::chrono::milliseconds pollInterval { 50 };
    constexpr std::chrono::seconds retryInterval { 1 };

    sigset_t blockTerminationSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        // A caller that closes its connection early must not end the process.
        std::signal(SIGPIPE, SIG_IGN);
        return signals;
    }

    /** Returns true if a termination signal arrived within one poll interval. */
    bool waitForSignal(const sigset_t& signals)
    {
        const timespec timeout { 0, std::chrono::nanoseconds { pollInterval }.count() };
        return sigtimedwait(&signals, nullptr, &timeout) > 0;
    }

    std::uint64_t randomNumber()
    {
        std::uint64_t value = 0;
        randombytes_buf(&value, sizeof value);
        return value;
    }

    /** Repeats registration steps until they succeed; the platform may be down at the start. */
    class Announcer {
    public:
        Announcer(const DaemonSettings& settings, EventLog& log)
            : m_registration(settings)
            , m_log(log)
        {
        }

        /** Returns false while the platform has not answered. */
        Result<bool> checkDeployment()
        {
            if (Clock::now() < m_next)
                return false;
            const auto checked = m_registration.checkDeployment();
            if (checked)
                return true;
            if (checked.error().code == ErrorCode::InvalidSettings)
                return tl::make_unexpected(checked.error());
            logRetry(checked.error());
            return false;
        }

        void announce(PlatformInstanceState state)
        {
            if (m_announced == state || Clock::now() < m_next)
                return;
            if (const auto done = m_registration.announce(state); !done) {
                logRetry(done.error());
                return;
            }
            m_announced = state;
            m_log.write(LogLevel::Info, LogLine("instance_announced").add("state", enumName(state)));
        }

    private:
        void logRetry(const Error& error)
        {
            m_next = Clock::now() + retryInterval;
            m_log.write(LogLevel::Warning, LogLine("platform_not_reached").add("error", error.describe()));
        }

        const Registration m_registration;
        EventLog& m_log;
        std::optional<PlatformInstanceState> m_announced;
        Clock::time_point m_next;
    };

    int drain(Daemon& daemon, Announcer& announcer, const DaemonSettings& settings, EventLog& log)
    {
        log.write(LogLevel::Info, LogLine("leaving").add("open_requests", daemon.openRequests()));
        daemon.leave();
        const auto end = Clock::now() + settings.longestShutdown;
        while (!daemon.hasDrained()) {
            announcer.announce(PlatformInstanceState::Leaving);
            if (Clock::now() > end) {
                log.write(LogLevel::Error, LogLine("drain_timed_out").add("open_requests", daemon.openRequests()));
                return exitFailure;
            }
            std::this_thread::sleep_for(pollInterval);
        }
        log.write(LogLevel::Info, LogLine("drained"));
        return 0;
    }

    int serve(Daemon& daemon, const DaemonSettings& settings, EventLog& log, const sigset_t& signals)
    {
        Announcer announcer(settings, log);
        bool isStarted = false;
        while (!waitForSignal(signals)) {
            if (isStarted) {
                announcer.announce(PlatformInstanceState::Live);
                continue;
            }
            const auto checked = announcer.checkDeployment();
            if (!checked) {
                log.write(LogLevel::Error, LogLine("wrong_deployment").add("error", checked.error().describe()));
                return exitBadSettings;
            }
            if (*checked) {
                daemon.start();
                isStarted = true;
            }
        }
        return isStarted ? drain(daemon, announcer, settings, log) : 0;
    }

    int run(DaemonSettings settings)
    {
        const auto signals = blockTerminationSignals();
        configureLogging("peridotd", settings.logLevel);
        SpdlogEventLog log;
        settings.node.self.incarnation = randomNumber();
        settings.node.randomSeed = randomNumber();
        crossplat::threadpool::initialize_with_threads(settings.threads);

        Daemon daemon(settings, log);
        if (const auto opened = daemon.open(); !opened) {
            log.write(LogLevel::Error, LogLine("not_started").add("error", opened.error().describe()));
            return exitFailure;
        }
        log.write(LogLevel::Info,
            LogLine("started")
                .add("instance", settings.node.self.id)
                .add("deployment", settings.node.deployment)
                .add("caller_address", settings.node.self.callerAddress)
                .add("operator_address", settings.operatorAddress)
                .add("peer_address", settings.node.self.peerAddress));
        const int status = serve(daemon, settings, log, signals);
        daemon.close();
        log.write(LogLevel::Info, LogLine("stopped").add("exit_code", status));
        return status;
    }

    int runProgram(int argc, char** argv)
    {
        options::options_description description("Usage: peridotd --settings FILE [--check-settings]\nOptions");
        description.add_options()("help,h", "print this text")("version", "print the version")(
            "settings", options::value<std::string>(), "settings file, JSON with comments")(
            "check-settings", "check the settings file and exit (2 if it is wrong)");
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.count("help") != 0) {
            std::cout << description;
            return 0;
        }
        if (values.count("version") != 0) {
            std::cout << "peridotd " << PERIDOT_VERSION << '\n';
            return 0;
        }
        if (values.count("settings") == 0) {
            std::cerr << "peridotd: --settings is missing\n" << description;
            return exitBadSettings;
        }
        auto settings = readDaemonSettings(values["settings"].as<std::string>());
        if (!settings) {
            std::cerr << "peridotd: " << settings.error().describe() << '\n';
            return exitBadSettings;
        }
        if (values.count("check-settings") != 0) {
            std::cout << "settings are valid\n";
            return 0;
        }
        if (sodium_init() < 0) {
            std::cerr << "peridotd: libsodium cannot be initialised\n";
            return exitFailure;
        }
        return run(std::move(*settings));
    }

}

}

int main(int argc, char** argv)
{
    try {
        return peridot::runProgram(argc, argv);
    } catch (const boost::program_options::error& error) {
        std::cerr << "peridotd: " << error.what() << '\n';
        return 2;
    } catch (const std::exception& error) {
        std::cerr << "peridotd: " << error.what() << '\n';
        return 1;
    }
}
