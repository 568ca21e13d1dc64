// What an instance answers decides what an operator believes is in force; a broken answer says nothing.

#include "OperatorClient.h"

#include "support/BrokenHeads.h"
#include "support/CutResponses.h"

#include <boost/asio/ssl.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <thread>

#include <unistd.h>

namespace peridot {

namespace {

    namespace asio = boost::asio;

    const std::string applied = R"({"version":7})";
    const std::string appliedResponse
        = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(applied.size()) + "\r\n\r\n" + applied;

    /** Answers one request per connection over TLS, with a certificate of its own for 127.0.0.1. */
    class TlsServer {
    public:
        TlsServer()
            : m_directory(std::filesystem::temp_directory_path() / ("peridotctl-tests-" + std::to_string(::getpid())))
            , m_acceptor(m_context, { asio::ip::address_v4::loopback(), 0 })
        {
            std::filesystem::create_directories(m_directory);
            const auto command = "openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=peridot "
                                 "-addext subjectAltName=IP:127.0.0.1 -keyout "
                + (m_directory / "key.pem").string() + " -out " + certificateFile() + " 2>/dev/null";
            CPPUNIT_ASSERT_EQUAL(0, std::system(command.c_str()));
            m_tls.use_certificate_chain_file(certificateFile());
            m_tls.use_private_key_file((m_directory / "key.pem").string(), asio::ssl::context::pem);
            m_thread = std::thread([this] { run(); });
        }

        ~TlsServer()
        {
            m_isStopping = true;
            boost::system::error_code ec;
            asio::ip::tcp::socket wake(m_context);
            wake.connect(m_acceptor.local_endpoint(), ec);
            wake.close(ec);
            m_thread.join();
            std::filesystem::remove_all(m_directory);
        }

        std::string certificateFile() const { return (m_directory / "certificate.pem").string(); }
        std::string url() const { return "https://127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

    private:
        void run()
        {
            while (!m_isStopping) {
                boost::system::error_code ec; // A client that distrusts the certificate breaks off.
                asio::ssl::stream<asio::ip::tcp::socket> stream(m_acceptor.accept(), m_tls);
                stream.handshake(asio::ssl::stream_base::server, ec);
                std::string request;
                if (!ec)
                    asio::read_until(stream, asio::dynamic_buffer(request), "\r\n\r\n", ec);
                if (!ec)
                    asio::write(stream, asio::buffer(appliedResponse), ec);
            }
        }

        const std::filesystem::path m_directory;
        asio::io_context m_context;
        asio::ip::tcp::acceptor m_acceptor;
        asio::ssl::context m_tls { asio::ssl::context::tls_server };
        std::atomic<bool> m_isStopping = false;
        std::thread m_thread;
    };

}

class OperatorClientTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OperatorClientTest);
    CPPUNIT_TEST(brokenAnswerIsNone);
    CPPUNIT_TEST(answerComesOverTls);
    CPPUNIT_TEST(unknownCertificateIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    /** With a status or a body that an instance didn't send, a change looked applied. */
    void brokenAnswerIsNone()
    {
        for (const auto& broken : brokenHeads("Content-Type: application/json\r\n", applied)) {
            const ThreadedServer server([&](int) { return RawServer::Answer { broken.bytes }; });
            const OperatorClient client({ server.address() }, "key", "");
            const auto reply = client.post("/changes", { { "a", 1 } }, "c1");
            CPPUNIT_ASSERT_MESSAGE(broken.description(false), !reply);
            CPPUNIT_ASSERT_MESSAGE(
                reply.error().describe(), reply.error().describe().find("malformed response") != std::string::npos);
        }
        const ThreadedServer server([](int) { return RawServer::Answer { appliedResponse }; });
        const auto reply = OperatorClient({ "http://" + server.address() }, "key", "").get("/status");
        CPPUNIT_ASSERT(reply && reply->status == 200 && reply->body["version"] == 7);
    }

    void answerComesOverTls()
    {
        const TlsServer server;
        const auto reply = OperatorClient({ server.url() }, "key", server.certificateFile()).get("/status");
        CPPUNIT_ASSERT_MESSAGE(reply ? "" : reply.error().describe(), reply.has_value());
        CPPUNIT_ASSERT(reply->status == 200 && reply->body["version"] == 7);
    }

    void unknownCertificateIsRefused()
    {
        const TlsServer server;
        const auto reply = OperatorClient({ server.url() }, "key", "").get("/status");
        CPPUNIT_ASSERT(!reply);
        CPPUNIT_ASSERT_MESSAGE(reply.error().describe(), reply.error().describe().find("TLS") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorClientTest);

}
