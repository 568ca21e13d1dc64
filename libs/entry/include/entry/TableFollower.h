// Keeps up with one table of the store: reads it whole, then its changes, from a peer that reads them or by itself.

#pragma once

#include "base/EventLog.h"
#include "base/Time.h"
#include "entry/TableRelay.h"
#include "store/TableFeed.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace peridot {

struct TableFollowerOptions {
    std::string table;
    Duration wait { 0 }; // How long the store or a peer may hold an answer until there is a change.
    Duration storeCallPause { 0 }; // Between two calls of the store, however many changes there are.
    Duration pullPause = std::chrono::milliseconds { 100 }; // Between two pulls from a peer.
    // A call of the store that takes this much longer than its wait no longer vouches for what peers are told.
    Duration callOverdueMargin = std::chrono::milliseconds { 400 };
    Duration minimumRetryDelay = std::chrono::milliseconds { 100 };
    Duration maximumRetryDelay = std::chrono::seconds { 1 };
    Duration readerPullInterval = std::chrono::milliseconds { 300 }; // Between two pulls while the store is left alone.
};

/** Not thread-safe. */
class TableFollower {
public:
    struct Handlers {
        /** Replaces all that was known. @p version is the store's at the time of the read. */
        std::function<void(const std::vector<StoreRow>&, std::uint64_t version)> onSnapshot;
        std::function<void(const std::vector<StoreRow>&)> onChanges;
        std::function<void(bool isReached)> onContactChanged; // Only when it changes.
        /** Whether a row that was read says anything that this instance does not know. Empty: each one does. */
        std::function<bool(const StoreRow&)> isSignificant {};
    };

    TableFollower(boost::asio::io_context&, TableStore&, TableRelay&, TableFollowerOptions, Handlers, EventLog&);
    ~TableFollower();
    TableFollower(const TableFollower&) = delete;
    TableFollower& operator=(const TableFollower&) = delete;

    void start();
    bool isReached() const noexcept { return m_isReached; }
    /** Start of the newest read of the store, here or by a peer, that succeeded: what is known is at least as new. */
    TimePoint asOf() const noexcept { return m_asOf; }

private:
    void readSnapshot(const std::string& firstKey);
    void pullOrReadChanges();
    void readUnlessBackingOff();
    void pullChanges();
    void readChanges();
    void markSignificant(StoreRows&) const;
    void applyChanges(const StoreRows&, TimePoint asOf);
    void updateSucceeded(TimePoint asOf);
    void storeCallFailed(const Error&, std::function<void()> next);
    void callAfter(Duration, std::function<void()> next);
    void startOverdueTimer();

    TableStore& m_store;
    TableRelay& m_relay;
    const TableFollowerOptions m_options;
    const Handlers m_handlers;
    EventLog& m_log;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_overdueTimer; // Runs while a call of the store is open.
    std::mt19937_64 m_random { std::random_device {}() };
    std::vector<StoreRow> m_snapshotRows; // While the table is read in parts.
    std::uint64_t m_version = 0;
    Duration m_retryDelay { 0 };
    TimePoint m_callStart {};
    TimePoint m_asOf {};
    bool m_isReached = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}
