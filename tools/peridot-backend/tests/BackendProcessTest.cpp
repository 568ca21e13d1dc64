// The backend servers over real connections: what a request sees under each fault, and what is counted.

#include "BackendProcess.h"
#include "program/CheckedBody.h"
#include "program/FreePort.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <thread>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

namespace http = boost::beast::http;
using Response = http::response<http::string_body>;

/** A blocking connection. */
class Connection {
public:
    explicit Connection(const std::string& address)
        : m_socket(m_io)
    {
        const auto colon = address.rfind(':');
        m_socket.connect({ boost::asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))) });
    }

    void send(const std::string& method, const std::string& target,
        const std::map<std::string, std::string>& headers = {}, const std::string& body = "")
    {
        http::request<http::string_body> request;
        request.version(11);
        request.method_string(method);
        request.target(target);
        request.set(http::field::host, "test");
        for (const auto& [name, value] : headers)
            request.set(name, value);
        request.body() = body;
        request.prepare_payload();
        boost::system::error_code ignored;
        http::write(m_socket, request, ignored);
    }

    /** Returns nothing if the connection ends before a whole response. */
    std::optional<Response> receive()
    {
        http::response_parser<http::string_body> parser;
        parser.body_limit(1ULL << 30U);
        boost::system::error_code error;
        http::read(m_socket, m_buffer, parser, error);
        if (error)
            return std::nullopt;
        return parser.release();
    }

    std::optional<Response> exchange(const std::string& method, const std::string& target,
        const std::map<std::string, std::string>& headers = {}, const std::string& body = "")
    {
        send(method, target, headers, body);
        return receive();
    }

    void write(const std::string& text) { boost::asio::write(m_socket, boost::asio::buffer(text)); }
    void close() { m_socket.close(); }

private:
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
};

}

class BackendProcessTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BackendProcessTest);
    CPPUNIT_TEST(answersWithCheckedBody);
    CPPUNIT_TEST(answersChunked);
    CPPUNIT_TEST(shedsWithNotRun);
    CPPUNIT_TEST(endsAtDeadline);
    CPPUNIT_TEST(disconnectFreesSlot);
    CPPUNIT_TEST(limitsConnections);
    CPPUNIT_TEST(closesReusedConnections);
    CPPUNIT_TEST(closesAfterRun);
    CPPUNIT_TEST(truncatesBodies);
    CPPUNIT_TEST(swapsResponses);
    CPPUNIT_TEST(answersLate);
    CPPUNIT_TEST(reportsDrain);
    CPPUNIT_TEST(detectsDamagedUploads);
    CPPUNIT_TEST(seesKeys);
    CPPUNIT_TEST(refusesGarbage);
    CPPUNIT_TEST(controlRejectsBadInput);
    CPPUNIT_TEST_SUITE_END();

    NullEventLog m_log;
    std::string m_address;
    std::string m_controlAddress;
    std::atomic<int> m_keysSeen = 0;
    std::unique_ptr<BackendProcess> m_process;

    void start(const ServiceBehaviour& behaviour, std::uint32_t slots = 2, std::uint32_t connections = 100)
    {
        m_address = freeLoopbackAddress();
        m_controlAddress = freeLoopbackAddress();
        BackendSettings settings;
        settings.controlListen = m_controlAddress;
        settings.threads = 1;
        settings.callerKeySecrets = { "secret-of-a-caller" };
        settings.services["a"] = behaviour;
        settings.servers = { { "a-1", "r", "r-1", "a", m_address, slots, connections } };
        m_process = std::make_unique<BackendProcess>(settings, m_log, [this] { ++m_keysSeen; });
        const auto opened = m_process->open();
        CPPUNIT_ASSERT_MESSAGE(opened ? "" : opened.error().describe(), opened.has_value());
    }

    static ServiceBehaviour takes(Duration time)
    {
        ServiceBehaviour behaviour;
        behaviour.medianServiceTime = behaviour.p99ServiceTime = time;
        behaviour.warmRuns = 0;
        behaviour.queuePerSlot = 0;
        return behaviour;
    }

    std::optional<Response> controlRequest(
        const std::string& method, const std::string& target, const std::string& body = "")
    {
        return Connection(m_controlAddress).exchange(method, target, {}, body);
    }

    void setControl(const std::string& control)
    {
        const auto reply = controlRequest("PUT", "/control", R"({"control":)" + control + "}");
        CPPUNIT_ASSERT(reply && reply->result_int() == 200);
    }

    std::uint64_t count(const std::string& name)
    {
        const auto reply = controlRequest("GET", "/control");
        CPPUNIT_ASSERT(reply.has_value());
        return nlohmann::json::parse(reply->body())["servers"]["a-1"]["counts"].at(name).get<std::uint64_t>();
    }

    void waitForCount(const std::string& name, std::uint64_t expected)
    {
        while (count(name) != expected)
            std::this_thread::sleep_for(1ms);
    }

public:
    void tearDown() override { m_process.reset(); }

    void answersWithCheckedBody()
    {
        start(takes(0ms));
        Connection connection(m_address);
        for (int i = 0; i < 3; ++i) {
            const auto reply = connection.exchange("GET", "/x?echo=e1&bytes=5000", { { "X-Request-Id", "r1" } });
            CPPUNIT_ASSERT(reply && reply->result_int() == 200);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 5000 }, reply->body().size());
            CPPUNIT_ASSERT(contentChecksum(reply->body()) == std::string(reply->at("X-Content-Checksum")));
            const auto head = parseCheckedBody(reply->body());
            CPPUNIT_ASSERT(head && head->requestId == "r1" && head->echo == "e1" && head->server == "a-1");
        }
        const auto runs = nlohmann::json::parse(controlRequest("GET", "/control/runs?full=1")->body());
        CPPUNIT_ASSERT_EQUAL(3, runs["by_request_id"]["counts"]["r1"].get<int>());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, runs["by_request_id"]["duplicates"].size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, count("connections"));
    }

    void answersChunked()
    {
        start(takes(0ms));
        const auto reply = Connection(m_address).exchange("GET", "/x?bytes=5000&chunked=1");
        CPPUNIT_ASSERT(reply && reply->chunked());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 5000 }, reply->body().size());
    }

    void shedsWithNotRun()
    {
        start(takes(1h), 1);
        Connection first(m_address);
        first.send("GET", "/x");
        waitForCount("runs", 1);
        const auto reply = Connection(m_address).exchange("POST", "/x", { { "X-Request-Id", "r2" } });
        CPPUNIT_ASSERT(reply && reply->result_int() == 503);
        CPPUNIT_ASSERT(reply->count("X-Not-Run") == 1 && reply->count("Retry-After") == 1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, count("runs"));
    }

    void endsAtDeadline()
    {
        auto behaviour = takes(1h);
        behaviour.queuePerSlot = 1;
        start(behaviour, 1);
        Connection running(m_address);
        running.send("GET", "/x");
        waitForCount("runs", 1);
        const auto waited = Connection(m_address).exchange("GET", "/x", { { "Request-Timeout-Ms", "20" } });
        CPPUNIT_ASSERT(waited && waited->result_int() == 503 && waited->count("X-Not-Run") == 1);
        running.close();
        waitForCount("cancelled_running", 1);
        const auto ran = Connection(m_address).exchange("GET", "/x", { { "Request-Timeout-Ms", "20" } });
        CPPUNIT_ASSERT(ran && ran->result_int() == 504 && ran->count("X-Not-Run") == 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, count("runs"));
    }

    // A caller that goes away must not keep a slot, whether its request runs or waits.
    void disconnectFreesSlot()
    {
        auto behaviour = takes(1h);
        behaviour.queuePerSlot = 2;
        start(behaviour, 1);
        Connection running(m_address);
        Connection waiting(m_address);
        Connection next(m_address);
        running.send("GET", "/x");
        waitForCount("runs", 1);
        waiting.send("GET", "/x");
        waitForCount("requests", 2);
        next.send("GET", "/x");
        waitForCount("requests", 3);
        waiting.close();
        waitForCount("cancelled_waiting", 1);
        running.close();
        waitForCount("cancelled_running", 1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, count("runs"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, count("open_connections"));
    }

    void limitsConnections()
    {
        start(takes(0ms), 2, 2);
        Connection first(m_address);
        Connection second(m_address);
        CPPUNIT_ASSERT(first.exchange("GET", "/x") && second.exchange("GET", "/x"));
        CPPUNIT_ASSERT(!Connection(m_address).exchange("GET", "/x"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, count("refused_connections"));
        first.close();
        waitForCount("open_connections", 1);
        CPPUNIT_ASSERT(Connection(m_address).exchange("GET", "/x"));
    }

    void closesReusedConnections()
    {
        start(takes(0ms));
        setControl(R"({"close_before_run_probability":1,"close_reused_only":true})");
        Connection connection(m_address);
        CPPUNIT_ASSERT(connection.exchange("GET", "/x"));
        CPPUNIT_ASSERT(!connection.exchange("GET", "/x"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, count("runs"));
    }

    void closesAfterRun()
    {
        start(takes(0ms));
        setControl(R"({"close_after_run_probability":1})");
        CPPUNIT_ASSERT(!Connection(m_address).exchange("GET", "/x"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, count("runs"));
    }

    void truncatesBodies()
    {
        start(takes(0ms));
        setControl(R"({"truncate_probability":1})");
        CPPUNIT_ASSERT(!Connection(m_address).exchange("GET", "/x?bytes=5000"));
        CPPUNIT_ASSERT(!Connection(m_address).exchange("GET", "/x?bytes=5000&chunked=1"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, count("faults"));
    }

    void swapsResponses()
    {
        start(takes(20ms));
        setControl(R"({"swap_probability":1})");
        // A response that finds no partner in time is sent unchanged, so that a pair may need several tries.
        for (bool isSwapped = false; !isSwapped;) {
            Connection first(m_address);
            Connection second(m_address);
            first.send("GET", "/x?echo=first");
            second.send("GET", "/x?echo=second");
            const auto firstReply = first.receive();
            const auto secondReply = second.receive();
            CPPUNIT_ASSERT(firstReply && secondReply);
            isSwapped = parseCheckedBody(firstReply->body())->echo == "second"
                && parseCheckedBody(secondReply->body())->echo == "first";
        }
    }

    void answersLate()
    {
        start(takes(0ms));
        setControl(R"({"late_probability":1,"late_ms":1})");
        CPPUNIT_ASSERT(Connection(m_address).exchange("GET", "/x"));
        setControl(R"({"late_probability":1,"late_ms":600000})");
        Connection connection(m_address);
        connection.send("GET", "/x");
        waitForCount("faults", 2); // The run is over and the response is held back.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, count("runs"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, count("completed"));
    }

    void reportsDrain()
    {
        start(takes(0ms));
        Connection connection(m_address);
        auto health = connection.exchange("GET", "/health");
        CPPUNIT_ASSERT(health && nlohmann::json::parse(health->body())["state"] == "live");
        setControl(R"({"draining":true})");
        auto load = connection.exchange("GET", "/load");
        CPPUNIT_ASSERT(load && nlohmann::json::parse(load->body())["state"] == "draining");
        CPPUNIT_ASSERT(connection.exchange("GET", "/x"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, count("requests_while_draining"));
        setControl(R"({"false_report":{"healthy":false,"slots":1}})");
        health = connection.exchange("GET", "/health");
        CPPUNIT_ASSERT(health && health->result_int() == 503);
    }

    void detectsDamagedUploads()
    {
        start(takes(0ms));
        Connection connection(m_address);
        const std::map<std::string, std::string> headers { { "X-Content-Checksum", contentChecksum("booking") } };
        CPPUNIT_ASSERT_EQUAL(200U, connection.exchange("POST", "/x", headers, "booking")->result_int());
        CPPUNIT_ASSERT_EQUAL(422U, connection.exchange("POST", "/x", headers, "bookin")->result_int());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, count("damaged_bodies"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, count("runs"));
    }

    void seesKeys()
    {
        start(takes(0ms));
        CPPUNIT_ASSERT(Connection(m_address).exchange("GET", "/x"));
        CPPUNIT_ASSERT_EQUAL(0, m_keysSeen.load());
        CPPUNIT_ASSERT(!Connection(m_address).exchange("GET", "/x", { { "Authorization", "Bearer x" } }));
        CPPUNIT_ASSERT(!Connection(m_address).exchange("GET", "/x?key=x"));
        CPPUNIT_ASSERT(!Connection(m_address).exchange("POST", "/x", {}, "secret-of-a-caller"));
        CPPUNIT_ASSERT_EQUAL(3, m_keysSeen.load());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, count("runs"));
    }

    void refusesGarbage()
    {
        start(takes(0ms));
        Connection connection(m_address);
        connection.write("NONSENSE\r\n\r\n");
        const auto reply = connection.receive();
        CPPUNIT_ASSERT(reply && reply->result_int() == 400);
        CPPUNIT_ASSERT(nlohmann::json::parse(reply->body()).contains("code"));
        CPPUNIT_ASSERT(Connection(m_address).exchange("GET", "/x"));
    }

    void controlRejectsBadInput()
    {
        start(takes(0ms));
        for (const auto* body : { "{", "{}", R"({"control":{"drain":true}})", R"({"control":{},"servers":"a-1"})" }) {
            const auto reply = controlRequest("PUT", "/control", body);
            CPPUNIT_ASSERT_MESSAGE(body, reply && reply->result_int() == 400);
            CPPUNIT_ASSERT_MESSAGE(body, nlohmann::json::parse(reply->body()).contains("message"));
        }
        CPPUNIT_ASSERT_EQUAL(
            404U, controlRequest("PUT", "/control", R"({"control":{},"servers":["b"]})")->result_int());
        CPPUNIT_ASSERT_EQUAL(405U, controlRequest("POST", "/control")->result_int());
        CPPUNIT_ASSERT_EQUAL(404U, controlRequest("GET", "/runs")->result_int());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendProcessTest);
