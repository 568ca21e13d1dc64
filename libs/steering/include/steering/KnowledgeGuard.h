// Decides whether an instance may still act on what it knows of servers, keys, evacuations and the configuration.

#pragma once

#include "base/Time.h"

#include <algorithm>
#include <optional>

namespace peridot {

struct KnowledgeGuardOptions {
    // The process was paused if it handled no event for this long. Its knowledge then counts as expired.
    Duration maximumPause = Duration::max();
    // Knowledge expires if no attempt to confirm it has ended for this long, although the process was running.
    Duration maximumAge = Duration::max();
    // Knowledge expires if a newer state has been known to exist for this long and is not here yet.
    Duration maximumLag = Duration::max();
};

/**
 * Knowledge is current if an attempt to confirm it has ended that began after the last pause and at most
 * KnowledgeGuardOptions::maximumAge ago. An attempt that found the store and all peers unreachable counts as well: the
 * instance then knows that no newer state can be had, and an outage of the store must not stop the service.
 *
 * An instance that knows of a newer state and doesn't have it acts on the one before for
 * KnowledgeGuardOptions::maximumLag at most.
 */
class KnowledgeGuard {
public:
    explicit KnowledgeGuard(KnowledgeGuardOptions options)
        : m_options(options)
    {
    }

    /** Has to be called with every event, before it is handled. */
    void eventBegins(TimePoint now) noexcept
    {
        if (m_lastEvent != TimePoint {} && now - m_lastEvent > m_options.maximumPause)
            m_requiredSince = now;
        m_lastEvent = std::max(m_lastEvent, now);
    }
    /** An attempt to confirm all knowledge that began at @p start has ended. */
    void confirmed(TimePoint start) noexcept { m_confirmedSince = std::max(m_confirmedSince, start); }

    /** Since when a newer state is known to exist that is not here yet. Empty if there is none. */
    void setBehindSince(std::optional<TimePoint> since) noexcept { m_behindSince = since; }

    bool isCurrent(TimePoint now) const noexcept
    {
        return m_confirmedSince >= m_requiredSince && now - m_confirmedSince <= m_options.maximumAge && !isBehind(now);
    }
    bool isBehind(TimePoint now) const noexcept { return m_behindSince && now - *m_behindSince > m_options.maximumLag; }
    /** Attempts that began earlier do not confirm the knowledge. */
    TimePoint requiredSince() const noexcept { return m_requiredSince; }

private:
    const KnowledgeGuardOptions m_options;
    TimePoint m_lastEvent {};
    TimePoint m_requiredSince {}; // End of the last pause.
    TimePoint m_confirmedSince {};
    std::optional<TimePoint> m_behindSince;
};

}
