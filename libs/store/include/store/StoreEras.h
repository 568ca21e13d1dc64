// The eras of the store as this instance has learned them: the one place that orders what the store and peers state.

#pragma once

#include "base/EventLog.h"
#include "store/StorePosition.h"

#include <functional>
#include <optional>
#include <string_view>

namespace peridot {

/**
 * Not thread-safe. A store that states no era has none, and its versions are compared as they are. What an instance of
 * an earlier build tells has no era either, although the store states one.
 */
class StoreEras {
public:
    /** @p onNewEra is called each time the store has turned out to have come back from an older copy. */
    StoreEras(std::function<void()> onNewEra, EventLog&);

    /** The newest era that was stated. Empty if none was. */
    std::optional<StoreEra> newest() const noexcept { return m_newest; }
    /** Eras that this instance has seen end. */
    std::uint64_t endedEras() const noexcept { return m_endedEras; }
    /** Takes an era that @p source states. */
    void learn(std::optional<StoreEra>, std::string_view source);
    /** Takes the era that a response of the store states. @p newestAtCall is the value of newest() when the call began.
     *  Returns false if the response is one from before the store came back; otherwise it belongs to the newest era. */
    bool acceptResponse(std::optional<StoreEra> stated, std::optional<StoreEra> newestAtCall);
    /** Returns the position that a peer has stated. If the peer states no era, its version belongs to the newest one as
     *  long as this instance has seen no era end; after that the version orders nothing, and there is no result. */
    std::optional<StorePosition> resolve(const StorePosition&) const noexcept;

private:
    const std::function<void()> m_onNewEra;
    EventLog& m_log;
    std::optional<StoreEra> m_newest;
    std::uint64_t m_endedEras = 0;
    bool m_hasReportedUnexpected = false;
};

}
