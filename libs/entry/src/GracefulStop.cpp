#include "entry/GracefulStop.h"

#include "base/SteadyTime.h"

#include <algorithm>
#include <utility>

namespace peridot {

namespace {

    constexpr Duration stepInterval = std::chrono::milliseconds { 100 };
    constexpr Duration endStepInterval = std::chrono::milliseconds { 10 }; // While the last answers are written.
    // Until then callers learn of it by lookups only.
    constexpr Duration drainDelay = std::chrono::seconds { 1 };
    // A request takes up to this long over a slow link, so that connections may still get one that was sent before.
    constexpr Duration quietTime = std::chrono::milliseconds { 300 };
    // Callers with a cached lookup keep sending requests. Those from later than 3 s after the signal must not be cut,
    // and the process may notice the signal late.
    constexpr Duration newRequestTime = std::chrono::milliseconds { 2'700 };
    // The instance accepts connections, works on requests and runs until this long before it is killed.
    constexpr Duration acceptMargin = std::chrono::milliseconds { 700 };
    constexpr Duration answerMargin = std::chrono::milliseconds { 500 };
    constexpr Duration stopMargin = std::chrono::milliseconds { 150 };

}

GracefulStop::GracefulStop(boost::asio::io_context& context, TrafficSteering& steering, RequestGateway& gateway,
    HttpServer& callers, HttpServer& lookups, Duration lookupTime, EventLog& log, EndHandler onEnd)
    : m_steering(steering)
    , m_gateway(gateway)
    , m_callers(callers)
    , m_lookups(lookups)
    , m_lookupTime(lookupTime)
    , m_log(log)
    , m_onEnd(std::move(onEnd))
    , m_timer(context)
{
}

void GracefulStop::begin(Duration grace)
{
    // A process that got no time may find the signal long after it came.
    const auto signalled = m_gateway.lastRun();
    m_begun = signalled;
    m_killTime = signalled + grace;
    m_log.write(LogLevel::Info,
        LogLine("leaving")
            .add("open_requests", m_gateway.openRequests())
            .add("signal_wait_ms", steadyNow() - signalled));
    m_gateway.rejectNewRequestsFrom(signalled + std::min(grace / 2, newRequestTime));
    m_steering.setEnd(m_killTime - std::min(grace / 4, answerMargin));
    scheduleStep();
}

void GracefulStop::scheduleStep()
{
    m_timer.expires_after(m_requestsAtEnd ? endStepInterval : stepInterval);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            step();
    });
}

void GracefulStop::step()
{
    const auto now = steadyNow();
    const auto elapsed = now - *m_begun;
    if (elapsed >= drainDelay && !std::exchange(m_isDraining, true))
        drain();
    const bool isQuiet = elapsed > m_lookupTime && m_gateway.openRequests() == 0 && m_callers.isQuiet(quietTime);
    if (now >= m_killTime - acceptMargin || isQuiet) {
        // Connections that wait to be accepted may carry requests.
        if (m_callers.isAccepting()) {
            m_callers.stopAccepting();
            m_lookups.stopAccepting();
        } else if (m_requestsAtEnd || now >= m_killTime - stopMargin || isQuiet) {
            end();
            return;
        }
    }
    scheduleStep();
}

void GracefulStop::drain()
{
    m_log.write(LogLevel::Info,
        LogLine("draining")
            .add("connections", m_callers.connectionCount())
            .add("open_requests", m_gateway.openRequests()));
    m_callers.drain();
    m_lookups.drain();
}

void GracefulStop::end()
{
    if (!m_requestsAtEnd)
        m_requestsAtEnd = m_gateway.openRequests();
    // A late process may come here before the periodic check that ends the requests.
    m_gateway.endRequests();
    m_callers.rejectUnfinishedRequests();
    if (m_gateway.openRequests() > 0 || !m_callers.isSettled() || !m_lookups.isSettled()) {
        scheduleStep();
        return;
    }
    m_log.write(LogLevel::Info,
        LogLine("stopped").add("open_requests", *m_requestsAtEnd).add("connections", m_callers.connectionCount()));
    m_callers.closeAll();
    m_onEnd();
}

}
