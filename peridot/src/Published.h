// A value that one thread replaces and many read without waiting for work in progress.

#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace peridot {

/** Thread-safe. The lock is held for the copy of one pointer only. */
template <typename T> class Published {
public:
    explicit Published(std::shared_ptr<const T> value)
        : m_value(std::move(value))
    {
    }

    std::shared_ptr<const T> load() const
    {
        std::lock_guard lock(m_mutex);
        return m_value;
    }

    void store(std::shared_ptr<const T> value)
    {
        std::lock_guard lock(m_mutex);
        m_value.swap(value);
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const T> m_value;
};

}
