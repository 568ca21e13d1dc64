// Guards the settings file: a mistake names path, value and expectation instead of being ignored.

#include "Settings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>

namespace peridot {

class SettingsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(readsAValidFile);
    CPPUNIT_TEST(reportsMistakes);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { std::ofstream(m_keyFile) << "a-key-of-enough-characters\n"; }

    void tearDown() override
    {
        std::remove(m_keyFile);
        std::remove(m_file);
    }

    void readsAValidFile()
    {
        const auto settings = read(valid());
        CPPUNIT_ASSERT_MESSAGE(settings ? "" : settings.error().describe(), settings.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("a-key-of-enough-characters"), settings->operatorKey);
        CPPUNIT_ASSERT(settings->node.lookupTimeToLive == std::chrono::seconds { 5 });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, settings->node.clientBlocks.size());
    }

    void reportsMistakes()
    {
        assertMistake("regions", nlohmann::json { "bayern" }, "regions");
        assertMistake("caller_address", "127.0.0.1", "caller_address");
        assertMistake("peer_address", "127.0.0.1:70000", "peer_address");
        assertMistake("threads", 0, "threads");
        assertMistake("caler_address", "127.0.0.1:1", "caler_address");
        assertMistake("operator_key_file", "/nonexistent/file", "operator_key_file");
        assertMistake("limits", nlohmann::json { { "header_bytes", "many" } }, "limits.header_bytes");
        assertMistake("log_level", "loud", "log_level");
    }

private:
    nlohmann::json valid() const
    {
        return { { "deployment", "test" }, { "name", "entry-1" }, { "region", "jadran" },
            { "failure_domain", "jadran-1" }, { "regions", { "jadran" } }, { "caller_address", "127.0.0.1:1" },
            { "operator_address", "127.0.0.1:2" }, { "peer_address", "127.0.0.1:3" },
            { "platform_address", "127.0.0.1:4" }, { "operator_key_file", m_keyFile },
            { "client_blocks", { { { "block", "10.0.0.0/8" }, { "regions", { "jadran" } } } } } };
    }

    Result<DaemonSettings> read(const nlohmann::json& document) const
    {
        std::ofstream(m_file) << "// comment\n" << document.dump();
        return readDaemonSettings(m_file);
    }

    void assertMistake(const std::string& name, const nlohmann::json& value, const std::string& path) const
    {
        auto document = valid();
        document[name] = value;
        const auto settings = read(document);
        CPPUNIT_ASSERT_MESSAGE(name, !settings.has_value());
        CPPUNIT_ASSERT(settings.error().code == ErrorCode::InvalidSettings);
        CPPUNIT_ASSERT_MESSAGE(settings.error().describe(), settings.error().message.find(path) != std::string::npos);
    }

    const char* const m_keyFile = "settings-test-operator.key.tmp";
    const char* const m_file = "settings-test.json.tmp";
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}
