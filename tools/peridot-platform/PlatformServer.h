// HTTP interface of the platform's stand-in, described in docs/stand-ins.md.

#pragma once

#include "Platform.h"
#include "base/EventLog.h"
#include "program/HttpEndpoint.h"

#include <boost/asio/steady_timer.hpp>

#include <list>
#include <memory>
#include <mutex>
#include <set>

namespace peridot {

/** Thread-safe. */
class PlatformServer {
public:
    PlatformServer(const PlatformSettings&, EventLog&);
    ~PlatformServer();
    PlatformServer(const PlatformServer&) = delete;
    PlatformServer& operator=(const PlatformServer&) = delete;

    Result<void> open();
    /** Answers held requests with 504 and closes the endpoint. */
    void close();

private:
    struct HeldRequest {
        TimePoint since;
        HttpEndpoint::Respond respond;
    };

    void handle(const HttpRequest&, const HttpEndpoint::Respond&);
    HttpReply handleFaults(const HttpRequest&);
    HttpReply handleInstance(const HttpRequest&, const std::string& name);
    HttpReply putInstance(const std::string& name, const std::string& body);
    HttpReply setInstanceState(const std::string& name, const std::string& body);
    void handleStore(const HttpRequest&, const HttpEndpoint::Respond&);
    void runLater(StoreRequest, Duration delay, HttpEndpoint::Respond);
    void run(const StoreRequest&, const HttpEndpoint::Respond&);
    void hold(HttpEndpoint::Respond);
    void releaseOld();
    static void release(const std::list<HeldRequest>&);

    EventLog& m_log;
    std::mutex m_mutex;
    Platform m_platform; // Guarded by m_mutex.
    // Requests whose callers must see no answer. They are answered with 504 when they are old, because cpprestsdk's
    // listener closes only once each request has been answered. Guarded by m_mutex.
    std::list<HeldRequest> m_held;
    bool m_isClosing = false; // Guarded by m_mutex.
    std::set<std::shared_ptr<boost::asio::steady_timer>> m_delayed; // Of delayed requests. Guarded by m_mutex.
    HttpEndpoint m_endpoint;
};

}
