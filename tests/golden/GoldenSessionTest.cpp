// Whole sessions of both deployments against golden files: lookup, booking, replay, spill, rate limit, key withdrawal,
// drains. A change of any decision shows as a difference. To renew the files after an intended change:
//   PERIDOT_RENEW_GOLDEN=1 build/bin/golden-tests

#include "support/SmallFleet.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

/** Names of one deployment's session. */
struct SessionNames {
    std::string service; // The service of the session's requests.
    std::string read; // A class of idempotent requests.
    std::string write; // A class of non-idempotent requests.
    std::array<std::string, 2> workspaces;
};

std::string documentOf(const FleetPlan& plan, const SessionNames& names)
{
    std::string services;
    for (const auto& service : plan.services)
        services += fmt::format(R"({}"{}")", services.empty() ? "" : ",", service.name);
    std::string workspaces;
    std::string keys;
    for (const auto& id : names.workspaces) {
        const auto comma = workspaces.empty() ? "" : ",";
        workspaces += fmt::format(R"({}{{"id":"{}","rate_per_second":60,"burst":60}})", comma, id);
        keys += fmt::format(
            R"({}{{"id":"{}-key","hash":"{}","workspace":"{}"}})", comma, id, toHex(hashKey(SmallFleet::key(id))), id);
    }
    return fmt::format(R"({{"services":[{0}],"classes":[
        {{"id":"{2}","service":"{1}","methods":["GET"],"path_prefix":"/{2}","importance":1,"target_latency_ms":600,
          "idempotent":true}},
        {{"id":"{3}","service":"{1}","methods":["POST"],"path_prefix":"/{3}","importance":5,"target_latency_ms":800}},
        {{"id":"notices","service":"{1}","methods":["GET"],"path_prefix":"/notices","target_latency_ms":900,
          "importance":0,"idempotent":true,"open":true}}],
        "workspaces":[{4}],"keys":[{5}]}})",
        services, names.service, names.read, names.write, workspaces, keys);
}

/** Replaces request ids and times; everything else is compared. */
std::string normalise(std::string line)
{
    static const std::regex requestId("request=[^ ]+");
    static const std::regex milliseconds("_ms=[0-9.]+");
    line = std::regex_replace(line, requestId, "request=ID");
    return std::regex_replace(line, milliseconds, "_ms=T");
}

class Session {
public:
    Session(const FleetPlan& plan, SessionNames names)
        : m_names(std::move(names))
        , m_fleet(plan)
        , m_regions(plan.regions)
    {
        m_fleet.run(1s);
        m_fleet.bootstrap(documentOf(plan, m_names));
        CPPUNIT_ASSERT(m_fleet.runUntil([&] { return m_fleet.isReady(); }, 10s));
        m_fleet.run(3s);
        m_fleet.log.lines.clear();
    }

    std::string play()
    {
        part("lookup", [&] { lookups(); });
        part("read", [&] { request(0, "GET", m_names.read); });
        part("write", [&] { request(0, "POST", m_names.write, "order-1"); });
        part("write repeated at another instance", [&] { request(1, "POST", m_names.write, "order-1"); });
        part("open route and missing key", [&] { openRoute(); });
        part("spill", [&] { spill(); });
        part("rate limit", [&] { rateLimit(); });
        part("key withdrawal", [&] { withdrawal(); });
        part("conflicting changes", [&] { conflict(); });
        part("drain of a region", [&] { drain(); });
        part("graceful shutdown", [&] { shutdown(); });
        return m_text;
    }

private:
    template <typename Step> void part(const std::string& title, Step step)
    {
        m_fleet.log.lines.clear();
        step();
        m_text += "== " + title + "\n";
        std::string previous;
        std::size_t count = 0;
        auto flush = [&] {
            if (count > 0)
                m_text += previous + (count > 1 ? fmt::format(" (x{})", count) : "") + "\n";
        };
        for (const auto& raw : m_fleet.log.lines) {
            auto line = normalise(raw);
            if (line == previous) {
                ++count;
                continue;
            }
            flush();
            previous = std::move(line);
            count = 1;
        }
        flush();
    }

    const std::string& instance(std::size_t n) const { return m_fleet.names()[n % m_fleet.names().size()]; }

    std::string path(const std::string& trafficClass) const { return "/" + m_names.service + "/" + trafficClass; }

    void request(
        std::size_t n, const std::string& method, const std::string& trafficClass, const std::string& once = "")
    {
        m_fleet.request(instance(n), method, path(trafficClass), SmallFleet::key(m_names.workspaces[0]), once);
        m_fleet.run(500ms);
    }

    void lookups()
    {
        for (std::size_t i = 0; i < m_regions.size(); ++i) {
            const LookupQuery query { ServiceId(m_names.service), fmt::format("10.{}.7.7", i + 1) };
            m_fleet.node(instance(0)).lookup(query, m_fleet.now);
        }
        m_fleet.node(instance(0)).lookup({ ServiceId(m_names.service), "192.0.2.1" }, m_fleet.now);
    }

    void openRoute()
    {
        m_fleet.request(instance(2), "GET", path("notices"), "");
        m_fleet.request(instance(2), "GET", path(m_names.read), "");
        m_fleet.run(100ms);
    }

    /** Fills the first region, so that further requests go to others. */
    void spill()
    {
        m_fleet.completesAtOnce = false;
        std::vector<std::pair<std::string, RequestId>> running;
        for (int round = 0; round < 30; ++round) {
            for (std::size_t n = 0; n < m_fleet.names().size(); n += m_regions.size()) {
                const auto& name = instance(n);
                running.emplace_back(name,
                    m_fleet.request(name, "GET", path(m_names.read), SmallFleet::key(m_names.workspaces[round % 2])));
            }
            m_fleet.run(50ms);
        }
        m_fleet.completesAtOnce = true;
        for (const auto& [name, id] : running) {
            DispatchOutcome outcome;
            outcome.latency = 40ms;
            m_fleet.finish(name, id, outcome);
        }
        m_fleet.run(3s);
    }

    void rateLimit()
    {
        for (int i = 0; i < 200; ++i)
            m_fleet.request(instance(1), "GET", path(m_names.read), SmallFleet::key(m_names.workspaces[1]));
        m_fleet.run(2s);
    }

    void withdrawal()
    {
        m_fleet.operate(instance(1), "ana-1", "POST", "/changes",
            fmt::format(
                R"({{"operator":"ana","changes":[{{"type":"withdraw_key","key":"{}-key"}}]}})", m_names.workspaces[1]));
        m_fleet.run(5s);
        for (std::size_t n = 0; n < m_fleet.names().size(); ++n)
            m_fleet.request(instance(n), "GET", path(m_names.read), SmallFleet::key(m_names.workspaces[1]));
        m_fleet.run(500ms);
    }

    void conflict()
    {
        auto setTarget = [&](std::size_t n, const std::string& name, int milliseconds) {
            m_fleet.operate(instance(n), name + "-2", "POST", "/changes",
                fmt::format(R"({{"operator":"{}","base_version":2,"changes":[
                    {{"type":"set_target","class":"{}","target_latency_ms":{}}}]}})",
                    name, m_names.read, milliseconds));
        };
        setTarget(0, "ana", 500);
        setTarget(1, "boris", 450);
        m_fleet.run(2s);
    }

    void drain()
    {
        m_fleet.operate(instance(0), "ana-3", "POST", "/changes",
            fmt::format(R"({{"operator":"ana","changes":[
                {{"type":"set_drain","kind":"region","name":"{}","drained":true}}]}})",
                m_regions[0]));
        m_fleet.run(2s);
        for (int i = 0; i < 6; ++i) {
            lookups();
            m_fleet.run(500ms);
        }
    }

    void shutdown()
    {
        m_fleet.node(instance(1)).leave(m_fleet.now);
        m_fleet.run(3s);
        lookups();
        m_fleet.request(instance(1), "GET", path(m_names.read), SmallFleet::key(m_names.workspaces[0]));
        m_fleet.run(9s);
        m_text += fmt::format("drained: {}\n", m_fleet.node(instance(1)).hasDrained(m_fleet.now));
    }

    SessionNames m_names;
    SmallFleet m_fleet;
    std::vector<std::string> m_regions;
    std::string m_text;
};

}

class GoldenSessionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GoldenSessionTest);
    CPPUNIT_TEST(plesniCaj);
    CPPUNIT_TEST(lithoplan);
    CPPUNIT_TEST_SUITE_END();

    static void compare(const std::string& name, const std::string& actual)
    {
        const auto path = std::string(PERIDOT_GOLDEN_DIRECTORY) + "/" + name + ".txt";
        if (std::getenv("PERIDOT_RENEW_GOLDEN")) {
            std::ofstream(path, std::ios::binary) << actual;
            return;
        }
        std::ifstream file(path, std::ios::binary);
        std::stringstream expected;
        expected << file.rdbuf();
        std::istringstream expectedLines(expected.str());
        std::istringstream actualLines(actual);
        std::string expectedLine;
        std::string actualLine;
        for (int number = 1; std::getline(expectedLines, expectedLine); ++number) {
            std::getline(actualLines, actualLine);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path + " line " + std::to_string(number), expectedLine, actualLine);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(path, expected.str(), actual);
    }

public:
    void plesniCaj()
    {
        FleetPlan plan { "plesni-caj", { "jadran", "slavonija", "zagorje" }, 11,
            { { "salonik", 16, 8 }, { "stolic", 12, 6 }, { "orkestar", 12, 4 } }, 55ms };
        compare("plesni-caj",
            Session(plan, { "orkestar", "bands", "engagements", { "dvorana-sjever", "umirovljenici-split" } }).play());
    }

    void lithoplan()
    {
        FleetPlan plan { "lithoplan", { "sachsen", "bayern", "rhein" }, 10,
            { { "stockdesk", 18, 6 }, { "orderdesk", 12, 5 }, { "platehouse", 12, 3 } }, 12ms };
        compare("lithoplan",
            Session(plan, { "platehouse", "proofs", "exposures", { "druckerei-nord", "kleinoffset" } }).play());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GoldenSessionTest);
