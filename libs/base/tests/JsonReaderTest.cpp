// Settings errors must name path, value and expectation, and unknown members must not be ignored.

#include "base/JsonReader.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot;

class JsonReaderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JsonReaderTest);
    CPPUNIT_TEST(readsValuesAndComments);
    CPPUNIT_TEST(rejectsUnknownMember);
    CPPUNIT_TEST(rejectsWrongTypeWithPath);
    CPPUNIT_TEST(rejectsValueOutOfRange);
    CPPUNIT_TEST(rejectsBrokenJson);
    CPPUNIT_TEST(rejectsDeepNesting);
    CPPUNIT_TEST_SUITE_END();

    static Result<std::int64_t> readPort(const std::string& text)
    {
        auto document = parseJsonWithComments(text, "test");
        if (!document)
            return tl::make_unexpected(document.error());
        return readSettings<std::int64_t>(*document, "test", [](JsonReader& reader) {
            std::int64_t port = 0;
            reader.objects("listeners", true, [&](JsonReader& listener) { port = listener.integer("port", 1, 65535); });
            return port;
        });
    }

public:
    void readsValuesAndComments()
    {
        auto port = readPort("{ /* callers */ \"listeners\": [ { \"port\": 80 } ] // end\n }");
        CPPUNIT_ASSERT(port);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 80 }, *port);
    }

    void rejectsUnknownMember()
    {
        auto port = readPort(R"({"listeners":[{"port":80,"prot":81}]})");
        CPPUNIT_ASSERT(!port);
        CPPUNIT_ASSERT_EQUAL(std::string("listeners[0].prot: unknown setting, found 81, expected it to be absent"),
            port.error().message);
    }

    void rejectsWrongTypeWithPath()
    {
        auto port = readPort(R"({"listeners":[{"port":"80"}]})");
        CPPUNIT_ASSERT(!port);
        CPPUNIT_ASSERT_EQUAL(
            std::string("listeners[0].port: found \"80\", expected an integer from 1 to 65535"), port.error().message);
    }

    void rejectsValueOutOfRange()
    {
        CPPUNIT_ASSERT(!readPort(R"({"listeners":[{"port":65536}]})"));
        CPPUNIT_ASSERT(!readPort(R"({"listeners":[{"port":18446744073709551615}]})"));
        CPPUNIT_ASSERT(!readPort(R"({"listeners":[{"port":80.5}]})"));
    }

    void rejectsBrokenJson()
    {
        auto port = readPort(R"({"listeners":)");
        CPPUNIT_ASSERT(!port);
        CPPUNIT_ASSERT(port.error().code == ErrorCode::InvalidSettings);
    }

    /** An error quotes the value that it found. Printing one of a million levels would overflow the stack. */
    void rejectsDeepNesting()
    {
        for (const std::size_t levels : { std::size_t { 101 }, std::size_t { 1'000'000 } }) {
            std::string objects;
            for (std::size_t i = 0; i < levels; ++i)
                objects += "{\"a\":";
            for (const auto& value :
                { std::string(levels, '[') + std::string(levels, ']'), objects + "1" + std::string(levels, '}') }) {
                for (const auto& text : { value, R"({"listeners":[{"port":)" + value + "}]}", "// [\r" + value,
                         std::string("//\0", 3) + value, "/* \" */" + value }) {
                    const auto port = readPort(text);
                    CPPUNIT_ASSERT(!port);
                    CPPUNIT_ASSERT(port.error().code == ErrorCode::InvalidSettings);
                    CPPUNIT_ASSERT(port.error().message.size() < 200);
                }
            }
        }
        const std::string open(1'000, '[');
        CPPUNIT_ASSERT(readPort("{ // " + open + "\n /*" + open + R"(*/ "listeners":[{"port":80}]})"));
        CPPUNIT_ASSERT(parseJsonWithComments("[\"\\\"" + open + "\", 1]", "test"));
        CPPUNIT_ASSERT(parseJsonWithComments(std::string(100, '[') + std::string(100, ']'), "test"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonReaderTest);
