#include "EventLoop.h"

#include <algorithm>
#include <utility>

namespace peridot::trial {

void EventLoop::at(VirtualTime time, Event event)
{
    m_heap.push_back({ std::max(time, m_now), m_sequence++, std::move(event) });
    std::push_heap(m_heap.begin(), m_heap.end(), Later {});
}

void EventLoop::runUntil(VirtualTime end)
{
    while (!m_heap.empty() && m_heap.front().time <= end) {
        std::pop_heap(m_heap.begin(), m_heap.end(), Later {});
        Entry entry = std::move(m_heap.back());
        m_heap.pop_back();
        m_now = entry.time;
        ++m_executed;
        entry.event();
    }
    m_now = std::max(m_now, end);
}

}
