// Sliding window of buckets. A retry and the requests that pay for it leave the window in order, so that no request
// pays for more than `share` retries.

#include "routing/RetryBudget.h"

#include "base/Assert.h"

namespace peridot {

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
    , m_buckets {}
{
    PERIDOT_ASSERT(m_options.share >= 0 && m_options.window.count() >= static_cast<std::int64_t>(s_bucketCount),
        "a retry budget has a share and a window");
}

void RetryBudget::requestStarted(TimePoint now)
{
    advance(now);
    ++m_buckets[static_cast<std::size_t>(m_position) % s_bucketCount].requests;
    ++m_total.requests;
}

bool RetryBudget::tryRetry(TimePoint now)
{
    advance(now);
    if (static_cast<double>(m_total.retries + 1)
        > m_options.share * static_cast<double>(m_total.requests) + m_options.allowance)
        return false;
    ++m_buckets[static_cast<std::size_t>(m_position) % s_bucketCount].retries;
    ++m_total.retries;
    return true;
}

void RetryBudget::advance(TimePoint now)
{
    const auto bucketWidth = m_options.window / static_cast<std::int64_t>(s_bucketCount);
    const auto position = now.time_since_epoch() / bucketWidth;
    if (position >= m_position + static_cast<std::int64_t>(s_bucketCount)) {
        m_buckets.fill({});
        m_total = {};
        m_position = position;
    }
    while (m_position < position) {
        auto& oldest = m_buckets[static_cast<std::size_t>(++m_position) % s_bucketCount];
        m_total.requests -= oldest.requests;
        m_total.retries -= oldest.retries;
        oldest = {};
    }
}

}
