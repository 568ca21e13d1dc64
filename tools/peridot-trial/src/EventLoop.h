// Virtual time: a queue of events that run in the order of their time, and of their insertion where times are equal.

#pragma once

#include "base/Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace peridot::trial {

/** Time since the start of the run. It is the judge's clock; instances see their own drifting clocks. */
using VirtualTime = Duration;

class EventLoop {
public:
    using Event = std::function<void()>;

    VirtualTime now() const noexcept { return m_now; }
    std::uint64_t executed() const noexcept { return m_executed; }

    /** Runs @p event at @p time, or at once if @p time is past. */
    void at(VirtualTime time, Event event);
    void after(Duration delay, Event event) { at(m_now + delay, std::move(event)); }
    /** Runs all events up to and including @p end. */
    void runUntil(VirtualTime end);

private:
    struct Entry {
        VirtualTime time;
        std::uint64_t sequence;
        Event event;
    };
    struct Later {
        bool operator()(const Entry& left, const Entry& right) const noexcept
        {
            return left.time != right.time ? left.time > right.time : left.sequence > right.sequence;
        }
    };

    // A heap over a vector instead of std::priority_queue, whose top() can't be moved from.
    std::vector<Entry> m_heap;
    VirtualTime m_now { 0 };
    std::uint64_t m_sequence = 0;
    std::uint64_t m_executed = 0;
};

}
