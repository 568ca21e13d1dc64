// HttpStoreClient against the platform's stand-in in one process. What matters most is that a write whose answer is
// missing is never reported as refused, and a refused one never as unknown.

#include "PlatformServer.h"
#include "base/EventLog.h"
#include "program/FreePort.h"
#include "store/HttpStoreClient.h"
#include "store/StoreJson.h"
#include "support/BrokenHeads.h"
#include "support/CutResponses.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cpprest/http_client.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <future>
#include <thread>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

// Long enough for any loaded machine; no test waits for it to pass.
constexpr Duration patience = 60s;

StoreResult callAndWait(HttpStoreClient& client, const StoreRequest& request, Duration timeout = patience)
{
    auto promise = std::make_shared<std::promise<StoreResult>>();
    auto future = promise->get_future();
    client.call(request, timeout, [promise](StoreResult result) { promise->set_value(std::move(result)); });
    return future.get();
}

std::pair<int, std::string> send(
    const std::string& address, const std::string& method, const std::string& path, const std::string& body = "")
{
    web::http::client::http_client client("http://" + address);
    const auto response = client.request(method, path, body, "application/json").get();
    return { response.status_code(), response.extract_utf8string(true).get() };
}

/** Accepts connections one after another and closes each after a number of answers and one more request. */
class ClosingListener {
public:
    explicit ClosingListener(int answers)
        : m_answers(answers)
        , m_acceptor(m_context, { boost::asio::ip::address_v4::loopback(), 0 })
        , m_address("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()))
        , m_thread([this] { run(); })
    {
    }

    ~ClosingListener()
    {
        m_isStopping = true;
        boost::system::error_code ignored;
        boost::asio::ip::tcp::socket wake(m_context);
        wake.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
    }

    const std::string& address() const noexcept { return m_address; }
    int requests() const noexcept { return m_requests; }

private:
    void run()
    {
        for (;;) {
            boost::system::error_code error;
            boost::asio::ip::tcp::socket socket(m_context);
            m_acceptor.accept(socket, error);
            if (error || m_isStopping)
                return;
            serve(socket);
        }
    }

    void serve(boost::asio::ip::tcp::socket& socket)
    {
        const std::string body = R"({"type":"object_stored"})";
        const std::string answer
            = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        for (int i = 0;; ++i) {
            const auto request = readRequest(socket);
            if (request.empty())
                return;
            ++m_requests;
            if (i == m_answers)
                return;
            boost::system::error_code ignored;
            boost::asio::write(socket, boost::asio::buffer(answer), ignored);
            if (request.find("Connection: close") != std::string::npos)
                return;
        }
    }

    // Every request of these tests ends with the closing brace of its JSON body.
    static std::string readRequest(boost::asio::ip::tcp::socket& socket)
    {
        std::string text;
        boost::system::error_code error;
        while (!error && !text.ends_with("}")) {
            std::array<char, 4096> buffer {};
            text.append(buffer.data(), socket.read_some(boost::asio::buffer(buffer), error));
        }
        return error ? "" : text;
    }

    const int m_answers;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    const std::string m_address;
    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_requests = 0;
    std::thread m_thread;
};

}

class HttpStoreClientTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpStoreClientTest);
    CPPUNIT_TEST(performsEachKindOfRequest);
    CPPUNIT_TEST(downIsUnavailable);
    CPPUNIT_TEST(refusedConnectionIsUnavailable);
    CPPUNIT_TEST(lostAnswerIsOutcomeUnknownAndTookEffect);
    CPPUNIT_TEST(hangingReadIsUnavailable);
    CPPUNIT_TEST(writesDontReuseConnections);
    CPPUNIT_TEST(closedConnectionIsOutcomeUnknownAndSentOnce);
    CPPUNIT_TEST(answerThatBreaksOffIsNoResult);
    CPPUNIT_TEST(answerWithABrokenHeadIsNoResult);
    CPPUNIT_TEST(rateIsUnavailable);
    CPPUNIT_TEST(closesUnderDelayAndHang);
    CPPUNIT_TEST(destructorEndsOpenCalls);
    CPPUNIT_TEST(listFollowsInstanceRequests);
    CPPUNIT_TEST(badInputGetsClearErrors);
    CPPUNIT_TEST_SUITE_END();

    NullEventLog m_log;
    PlatformSettings m_settings;
    std::unique_ptr<PlatformServer> m_server;
    std::unique_ptr<HttpStoreClient> m_client;

    void setFaults(const std::string& faults)
    {
        CPPUNIT_ASSERT_EQUAL(200, send(m_settings.listen, "PUT", "/v1/faults", faults).first);
    }

public:
    void setUp() override
    {
        m_settings.listen = freeLoopbackAddress();
        m_settings.listLag = 0s;
        start();
    }

    void start()
    {
        m_server = std::make_unique<PlatformServer>(m_settings, m_log);
        const auto opened = m_server->open();
        CPPUNIT_ASSERT_MESSAGE(opened ? "" : opened.error().describe(), opened.has_value());
        m_client = std::make_unique<HttpStoreClient>(HttpStoreClientSettings { m_settings.listen, "entry-1" });
    }

    void tearDown() override
    {
        m_client.reset();
        m_server.reset();
    }

    void performsEachKindOfRequest()
    {
        const auto committed = callAndWait(*m_client, TableCommit { { { "a", 0 } }, { { "a", "\xff\x01" } } });
        CPPUNIT_ASSERT_MESSAGE(committed ? "" : committed.error().describe(), committed.has_value());
        CPPUNIT_ASSERT(std::get<CommitResult>(*committed).isCommitted);
        const auto refused = callAndWait(*m_client, TableCommit { { { "a", 0 } }, { { "a", "2" } } });
        CPPUNIT_ASSERT(!std::get<CommitResult>(refused.value()).isCommitted);
        const auto rows = callAndWait(*m_client, TableRead { { "a" } });
        CPPUNIT_ASSERT_EQUAL(std::string("\xff\x01"), std::get<TableRows>(rows.value()).rows.at(0).value);
        const auto scanned = callAndWait(*m_client, TableScan { "", 10 });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, std::get<TableRows>(scanned.value()).rows.size());
        CPPUNIT_ASSERT(callAndWait(*m_client, ObjectPut { "config/1", "text" }));
        const auto object = callAndWait(*m_client, ObjectGet { "config/1" });
        CPPUNIT_ASSERT_EQUAL(std::string("text"), std::get<ObjectValue>(object.value()).value.value());
        CPPUNIT_ASSERT(std::get<InstanceList>(callAndWait(*m_client, ListInstances {}).value()).instances.empty());
        const auto invalid = callAndWait(*m_client, ObjectGet { "" });
        CPPUNIT_ASSERT(!invalid && invalid.error().code == ErrorCode::InvalidArgument);
    }

    void downIsUnavailable()
    {
        setFaults(R"({"down":true})");
        const auto result = callAndWait(*m_client, ObjectPut { "k", "v" });
        CPPUNIT_ASSERT(!result && result.error().code == ErrorCode::Unavailable);
        setFaults("{}");
        CPPUNIT_ASSERT(!std::get<ObjectValue>(callAndWait(*m_client, ObjectGet { "k" }).value()).value);
    }

    void refusedConnectionIsUnavailable()
    {
        HttpStoreClient client({ freeLoopbackAddress(), "" });
        for (const StoreRequest& request :
            { StoreRequest { ObjectPut { "k", "v" } }, StoreRequest { ObjectGet { "k" } } }) {
            const auto result = callAndWait(client, request);
            CPPUNIT_ASSERT(!result);
            CPPUNIT_ASSERT_MESSAGE(result.error().describe(), result.error().code == ErrorCode::Unavailable);
        }
    }

    void lostAnswerIsOutcomeUnknownAndTookEffect()
    {
        setFaults(R"({"lost_answer_probability":1})");
        const auto result = callAndWait(*m_client, TableCommit { { { "a", 0 } }, { { "a", "1" } } }, 300ms);
        CPPUNIT_ASSERT(!result);
        CPPUNIT_ASSERT_MESSAGE(result.error().describe(), result.error().code == ErrorCode::OutcomeUnknown);
        setFaults("{}");
        // The commit may still be under way when the call times out on a loaded machine.
        for (;;) {
            const auto rows = callAndWait(*m_client, TableRead { { "a" } });
            if (!std::get<TableRows>(rows.value()).rows.empty())
                break;
            std::this_thread::sleep_for(10ms);
        }
    }

    void hangingReadIsUnavailable()
    {
        setFaults(R"({"unreachable_callers":["entry-1"]})");
        const auto read = callAndWait(*m_client, TableRead { { "a" } }, 100ms);
        CPPUNIT_ASSERT(!read && read.error().code == ErrorCode::Unavailable);
        const auto write = callAndWait(*m_client, ObjectPut { "a", "1" }, 100ms);
        CPPUNIT_ASSERT(!write && write.error().code == ErrorCode::OutcomeUnknown);
        HttpStoreClient other({ m_settings.listen, "entry-2" });
        CPPUNIT_ASSERT(callAndWait(other, TableRead { { "a" } }));
    }

    // On a kept connection that is closed before the answer, a request is sent again. The second send of a commit would
    // find the effect of the first and report a refusal.
    void writesDontReuseConnections()
    {
        ClosingListener listener(1);
        HttpStoreClient client({ listener.address(), "" });
        for (int i = 1; i <= 3; ++i) {
            const auto result = callAndWait(client, ObjectPut { "a", "1" });
            CPPUNIT_ASSERT_MESSAGE(result ? "" : result.error().describe(), result.has_value());
            CPPUNIT_ASSERT_EQUAL(i, listener.requests());
        }
    }

    void closedConnectionIsOutcomeUnknownAndSentOnce()
    {
        ClosingListener listener(0);
        HttpStoreClient client({ listener.address(), "" });
        for (int i = 1; i <= 3; ++i) {
            const auto result = callAndWait(client, TableCommit { {}, { { "a", "1" } } });
            CPPUNIT_ASSERT(!result);
            CPPUNIT_ASSERT_MESSAGE(result.error().describe(), result.error().code == ErrorCode::OutcomeUnknown);
            CPPUNIT_ASSERT_EQUAL(i, listener.requests());
        }
        const auto read = callAndWait(client, TableRead { { "a" } });
        CPPUNIT_ASSERT(!read && read.error().code == ErrorCode::Unavailable);
    }

    // An empty or short list would end all that is listed in the rest of it.
    void answerThatBreaksOffIsNoResult()
    {
        PlatformInstance instance;
        instance.name = "shop-1";
        instance.kind = PlatformInstanceKind::BackendServer;
        instance.region = RegionId("jadran");
        instance.failureDomain = FailureDomainId("jadran-1");
        instance.service = ServiceId("shop");
        instance.address = "127.0.0.1:1";
        instance.slots = 1;
        instance.maximumConnections = 1;
        const auto list = encodeStoreResult(StoreResult { InstanceList { { instance } } });
        const auto stored = encodeStoreResult(StoreResult { ObjectStored {} });
        for (const bool isWrite : { false, true }) {
            const auto& body = isWrite ? stored : list;
            const auto request = isWrite ? StoreRequest { ObjectPut { "a", "1" } } : StoreRequest { ListInstances {} };
            auto cuts = cutResponses("", body);
            // Without a length the end of the connection ends the body, but not the document.
            for (std::size_t n = 0; n <= body.size(); ++n)
                cuts.push_back({ "HTTP/1.1 200 OK\r\n\r\n" + body.substr(0, n), BreakOff::Close });
            const ThreadedServer store([&](int n) {
                const auto& cut = cuts.at(static_cast<std::size_t>(n) - 1);
                return RawServer::Answer { cut.bytes, cut.end };
            });
            for (const auto& cut : cuts) {
                HttpStoreClient client({ store.address(), "" });
                const auto result = callAndWait(client, request);
                // The last one is the whole document, which the end of its connection ends.
                CPPUNIT_ASSERT_EQUAL_MESSAGE(cut.description(), &cut == &cuts.back(), result.has_value());
                if (!result)
                    CPPUNIT_ASSERT_MESSAGE(result.error().describe(),
                        result.error().code == (isWrite ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable));
            }
            CPPUNIT_ASSERT_EQUAL(cuts.size(), static_cast<std::size_t>(store.requests()));
        }
    }

    // With a status or a length that the store didn't send, a write looked done and a list short.
    void answerWithABrokenHeadIsNoResult()
    {
        for (const bool isWrite : { false, true }) {
            const auto request = isWrite ? StoreRequest { ObjectPut { "a", "1" } } : StoreRequest { ListInstances {} };
            const auto body
                = encodeStoreResult(isWrite ? StoreResult { ObjectStored {} } : StoreResult { InstanceList { {} } });
            for (const auto& broken : brokenHeads("Content-Type: application/json\r\n", body)) {
                const ThreadedServer store([&](int) { return RawServer::Answer { broken.bytes }; });
                HttpStoreClient client({ store.address(), "" });
                const auto result = callAndWait(client, request);
                CPPUNIT_ASSERT_MESSAGE(broken.description(false), !result);
                CPPUNIT_ASSERT_MESSAGE(result.error().describe(),
                    result.error().code == (isWrite ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable));
            }
        }
    }

    void rateIsUnavailable()
    {
        tearDown();
        m_settings.writesPerSecond = 1;
        start();
        // Two writes within a second exceed the rate; on a loaded machine it may take more of them.
        for (;;) {
            const auto result = callAndWait(*m_client, ObjectPut { "k", "v" });
            if (!result) {
                CPPUNIT_ASSERT(result.error().code == ErrorCode::Unavailable);
                break;
            }
        }
    }

    // The program must end on SIGTERM although a delayed or withheld answer is still due.
    void closesUnderDelayAndHang()
    {
        setFaults(R"({"slow_ms":3600000})");
        std::promise<StoreResult> delayed;
        m_client->call(
            ObjectPut { "k", "v" }, patience, [&delayed](StoreResult result) { delayed.set_value(std::move(result)); });
        while (send(m_settings.listen, "GET", "/v1/statistics").second.find(R"("entry-1":1)") == std::string::npos)
            std::this_thread::sleep_for(1ms);
        m_server->close();
        const auto result = delayed.get_future().get();
        CPPUNIT_ASSERT(!result);
        CPPUNIT_ASSERT_MESSAGE(result.error().describe(), result.error().code == ErrorCode::Unavailable);
    }

    void destructorEndsOpenCalls()
    {
        setFaults(R"({"hang":true})");
        std::atomic<int> completed = 0;
        for (int i = 0; i < 10; ++i)
            m_client->call(ObjectPut { "k", "v" }, patience, [&completed](const StoreResult& result) {
                if (!result && result.error().code == ErrorCode::OutcomeUnknown)
                    ++completed;
            });
        m_client.reset();
        CPPUNIT_ASSERT_EQUAL(10, completed.load());
    }

    void listFollowsInstanceRequests()
    {
        const std::string path = "/v1/instances/entry-1";
        const std::string instance = R"({"name":"entry-1","kind":"entry","region":"jadran",)"
                                     R"("failure_domain":"jadran-1","address":"h:1","peer_address":"h:2"})";
        CPPUNIT_ASSERT_EQUAL(200, send(m_settings.listen, "PUT", path, instance).first);
        CPPUNIT_ASSERT_EQUAL(200, send(m_settings.listen, "PATCH", path, R"({"state":"leaving"})").first);
        auto list = std::get<InstanceList>(callAndWait(*m_client, ListInstances {}).value()).instances;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, list.size());
        CPPUNIT_ASSERT(list[0].state == PlatformInstanceState::Leaving);
        CPPUNIT_ASSERT_EQUAL(200, send(m_settings.listen, "DELETE", path).first);
        CPPUNIT_ASSERT_EQUAL(404, send(m_settings.listen, "DELETE", path).first);
        CPPUNIT_ASSERT_EQUAL(404, send(m_settings.listen, "PATCH", path, R"({"state":"live"})").first);
        CPPUNIT_ASSERT(std::get<InstanceList>(callAndWait(*m_client, ListInstances {}).value()).instances.empty());
    }

    void badInputGetsClearErrors()
    {
        const auto expect = [this](int status, const char* method, const char* path, const char* body) {
            const auto [actual, text] = send(m_settings.listen, method, path, body);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, status, actual);
            const auto document = nlohmann::json::parse(text);
            CPPUNIT_ASSERT_MESSAGE(text, document.contains("code") && document.contains("message"));
        };
        expect(400, "POST", "/v1/store", "{");
        expect(400, "POST", "/v1/store", R"({"type":"table_read","keys":"a"})");
        expect(400, "PUT", "/v1/faults", R"({"down":"yes"})");
        expect(400, "PUT", "/v1/instances/a", R"({"name":"b"})");
        expect(400, "PATCH", "/v1/instances/a", R"({"state":"gone"})");
        expect(404, "GET", "/v2/store", "");
        expect(405, "DELETE", "/v1/store", "");
        CPPUNIT_ASSERT(callAndWait(*m_client, ListInstances {}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpStoreClientTest);
