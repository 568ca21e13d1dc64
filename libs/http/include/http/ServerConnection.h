// One connection of a caller: reads pipelined requests, answers them in order and notices a caller that leaves.

#pragma once

#include "base/EnumNames.h"
#include "base/SteadyTime.h"
#include "base/Time.h"
#include "http/BoundedParser.h"
#include "http/ByteAccount.h"
#include "http/MessageHeaders.h"
#include "http/PendingInput.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/serializer.hpp>

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridot {

struct HttpServerLimits {
    std::size_t headerBytes = 16'384;
    std::uint64_t bodyBytes = 67'108'864;
    Duration headerTimeout = std::chrono::seconds { 3 }; // From the first byte of a request head to its end.
    Duration idleTimeout = std::chrono::seconds { 15 }; // Without a request.
    std::size_t pipelineDepth = 32; // Requests read ahead of their answers, per connection.
    // Bytes of a connection that the kernel takes before they are read; 0 leaves the size to it, which lets it grow. It
    // is set for the listener and stays as it is then.
    std::size_t receiveBufferBytes = 0;
};

/** Why a connection of a caller ended. */
enum class CloseReason {
    CallerClosed,
    Broken, // An error of the socket.
    FinalAnswer, // The last answer announced the end.
    IdleLimit,
    Room, // Idle while there are many connections.
    Timeout, // The caller didn't take its answer in time.
    Memory, // The caller took nothing of its answer while memory was short.
    Stopped, // The server closed all connections.
};

template <>
inline constexpr EnumNameTable<CloseReason, 8> enumNames<CloseReason> { {
    { CloseReason::CallerClosed, "caller_closed" },
    { CloseReason::Broken, "broken" },
    { CloseReason::FinalAnswer, "final_answer" },
    { CloseReason::IdleLimit, "idle_limit" },
    { CloseReason::Room, "room" },
    { CloseReason::Timeout, "timeout" },
    { CloseReason::Memory, "memory" },
    { CloseReason::Stopped, "stopped" },
} };

/** Why input of a caller was answered without being handled as a request. */
enum class RefusalCause {
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    TooSlow,
    Memory, // There is no room for the request.
    Connections, // It makes no progress while there are many connections.
    Stopping,
};

template <>
inline constexpr EnumNameTable<RefusalCause, 7> enumNames<RefusalCause> { {
    { RefusalCause::Malformed, "malformed" },
    { RefusalCause::HeaderTooLarge, "header_too_large" },
    { RefusalCause::BodyTooLarge, "body_too_large" },
    { RefusalCause::TooSlow, "too_slow" },
    { RefusalCause::Memory, "memory" },
    { RefusalCause::Connections, "connections" },
    { RefusalCause::Stopping, "stopping" },
} };

struct RefusedInput {
    RefusalCause cause = RefusalCause::Malformed;
    std::uint64_t announcedBytes = 0; // Length of the body; 0 if it is unknown.
    std::uint64_t receivedBytes = 0; // Of the request, with its head.
};

/** How a connection ended, as the server knows it. */
struct ConnectionEnd {
    CloseReason reason = CloseReason::CallerClosed;
    Duration idleTime {}; // Since the last activity, when the server decided to close.
    bool hadUnreadInput = false; // At that moment.
    std::size_t droppedBytes = 0; // Input that came or was read after it and was not handled.
    Duration droppedAfter {}; // From the decision to the first of these bytes.
};

class ServerConnection;

/** One request and the place for its answer. Answer it once; an answer after the caller has gone is dropped. */
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
public:
    explicit HttpExchange(std::weak_ptr<ServerConnection> connection)
        : m_connection(std::move(connection))
    {
    }

    HttpRequest request;
    /** Called at most once, when the caller goes away before its answer was written. */
    std::function<void()> onCallerGone;

    void respond(HttpResponse response);
    /** Gives back the memory of the request's body. */
    void releaseRequestBody();
    bool isAnswered() const noexcept { return m_response.has_value(); }

private:
    friend class ServerConnection;

    std::weak_ptr<ServerConnection> m_connection;
    std::unique_ptr<ByteAccount::Claim> m_requestClaim;
    std::optional<HttpResponse> m_response;
    std::optional<ByteAccount::Claim> m_claim; // Of the response, until it is written.
    bool m_closes = false; // The connection ends after this answer: the caller or a protocol error wants it.
};

/** Not thread-safe: all calls come from the thread of the socket's executor. */
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    using Clock = SuspendAwareClock;
    using RequestHandler = std::function<void(const std::shared_ptr<HttpExchange>&)>;
    using ClosedHandler = std::function<void(ServerConnection&)>;
    using RefusalHandler = std::function<void(const RefusedInput&)>;

    /** @p bytes, which may be null, bounds what the connection and its requests and responses hold. @p onRefused may be
     *  empty. */
    ServerConnection(boost::asio::ip::tcp::socket, const HttpServerLimits&, std::shared_ptr<ByteAccount> bytes,
        RequestHandler, ClosedHandler, RefusalHandler onRefused = {});

    void start();
    /** Closes the connection if a time limit has passed. Call it every 100 ms or so. */
    void checkTimeouts(Clock::time_point now);
    /** The answer to the newest request ends the connection from now on. */
    void drain() noexcept { m_isDraining = true; }
    /** Answers 503 to a request that has arrived in part, and ends the connection with that answer. */
    void rejectUnfinishedRequest();
    /** Closes the connection if nothing happens on it. */
    void closeIfIdle(CloseReason);
    /** Whether part of a request has been read and no byte has come for @p time. */
    bool isStalled(Clock::time_point now, Duration time);
    /** Answers 503 to a request that is stalled, and ends the connection with that answer. */
    void rejectStalledRequest() { rejectInput(RefusalCause::Connections); }
    /** Whether the last answer is written and only the end of the input is awaited. */
    bool isLingering() const noexcept { return m_isLingering; }
    /** Closes at once; callers of open exchanges count as gone. */
    void close(CloseReason);
    /** Complete once the connection is closed. */
    const ConnectionEnd& end() const noexcept { return m_end; }
    /** Without a request, also in what the socket holds, and not about to end. A request may still be on its way. Input
     *  that has been read and waits for its handler isn't seen: ask only if lastActivity() is some time ago. */
    bool isIdle();
    /** Whether every request that has arrived is answered, and the caller's machine has got the answers. */
    bool isSettled();
    /** When the last answer was written, or the connection was opened. */
    Clock::time_point lastActivity() const noexcept { return m_lastActivity; }

private:
    friend class HttpExchange;
    using Parser = BoundedParser<true, RequestBody>;

    void read();
    void onRead(const boost::system::error_code&, std::size_t bytes);
    /** Parses what has been read; returns false if no more may be read for now. */
    bool parse();
    void beginRequest();
    void pauseReading();
    /** Claims what the request takes once the parser has got all that has been read. Returns false if there is no room
     *  for it. */
    bool claimInput();
    void endRevoked(std::uint64_t request);
    void endRevoked(const std::weak_ptr<HttpExchange>& answered);
    void finishRequest();
    /** Answers a request that could not be read, behind the answers that are due before it, and ends the connection. */
    void rejectInput(RefusalCause);
    void answered(HttpExchange&);
    void writeNext();
    void writePiece();
    void onWritten(const boost::system::error_code&);
    void lingerAndClose();
    /** Notes the first reason and what the socket holds at that moment. */
    void noteEnd(CloseReason);
    void noteDroppedInput(std::size_t bytes);
    void sendContinue();
    void noteExpectation();
    void abandonExchanges();

    boost::asio::ip::tcp::socket m_socket;
    const HttpServerLimits& m_limits;
    const std::shared_ptr<ByteAccount> m_bytes;
    RequestHandler m_onRequest;
    ClosedHandler m_onClosed;
    RefusalHandler m_onRefused;
    std::optional<ByteAccount::Claim> m_connectionClaim; // Of what it holds without a request.
    boost::beast::flat_buffer m_buffer;
    std::unique_ptr<Parser> m_parser;
    std::unique_ptr<ByteAccount::Claim> m_claim; // Of the request that is read; null if there is no account.
    std::uint64_t m_request = 0; // Number of the request that is read, or was read last.
    std::size_t m_headBytes = 0; // Of it.
    std::uint64_t m_receivedBytes = 0; // Of it, with its head.
    Clock::time_point m_lastInput;
    std::deque<std::shared_ptr<HttpExchange>> m_exchanges; // Oldest first; answers leave in this order.
    std::optional<HttpResponse> m_writing; // The answer to m_exchanges.front() while it is written.
    std::unique_ptr<boost::beast::http::response_serializer<boost::beast::http::string_body>> m_serializer;
    Clock::time_point m_lastActivity; // Start of the request head that is being read, or end of the last answer.
    // The limit when the connection became idle. The caller may rely on it if a later configuration has a shorter one.
    Duration m_idleTimeout;
    bool m_isReadingRequest = false; // Part of a request has been read.
    bool m_isHeaderRead = false;
    bool m_owesContinue = false; // The caller waits for leave to send its body.
    bool m_isReading = false; // A read operation is open.
    bool m_acceptsRequests = true; // False once the connection is to end; further input is dropped.
    bool m_isDraining = false;
    bool m_isLingering = false;
    bool m_isClosed = false;
    std::optional<Clock::time_point> m_endDecided;
    ConnectionEnd m_end;
};

}
