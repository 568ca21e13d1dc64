// The endpoint for callers: lookups, requests, health and metrics.

#pragma once

#include "ForwardedRequest.h"
#include "HttpListener.h"

#include <atomic>
#include <functional>
#include <string>

namespace peridot {

class CallerListener {
public:
    struct Identity {
        std::string address;
        TlsFiles tls;
        std::string requestIdPrefix; // Differs at each start of each instance.
        Duration defaultTimeout;
        Duration longestTimeout;
    };

    /** @p writeMetrics appends the metrics of the rest of the daemon. */
    CallerListener(Identity, const ForwardingContext&, std::function<void(std::string&)> writeMetrics);

    Result<void> open() { return m_listener.open(); }
    void close() { m_listener.close(); }

private:
    void handle(const web::http::http_request&);
    void handleLookup(const web::http::http_request&, const RequestId&);
    void handleHealth(const web::http::http_request&, const RequestId&);
    void handleMetrics(const web::http::http_request&, const RequestId&);
    void handleService(const web::http::http_request&, const RequestId&);
    RequestId nextRequestId();

    const Identity m_identity;
    const ForwardingContext m_context;
    const std::function<void(std::string&)> m_writeMetrics;
    std::atomic<std::uint64_t> m_requestCount { 0 };
    HttpListener m_listener;
};

}
