// The stand-in's faults, rates and lag, in virtual time.

#include "Platform.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot;
using namespace std::chrono_literals;

class PlatformTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlatformTest);
    CPPUNIT_TEST(refusesAboveRateAndRefills);
    CPPUNIT_TEST(downRefusesBeforeEffect);
    CPPUNIT_TEST(hangsForUnreachableCallersOnly);
    CPPUNIT_TEST(lostAnswerLeavesEffect);
    CPPUNIT_TEST(listLags);
    CPPUNIT_TEST(frozenListKeepsItsState);
    CPPUNIT_TEST(severalFaultsAtOnce);
    CPPUNIT_TEST(countsOperationsByKind);
    CPPUNIT_TEST(rejectsBadSettings);
    CPPUNIT_TEST(rejectsBadFaults);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_start { 100s };

    static PlatformInstance entry(const std::string& name)
    {
        PlatformInstance instance;
        instance.name = name;
        instance.address = "127.0.0.1:1";
        return instance;
    }

    static PlatformSettings settings()
    {
        PlatformSettings value;
        value.writesPerSecond = 10;
        value.readsPerSecond = 20;
        value.listLag = 1s;
        value.instances = { entry("a") };
        return value;
    }

    static std::size_t listedCount(Platform& platform, TimePoint now)
    {
        return std::get<InstanceList>(*platform.execute(ListInstances {}, now).result).instances.size();
    }

public:
    void refusesAboveRateAndRefills()
    {
        Platform platform(settings(), m_start);
        const StoreRequest write = ObjectPut { "k", "v" };
        int admitted = 0;
        for (int i = 0; i < 30; ++i)
            admitted += platform.admit(write, "", m_start) == Admission::Run ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(10, admitted);
        CPPUNIT_ASSERT(platform.admit(TableRead { { "k" } }, "", m_start) == Admission::Run);
        CPPUNIT_ASSERT(platform.admit(write, "", m_start + 99ms) == Admission::RefuseRate);
        CPPUNIT_ASSERT(platform.admit(write, "", m_start + 100ms) == Admission::Run);
    }

    void downRefusesBeforeEffect()
    {
        Platform platform(settings(), m_start);
        PlatformFaults faults;
        faults.isDown = true;
        platform.setFaults(faults, m_start);
        CPPUNIT_ASSERT(platform.admit(ObjectPut { "k", "v" }, "", m_start) == Admission::RefuseDown);
        platform.setFaults({}, m_start);
        CPPUNIT_ASSERT(platform.admit(ObjectPut { "k", "v" }, "", m_start) == Admission::Run);
    }

    void hangsForUnreachableCallersOnly()
    {
        Platform platform(settings(), m_start);
        PlatformFaults faults;
        faults.unreachableCallers = { "a" };
        platform.setFaults(faults, m_start);
        CPPUNIT_ASSERT(platform.admit(TableRead { { "k" } }, "a", m_start) == Admission::Hang);
        CPPUNIT_ASSERT(platform.admit(TableRead { { "k" } }, "b", m_start) == Admission::Run);
    }

    void lostAnswerLeavesEffect()
    {
        Platform platform(settings(), m_start);
        PlatformFaults faults;
        faults.lostAnswerProbability = 1;
        platform.setFaults(faults, m_start);
        CPPUNIT_ASSERT(platform.execute(TableCommit { { { "k", 0 } }, { { "k", "v" } } }, m_start).isAnswerLost);
        const auto read = platform.execute(TableRead { { "k" } }, m_start);
        CPPUNIT_ASSERT(!read.isAnswerLost);
        CPPUNIT_ASSERT_EQUAL(std::string("v"), std::get<TableRows>(*read.result).rows.at(0).value);
    }

    void listLags()
    {
        Platform platform(settings(), m_start);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, listedCount(platform, m_start));
        platform.instances().put(entry("b"), m_start + 10s);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, listedCount(platform, m_start + 10s + 999ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, listedCount(platform, m_start + 11s));
        PlatformFaults faults;
        faults.listLag = 4s;
        platform.setFaults(faults, m_start + 11s);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, listedCount(platform, m_start + 14s));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, listedCount(platform, m_start + 15s));
    }

    void frozenListKeepsItsState()
    {
        Platform platform(settings(), m_start);
        PlatformFaults faults;
        faults.isListFrozen = true;
        platform.setFaults(faults, m_start);
        platform.instances().put(entry("b"), m_start);
        platform.setFaults(faults, m_start + 20s); // Setting the fault again must not refresh the list.
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, listedCount(platform, m_start + 30s));
        platform.setFaults({}, m_start + 30s);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, listedCount(platform, m_start + 30s));
    }

    void severalFaultsAtOnce()
    {
        Platform platform(settings(), m_start);
        PlatformFaults faults;
        faults.delay = 250ms;
        faults.lostAnswerProbability = 1;
        faults.isListFrozen = true;
        platform.setFaults(faults, m_start);
        platform.instances().put(entry("b"), m_start);
        CPPUNIT_ASSERT(platform.admit(ObjectPut { "k", "v" }, "", m_start) == Admission::Run);
        CPPUNIT_ASSERT(platform.delay() == 250ms);
        CPPUNIT_ASSERT(platform.execute(ObjectPut { "k", "v" }, m_start).isAnswerLost);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, listedCount(platform, m_start + 30s));
    }

    void countsOperationsByKind()
    {
        Platform platform(settings(), m_start);
        const StoreRequest commit = TableCommit { { { "k", 0 } }, { { "k", "v" }, { "l", "v" } } };
        for (int i = 0; i < 2; ++i) {
            CPPUNIT_ASSERT(platform.admit(commit, "a", m_start) == Admission::Run);
            platform.execute(commit, m_start);
        }
        const auto statistics = platform.statistics();
        CPPUNIT_ASSERT_EQUAL(2, statistics["operations"]["table_commit"]["run"].get<int>());
        CPPUNIT_ASSERT_EQUAL(0, statistics["operations"]["table_read"]["run"].get<int>());
        CPPUNIT_ASSERT_EQUAL(2, statistics["committed_rows"].get<int>());
        CPPUNIT_ASSERT_EQUAL(1, statistics["refused_commits"].get<int>());
        CPPUNIT_ASSERT_EQUAL(2, statistics["callers"]["a"].get<int>());
    }

    void rejectsBadSettings()
    {
        const std::string instance
            = R"({"name":"a","kind":"entry","region":"r","failure_domain":"r-1","address":"h:1","peer_address":"h:2"})";
        const std::string head = R"({"deployment":"d","listen":"127.0.0.1:1","instances":[)" + instance;
        const auto parse = [](const std::string& text) {
            return parsePlatformSettings(parseJsonWithComments(text, "test").value(), "test");
        };
        CPPUNIT_ASSERT(parse(head + "]}"));
        const auto twice = parse(head + "," + instance + "]}");
        CPPUNIT_ASSERT(!twice);
        CPPUNIT_ASSERT_EQUAL(std::string("instances[1].name: found \"a\", expected a name that no other instance has"),
            twice.error().message);
        CPPUNIT_ASSERT(!parse(head + R"(],"writes_per_second":0})"));
        CPPUNIT_ASSERT(!parse(head + R"(],"write_per_second":400})"));
    }

    void rejectsBadFaults()
    {
        for (const auto* text : { R"({"lost_answer_probability":1.5})", R"({"slow_ms":-1})", R"({"down":1})",
                 R"({"donw":true})", R"({"unreachable_callers":[1]})" }) {
            const auto faults
                = readSettings<PlatformFaults>(parseJsonWithComments(text, "test").value(), "test", readPlatformFaults);
            CPPUNIT_ASSERT_MESSAGE(text, !faults);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformTest);
