// Follows one table of the store: reads a snapshot, then the changes, either from the store or from a peer instance
// that reads the store for its region.

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
    Duration wait { 0 }; // Maximum time that the store or a peer may delay its response while there is no change.
    // Time from the response of the store to the next call, also if more changes are pending.
    Duration storeCallPause { 0 };
    Duration pullPause = std::chrono::milliseconds { 100 }; // Time from the response of a peer to the next pull.
    // When a call of the store exceeds its wait by this time, this instance discards its history of the table, so that
    // peers do not rely on rows that no recent read has confirmed.
    Duration callOverdueMargin = std::chrono::milliseconds { 400 };
    Duration minimumRetryDelay = std::chrono::milliseconds { 100 };
    Duration maximumRetryDelay = std::chrono::seconds { 1 };
    // Time between two searches for a reader, while this instance may not call the store after a failure and can pull
    // from no reader.
    Duration readerPullInterval = std::chrono::milliseconds { 300 };
};

/** Not thread-safe. */
class TableFollower {
public:
    struct Handlers {
        /** Receives all rows of the table, which replace those received before. @p version is the version of the store
         *  at the time of the read. */
        std::function<void(const std::vector<StoreRow>&, std::uint64_t version)> onSnapshot;
        std::function<void(const std::vector<StoreRow>&)> onChanges;
        /** Called when isReached() changes. */
        std::function<void(bool isReached)> onContactChanged;
        /** Returns whether a row that was read from the store contains anything new to this instance, unlike for
         *  example a renewed heartbeat. If empty, every row is significant. Insignificant rows are not passed to
         *  onChanges. */
        std::function<bool(const StoreRow&)> isSignificant {};
    };

    TableFollower(boost::asio::io_context&, TableStore&, TableRelay&, TableFollowerOptions, Handlers, EventLog&);
    ~TableFollower();
    TableFollower(const TableFollower&) = delete;
    TableFollower& operator=(const TableFollower&) = delete;

    void start();
    /** Whether a read of the table, from the store or a peer, has succeeded since the last failed call of the store. */
    bool isReached() const noexcept { return m_isReached; }
    /** Start time of the newest successful read of the store, by this instance or by the peer that it pulled from. The
     *  received rows are at least as new as this time. */
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
    boost::asio::steady_timer m_overdueTimer; // Runs while a call for changes of the table is in flight.
    std::mt19937_64 m_random { std::random_device {}() };
    std::vector<StoreRow> m_snapshotRows; // Rows received so far while a snapshot is read in several parts.
    std::uint64_t m_version = 0;
    Duration m_retryDelay { 0 };
    TimePoint m_callStart {};
    TimePoint m_asOf {};
    bool m_isReached = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}
