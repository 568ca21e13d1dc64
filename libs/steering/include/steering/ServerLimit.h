// The limit that a backend server names in its responses.

#pragma once

#include "base/Time.h"
#include "steering/ServerStatement.h"

#include <algorithm>
#include <cstddef>

namespace peridot {

/** Requests per second that one start of a server takes from all instances together, as it has last stated. */
class ServerLimit {
public:
    /** Records what a response states whose request was sent at @p sent. Returns whether the limit has changed.
     *  Responses may overtake each other: a tighter limit counts from the receipt, a looser one from the time of the
     *  request, so that an older response doesn't lift a limit. */
    bool state(double perSecond, TimePoint sent, TimePoint received)
    {
        return record(perSecond, perSecond > m_perSecond ? sent : received, true);
    }

    /** Records a statement that another instance has received. Returns whether the limit has changed. */
    bool learn(const ServerNotice& notice, TimePoint now)
    {
        return record(notice.requestsPerSecond, now - notice.age, false);
    }

    bool isSet() const noexcept { return m_perSecond < unlimitedRate; }
    double perSecond() const noexcept { return m_perSecond; }
    /** Rate to send at. It is never 0, because only a response tells that a limit has ended. */
    double rate() const noexcept { return std::max(m_perSecond, s_minimumRate); }
    /** Counts the times that nobody had a response of the server for long. Others send then, because those who may have
     *  no requests for it, and the limit may have ended. */
    std::size_t turn(TimePoint now) const noexcept
    {
        return now <= m_statedAt ? 0 : static_cast<std::size_t>((now - m_statedAt) / s_turnTime);
    }
    Duration age(TimePoint now) const noexcept { return std::max(now - m_statedAt, Duration { 0 }); }
    /** Whether the other instances have to be told: the newest statement was made to this instance, and it names a
     * limit or one has ended not long ago. */
    bool isToBeTold(TimePoint now) const noexcept
    {
        return m_isOwn && (isSet() || (m_hasBeenSet && now - m_lastSet < s_endMemory));
    }

private:
    static constexpr double s_minimumRate = 0.2;
    static constexpr Duration s_turnTime = std::chrono::seconds { 10 };
    static constexpr Duration s_endMemory = std::chrono::seconds { 30 };

    bool record(double perSecond, TimePoint statedAt, bool isOwn)
    {
        if (statedAt <= m_statedAt)
            return false;
        if (isSet()) {
            m_hasBeenSet = true;
            m_lastSet = statedAt;
        }
        m_statedAt = statedAt;
        m_isOwn = isOwn;
        const bool hasChanged = perSecond != m_perSecond;
        m_perSecond = perSecond;
        return hasChanged;
    }

    double m_perSecond = unlimitedRate;
    TimePoint m_statedAt {};
    bool m_isOwn = false;
    bool m_hasBeenSet = false; // Before the newest statement, at m_lastSet for the last time.
    TimePoint m_lastSet {};
};

}
