// Tests that callers which don't behave neither end a process by its memory nor keep ordinary callers out (issue 50).
// Each case has a process of its own, with lowered limits, and one kind of misbehavior at one of its listeners. A test
// checks that the process lives, that its memory and its open descriptors stay within their limits, and that ordinary
// requests are answered while the crowd's connections are still open.

#pragma once

#include "CallerCrowd.h"
#include "ChildProcess.h"
#include "ProcessWatch.h"

#include <cppunit/TestAssert.h>
#include <cppunit/TestCase.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/TestFactory.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <filesystem>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace peridot {

/** Limits of the process, lowered so that a small crowd would exceed them. */
struct LoweredLimits {
    static constexpr std::uint64_t memory = 64'000'000;
    static constexpr std::uint64_t descriptors = 128;
    static constexpr std::size_t body = 2'097'152;
};
inline constexpr std::size_t crowdCallers = 80;

struct ListenerUnderTest {
    std::string address;
    std::string crowdHead; // As in CrowdOptions.
    std::string ordinaryRequest; // Empty if the listener takes no HTTP requests.
};

/** The status of the final answer to @p request, which asks for the end of its connection. Sends it again as ordinary
 *  callers do: a few times, when the answer says so or the connection ended without one. 0 if there is no answer. */
int ordinaryStatus(const std::string& address, const std::string& request);

/** A directory for settings and logs that ends with the object. */
class TemporaryDirectory {
public:
    TemporaryDirectory();
    ~TemporaryDirectory();
    TemporaryDirectory(const TemporaryDirectory&) = delete;
    TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

    const std::filesystem::path& path() const noexcept { return m_path; }

private:
    std::filesystem::path m_path;
};

/** The directory of the programs under test, which is that of the test program. */
std::filesystem::path programDirectory();

/** A program under test, ready for callers, with what it needs around it. */
class DeploymentUnderTest {
public:
    virtual ~DeploymentUnderTest() = default;
    virtual soak::ChildProcess& process() = 0;
    virtual std::string ip() const = 0;
    virtual ListenerUnderTest listener(const std::string& name) const = 0;
    /** A request to the listener for callers whose body is as large as the limit allows. */
    virtual std::string largestRequest() const = 0;
};

class MisbehavingCallersTest : public CppUnit::TestCase {
public:
    MisbehavingCallersTest(std::string name, std::function<void()> run)
        : CppUnit::TestCase(std::move(name))
        , m_run(std::move(run))
    {
    }

    void runTest() override { m_run(); }

private:
    const std::function<void()> m_run;
};

/** Plays the misbehavior at the listener with this name. */
void playCrowd(DeploymentUnderTest&, const std::string& listener, soak::Misbehavior);
/** Sends the largest request that the limits allow, without any other. */
void playLargestRequest(DeploymentUnderTest&);

/** Registers a case for each listener and kind of misbehavior, "LISTENER-MISBEHAVIOR", and "largest-request". The
 *  listener for callers is called "caller". */
template <typename Deployment> class MisbehavingCallersFactory : public CppUnit::TestFactory {
public:
    explicit MisbehavingCallersFactory(std::vector<std::string> listeners)
        : m_listeners(std::move(listeners))
    {
        CppUnit::TestFactoryRegistry::getRegistry().registerFactory(this);
    }

    CppUnit::Test* makeTest() override
    {
        auto suite = std::make_unique<CppUnit::TestSuite>("MisbehavingCallers");
        for (const auto& listener : m_listeners) {
            for (const auto& [misbehavior, name] : enumNames<soak::Misbehavior>) {
                suite->addTest(new MisbehavingCallersTest(
                    listener + "-" + std::string(name), [listener, misbehavior = misbehavior] {
                        Deployment deployment;
                        playCrowd(deployment, listener, misbehavior);
                    }));
            }
        }
        suite->addTest(new MisbehavingCallersTest("largest-request", [] {
            Deployment deployment;
            playLargestRequest(deployment);
        }));
        return suite.release();
    }

private:
    const std::vector<std::string> m_listeners;
};

}
