// Carries out the decisions of TrafficSteering: takes callers' requests, sends them to backend servers and answers.

#pragma once

#include "base/EventLog.h"
#include "entry/CallerProtocol.h"
#include "entry/ServerConnections.h"
#include "http/HttpServer.h"
#include "steering/TrafficSteering.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <unordered_map>

namespace peridot {

/** Not thread-safe: runs on the thread of the io_context. */
class RequestGateway {
public:
    RequestGateway(boost::asio::io_context&, TrafficSteering&, const CallerProtocol&, ServerConnections&, EventLog&);
    ~RequestGateway();
    RequestGateway(const RequestGateway&) = delete;
    RequestGateway& operator=(const RequestGateway&) = delete;

    void handle(const std::shared_ptr<HttpExchange>&);
    /** From now on requests are rejected, because the instance would stop before they could be answered. */
    void rejectNewRequests() noexcept { m_refusesNew = true; }
    std::size_t openRequests() const noexcept { return m_requests.size(); }

private:
    struct OpenRequest {
        std::shared_ptr<HttpExchange> exchange;
        std::string id;
        std::shared_ptr<ClientConnection> connection; // Of the running send.
        std::optional<HttpResponse> response; // Of the send that has finished.
    };

    void perform(const SteeringActions&);
    void perform(const SendToServer&);
    void perform(const CancelSend&);
    void perform(const DeliverResponse&);
    void perform(const RejectRequest&);
    void sendFinished(RequestHandle, const std::shared_ptr<ClientConnection>&, ExchangeResult);
    void report(RequestHandle, const SendReport&);
    void answer(RequestHandle, HttpResponse);
    void scheduleTick();

    boost::asio::io_context& m_context;
    TrafficSteering& m_steering;
    const CallerProtocol& m_protocol;
    ServerConnections& m_connections;
    EventLog& m_log;
    boost::asio::steady_timer m_tickTimer;
    std::unordered_map<RequestHandle, OpenRequest> m_requests;
    RequestHandle m_lastHandle = 0;
    bool m_refusesNew = false;
};

}
