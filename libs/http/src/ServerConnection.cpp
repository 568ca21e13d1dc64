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
    // After the last answer of a connection, input is dropped until none has come for this long, because closing with
    // unread bytes resets the connection and could destroy the answer on its way.
    constexpr std::chrono::seconds lingerTime { 1 };
    // A caller that goes on sending, such as a body that was refused, reads its answer within this time or never.
    constexpr std::chrono::seconds longestLinger { 5 };
    // Answers to slow readers wait this long for progress.
    constexpr std::chrono::seconds writeTimeout { 20 };
    // Memory of a connection without a request, beside its buffer.
    constexpr std::size_t connectionBytes = 4'096;
    // Memory of an open request beside its head and body, and the copies of its head in use at a time: here, and on the
    // way to a server or another instance.
    constexpr std::size_t requestBytes = 2'048;
    constexpr std::size_t headCopies = 3;

    http::status statusOf(RefusalCause cause)
    {
        switch (cause) {
        case RefusalCause::Malformed:
            return http::status::bad_request;
        case RefusalCause::HeaderTooLarge:
            return http::status::request_header_fields_too_large;
        case RefusalCause::BodyTooLarge:
            return http::status::payload_too_large;
        case RefusalCause::TooSlow:
            return http::status::request_timeout;
        case RefusalCause::Memory:
        case RefusalCause::Connections:
        case RefusalCause::Stopping:
            break;
        }
        return http::status::service_unavailable;
    }

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
    if (connection->m_bytes) {
        const auto onRevoked = [weak = m_connection, response = weak_from_this()] {
            if (const auto stalled = weak.lock())
                asio::post(stalled->m_socket.get_executor(), [stalled, response] { stalled->endRevoked(response); });
        };
        m_claim.emplace(connection->m_bytes, onRevoked, MessageKind::Response, ClaimStage::Writing)
            .resize(m_response->body().capacity());
    }
    connection->answered(*this);
}

void HttpExchange::releaseRequestBody()
{
    const auto capacity = request.body().capacity();
    request.body() = {};
    if (m_requestClaim)
        m_requestClaim->resize(m_requestClaim->bytes() - std::min(m_requestClaim->bytes(), capacity));
}

ServerConnection::ServerConnection(asio::ip::tcp::socket socket, const HttpServerLimits& limits,
    std::shared_ptr<ByteAccount> bytes, RequestHandler onRequest, ClosedHandler onClosed, RefusalHandler onRefused)
    : m_socket(std::move(socket))
    , m_limits(limits)
    , m_bytes(std::move(bytes))
    , m_onRequest(std::move(onRequest))
    , m_onClosed(std::move(onClosed))
    , m_onRefused(std::move(onRefused))
    , m_lastInput(Clock::now())
    , m_lastActivity(m_lastInput)
    , m_idleTimeout(limits.idleTimeout)
{
    if (m_bytes)
        m_connectionClaim.emplace(m_bytes, nullptr, MessageKind::Request).resize(connectionBytes + readSize);
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
    if (m_buffer.size() == 0 && m_buffer.capacity() > readSize)
        m_buffer.shrink_to_fit();
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
    m_lastInput = Clock::now();
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
        if (m_exchanges.size() >= m_limits.pipelineDepth) {
            pauseReading();
            return false;
        }
        if (m_buffer.size() == 0)
            return true;
        if (!m_parser)
            beginRequest();
        if (!claimInput()) {
            rejectInput(RefusalCause::Memory);
            return true;
        }
        error_code ec;
        const auto consumed = m_parser->put(m_buffer.data(), ec);
        m_buffer.consume(consumed);
        m_receivedBytes += consumed;
        if (ec && ec != http::error::need_more) {
            rejectInput(ec == http::error::header_limit ? RefusalCause::HeaderTooLarge
                    : ec == http::error::body_limit     ? RefusalCause::BodyTooLarge
                                                        : RefusalCause::Malformed);
            return true;
        }
        if (!m_isHeaderRead && m_parser->is_header_done()) {
            m_isHeaderRead = true;
            // Parts of the body may have come with the head.
            m_headBytes = static_cast<std::size_t>(m_receivedBytes) - m_parser->get().body().size();
            if (!claimInput()) {
                rejectInput(RefusalCause::Memory);
                return true;
            }
            noteExpectation();
        }
        if (ec == http::error::need_more)
            return true;
        if (m_parser->is_done())
            finishRequest();
    }
    return !m_isClosed;
}

void ServerConnection::beginRequest()
{
    m_parser = std::make_unique<Parser>(m_limits.headerBytes, m_limits.headerBytes);
    m_parser->body_limit(m_limits.bodyBytes);
    m_parser->eager(true);
    m_isReadingRequest = true;
    m_isHeaderRead = false;
    m_headBytes = 0;
    m_receivedBytes = 0;
    m_lastActivity = Clock::now();
    ++m_request;
    if (!m_bytes)
        return;
    const auto onRevoked = [weak = weak_from_this(), request = m_request] {
        if (const auto self = weak.lock())
            asio::post(self->m_socket.get_executor(), [self, request] { self->endRevoked(request); });
    };
    m_claim = std::make_unique<ByteAccount::Claim>(m_bytes, onRevoked, MessageKind::Request);
}

/** Reading goes on in onWritten(). Until then the kernel holds what comes. */
void ServerConnection::pauseReading()
{
    if (m_connectionClaim)
        m_connectionClaim->resize(connectionBytes + readSize + m_limits.receiveBufferBytes);
}

bool ServerConnection::claimInput()
{
    if (!m_claim)
        return true;
    m_claim->noteProgress();
    const auto head = m_isHeaderRead ? m_headBytes : m_receivedBytes + m_buffer.size();
    std::size_t body = 0;
    // What is behind a body of known length belongs to the next request.
    if (m_isHeaderRead && m_parser->content_length())
        body = static_cast<std::size_t>(*m_parser->content_length());
    else if (m_isHeaderRead && m_parser->chunked())
        body = m_parser->get().body().capacityWith(m_buffer.size());
    // Beyond the size of one read the buffer holds a head or a chunk header that is not yet whole.
    const auto unparsed = m_buffer.capacity() - std::min(m_buffer.capacity(), readSize);
    return m_claim->resize(requestBytes + headCopies * head + body + unparsed);
}

void ServerConnection::endRevoked(std::uint64_t request)
{
    if (m_isReadingRequest && m_request == request && m_acceptsRequests && !m_isClosed)
        rejectInput(RefusalCause::Memory);
}

void ServerConnection::endRevoked(const std::weak_ptr<HttpExchange>& answered)
{
    // Once it is written, the connection has other ones.
    if (std::find(m_exchanges.begin(), m_exchanges.end(), answered.lock()) != m_exchanges.end())
        close(CloseReason::Memory);
}

void ServerConnection::finishRequest()
{
    auto exchange = std::make_shared<HttpExchange>(weak_from_this());
    exchange->request = m_parser->release();
    exchange->m_closes = !exchange->request.keep_alive();
    if (m_claim) {
        m_claim->hold();
        m_claim->resize(requestBytes + headCopies * m_headBytes + exchange->request.body().capacity());
    }
    exchange->m_requestClaim = std::move(m_claim);
    m_parser.reset();
    m_isReadingRequest = false;
    m_lastActivity = Clock::now();
    m_exchanges.push_back(exchange);
    if (exchange->m_closes)
        m_acceptsRequests = false;
    m_onRequest(exchange);
}

void ServerConnection::rejectInput(RefusalCause cause)
{
    RefusedInput refused { cause, 0, m_receivedBytes };
    if (m_parser) {
        const auto length = headerValue(m_parser->get(), "Content-Length");
        refused.announcedBytes = length ? parseNumber(*length).value_or(0) : 0;
    }
    auto exchange = std::make_shared<HttpExchange>(weak_from_this());
    exchange->m_closes = true;
    m_parser.reset();
    m_claim.reset();
    m_isReadingRequest = false;
    m_owesContinue = false;
    m_acceptsRequests = false;
    m_buffer.consume(m_buffer.size());
    m_exchanges.push_back(exchange);
    const auto status = statusOf(cause);
    auto response = makeResponse(status, "text/plain", std::string(http::obsolete_reason(status)) + "\n");
    // Another instance can take it at once. Crowds that exceed the memory of one often reach the others as well.
    if (status == http::status::service_unavailable)
        setRetryAfter(response, cause == RefusalCause::Memory ? m_bytes->timeToRoom() : Duration { 0 });
    if (m_onRefused)
        m_onRefused(refused);
    exchange->respond(std::move(response));
}

void ServerConnection::rejectUnfinishedRequest()
{
    if (m_isReadingRequest && m_acceptsRequests && !m_isClosed)
        rejectInput(RefusalCause::Stopping);
}

bool ServerConnection::isStalled(Clock::time_point now, Duration time)
{
    // A process that runs late finds its timers due before input that came in time.
    return m_isReadingRequest && m_acceptsRequests && !m_isClosed && now - m_lastInput >= time
        && pendingInput(m_socket) != PendingInput::Bytes;
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
    if (hasNoBody)
        http::async_write_header(m_socket, *m_serializer,
            [self = shared_from_this()](const error_code& ec, std::size_t) { self->onWritten(ec); });
    else
        writePiece();
}

void ServerConnection::writePiece()
{
    http::async_write_some(
        m_socket, *m_serializer, [self = shared_from_this()](const error_code& ec, std::size_t bytes) {
            if (self->m_isClosed)
                return;
            if (ec || self->m_serializer->is_done()) {
                self->onWritten(ec);
                return;
            }
            if (bytes > 0 && self->m_exchanges.front()->m_claim)
                self->m_exchanges.front()->m_claim->noteProgress();
            self->writePiece();
        });
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
    if (m_connectionClaim)
        m_connectionClaim->resize(connectionBytes + readSize);
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
        if (now - std::max(m_lastActivity, m_lastInput) > lingerTime || passed > longestLinger)
            close(m_end.reason);
    } else if (m_writing) {
        if (passed > writeTimeout)
            close(CloseReason::Timeout);
    } else if (m_isReadingRequest) {
        // A body may pause as long as a connection may be idle.
        const auto limit = m_isHeaderRead ? m_limits.headerTimeout + m_limits.idleTimeout : m_limits.headerTimeout;
        // A process that runs late meets its limits before input that came in time.
        if (passed > limit && pendingInput(m_socket) != PendingInput::Bytes)
            rejectInput(RefusalCause::TooSlow);
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
