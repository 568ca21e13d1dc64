// The endpoint for operators. Every request must carry the operator key; the node decides the rest.

#pragma once

#include "HttpListener.h"
#include "NodeDriver.h"

#include <atomic>
#include <string>

namespace peridot {

class OperatorListener {
public:
    struct Identity {
        std::string address;
        TlsFiles tls;
        std::string requestIdPrefix;
        std::string operatorKey;
    };

    OperatorListener(Identity, NodeDriver&, EventLog&);

    Result<void> open() { return m_listener.open(); }
    void close() { m_listener.close(); }

private:
    void handle(const web::http::http_request&);
    void operate(const web::http::http_request&, const RequestId&, const std::string& body);
    bool hasOperatorKey(const web::http::http_request&) const;

    const Identity m_identity;
    NodeDriver& m_driver;
    EventLog& m_log;
    std::atomic<std::uint64_t> m_requestCount { 0 };
    HttpListener m_listener;
};

}
