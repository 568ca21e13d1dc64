// Requests that found no budget units and may wait for the next grant.

#pragma once

#include "AdmittedRequest.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace peridot {

/** In order of arrival per workspace. Thread-safe. */
class UnitWaiters {
public:
    struct Waiting {
        AdmittedRequest request;
        TimePoint until {};
        Duration retryAfter { 0 }; // To be told if no units come.
    };

    /** False if the workspace has too many requests waiting already. */
    bool add(Waiting waiting)
    {
        std::lock_guard lock(m_mutex);
        auto& queue = m_queues[waiting.request.workspace];
        if (queue.size() >= s_longestQueue)
            return false;
        queue.push_back(std::move(waiting));
        return true;
    }

    bool hasWaiting(const WorkspaceId& workspace) const
    {
        std::lock_guard lock(m_mutex);
        auto it = m_queues.find(workspace);
        return it != m_queues.end() && !it->second.empty();
    }

    std::vector<WorkspaceId> workspaces() const
    {
        std::lock_guard lock(m_mutex);
        std::vector<WorkspaceId> result;
        for (const auto& [workspace, queue] : m_queues)
            result.push_back(workspace);
        return result;
    }

    /** Takes the first request for which @p isAffordable holds; it is asked only if one waits. */
    template <typename Predicate>
    std::optional<Waiting> takeFirstIf(const WorkspaceId& workspace, Predicate isAffordable)
    {
        std::lock_guard lock(m_mutex);
        auto it = m_queues.find(workspace);
        if (it == m_queues.end() || !isAffordable())
            return std::nullopt;
        return takeFront(it);
    }

    /** Takes the requests whose time is over. */
    std::vector<Waiting> takeExpired(TimePoint now)
    {
        std::lock_guard lock(m_mutex);
        std::vector<Waiting> expired;
        for (auto it = m_queues.begin(); it != m_queues.end();) {
            auto& queue = it->second;
            for (auto waiting = queue.begin(); waiting != queue.end();) {
                if (waiting->until > now) {
                    ++waiting;
                    continue;
                }
                expired.push_back(std::move(*waiting));
                waiting = queue.erase(waiting);
            }
            it = queue.empty() ? m_queues.erase(it) : std::next(it);
        }
        return expired;
    }

    std::optional<Waiting> remove(const RequestId& id)
    {
        std::lock_guard lock(m_mutex);
        for (auto it = m_queues.begin(); it != m_queues.end(); ++it) {
            for (auto waiting = it->second.begin(); waiting != it->second.end(); ++waiting) {
                if (waiting->request.head.id != id)
                    continue;
                auto result = std::move(*waiting);
                it->second.erase(waiting);
                if (it->second.empty())
                    m_queues.erase(it);
                return result;
            }
        }
        return std::nullopt;
    }

    bool isEmpty() const
    {
        std::lock_guard lock(m_mutex);
        return m_queues.empty();
    }

private:
    // At a quarter of a class target, more could not be served by the refill of any workspace that fits one instance.
    static constexpr std::size_t s_longestQueue = 256;

    using Queues = std::map<WorkspaceId, std::deque<Waiting>>;

    Waiting takeFront(Queues::iterator it)
    {
        auto waiting = std::move(it->second.front());
        it->second.pop_front();
        if (it->second.empty())
            m_queues.erase(it);
        return waiting;
    }

    mutable std::mutex m_mutex;
    Queues m_queues; // No empty queues.
};

}
