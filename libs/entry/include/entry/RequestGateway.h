// I/O around TrafficSteering: passes callers' requests to it and performs the actions that it returns, which send
// requests to backend servers, cancel sends and answer callers.

#pragma once

#include "base/EventLog.h"
#include "entry/CallerProtocol.h"
#include "entry/ServerConnections.h"
#include "http/HttpServer.h"
#include "steering/TrafficSteering.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace peridot {

/** Not thread-safe: runs on the thread of the io_context. */
class RequestGateway {
public:
    /** @p peers are the connections to other entry instances. */
    RequestGateway(boost::asio::io_context&, TrafficSteering&, const CallerProtocol&, ServerConnections& servers,
        ServerConnections& peers, EventLog&);
    ~RequestGateway();
    RequestGateway(const RequestGateway&) = delete;
    RequestGateway& operator=(const RequestGateway&) = delete;

    /** Accepts a request and answers it when TrafficSteering has decided; a malformed one is answered at once. */
    void handle(const std::shared_ptr<HttpExchange>&);
    /** Rejects the requests that come from then on with RejectReason::Leaving, because the instance will stop before it
     *  could answer them. */
    void rejectNewRequestsFrom(TimePoint time) noexcept { m_rejectsFrom = time; }
    /** Answers all open requests, those to which a response has arrived within the next turns of the io_context. */
    void endRequests();
    /** The last time at which the event loop is known to have run. What it finds now may have waited since then. */
    TimePoint lastRun() const noexcept { return m_lastRun; }
    std::size_t openRequests() const noexcept { return m_requests.size(); }
    /** How late the periodic check of the gateway ran: the time for which due work waits for the process. */
    const LatencyHistogram& loopDelays() const noexcept { return m_loopDelays; }

private:
    struct OpenRequest {
        std::shared_ptr<HttpExchange> exchange;
        std::string id;
        std::shared_ptr<ClientConnection> connection; // Connection of the running send; null if none is running.
        bool isAtPeer = false; // The last send passed the request to another entry instance.
        std::optional<HttpResponse> response; // Response of the last finished send, if there was one.
        std::uint64_t content = 0; // As in CallerRequest.
        BackendServerId server; // Server of the last send, the start of it that was listed, and its address.
        std::int64_t incarnation = 0;
        std::string address;
        std::chrono::milliseconds sentAt { 0 }; // As in LostSend.
        // Whether one of the sends has ended with a response of a server that ran the request. A check whether a server
        // has ended may have its result after that, and after the request was answered.
        std::shared_ptr<bool> hasResponse = std::make_shared<bool>(false);
    };

    void perform(const SteeringActions&);
    void perform(const SendToServer&);
    void perform(const PassToInstance&);
    void perform(const ProbeServer&);
    void perform(const CheckServer&);
    void perform(const CancelSend&);
    void perform(const WithdrawSend&);
    void perform(const DeliverResponse&);
    void perform(const RejectRequest&);
    /** Reports a send later that ended before a byte was sent. */
    void reportUnsent(RequestHandle, DispatchResult, std::string detail);
    void passFinished(RequestHandle, const std::shared_ptr<ClientConnection>&, ExchangeResult);
    void sendFinished(RequestHandle, const std::shared_ptr<ClientConnection>&, ExchangeResult);
    /** Tells TrafficSteering whether the server of the request's last send, which ended without a response, accepts
     *  connections. */
    void checkServer(const OpenRequest&);
    /** Passes the report to TrafficSteering and performs the actions that it returns. */
    void report(RequestHandle, const SendReport&);
    void answer(RequestHandle, HttpResponse);
    void scheduleTick();
    void tick();
    void endOverdue();
    /** Whether input that may belong to the response to an overdue request is still to be handled. */
    bool mayHaveResponse(RequestHandle);
    void noteLoopDelay(Duration);

    boost::asio::io_context& m_context;
    TrafficSteering& m_steering;
    const CallerProtocol& m_protocol;
    ServerConnections& m_connections;
    ServerConnections& m_peers;
    EventLog& m_log;
    boost::asio::steady_timer m_tickTimer;
    std::unordered_map<RequestHandle, OpenRequest> m_requests;
    RequestHandle m_lastHandle = 0;
    LatencyHistogram m_loopDelays;
    TimePoint m_lastRun;
    std::optional<TimePoint> m_rejectsFrom; // See rejectNewRequestsFrom().
    bool m_hasSparedRequests = false; // Some requests are overdue, but may have a response.
    bool m_isEndOverdueDue = false; // endOverdue() runs in the next turn of the io_context.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}
