// Randomised runs of instances, queues and servers in virtual time. Where a bound could hold by luck, a simple policy
// on the same requests shows that it can be broken.

#include "../simulation/ServiceSimulation.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

// A service that meets its target at 80% load: waits of a few service times, no lost request, and no server with a
// queue of half its slots for longer than the report interval, when all instances know of it.
constexpr Duration longestP99 = 80ms;
constexpr Duration longestOverload = 500ms;

SimulationOptions options(std::uint64_t seed)
{
    SimulationOptions result;
    result.seed = seed;
    result.duration = 10s;
    return result;
}

bool isGood(const SimulationResult& result)
{
    return result.wait(0.99) <= longestP99 && result.longestOverload <= longestOverload
        && (result.lost + result.refused) * 1000 <= result.offered;
}

}

class ServiceSimulationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServiceSimulationTest);
    CPPUNIT_TEST(noOverloadWhileCapacitySuffices);
    CPPUNIT_TEST(wrongReportsCostLittle);
    CPPUNIT_TEST(leavingServersGetNothing);
    CPPUNIT_TEST(coldServersGetLittleAtFirst);
    CPPUNIT_TEST(slowServerGetsLess);
    CPPUNIT_TEST(overloadStaysInTheQueues);
    CPPUNIT_TEST(tenfoldWorkspaceDelaysNobody);
    CPPUNIT_TEST_SUITE_END();

public:
    void noOverloadWhileCapacitySuffices()
    {
        for (const auto& [servers, slots] : { std::pair(16, 8), std::pair(18, 6), std::pair(12, 6) }) {
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                auto setup = options(seed);
                setup.serverCount = static_cast<std::size_t>(servers);
                setup.slots = static_cast<std::uint32_t>(slots);
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), isGood(ServiceSimulation(setup).run()));
                setup.policy = PolicyKind::LeastReported;
                CPPUNIT_ASSERT(!isGood(ServiceSimulation(setup).run()));
            }
        }
    }

    /** Reports lag, freeze, or say idle when full and full when idle, from some servers or from all. */
    void wrongReportsCostLittle()
    {
        for (const auto mode :
            { ReportMode::Lagging, ReportMode::SaysIdle, ReportMode::SaysFull, ReportMode::Frozen }) {
            for (const auto& modes : { std::vector { mode }, std::vector { mode, ReportMode::Honest },
                     std::vector { mode, ReportMode::Honest, ReportMode::Honest, ReportMode::Honest } }) {
                auto setup = options(11);
                setup.reportModes = modes;
                const auto name = std::string(enumName(mode)) + " 1 in " + std::to_string(modes.size());
                CPPUNIT_ASSERT_MESSAGE(name, isGood(ServiceSimulation(setup).run()));
                setup.policy = PolicyKind::LeastReported;
                // If all servers say the same, the reports do not mislead this policy.
                const bool isMisleading = modes.size() > 1 || mode == ReportMode::Lagging;
                CPPUNIT_ASSERT_MESSAGE(name, !isMisleading || !isGood(ServiceSimulation(setup).run()));
            }
        }
    }

    void leavingServersGetNothing()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            auto setup = options(seed);
            setup.load = 0.6;
            ServiceSimulation simulation(setup);
            std::mt19937_64 random(seed);
            for (std::size_t server = 0; server < 4; ++server) {
                simulation.at(Duration { static_cast<std::int64_t>(random() % 9000000) },
                    [&simulation, server] { simulation.announceLeaving(server); });
            }
            const auto result = simulation.run();
            CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, result.sentToLeaving);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, result.lost + result.refused);
            CPPUNIT_ASSERT_EQUAL(result.offered, result.served);
        }
    }

    /** A cold server is three times slower; a full share at once would fill its queue. */
    void coldServersGetLittleAtFirst()
    {
        auto setup = options(21);
        setup.duration = 15s;
        ServiceSimulation simulation(setup);
        std::size_t cold = 0;
        std::vector<std::uint64_t> early;
        std::vector<std::uint64_t> late;
        simulation.at(2s, [&] {
            cold = simulation.addColdServer();
            simulation.takeSent();
        });
        simulation.at(3s, [&] { early = simulation.takeSent(); });
        simulation.at(13s, [&] { simulation.takeSent(); });
        simulation.at(14s, [&] { late = simulation.takeSent(); });
        simulation.run();
        CPPUNIT_ASSERT(early[cold] * 4 < early[0]);
        CPPUNIT_ASSERT(late[cold] * 10 > late[0] * 7);
    }

    /** A server that became slow says the same as before of its load, but must get less work. */
    void slowServerGetsLess()
    {
        auto setup = options(31);
        setup.load = 0.6;
        ServiceSimulation simulation(setup);
        simulation.at(2s, [&] { simulation.setSlowness(0, 4); });
        std::vector<std::uint64_t> sent;
        simulation.at(5s, [&] { simulation.takeSent(); });
        simulation.at(10s, [&] { sent = simulation.takeSent(); });
        const auto result = simulation.run();
        CPPUNIT_ASSERT(sent[0] * 2 < sent[1]);
        CPPUNIT_ASSERT((result.lost + result.refused) * 1000 <= result.offered);
    }

    /** With more work than capacity, instances must refuse or hold it rather than send it to be shed. */
    void overloadStaysInTheQueues()
    {
        auto setup = options(41);
        setup.load = 1.5;
        const auto result = ServiceSimulation(setup).run();
        CPPUNIT_ASSERT(result.sheds * 10 <= result.offered);
        CPPUNIT_ASSERT(result.served * 100 >= result.offered * 60);
        setup.policy = PolicyKind::RoundRobin;
        CPPUNIT_ASSERT(ServiceSimulation(setup).run().sheds * 10 > result.offered);
    }

    /** Five workspaces use half of the capacity; the sixth sends ten times its share on top. */
    void tenfoldWorkspaceDelaysNobody()
    {
        auto setup = options(51);
        setup.target = 500ms;
        setup.load = 1.5;
        setup.workspaces.clear();
        for (const auto* id : { "a", "b", "c", "d", "e" })
            setup.workspaces.push_back({ WorkspaceId(id), 1 });
        setup.workspaces.push_back({ WorkspaceId("tenfold"), 10 });
        const auto result = ServiceSimulation(setup).run();
        for (const auto* id : { "a", "b", "c", "d", "e" })
            CPPUNIT_ASSERT_MESSAGE(id, result.queueWait(WorkspaceId(id), 0.99) <= setup.target);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceSimulationTest);
