#include "ShiftWatch.h"

#include <fmt/format.h>

#include <algorithm>

namespace peridot::trial {

namespace {

    constexpr Duration shiftEnd = std::chrono::seconds { 10 };

}

ShiftWatch::ShiftWatch(const Deployment& deployment, Verdict& verdict, double cap)
    : m_deployment(deployment)
    , m_verdict(verdict)
    , m_cap(cap)
    , m_shifts(deployment.regions.size())
{
}

void ShiftWatch::lookedUp(std::size_t homeRegion, std::optional<std::size_t> region, VirtualTime now)
{
    if (!region || *region == homeRegion)
        return;
    ++m_shifted;
    Shift& it = m_shifts[*region];
    if (!it.isRunning || now - it.last > shiftEnd)
        it = { true, now, now, m_cap };
    const double ceiling = m_cap * (1 + toSeconds(now - it.since));
    it.level = std::min(ceiling, it.level + ceiling * toSeconds(now - it.last));
    it.last = now;
    const bool holds = it.level >= 1;
    if (holds)
        it.level -= 1;
    else
        ++m_excess;
    m_verdict.check(Rule::ShiftCap, holds, now, [&] {
        return fmt::format("from={} to={} ceiling_per_s={:.1f} since_s={:.3f}", m_deployment.regions[homeRegion],
            m_deployment.regions[*region], ceiling, toSeconds(it.since));
    });
}

}
