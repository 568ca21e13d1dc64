#include "store/StoreEras.h"

#include "base/LogLine.h"

#include <utility>

namespace peridot {

StoreEras::StoreEras(std::function<void()> onNewEra, EventLog& log)
    : m_onNewEra(std::move(onNewEra))
    , m_log(log)
{
}

void StoreEras::learn(std::optional<StoreEra> era, std::string_view source)
{
    if (era <= m_newest)
        return;
    const auto ended = std::exchange(m_newest, era);
    if (!ended)
        return;
    ++m_endedEras;
    m_log.write(
        LogLevel::Warning, LogLine("store_restored").add("era", *era).add("ended_era", *ended).add("source", source));
    m_onNewEra();
}

bool StoreEras::acceptResponse(std::optional<StoreEra> stated, std::optional<StoreEra> newestAtCall)
{
    if (stated >= m_newest) {
        learn(stated, "store");
        return true;
    }
    if (newestAtCall < m_newest)
        return false;
    // Rejecting all further responses would leave this instance without the store.
    if (!std::exchange(m_hasReportedUnexpected, true)) {
        LogLine line("store_era_unexpected");
        line.add("newest", *m_newest);
        if (stated)
            line.add("stated", *stated);
        m_log.write(LogLevel::Warning, line);
    }
    return true;
}

std::optional<StorePosition> StoreEras::resolve(const StorePosition& position) const noexcept
{
    if (position.era || position.version == 0)
        return position;
    if (m_endedEras > 0)
        return std::nullopt;
    return StorePosition { position.version, m_newest };
}

}
