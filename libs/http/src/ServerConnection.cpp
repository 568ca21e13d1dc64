#include "http/ServerConnection.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <utility>

namespace peridot {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

    constexpr std::size_t readSize = 8'192; // One read; most requests fit.
    // After the last answer of a connection that still receives input, input is dropped for this long, because closing
    // with unread bytes resets the connection and could destroy the answer on its way.
    constexpr std::chrono::seconds lingerTime { 1 };
    // Answers to slow readers wait this long for progress.
    constexpr std::chrono::seconds writeTimeout { 20 };

    /** Whether the peer's machine has got all that was written. A close with unread input discards the rest. */
    bool isDelivered(asio::ip::tcp::socket& socket)
    {
        int unsent = 0;
        return ::ioctl(socket.native_handle(), SIOCOUTQ, &unsent) != 0 || unsent == 0;
    }

}

void HttpExchange::respond(HttpResponse response)
{
    if (m_response)
        return;
    m_response = std::move(response);
    onCallerGone = nullptr;
    const auto connection = m_connection.lock();
    if (!connection)
        return;
    if (connection->m_bytes)
        m_claim.emplace(connection->m_bytes, nullptr).resize(m_response->body().capacity());
    connection->answered(*this);
}

ServerConnection::ServerConnection(asio::ip::tcp::socket socket, const HttpServerLimits& limits,
    std::shared_ptr<ByteAccount> bytes, RequestHandler onRequest, ClosedHandler onClosed)
    : m_socket(std::move(socket))
    , m_limits(limits)
    , m_bytes(std::move(bytes))
    , m_onRequest(std::move(onRequest))
    , m_onClosed(std::move(onClosed))
    , m_lastActivity(Clock::now())
    , m_idleTimeout(limits.idleTimeout)
{
}

void ServerConnection::start()
{
    error_code ec;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ec); // Without it the socket only is slower.
    read();
}

void ServerConnection::read()
{
    if (m_isReading || m_isClosed)
        return;
    m_isReading = true;
    m_socket.async_read_some(
        m_buffer.prepare(readSize), [self = shared_from_this()](const error_code& ec, std::size_t n) {
            self->m_isReading = false;
            self->onRead(ec, n);
        });
}

void ServerConnection::onRead(const error_code& ec, std::size_t bytes)
{
    if (m_isClosed)
        return;
    if (ec) {
        close(ec == asio::error::eof ? CloseReason::CallerClosed : CloseReason::Broken);
        return;
    }
    if (m_isLingering || !m_acceptsRequests) {
        noteDroppedInput(bytes);
        read();
        return;
    }
    m_buffer.commit(bytes);
    // After a delay, of the accept or of this process, the caller may have left already; its request is not to run.
    if (pendingInput(m_socket) == PendingInput::End) {
        close(CloseReason::CallerClosed);
        return;
    }
    if (parse())
        read();
}

bool ServerConnection::parse()
{
    while (m_acceptsRequests && !m_isClosed) {
        // A paused connection continues in onWritten().
        if (m_exchanges.size() >= m_limits.pipelineDepth)
            return false;
        if (m_buffer.size() == 0)
            return true;
        if (!m_parser) {
            m_parser = std::make_unique<Parser>();
            m_parser->header_limit(static_cast<std::uint32_t>(m_limits.headerBytes));
            m_parser->body_limit(m_limits.bodyBytes);
            m_parser->eager(true);
            m_isReadingRequest = true;
            m_isRequestLineRead = false;
            m_isHeaderRead = false;
            m_lastActivity = Clock::now();
        }
        if (!m_isHeaderRead && !headerIsSound()) {
            rejectInput(http::status::bad_request);
            return true;
        }
        error_code ec;
        const auto consumed = m_parser->put(m_buffer.data(), ec);
        m_buffer.consume(consumed);
        if (consumed > 0 && !m_parser->is_header_done() && !m_isRequestLineRead) {
            m_isRequestLineRead = true;
            // The parser counts what is in the buffer.
            m_parser->header_limit(
                static_cast<std::uint32_t>(m_limits.headerBytes - std::min(consumed, m_limits.headerBytes)));
        }
        if (!m_isHeaderRead && m_parser->is_header_done()) {
            m_isHeaderRead = true;
            noteExpectation();
        }
        if (ec == http::error::need_more) {
            // What the parser leaves is the start of a header, a chunk header or a trailer. It limits headers only.
            if (m_buffer.size() > m_limits.headerBytes)
                rejectInput(http::status::request_header_fields_too_large);
            return true;
        }
        if (ec == http::error::header_limit) {
            rejectInput(http::status::request_header_fields_too_large);
            return true;
        }
        if (ec == http::error::body_limit) {
            rejectInput(http::status::payload_too_large);
            return true;
        }
        if (ec) {
            rejectInput(http::status::bad_request);
            return true;
        }
        if (m_parser->is_done())
            finishRequest();
    }
    return !m_isClosed;
}

bool ServerConnection::headerIsSound() const
{
    const auto data = m_buffer.data();
    return !hasFoldedLine({ static_cast<const char*>(data.data()), data.size() }, m_isRequestLineRead);
}

void ServerConnection::finishRequest()
{
    auto exchange = std::make_shared<HttpExchange>(weak_from_this());
    exchange->request = m_parser->release();
    exchange->m_closes = !exchange->request.keep_alive();
    m_parser.reset();
    m_isReadingRequest = false;
    m_lastActivity = Clock::now();
    m_exchanges.push_back(exchange);
    if (exchange->m_closes)
        m_acceptsRequests = false;
    m_onRequest(exchange);
}

void ServerConnection::rejectInput(http::status status)
{
    auto exchange = std::make_shared<HttpExchange>(weak_from_this());
    exchange->m_closes = true;
    m_parser.reset();
    m_isReadingRequest = false;
    m_owesContinue = false;
    m_acceptsRequests = false;
    m_buffer.consume(m_buffer.size());
    m_exchanges.push_back(exchange);
    auto response = makeResponse(status, "text/plain", std::string(http::obsolete_reason(status)) + "\n");
    if (status == http::status::service_unavailable)
        response.set(http::field::retry_after, "0"); // Another instance can take it at once.
    exchange->respond(std::move(response));
}

void ServerConnection::rejectUnfinishedRequest()
{
    if (m_isReadingRequest && m_acceptsRequests && !m_isClosed)
        rejectInput(http::status::service_unavailable);
}

void ServerConnection::noteExpectation()
{
    m_owesContinue = !m_parser->is_done() && headerValue(m_parser->get(), "Expect").has_value();
    sendContinue();
}

/** Behind the answers to earlier requests, which must not be interrupted. */
void ServerConnection::sendContinue()
{
    if (!m_owesContinue || !m_exchanges.empty())
        return;
    m_owesContinue = false;
    static const std::string text = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(m_socket, asio::buffer(text), [self = shared_from_this()](const error_code& ec, std::size_t) {
        if (ec)
            self->close(CloseReason::Broken);
    });
}

void ServerConnection::answered(HttpExchange& exchange)
{
    if (!m_isClosed && !m_exchanges.empty() && m_exchanges.front().get() == &exchange)
        writeNext();
}

void ServerConnection::writeNext()
{
    if (m_writing || m_isClosed || m_exchanges.empty() || !m_exchanges.front()->m_response)
        return;
    auto& exchange = *m_exchanges.front();
    m_writing = std::move(*exchange.m_response);
    // A closing answer with requests behind it would make their senders repeat requests that may already run.
    if (m_isDraining && m_exchanges.size() == 1 && !m_isReadingRequest)
        exchange.m_closes = true;
    if (exchange.m_closes) {
        m_acceptsRequests = false;
        m_writing->keep_alive(false);
    } else {
        m_writing->keep_alive(true);
    }
    m_lastActivity = Clock::now();
    const bool hasNoBody = exchange.request.method() == http::verb::head;
    m_serializer = std::make_unique<http::response_serializer<http::string_body>>(*m_writing);
    auto handler = [self = shared_from_this()](const error_code& ec, std::size_t) { self->onWritten(ec); };
    if (hasNoBody)
        http::async_write_header(m_socket, *m_serializer, std::move(handler));
    else
        http::async_write(m_socket, *m_serializer, std::move(handler));
}

void ServerConnection::onWritten(const error_code& ec)
{
    if (m_isClosed)
        return;
    // A header alone ends with the error that says that the body has not been written.
    const bool isHeaderOnly = ec == http::error::end_of_stream;
    if (ec && !isHeaderOnly) {
        close(CloseReason::Broken);
        return;
    }
    const bool closes = m_exchanges.front()->m_closes;
    m_serializer.reset();
    m_writing.reset();
    m_exchanges.pop_front();
    if (!m_isReadingRequest)
        m_lastActivity = Clock::now();
    m_idleTimeout = m_limits.idleTimeout;
    if (closes) {
        lingerAndClose();
        return;
    }
    writeNext();
    sendContinue();
    if (!m_isReading && parse())
        read();
}

void ServerConnection::noteEnd(CloseReason reason)
{
    if (m_endDecided)
        return;
    const auto now = Clock::now();
    m_endDecided = now;
    m_end.reason = reason;
    m_end.idleTime = std::chrono::duration_cast<Duration>(now - m_lastActivity);
    m_end.hadUnreadInput = m_buffer.size() > 0 || pendingInput(m_socket) == PendingInput::Bytes;
}

void ServerConnection::noteDroppedInput(std::size_t bytes)
{
    if (m_endDecided && m_end.droppedBytes == 0)
        m_end.droppedAfter = std::chrono::duration_cast<Duration>(Clock::now() - *m_endDecided);
    m_end.droppedBytes += bytes;
}

void ServerConnection::lingerAndClose()
{
    noteEnd(CloseReason::FinalAnswer);
    error_code ec;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    if (ec) {
        close(CloseReason::Broken);
        return;
    }
    m_isLingering = true;
    m_lastActivity = Clock::now();
    m_buffer.consume(m_buffer.size());
    abandonExchanges();
    read();
}

void ServerConnection::checkTimeouts(Clock::time_point now)
{
    if (m_isClosed)
        return;
    const auto passed = now - m_lastActivity;
    if (m_isLingering) {
        if (passed > lingerTime)
            close(m_end.reason);
    } else if (m_writing) {
        if (passed > writeTimeout)
            close(CloseReason::Timeout);
    } else if (m_isReadingRequest) {
        // A body may pause as long as a connection may be idle.
        const auto limit = m_isHeaderRead ? m_limits.headerTimeout + m_limits.idleTimeout : m_limits.headerTimeout;
        // A process that runs late meets its limits before input that came in time.
        if (passed > limit && pendingInput(m_socket) != PendingInput::Bytes)
            rejectInput(http::status::request_timeout);
    } else if (passed > std::max(m_idleTimeout, m_limits.idleTimeout)) {
        closeIfIdle(CloseReason::IdleLimit);
    }
}

bool ServerConnection::isIdle()
{
    return !m_isClosed && !m_isLingering && !m_isReadingRequest && m_exchanges.empty() && m_buffer.size() == 0
        && pendingInput(m_socket) == PendingInput::None;
}

bool ServerConnection::isSettled()
{
    if (m_isClosed)
        return true;
    return m_exchanges.empty() && isDelivered(m_socket)
        && (m_isLingering || pendingInput(m_socket) != PendingInput::Bytes);
}

/** Input that comes later is not read, and resets the connection, so that it can't be taken for handled. */
void ServerConnection::closeIfIdle(CloseReason reason)
{
    if (isIdle())
        close(reason);
}

void ServerConnection::abandonExchanges()
{
    // Handlers may answer or drop other exchanges of this connection.
    const auto exchanges = std::exchange(m_exchanges, {});
    for (const auto& exchange : exchanges) {
        exchange->m_claim.reset();
        if (auto onGone = std::exchange(exchange->onCallerGone, nullptr))
            onGone();
    }
}

void ServerConnection::close(CloseReason reason)
{
    if (m_isClosed)
        return;
    noteEnd(reason);
    m_isClosed = true;
    const auto self = shared_from_this();
    error_code ec;
    m_socket.close(ec); // The descriptor is released whatever the result.
    abandonExchanges();
    m_onClosed(*this);
}

}
