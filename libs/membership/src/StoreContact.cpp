#include "membership/StoreContact.h"

#include <algorithm>

namespace peridot {

void StoreContact::holdReachable(TimePoint until) noexcept { m_heldUntil = std::max(m_heldUntil, until); }

bool StoreContact::isReachable(TimePoint now) const noexcept
{
    return now < m_heldUntil || (m_lastSuccess && now - *m_lastSuccess < s_reachableFor);
}

}
