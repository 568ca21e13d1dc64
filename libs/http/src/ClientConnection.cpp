#include "http/ClientConnection.h"

#include "http/PendingInput.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace peridot {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

    constexpr std::size_t readSize = 16'384;
    constexpr auto noRoomMessage = "the response exceeds the memory for messages";
    // Bounds the memory of a connection, at one new connection for so many refusals.
    constexpr std::size_t maximumRefusals = 128;
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

    using BindAddressNoPort = asio::detail::socket_option::boolean<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>;

    bool isInformational(const HttpResponse& response) { return response.result_int() / 100 == 1; }

}

error_code openSocket(asio::ip::tcp::socket& socket, const asio::ip::tcp::endpoint& remote,
    const std::optional<asio::ip::address>& source)
{
    error_code ec;
    socket.open(remote.protocol(), ec);
    if (ec || !source)
        return ec;
    // Connections to different servers may then share a port. Without the option there are fewer ports, so that its
    // failure doesn't matter.
    error_code ignored;
    socket.set_option(BindAddressNoPort(true), ignored);
    socket.bind({ *source, 0 }, ec);
    return ec;
}

ClientConnection::ClientConnection(asio::io_context& context, asio::ip::tcp::endpoint endpoint,
    ClientConnectionOptions options, StateHandler onIdle, StateHandler onClosed)
    : m_context(context)
    , m_endpoint(std::move(endpoint))
    , m_options(std::move(options))
    , m_onIdle(std::move(onIdle))
    , m_onClosed(std::move(onClosed))
    , m_socket(context)
    , m_connectTimer(context)
    , m_responseTimer(context)
    , m_idleSince(Clock::now())
{
}

void ClientConnection::send(
    HttpRequest request, ResponseCheck check, ResultHandler onResult, std::optional<Duration> timeout)
{
    m_request = std::move(request);
    m_check = std::move(check);
    m_onResult = std::move(onResult);
    m_onInput = nullptr;
    m_wasSent = false;
    m_skippedResponses = 0;
    m_isOverdue = false;
    m_hasReadOverdue = false;
    m_isCut = false;
    ++m_exchange;
    if (timeout)
        startResponseTimer(*timeout);
    if (m_options.bytes && !m_claim) {
        m_claim.emplace(m_options.bytes, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                asio::post(self->m_context, [self, exchange = self->m_exchange] { self->endRevoked(exchange); });
        });
    }
    m_idleBefore = std::chrono::duration_cast<Duration>(Clock::now() - m_idleSince);
    resetParser();
    if (m_state == State::New)
        connect();
    else if (m_state == State::Open)
        write();
    else
        asio::post(m_context, [self = shared_from_this()] { self->fail("the connection is closed"); });
}

bool ClientConnection::hasUnreadInput() { return m_state == State::Open && isReadable(m_socket); }

void ClientConnection::startResponseTimer(Duration timeout)
{
    m_responseTimer.expires_after(timeout);
    m_responseTimer.async_wait([self = shared_from_this(), exchange = m_exchange](const error_code& ec) {
        if (!ec)
            self->endOverdue(exchange);
    });
}

void ClientConnection::endOverdue(std::uint64_t exchange)
{
    if (!m_onResult || m_exchange != exchange)
        return;
    if (!awaitsArrivedInput()) {
        fail("no response before the timeout");
        return;
    }
    asio::post(m_context, [self = shared_from_this(), exchange] { self->endOverdue(exchange); });
}

/** After a pause of the process, timers may run before the input that arrived in the meantime: a response can take
 *  several reads, and one wait for events reports only so many descriptors. */
bool ClientConnection::awaitsArrivedInput()
{
    if (m_state != State::Open || !m_wasSent)
        return false;
    // The socket no longer holds the input of a read whose handler has not run yet. It runs in the next turn.
    if (!std::exchange(m_isOverdue, true))
        return true;
    return !m_hasReadOverdue && hasUnreadInput();
}

void ClientConnection::resetParser()
{
    const bool isToHead = m_request && m_request->method() == http::verb::head;
    m_parser = std::make_unique<Parser>(m_options.responseBytes, isToHead);
}

void ClientConnection::connect()
{
    m_state = State::Connecting;
    auto ec = openSocket(m_socket, m_endpoint, m_options.source);
    if (ec) {
        asio::post(m_context, [self = shared_from_this(), ec] { self->fail("cannot open a socket: " + ec.message()); });
        return;
    }
    // Without these options the connection is slower or its loss is found later, so errors don't matter.
    m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
    if (m_options.receiveBufferBytes > 0)
        m_socket.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(m_options.receiveBufferBytes)), ec);
    m_socket.set_option(UserTimeout(static_cast<int>(toMilliseconds(m_options.acknowledgeTimeout))), ec);
    m_connectStart = Clock::now();
    m_connectTimer.expires_after(m_options.connectTimeout);
    m_connectTimer.async_wait([self = shared_from_this()](const error_code& timerEc) {
        // If connecting has ended, onConnected() follows.
        if (!timerEc && self->m_state == State::Connecting && !isWritable(self->m_socket))
            self->fail("connecting took too long");
    });
    m_socket.async_connect(
        m_endpoint, [self = shared_from_this()](const error_code& connectEc) { self->onConnected(connectEc); });
}

void ClientConnection::onConnected(const error_code& ec)
{
    if (m_state != State::Connecting)
        return;
    m_connectTimer.cancel();
    if (ec) {
        fail("cannot connect: " + ec.message());
        return;
    }
    // After a pause of the process the connection and its timeout are due together. The request was decided before.
    const auto connectTime = std::chrono::duration_cast<Duration>(Clock::now() - m_connectStart);
    if (connectTime > m_options.connectTimeout) {
        m_isRetired = true;
        ExchangeError error;
        error.wasOpenedLate = true;
        error.message = "the open connection was found too late";
        finish(tl::make_unexpected(std::move(error)));
        return;
    }
    m_state = State::Open;
    m_connectTime = connectTime;
    read();
    if (m_onResult)
        write();
}

void ClientConnection::write()
{
    m_wasSent = true;
    m_isWriting = true;
    ++m_requests;
    m_serializer = std::make_unique<http::request_serializer<RequestBody>>(*m_request);
    http::async_write(m_socket, *m_serializer,
        [self = shared_from_this()](const error_code& ec, std::size_t) { self->onWritten(ec); });
}

void ClientConnection::onWritten(const error_code& ec)
{
    m_isWriting = false;
    if (!m_onResult)
        releaseRequest();
    if (!ec)
        return;
    // A response may have been sent before the connection broke, so only reading decides.
    m_isRetired = true;
    // Linux reports a broken pipe if the server closed its side before the connection broke.
    if (ec != asio::error::broken_pipe)
        m_writeError = ec;
}

void ClientConnection::read()
{
    if (m_buffer.size() == 0 && m_buffer.capacity() > readSize)
        m_buffer.shrink_to_fit();
    m_socket.async_read_some(m_buffer.prepare(readSize),
        [self = shared_from_this()](const error_code& ec, std::size_t n) { self->onRead(ec, n); });
}

void ClientConnection::onRead(const error_code& ec, std::size_t bytes)
{
    takeInput(ec, bytes);
    if (m_isOverdue)
        readArrivedInput();
    if (m_state == State::Open)
        read();
}

void ClientConnection::takeInput(const error_code& ec, std::size_t bytes)
{
    if (m_state != State::Open)
        return;
    // A socket reports an error once. If the write got it, the read finds an end that the server did not send.
    const auto error = ec == asio::error::eof && m_writeError ? m_writeError : ec;
    if (error == asio::error::eof) {
        parse(true);
        if (m_state == State::Open)
            fail("the server closed the connection");
        return;
    }
    if (error) {
        fail("the connection broke: " + error.message());
        return;
    }
    m_buffer.commit(bytes);
    if (m_claim)
        m_claim->noteProgress();
    if (!m_onResult || !m_wasSent) {
        fail("the server sent bytes without a request", true);
        return;
    }
    if (m_options.progressTimeout)
        startResponseTimer(*m_options.progressTimeout);
    if (m_onInput)
        m_onInput();
    parse(false);
}

/** Reads what the socket holds now, and the end of the connection behind it. */
void ClientConnection::readArrivedInput()
{
    error_code ec;
    m_socket.non_blocking(true, ec);
    auto unread = m_socket.available(ec);
    while (m_onResult && m_isOverdue && hasUnreadInput()) {
        if (unread == 0 && m_socket.available(ec) > 0)
            break; // It arrived later.
        const auto bytes = m_socket.read_some(m_buffer.prepare(readSize), ec);
        takeInput(ec, bytes);
        unread -= std::min(unread, bytes);
    }
    m_hasReadOverdue = m_isOverdue; // A new exchange may have begun.
}

void ClientConnection::parse(bool isAtEnd)
{
    while (m_onResult && m_state == State::Open) {
        if (m_buffer.size() > 0) {
            const auto parsed = m_parser->put(m_buffer.data());
            if (!parsed) {
                fail("malformed response: " + parsed.error(), true);
                return;
            }
            m_buffer.consume(*parsed);
        }
        if (isAtEnd && !m_parser->putEnd()) {
            m_isCut = true;
            fail("the connection ended within the response", true);
            return;
        }
        if (!m_parser->isDone()) {
            if (!claimBytes())
                fail(noRoomMessage, true);
            return;
        }
        takeResponse();
    }
}

bool ClientConnection::claimBytes()
{
    return !m_claim || m_claim->resize(m_parser->message().body().capacity() + m_buffer.capacity());
}

void ClientConnection::endRevoked(std::uint64_t exchange)
{
    if (m_onResult && m_exchange == exchange)
        fail(noRoomMessage, true);
}

void ClientConnection::takeResponse()
{
    const bool keepsOpen = m_parser->keepsOpen();
    HttpResponse response = m_parser->release();
    if (isInformational(response)) {
        skipResponse();
        return;
    }
    switch (m_check ? m_check(response) : ResponseVerdict::Accept) {
    case ResponseVerdict::Skip:
        m_isRetired = true;
        skipResponse();
        return;
    case ResponseVerdict::Reject:
        fail("the response does not belong to the request", true);
        return;
    case ResponseVerdict::Accept:
        break;
    }
    if (const auto keepAlive = keepAliveTimeout(response))
        m_keepAlive = keepAlive;
    // The rest of a request whose response came early would be read as the next request.
    if (!keepsOpen || m_isWriting || m_buffer.size() > 0)
        m_isRetired = true;
    finish(std::move(response));
}

void ClientConnection::skipResponse()
{
    if (++m_skippedResponses > maximumSkippedResponses)
        fail("too many responses that do not belong to the request", true);
    else
        resetParser();
}

void ClientConnection::noteRefusal(std::string_view requestId)
{
    m_refused.push_back(std::hash<std::string_view> {}(requestId));
    if (m_refused.size() >= maximumRefusals)
        close();
}

bool ClientConnection::hasRefused(std::string_view requestId) const
{
    return !m_refused.empty()
        && std::find(m_refused.begin(), m_refused.end(), std::hash<std::string_view> {}(requestId)) != m_refused.end();
}

void ClientConnection::finish(ExchangeResult result)
{
    const auto self = shared_from_this();
    const auto onResult = std::exchange(m_onResult, nullptr);
    m_check = nullptr;
    m_parser.reset();
    releaseRequest();
    if (m_claim)
        m_claim->resize(0);
    m_responseTimer.cancel();
    m_idleSince = Clock::now();
    if (m_isRetired)
        close();
    else if (m_onIdle)
        m_onIdle(*this);
    if (onResult)
        onResult(std::move(result));
}

void ClientConnection::releaseRequest()
{
    if (m_isWriting)
        return; // onWritten() does it.
    m_serializer.reset();
    m_request.reset();
}

void ClientConnection::fail(const std::string& message, bool isMalformed)
{
    m_isRetired = true;
    finish(tl::make_unexpected(
        ExchangeError { m_wasSent, false, isMalformed, m_isCut, m_requests > 1, m_idleBefore, message }));
}

void ClientConnection::close()
{
    if (m_state == State::Closed)
        return;
    const auto self = shared_from_this();
    m_state = State::Closed;
    m_onResult = nullptr;
    m_parser.reset();
    releaseRequest();
    m_claim.reset();
    m_connectTimer.cancel();
    m_responseTimer.cancel();
    error_code ec;
    m_socket.close(ec); // The descriptor is released whatever the result.
    if (m_onClosed)
        m_onClosed(*this);
}

}
