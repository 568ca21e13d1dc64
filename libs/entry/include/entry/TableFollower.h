// Follows one table of the store: reads a snapshot, then the changes, either from the store or from a peer instance
// that reads the store for its region.

#pragma once

#include "base/EventLog.h"
#include "base/Time.h"
#include "entry/TableRelay.h"
#include "entry/Timers.h"
#include "store/StoreEras.h"
#include "store/TableFeed.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace peridot {

struct TableFollowerOptions {
    std::string table;
    Duration wait { 0 }; // Maximum time that the store or a peer may delay its response while there is no change.
    // Time from the response of the store to the next call, also if more changes are pending.
    Duration storeCallPause { 0 };
    // Upper bound on the wait of a pull. A pull is open for so long when its reader has stopped.
    Duration maximumPullWait = std::chrono::seconds { 1 };
    Duration pullPause = std::chrono::milliseconds { 100 }; // Time from the response of a peer to the next pull.
    // When a call of the store exceeds its wait by this time, this instance discards its history of the table, so that
    // peers do not rely on rows that no recent read has confirmed.
    Duration callOverdueMargin = std::chrono::milliseconds { 400 };
    Duration minimumRetryDelay = std::chrono::milliseconds { 100 };
    Duration maximumRetryDelay = std::chrono::seconds { 1 };
    // Time between two searches for a reader, while this instance may not call the store after a failure and can pull
    // from no reader.
    Duration readerPullInterval = std::chrono::milliseconds { 300 };
    // Time beyond its own limit after which an operation counts as lost. It covers the time limit of a store call.
    Duration operationOverdueMargin = std::chrono::milliseconds { 1'500 };
    // Rows whose keys are not before this one are small and urgent. They are read by themselves while a long response
    // of the store comes in. Empty: there are none.
    std::string urgentRowsFrom {};
    Duration urgentReadInterval = std::chrono::milliseconds { 300 };
};

/** All rows of a table at one moment. */
struct TableSnapshot {
    const std::vector<StoreRow>& rows;
    StorePosition position; // Of the store at the time of the read.
    // The store has come back from an older copy since the rows received before. What was written to it since that copy
    // is missing until it is written again.
    bool isRestored = false;
};

/** Not thread-safe. Rows whose large value has to be fetched are passed to the handlers once it is here; all other rows
 * are passed on at once, so that a row may be followed by one with an earlier position. Rows of one key keep their
 * order.
 *
 * After storeRestored(), the rows received before are replaced by the whole table of the new era,
 * read from the store or pulled from a reader that has read it. */
class TableFollower {
public:
    struct Handlers {
        /** Receives all rows of the table, which replace those received before. */
        std::function<void(const TableSnapshot&)> onSnapshot;
        std::function<void(const std::vector<StoreRow>&)> onChanges;
        /** Called when isReached() changes. */
        std::function<void(bool isReached)> onContactChanged;
        /** Returns whether a row that was read from the store contains anything new to this instance, unlike for
         *  example a renewed heartbeat. If empty, every row is significant. Insignificant rows are not passed to
         *  onChanges. */
        std::function<bool(const StoreRow&)> isSignificant {};
    };

    TableFollower(
        Timers&, TableStore&, TableRelay&, ValueExchange&, const StoreEras&, TableFollowerOptions, Handlers, EventLog&);
    ~TableFollower();
    TableFollower(const TableFollower&) = delete;
    TableFollower& operator=(const TableFollower&) = delete;

    void start();
    const std::string& table() const noexcept { return m_options.table; }
    /** Abandons an operation that is overdue, for example because its result was lost or the process was suspended, and
     *  begins anew. Has to be called several times per second. */
    void checkProgress(TimePoint now);
    /** Abandons an operation that began before @p since, because its result would not show the state of the table after
     *  that time, and asks for a response without a wait. */
    void confirmSince(TimePoint since);
    /** Has to be called when StoreEras has learned a new era. Abandons an operation that began in an earlier one. */
    void storeRestored();
    /** Whether a read of the table, from the store or a peer, has succeeded since the last failed call of the store. */
    bool isReached() const noexcept { return m_isReached; }
    /** Start time of the newest successful read of the store, by this instance or by the peer that it pulled from. The
     *  received rows are at least as new as this time. */
    TimePoint asOf() const noexcept { return m_asOf; }
    /** Start time of the newest attempt to confirm the rows that has ended, whether it succeeded or the store and the
     *  readers could not be reached. A process that was paused has a confirmation that is older than the pause. */
    TimePoint lastAttempt() const noexcept { return m_lastAttempt; }
    /** Since when a change is known to exist that has not been passed to the handlers, because its large value or the
     *  response that holds it is still coming in. Empty if there is none. */
    std::optional<TimePoint> behindSince() const;
    /** Number of operations that checkProgress() has abandoned. */
    std::uint64_t abandonedOperations() const noexcept { return m_abandonedOperations; }

private:
    /** Identifies an operation: a call of the store, a pull or a wait. A follower has one at any time after start(),
     * and ignores the result of each earlier one. */
    using OperationId = std::uint64_t;

    /** A row whose large value is not here yet. */
    struct AwaitedRow {
        StoreRow row;
        PeerInstance teller; // That has told of it.
        TimePoint known;
        std::optional<ValueExchange::FetchId> fetch {}; // Empty if it has failed.
        TimePoint nextAttempt {}; // To read it from the store, after that.
    };

    /** Invariant: a fetch that has begun goes on when the row changes again, so that an instance for which values come
     * in slower than they change still gets on. Only the newest of the later rows is kept. */
    struct AwaitedKey {
        AwaitedRow first;
        std::optional<AwaitedRow> newest {};
    };

    OperationId beginOperation(const char* name, Duration limit);
    /** How long the store or a peer may delay the next response. */
    Duration wait() const noexcept { return m_needsConfirmation ? Duration { 0 } : m_options.wait; }
    void confirm();
    /** Abandons the current operation and begins a new one. */
    void beginAnew();
    /** Whether the rows are of the newest era that is known. */
    bool isOfNewestEra() const noexcept { return m_hasSnapshot && m_position.era == m_eras.newest(); }
    bool isCurrent(OperationId id) const noexcept { return id == m_operation; }
    /** The attempt to confirm the rows that began with the current operation has ended. */
    void attemptEnded() { m_lastAttempt = std::max(m_lastAttempt, m_operationStart); }
    void readSnapshot(const std::string& firstKey);
    void applySnapshot(const std::vector<StoreRow>&, const StorePosition&, TimePoint asOf, const PeerInstance* teller);
    void pullOrReadChanges();
    void readUnlessBackingOff();
    void pullChanges();
    void readChanges();
    void markSignificant(StoreRows&) const;
    void applyChanges(const StoreRows&, TimePoint asOf, const PeerInstance* teller);
    /** Names the large values of rows that were read from the store, and keeps them for peers. */
    void keepLargeValues(std::vector<StoreRow>&);
    /** Returns the rows that can be applied now. The values of the others are fetched. */
    std::vector<StoreRow> takeComplete(const std::vector<StoreRow>&, const PeerInstance* teller);
    void fetch(AwaitedRow&);
    void fetched(const std::string& key, const ValueId&, const ValueExchange::Value&);
    /** Ends waiting for the first of the rows of a key, and goes on with the newest one. */
    void endFirst(std::map<std::string, AwaitedKey>::iterator);
    void dropAwaited(std::map<std::string, AwaitedKey>::iterator);
    void readFailedFetches(TimePoint now);
    /** Whether a response of the store to the current operation is coming in. */
    bool isReceiving(TimePoint now) const;
    void readUrgentRows(TimePoint now);
    void updateSucceeded(TimePoint asOf);
    /** Logs rows that have been received with the current operation from @p source. */
    void logReceived(const char* source, const StoreRows&, TimePoint asOf) const;
    void storeCallFailed(const Error&, std::function<void()> next);
    void callAfter(Duration, std::function<void()> next);
    /** If @p mayBeLate, a timer that runs late gives the response a moment longer. */
    void startOverdueTimer(Duration delay, bool mayBeLate);

    Timers& m_timers;
    TableStore& m_store;
    TableRelay& m_relay;
    ValueExchange& m_values;
    const StoreEras& m_eras;
    const TableFollowerOptions m_options;
    const Handlers m_handlers;
    EventLog& m_log;
    const std::unique_ptr<Timer> m_timer;
    const std::unique_ptr<Timer> m_overdueTimer; // Runs while a call for changes of the table is in flight.
    std::mt19937_64 m_random { std::random_device {}() };
    OperationId m_operation = 0;
    const char* m_operationName = "";
    TimePoint m_operationStart {};
    TimePoint m_operationDeadline {};
    TimePoint m_lastAttempt {};
    std::uint64_t m_abandonedOperations = 0;
    bool m_hasSnapshot = false;
    // The store is to respond at once, because the last attempt to confirm the rows failed.
    bool m_needsConfirmation = false;
    std::vector<StoreRow> m_snapshotRows; // Rows received so far while a snapshot is read in several parts.
    TimePoint m_snapshotStart {}; // Start time of the read of its first part.
    StorePosition m_snapshotPosition; // Of its first part.
    StorePosition m_position; // Of the rows received.
    std::map<std::string, AwaitedKey> m_awaited; // By key.
    std::map<std::string, ValueId> m_largeValues; // Of the rows passed to the handlers, by key.
    // Of the newest row passed to the handlers. Beyond m_position if urgent rows have overtaken others.
    StorePosition m_newestRow;
    TimePoint m_overtakenSince {}; // Since when m_newestRow is beyond m_position.
    std::optional<TimePoint> m_nextUrgentRead; // Set while a response of the store is coming in.
    bool m_isReadingUrgentRows = false;
    bool m_isReadingTable = false; // The current operation is a read of all rows.
    Duration m_retryDelay { 0 };
    TimePoint m_asOf {};
    bool m_isReached = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}
