#include "rest/StrictHttpClient.h"

#include "base/SteadyTime.h"
#include "http/PendingInput.h"
#include "http/ResponseParser.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/host_name_verification.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <cpprest/producerconsumerstream.h>
#include <pplx/threadpool.h>

#include <array>
#include <charconv>
#include <limits>
#include <mutex>
#include <optional>
#include <system_error>
#include <utility>
#include <vector>

namespace peridot {

namespace asio = boost::asio;
namespace beast = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using web::http::http_exception;
using web::http::http_request;
using web::http::http_response;

namespace {

    constexpr std::size_t pieceBytes = 16'384; // Of a body, and of a read.
    constexpr auto anyLength = std::numeric_limits<std::uint64_t>::max(); // Bodies are passed on as they come.
    constexpr std::size_t keptConnections = 64; // At most, for each client.
    // A server may close an idle connection at any time; the longer it is kept the likelier.
    constexpr std::chrono::seconds keptTime { 20 };

    asio::io_context& service() { return crossplat::threadpool::shared_instance().service(); }

    /** The part of a body that has arrived. Unlike Beast's string_body it reserves nothing for the announced length. */
    struct PieceBody {
        using value_type = std::string;

        class reader { // NOLINT(readability-identifier-naming): Beast asks for this name.
        public:
            template <bool isRequest, typename Fields>
            reader(beast::header<isRequest, Fields>&, value_type& piece)
                : m_piece(piece)
            {
            }

            void init(const boost::optional<std::uint64_t>&, error_code& ec) { ec = {}; }

            template <typename Buffers> std::size_t put(const Buffers& buffers, error_code& ec)
            {
                ec = {};
                std::size_t size = 0;
                for (auto it = asio::buffer_sequence_begin(buffers); it != asio::buffer_sequence_end(buffers); ++it) {
                    const asio::const_buffer buf = *it;
                    m_piece.append(static_cast<const char*>(buf.data()), buf.size());
                    size += buf.size();
                }
                return size;
            }

            void finish(error_code& ec) { ec = {}; }

        private:
            value_type& m_piece;
        };
    };

    std::string text(boost::beast::string_view view) { return { view.data(), view.size() }; }

    /** The part of host:port before the port; an IPv6 address without its brackets. */
    std::string hostOf(const std::string& address)
    {
        const auto host = address.substr(0, address.rfind(':'));
        return host.size() > 2 && host.front() == '[' && host.back() == ']' ? host.substr(1, host.size() - 2) : host;
    }

    std::uint16_t portOf(const std::string& address)
    {
        const auto text = address.substr(address.rfind(':') + 1);
        std::uint16_t port = 0; // No server listens there.
        std::from_chars(text.data(), text.data() + text.size(), port);
        return port;
    }

}

/** The address of a server and the connections that are kept to it. */
class StrictHttpClient::Server {
public:
    Server(const std::string& address, ConnectionUse use, std::shared_ptr<asio::ssl::context> tlsContext)
        : address(address)
        , host(hostOf(address))
        , port(portOf(address))
        , use(use)
        , tlsContext(std::move(tlsContext))
    {
    }

    /** Returns a kept connection on which nothing has arrived. */
    std::optional<tcp::socket> take()
    {
        const std::lock_guard lock(m_mutex);
        while (!m_kept.empty()) {
            auto [socket, since] = std::move(m_kept.back());
            m_kept.pop_back();
            if (steadyNow() - since <= keptTime && !isReadable(socket))
                return std::move(socket);
        }
        return std::nullopt;
    }

    void keep(tcp::socket socket)
    {
        const auto now = steadyNow();
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_kept, [now](const auto& it) { return now - it.second > keptTime; });
        if (m_kept.size() < keptConnections)
            m_kept.emplace_back(std::move(socket), now);
    }

    const std::string address;
    const std::string host;
    const std::uint16_t port;
    const ConnectionUse use;
    const std::shared_ptr<asio::ssl::context> tlsContext; // Empty: connections are plain.

private:
    std::mutex m_mutex;
    std::vector<std::pair<tcp::socket, TimePoint>> m_kept; // The latest last.
};

/** One request and its response. All but the constructor and start() runs in the strand. */
class StrictHttpClient::Exchange : public std::enable_shared_from_this<Exchange> {
private:
    /** Makes a handler of the strand that is left out once the exchange is over. */
    template <typename Handler> auto handler(Handler handle)
    {
        return asio::bind_executor(m_strand, [self = shared_from_this(), handle](auto&&... results) {
            if (!self->m_isOver)
                handle(std::forward<decltype(results)>(results)...);
        });
    }

public:
    Exchange(std::shared_ptr<Server> server, const http_request& request, Duration timeout)
        : m_server(std::move(server))
        , m_request(request)
        , m_timeout(timeout)
        , m_strand(asio::make_strand(service()))
        , m_socket(service())
        , m_resolver(service())
        , m_timer(service())
        , m_body(request.body())
    {
    }

    pplx::task<http_response> start(const pplx::cancellation_token& token)
    {
        if (token.is_cancelable()) {
            token.register_callback([weak = weak_from_this()] {
                if (const auto self = weak.lock())
                    asio::post(self->handler([exchange = self.get()] {
                        exchange->fail("the request was cancelled", std::errc::operation_canceled);
                    }));
            });
        }
        asio::post(handler([this] { begin(); }));
        return pplx::task<http_response>(m_result);
    }

private:
    using Parser = ResponseParser<PieceBody>;

    enum class Framing {
        None,
        Length,
        Chunks,
    };

    void begin()
    {
        startTimer();
        makeHead();
        if (m_server->use == ConnectionUse::Kept && m_framing != Framing::None)
            readBody();
        else
            open();
    }

    void startTimer()
    {
        m_timer.expires_after(m_timeout);
        m_timer.async_wait(handler([this](const error_code& ec) {
            if (!ec)
                fail("no whole response in time", std::errc::timed_out);
        }));
    }

    void makeHead()
    {
        const auto& headers = m_request.headers();
        auto target = m_request.relative_uri().resource().to_string();
        if (target.empty() || target.front() != '/')
            target.insert(0, "/");
        m_head = m_request.method() + " " + target + " HTTP/1.1\r\n";
        if (!headers.has("Host"))
            m_head += "Host: " + m_server->address + "\r\n";
        for (const auto& [name, value] : headers)
            m_head.append(name).append(": ").append(value).append("\r\n");
        std::uint64_t length = 0;
        if (headers.match("Content-Length", length)) {
            m_framing = length > 0 ? Framing::Length : Framing::None;
            m_bodyLeft = length;
        } else if (m_body.is_valid()) {
            m_framing = Framing::Chunks;
            m_head += "Transfer-Encoding: chunked\r\n";
        } else if (m_request.method() == "POST" || m_request.method() == "PUT") {
            m_head += "Content-Length: 0\r\n";
        }
        if (m_server->use == ConnectionUse::Single && !headers.has("Connection"))
            m_head += "Connection: close\r\n";
        m_head += "\r\n";
    }

    /** Reads the next piece of the request's body; @p take gets it, empty at the end. */
    template <typename Take> void readPiece(Take take)
    {
        m_piece.resize(pieceBytes);
        const auto onPiece = handler([this, take](std::size_t size, bool isBroken) {
            if (isBroken) {
                fail("the body of the request broke off", std::errc::connection_aborted);
                return;
            }
            m_piece.resize(size);
            take();
        });
        try {
            m_body.streambuf()
                .getn(m_piece.data(), m_piece.size())
                .then([self = shared_from_this(), onPiece](const pplx::task<std::size_t>& task) {
                    std::size_t size = 0;
                    bool isBroken = false;
                    try {
                        size = task.get();
                        // A stream that was closed with an error may report its end first.
                        isBroken = size == 0 && self->m_body.streambuf().exception();
                    } catch (...) {
                        isBroken = true;
                    }
                    asio::post(self->m_strand, [onPiece, size, isBroken] { onPiece(size, isBroken); });
                });
        } catch (const std::exception&) {
            onPiece(0, true);
        }
    }

    void readBody()
    {
        readPiece([this] {
            appendPiece();
            if (m_isBodyRead)
                open();
            else
                readBody();
        });
    }

    /** Appends the piece to the content, framed. */
    void appendPiece()
    {
        m_isBodyRead = m_piece.empty();
        if (m_framing == Framing::Chunks) {
            std::array<char, 20> size {};
            std::snprintf(size.data(), size.size(), "%zx\r\n", m_piece.size());
            m_content += size.data();
            m_content.append(m_piece.begin(), m_piece.end());
            m_content += "\r\n";
            return;
        }
        m_content.append(m_piece.begin(), m_piece.end());
        m_bodyLeft -= std::min<std::uint64_t>(m_bodyLeft, m_piece.size());
        m_isBodyRead = m_isBodyRead || m_bodyLeft == 0;
    }

    void open()
    {
        if (m_server->use == ConnectionUse::Kept) {
            if (auto kept = m_server->take()) {
                m_socket = std::move(*kept);
                m_isReused = true;
                write();
                return;
            }
        }
        connect();
    }

    void connect()
    {
        m_isReused = false;
        m_socket = tcp::socket(service());
        error_code noAddress;
        if (const auto ip = asio::ip::make_address(m_server->host, noAddress); !noAddress) {
            connectTo(tcp::resolver::results_type::create({ ip, m_server->port }, m_server->host, {}));
            return;
        }
        m_resolver.async_resolve(m_server->host, std::to_string(m_server->port),
            handler([this](const error_code& ec, const tcp::resolver::results_type& endpoints) {
                if (ec)
                    fail("cannot resolve the address: " + ec.message(), std::errc::host_unreachable);
                else
                    connectTo(endpoints);
            }));
    }

    void connectTo(const tcp::resolver::results_type& endpoints)
    {
        asio::async_connect(m_socket, endpoints, handler([this](const error_code& ec, const auto&) {
            if (ec) {
                fail("cannot connect: " + ec.message(), std::errc::host_unreachable);
                return;
            }
            error_code ignored; // Without the option the connection only is slower.
            m_socket.set_option(tcp::no_delay(true), ignored);
            if (m_server->tlsContext)
                startTls();
            else
                write();
        }));
    }

    void startTls()
    {
        m_tls.emplace(m_socket, *m_server->tlsContext);
        // Servers with one certificate need no name.
        static_cast<void>(SSL_set_tlsext_host_name(m_tls->native_handle(), m_server->host.c_str()));
        error_code ignored; // Setting a mode and a callback doesn't fail.
        m_tls->set_verify_mode(asio::ssl::verify_peer, ignored);
        m_tls->set_verify_callback(asio::ssl::host_name_verification(m_server->host), ignored);
        m_tls->async_handshake(asio::ssl::stream_base::client, handler([this](const error_code& ec) {
            if (ec)
                fail("the TLS handshake failed: " + ec.message(), std::errc::host_unreachable);
            else
                write();
        }));
    }

    /** Calls @p use with the stream over which messages are sent. */
    template <typename Use> void withStream(Use use)
    {
        if (m_tls)
            use(*m_tls);
        else
            use(m_socket);
    }

    void write()
    {
        resetParser();
        m_isWriting = true;
        const std::array<asio::const_buffer, 2> buffers { asio::buffer(m_head), asio::buffer(m_content) };
        withStream([&](auto& stream) {
            asio::async_write(
                stream, buffers, handler([this, isReused = m_isReused](const error_code& ec, std::size_t) {
                    if (isReused == m_isReused) // Otherwise the request is sent once more.
                        onWritten(ec);
                }));
        });
        read();
    }

    void onWritten(const error_code& ec)
    {
        // A response may have come before the connection broke; only reading decides.
        if (ec)
            return;
        if (m_framing == Framing::None || m_isBodyRead) {
            m_isWriting = false;
            return;
        }
        readPiece([this] {
            m_content.clear();
            appendPiece();
            if (m_piece.empty() && m_framing == Framing::Length && m_bodyLeft > 0) {
                fail("the body of the request is shorter than announced", std::errc::connection_aborted);
                return;
            }
            withStream([&](auto& stream) {
                asio::async_write(stream, asio::buffer(m_content),
                    handler([this](const error_code& writeEc, std::size_t) { onWritten(writeEc); }));
            });
        });
    }

    void resetParser() { m_parser = std::make_unique<Parser>(anyLength, m_request.method() == "HEAD"); }

    void read()
    {
        withStream([&](auto& stream) {
            stream.async_read_some(m_buffer.prepare(pieceBytes),
                handler([this](const error_code& ec, std::size_t size) { onRead(ec, size); }));
        });
    }

    void onRead(const error_code& ec, std::size_t size)
    {
        if (ec && m_isReused && !m_hasInput) {
            connect();
            return;
        }
        if (ec && ec != asio::error::eof) {
            fail("the connection broke: " + ec.message(), std::errc::connection_aborted);
            return;
        }
        m_hasInput = true;
        m_buffer.commit(size);
        parse(ec == asio::error::eof);
        if (m_isOver)
            return;
        if (ec)
            fail("the server closed the connection", std::errc::connection_aborted);
        else
            read();
    }

    void parse(bool isAtEnd)
    {
        while (!m_isOver) {
            if (m_buffer.size() > 0) {
                const auto parsed = m_parser->put(m_buffer.data());
                if (!parsed) {
                    failMalformed(parsed.error());
                    return;
                }
                m_buffer.consume(*parsed);
            }
            if (isAtEnd && !m_parser->putEnd()) {
                fail("the connection ended within the response", std::errc::connection_aborted);
                return;
            }
            if (m_parser->isHeaderDone() && !isInformational())
                passOn();
            if (!m_parser->isDone())
                return;
            if (!isInformational()) {
                finish();
                return;
            }
            if (++m_informational > maximumSkippedResponses) {
                failMalformed("too many informational responses");
                return;
            }
            resetParser();
            if (m_buffer.size() == 0)
                return;
        }
    }

    bool isInformational() { return m_parser->message().result_int() / 100 == 1; }

    /** Passes on what has arrived of the response. */
    void passOn()
    {
        auto& message = m_parser->message();
        if (!m_response) {
            m_response.emplace(static_cast<web::http::status_code>(message.result_int()));
            m_response->set_reason_phrase(text(message.reason()));
            m_response->set_body(m_pipe.create_istream());
            m_response->headers().clear(); // Those of set_body() are not the server's.
            for (const auto& field : message)
                m_response->headers().add(text(field.name_string()), text(field.value()));
            m_result.set(*m_response);
        }
        if (auto& piece = message.body(); !piece.empty()) {
            m_bodySize += piece.size();
            m_pipe.putn_nocopy(reinterpret_cast<const std::uint8_t*>(piece.data()), piece.size()).wait();
            piece.clear();
        }
    }

    void finish()
    {
        const bool isKept
            = m_server->use == ConnectionUse::Kept && m_parser->keepsOpen() && !m_isWriting && m_buffer.size() == 0;
        if (isKept)
            m_server->keep(std::move(m_socket));
        end();
        m_pipe.close(std::ios_base::out);
        m_response->_get_impl()->_complete(m_bodySize);
    }

    void failMalformed(const std::string& reason) { fail("malformed response: " + reason, std::errc::bad_message); }

    void fail(const std::string& message, std::errc code)
    {
        if (m_isOver)
            return;
        end();
        const auto error = std::make_exception_ptr(http_exception(std::make_error_code(code), message));
        if (!m_response) {
            m_result.set_exception(error);
            return;
        }
        m_pipe.close(std::ios_base::out, error);
        m_response->_get_impl()->_complete(0, error);
    }

    void end()
    {
        m_isOver = true;
        error_code ignored; // The descriptor is released whatever the result.
        m_socket.close(ignored);
        m_resolver.cancel();
        m_timer.cancel();
    }

    const std::shared_ptr<Server> m_server;
    const http_request m_request;
    const Duration m_timeout;
    const asio::strand<asio::io_context::executor_type> m_strand;
    tcp::socket m_socket;
    std::optional<asio::ssl::stream<tcp::socket&>> m_tls;
    tcp::resolver m_resolver;
    asio::steady_timer m_timer;
    pplx::task_completion_event<http_response> m_result;
    bool m_isOver = false;

    std::string m_head; // Of the request.
    Framing m_framing = Framing::None; // Of the request's body.
    concurrency::streams::istream m_body;
    std::uint64_t m_bodyLeft = 0; // What is missing of a body with a length.
    std::vector<std::uint8_t> m_piece;
    std::string m_content; // The piece, or the body, that is written, framed.
    bool m_isBodyRead = false;
    bool m_isWriting = false;
    bool m_isReused = false;

    bool m_hasInput = false; // Bytes of a response have arrived.
    boost::beast::flat_buffer m_buffer;
    std::unique_ptr<Parser> m_parser;
    unsigned m_informational = 0;
    std::optional<http_response> m_response; // Set once the head was passed on.
    concurrency::streams::producer_consumer_buffer<std::uint8_t> m_pipe;
    std::uint64_t m_bodySize = 0;
};

StrictHttpClient::StrictHttpClient(const std::string& address, ConnectionUse use, Duration timeout)
    : m_server(std::make_shared<Server>(address, use, nullptr))
    , m_timeout(timeout)
{
}

StrictHttpClient::StrictHttpClient(
    const std::string& address, std::shared_ptr<asio::ssl::context> tlsContext, Duration timeout)
    : m_server(std::make_shared<Server>(address, ConnectionUse::Single, std::move(tlsContext)))
    , m_timeout(timeout)
{
}

pplx::task<http_response> StrictHttpClient::request(
    const http_request& request, const pplx::cancellation_token& token) const
{
    return std::make_shared<Exchange>(m_server, request, m_timeout)->start(token);
}

}
