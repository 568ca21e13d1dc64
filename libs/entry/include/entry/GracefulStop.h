// The steps in which an instance leaves, from the signal to the end of the process: callers that still use it are
// answered, and learn from the answers that they have to go elsewhere.

#pragma once

#include "base/EventLog.h"
#include "entry/RequestGateway.h"
#include "http/HttpServer.h"
#include "steering/TrafficSteering.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <optional>

namespace peridot {

/** Not thread-safe: runs on the thread of the io_context. */
class GracefulStop {
public:
    using EndHandler = std::function<void()>;

    /** @p lookupTime: how long callers may use the answer to a lookup. @p onEnd is called once, when the process may
     *  end; the connections of callers are closed by then. */
    GracefulStop(boost::asio::io_context&, TrafficSteering&, RequestGateway&, HttpServer& callers, HttpServer& lookups,
        Duration lookupTime, EventLog&, EndHandler onEnd);

    /** The platform kills the process @p grace after its signal, which may have waited since the event loop ran last.
     *  Nothing else ends it while an answer is still written. */
    void begin(Duration grace);
    bool hasBegun() const noexcept { return m_begun.has_value(); }

private:
    void scheduleStep();
    void step();
    void drain();
    void end();

    TrafficSteering& m_steering;
    RequestGateway& m_gateway;
    HttpServer& m_callers;
    HttpServer& m_lookups;
    const Duration m_lookupTime;
    EventLog& m_log;
    const EndHandler m_onEnd;
    boost::asio::steady_timer m_timer;
    std::optional<TimePoint> m_begun;
    TimePoint m_killTime; // When the platform ends the process.
    bool m_isDraining = false; // Connections end with their next answer.
    std::optional<std::size_t> m_requestsAtEnd; // Open ones when the end came. Set while their answers are written.
};

}
