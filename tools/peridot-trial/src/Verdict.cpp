#include "Verdict.h"

#include <fmt/format.h>

#include <numeric>

namespace peridot::trial {

void Verdict::violate(Rule rule, VirtualTime now, const std::string& detail)
{
    std::uint64_t& count = m_violations[static_cast<std::size_t>(rule)];
    if (++count <= m_printLimit)
        m_texts.push_back(fmt::format("violation rule={} at_s={:.3f} {}", enumName(rule), toSeconds(now), detail));
}

std::uint64_t Verdict::violations() const noexcept
{
    return std::accumulate(m_violations.begin(), m_violations.end(), std::uint64_t { 0 });
}

}
