// The clock and the timers of a component that waits, as an interface, so that a test can drive the time.

#pragma once

#include "base/SteadyTime.h"
#include "base/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace peridot {

/** Not thread-safe. */
class Timer {
public:
    Timer() = default;
    virtual ~Timer() = default;
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    /** Calls @p handler once after @p delay, never from within this function. Cancels an earlier start. */
    virtual void start(Duration delay, std::function<void()> handler) = 0;
    /** A handler that is due already may still be called, also after the destruction of the timer. */
    virtual void cancel() = 0;
    /** Time since the newest start was due; negative before that. */
    virtual Duration lateness() const = 0;
};

class Timers {
public:
    Timers() = default;
    virtual ~Timers() = default;
    Timers(const Timers&) = delete;
    Timers& operator=(const Timers&) = delete;

    virtual TimePoint now() const noexcept = 0;
    virtual std::unique_ptr<Timer> makeTimer() = 0;
};

/** The clock of the machine and the timers of an io_context, whose thread calls the handlers. */
class SteadyTimers final : public Timers {
public:
    explicit SteadyTimers(boost::asio::io_context& context)
        : m_context(context)
    {
    }

    TimePoint now() const noexcept override { return steadyNow(); }
    std::unique_ptr<Timer> makeTimer() override { return std::make_unique<SteadyTimer>(m_context); }

private:
    class SteadyTimer final : public Timer {
    public:
        explicit SteadyTimer(boost::asio::io_context& context)
            : m_timer(context)
        {
        }

        void start(Duration delay, std::function<void()> handler) override
        {
            m_timer.expires_after(delay);
            m_timer.async_wait([handler = std::move(handler)](const boost::system::error_code& ec) {
                if (!ec)
                    handler();
            });
        }

        void cancel() override { m_timer.cancel(); }

        Duration lateness() const override
        {
            return std::chrono::duration_cast<Duration>(
                boost::asio::steady_timer::clock_type::now() - m_timer.expiry());
        }

    private:
        boost::asio::steady_timer m_timer;
    };

    boost::asio::io_context& m_context;
};

}
