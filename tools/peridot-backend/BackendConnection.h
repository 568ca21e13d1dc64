// One connection to a backend server. It handles one request at a time, from reading to the response.
//
// cpprestsdk's listener reports neither the number of connections nor a caller that goes away, and it can't truncate a
// response, so the servers' ports use Boost.Asio with Boost.Beast as the HTTP parser.

#pragma once

#include "ServedServer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace peridot {

class BackendConnection : public std::enable_shared_from_this<BackendConnection> {
public:
    using Response = ServedServer::Response;

    BackendConnection(boost::asio::ip::tcp::socket, ServedServer&);

    void start() { readRequest(); }
    /** Starts the request that waited for a slot. */
    void startRun();
    /** Sends @p response instead of the one held back, which is returned in its place. */
    bool exchangeHeldResponse(Response& response);

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    void readRequest();
    void requestRead(const boost::system::error_code&);
    void handle();
    void readTarget();
    std::optional<TimePoint> readDeadline(TimePoint now) const;
    bool isBodyDamaged() const;
    void admit();
    void watchForDisconnect();
    void disconnected();
    void waitExpired();
    void runExpired();
    void runEnded();
    void finish(Response);
    void hold(Response);
    void sendHeld();
    void send(Response);
    void sendTruncated(const Response&);
    void written(const boost::system::error_code&, bool keepsAlive);
    bool drawsClose(double probability);
    void shed();
    void close();
    /** Calls @p next after @p delay, unless the request is over by then. */
    void after(Duration delay, void (BackendConnection::*next)());

    Response makeResponse(unsigned status, std::string body) const;
    Response makeError(unsigned status, const std::string& code, const std::string& message) const;
    Response makeResult() const;

    boost::asio::ip::tcp::socket m_socket;
    ServedServer& m_server;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    Request m_request;
    std::string m_path;
    std::map<std::string, std::string> m_query;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_step = 0; // Grows with every step of a request; a timer or watch of an earlier step is void.
    std::uint64_t m_served = 0; // Requests read on this connection.
    std::optional<JobId> m_job; // Set while the request waits or runs.
    bool m_isRunning = false;
    std::optional<TimePoint> m_deadline;
    std::optional<Response> m_held; // Waits for a response to be exchanged with.
    bool m_isClosed = false;
};

}
