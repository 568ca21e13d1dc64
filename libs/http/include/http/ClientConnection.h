// One connection to a server: one request at a time, never repeated by the connection itself.

#pragma once

#include "base/SteadyTime.h"
#include "base/Time.h"
#include "http/ByteAccount.h"
#include "http/MessageHeaders.h"
#include "http/ResponseParser.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/serializer.hpp>

#include <tl/expected.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridot {

struct ClientConnectionOptions {
    Duration connectTimeout = std::chrono::seconds { 1 };
    // The kernel gives up a connection whose peer acknowledges nothing for this long. It is the only sign of a
    // connection that went silent.
    Duration acknowledgeTimeout = std::chrono::seconds { 2 };
    // Maximum size of a response body. It bounds the memory that a server which never stops sending can take.
    std::uint64_t responseBytes = 8'388'608;
    std::shared_ptr<ByteAccount> bytes {}; // Bounds the sum over all connections. Empty: there is no such bound.
    // Bytes that the kernel takes before they are read; 0 leaves the size to it, which lets it grow.
    std::size_t receiveBufferBytes = 0;
    std::optional<boost::asio::ip::address> source {}; // Local address; the kernel chooses one if it is empty.
    // If set, a response that has begun fails once no further byte has come for so long, whatever the timeout of its
    // request: a long response on a slow link is not a lost one. Only for servers that are trusted to end.
    std::optional<Duration> progressTimeout {};
};

/** Opens the socket for a connection to @p remote from the local address, if there is one. */
boost::system::error_code openSocket(boost::asio::ip::tcp::socket&, const boost::asio::ip::tcp::endpoint& remote,
    const std::optional<boost::asio::ip::address>& source);

struct ExchangeError {
    bool wasSent = false; // Bytes of the request may have reached the server.
    bool wasOpenedLate = false; // The connection opened, but this process found it too late to send the request.
    bool isMalformed = false; // The server answered with bytes that are no acceptable response.
    bool isCut = false; // They are not, because the connection ended within the response.
    bool wasReused = false; // The connection had served a request before.
    Duration idleTime { 0 }; // How long the connection had been idle before this request.
    std::string message;
};

enum class ResponseVerdict {
    Accept,
    Skip, // It answers another request; the next response may be the right one.
    Reject, // It cannot be the answer; the exchange fails.
};

using ExchangeResult = tl::expected<HttpResponse, ExchangeError>;

/** Not thread-safe: all calls come from the thread of the io_context. */
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    using Clock = SuspendAwareClock;
    using ResponseCheck = std::function<ResponseVerdict(const HttpResponse&)>;
    using ResultHandler = std::function<void(ExchangeResult)>;
    /** Told when a request has ended and the connection can take another one, and when it has closed. */
    using StateHandler = std::function<void(ClientConnection&)>;

    ClientConnection(boost::asio::io_context&, boost::asio::ip::tcp::endpoint, ClientConnectionOptions,
        StateHandler onIdle, StateHandler onClosed);

    /** Sends the request once the connection is open. The handler is called exactly once unless close() comes first.
     *  If no response has arrived after @p timeout, the exchange fails and the connection closes. A response that has
     *  arrived by then is taken, also if the process reads it late. */
    void send(HttpRequest, ResponseCheck, ResultHandler, std::optional<Duration> timeout = std::nullopt);
    /** @p handler is called for each piece of the response to the current request. To be called after send(). */
    void onInput(std::function<void()> handler) { m_onInput = std::move(handler); }
    /** Closes without calling the result handler; a running request is thereby cancelled. */
    void close();

    /** Whether bytes of the newest request may have reached the server. */
    bool hasSent() const noexcept { return m_wasSent; }
    bool isOpen() const noexcept { return m_state == State::Open; }
    /** Whether bytes or the end of the connection wait to be read. If they arrived without a request, the connection
     *  can't be used for another one. */
    bool hasUnreadInput();
    /** For an exchange whose time is over: whether input that arrived before is still to be handled. To be asked again
     *  after a turn of the io_context. Once the result is false, the exchange may be ended for want of a response. A
     *  server that goes on sending can't put that off. */
    bool awaitsArrivedInput();
    bool isBusy() const noexcept { return static_cast<bool>(m_onResult); }
    /** Whether a request was sent on this connection before the current one, so that a response to it may still
     *  arrive. */
    bool isReused() const noexcept { return m_requests > 1; }
    /** Records that the server refused the request with this id, which has just ended. The connection closes after a
     *  bounded number of refusals. */
    void noteRefusal(std::string_view requestId);
    /** Whether a request with this id was refused here. A late copy of the refusal would pass for the response to
     *  another request with the id. */
    bool hasRefused(std::string_view requestId) const;
    Clock::time_point idleSince() const noexcept { return m_idleSince; }
    /** Time that connecting took; empty before, and after the first call. */
    std::optional<Duration> takeConnectTime() noexcept { return std::exchange(m_connectTime, std::nullopt); }
    /** How long the server keeps an idle connection, as its last response said. */
    std::optional<Duration> keepAlive() const noexcept { return m_keepAlive; }

private:
    enum class State {
        New,
        Connecting,
        Open,
        Closed,
    };
    using Parser = ResponseParser<boost::beast::http::string_body>;

    void connect();
    void onConnected(const boost::system::error_code&);
    void write();
    void onWritten(const boost::system::error_code&);
    void read();
    void onRead(const boost::system::error_code&, std::size_t bytes);
    void takeInput(const boost::system::error_code&, std::size_t bytes);
    void readArrivedInput();
    void parse(bool isAtEnd);
    void takeResponse();
    void skipResponse();
    void fail(const std::string& message, bool isMalformed = false);
    void finish(ExchangeResult);
    void startResponseTimer(Duration timeout);
    void endOverdue(std::uint64_t exchange);
    void resetParser();
    /** Counts the bytes that are held of the response. Returns false if there is no room for them. */
    bool claimBytes();
    void endRevoked(std::uint64_t exchange);
    /** The body would stay in memory until the next request of a kept connection. */
    void releaseRequest();

    boost::asio::io_context& m_context;
    const boost::asio::ip::tcp::endpoint m_endpoint;
    const ClientConnectionOptions m_options;
    StateHandler m_onIdle;
    StateHandler m_onClosed;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    boost::asio::steady_timer m_responseTimer;
    State m_state = State::New;
    boost::beast::flat_buffer m_buffer;
    std::unique_ptr<Parser> m_parser; // Set exactly while a response is awaited.
    std::optional<ByteAccount::Claim> m_claim; // Of the bytes of the response that is read.
    std::optional<HttpRequest> m_request;
    std::unique_ptr<boost::beast::http::request_serializer<RequestBody>> m_serializer;
    ResponseCheck m_check;
    ResultHandler m_onResult; // Set exactly while a request is open.
    std::function<void()> m_onInput; // Of the current request.
    Clock::time_point m_idleSince;
    std::optional<Duration> m_keepAlive;
    Clock::time_point m_connectStart;
    std::optional<Duration> m_connectTime;
    Duration m_idleBefore { 0 };
    std::uint64_t m_requests = 0; // Requests written to the connection.
    // Identifies the newest exchange. A timer that is due together with the response may run after the next exchange
    // has begun, which it must not end.
    std::uint64_t m_exchange = 0;
    std::vector<std::size_t> m_refused; // Hashes of the ids of refused requests.
    bool m_isOverdue = false; // awaitsArrivedInput() was called during the current exchange.
    bool m_hasReadOverdue = false; // All that had arrived at a time after that call was read.
    bool m_isCut = false; // The connection ended within the response to the current request.
    unsigned m_skippedResponses = 0; // Responses of the current exchange that answered other requests.
    bool m_wasSent = false;
    bool m_isWriting = false;
    boost::system::error_code m_writeError; // The connection broke while a request was written.
    bool m_isRetired = false; // Takes no further request, because stray bytes may follow.
};

}
