// Passes changes of the store's tables from the instance that reads them to the other instances of its region, so that
// the number of reads of the store does not grow with the number of instances.

#pragma once

#include "base/EventLog.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "entry/ValueExchange.h"
#include "store/StoreEras.h"
#include "store/TableFeed.h"

#include <tl/expected.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace peridot {

/** An instance that may read the store for others. */
using TableReader = PeerInstance;

struct TableRelayOptions {
    // Added to the wait of a pull before the reader counts as unresponsive. It covers a round trip inside the region
    // and the delay of a busy process.
    Duration answerMargin = std::chrono::milliseconds { 350 };
    // A reader that did not respond in time is not used for this long. Membership removes a failed reader sooner.
    Duration unresponsiveReaderBackoff = std::chrono::seconds { 3 };
    // A reader that responded that it cannot provide the changes of a table, because it lost contact with the store or
    // its history is too short, is not used for that table for this long. It may be able to respond again at any
    // moment. Each further such response doubles the time, up to the maximum.
    Duration unknownChangesBackoff = std::chrono::milliseconds { 300 };
    Duration maximumUnknownChangesBackoff = std::chrono::milliseconds { 1'200 };
    // Time for which a pull is held until the store has responded to this instance for the first time, whatever the
    // wait of the pull. Below answerMargin.
    Duration firstResponseWait = std::chrono::milliseconds { 250 };
    // Maximum number of changed rows that are kept per table to answer pulls, one for each key. A peer whose version is
    // older than these rows reads the store itself. The limit exceeds the number of backend servers in the largest
    // intended deployment: 1,500 instances with about 10 each. A row takes about 250 bytes.
    std::size_t maximumHistoryRows = 20'000;
    // After a failed call of the store, an instance that is not a reader makes no further call for this long and pulls
    // from the readers instead, because the store may have failed for this instance only.
    Duration failedStoreBackoff = std::chrono::seconds { 3 };
    // A longer time between two ticks is a pause of the process. Answers may wait behind the first tick after it.
    Duration longestTick = std::chrono::milliseconds { 200 };
};

enum class PullFailure {
    NotKnown, // The reader responded that it cannot provide the changes.
    Silent, // The reader did not respond in time.
};

/**
 * Not thread-safe. All instances of a region rank the readers in the same order. The first reader that is not skipped
 * reads the store. The others pull from it, and read the store themselves when it does not respond in time or has lost
 * contact with the store.
 *
 * Rows that are not significant to the reader (StoreRow::isNews is false) are not passed on, because every heartbeat of
 * a server changes a row. A peer whose position does not come from the same reader receives every changed row once
 * (TablePull::wantsAll): the peer may have read the table while an entry was missing, whereas the reader read it only
 * before the removal and after the return of the entry and considers the returned row insignificant.
 *
 * Large values are named in responses, and the peer fetches them (ValueExchange): sent whole to each peer, they would
 * take the link of the reader for a time that grows with their size and the number of peers, and all other messages
 * would wait behind them. A peer of an earlier build can't fetch them. It is told "not known" instead, and reads them
 * from the store over its own link.
 *
 * A peer whose position lies before the history of a table that was read whole receives the whole table, for example
 * one of an earlier era of the store. A response of an earlier era than the newest known one counts as "not known".
 */
class TableRelay {
public:
    struct Ports {
        /** Returns the readers of this instance's region in order of preference. */
        std::function<std::vector<TableReader>()> readers;
        /** Returns the live instances of this instance's region. */
        std::function<std::vector<PeerInstance>()> instances;
        std::function<void(const std::string& address, TablePull)> sendPull;
        std::function<void(const std::string& address, TableChanges)> sendChanges;
    };
    struct Changes {
        StoreRows rows;
        TimePoint asOf; // Start time of the read of the store that confirmed the rows.
        bool isWhole = false; // The rows are all of the table.
        PeerInstance reader {}; // That has sent them.
    };
    using PullResult = tl::expected<Changes, PullFailure>;
    using PullHandler = std::function<void(PullResult)>;

    TableRelay(InstanceId self, TableRelayOptions, Ports, StoreEras&, EventLog&);

    /** Whether another instance reads the table for this one, so that pull() may be called. */
    bool canPull(const std::string& table, TimePoint now) const { return !reader(table, now).address.empty(); }
    /** Returns whom this instance asks for a large value of which @p teller has told. */
    std::vector<PeerInstance> valueSources(const PeerInstance& teller) const;
    /** Whether this instance is one of the readers, or its region has none. */
    bool isReader() const;
    /** Whether this instance may read the store now although it is not a reader. After a failure this returns true for
     *  one caller per TableRelayOptions::failedStoreBackoff, so that one table retries on behalf of all. */
    bool tryDirectRead(TimePoint now);
    void directReadSucceeded() { m_nextDirectRead.reset(); }
    /** @p jitter differs between instances, so that instances that lost the store at the same time do not retry at the
     *  same time. */
    void directReadFailed(Duration jitter, TimePoint now)
    {
        m_nextDirectRead = now + m_options.failedStoreBackoff + jitter;
    }
    /** Asks the reader for the changes after @p position. May be called only if canPull() is true. Calls the handler
     *  exactly once. After a failure, the reader is skipped for a while. */
    void pull(const std::string& table, const StorePosition&, Duration wait, TimePoint now, PullHandler);

    /** Has to be called when this instance asks the store for the changes after @p since. From now on pulls of the
     * table are held until the store responds. */
    void startReading(const std::string& table, const StorePosition& since);
    /** Has to be called when this instance has read the changes after @p since. Empty rows mean that nothing has
     *  changed. @p asOf is the start time of the read. */
    void addChanges(
        const std::string& table, const StorePosition& since, const StoreRows&, TimePoint asOf, TimePoint now);
    /** Has to be called when this instance has read rows while the response with all changes is still coming in. The
     *  rows are passed on; the position of the table stays. */
    void addEarlyChanges(const std::string& table, const std::vector<StoreRow>&, TimePoint now);
    /** Has to be called when this instance has read the whole table. @p asOf is the start time of the read. */
    void addSnapshot(
        const std::string& table, const std::vector<StoreRow>&, const StorePosition&, TimePoint asOf, TimePoint now);
    /** Has to be called when this instance is about to read the whole table anew, because the store has come back from
     *  an older copy. Discards the history; held pulls wait for the result. */
    void awaitSnapshot(const std::string& table);
    /** Discards the history of the table and answers held pulls with "not known". Has to be called when this instance
     *  no longer reads the table from the store or the age of its rows is unknown. */
    void stopServing(const std::string& table, TimePoint now);
    /** Has to be called when the store did not respond or refused a call. Stops serving the table and skips this
     *  instance as a reader for a while, because the store may still serve another reader. */
    void storeContactLost(const std::string& table, TimePoint now);

    void receive(const std::string& senderAddress, const TablePull&, TimePoint now);
    void receive(const TableChanges&, TimePoint now);
    /** Ends pulls whose wait or deadline has passed. Has to be called every 50 to 100 ms. */
    void tick(TimePoint now);

private:
    struct OpenPull {
        std::string table;
        StorePosition position;
        TableReader reader;
        TimePoint sent;
        TimePoint deadline;
        PullHandler handler;
        bool isSpared = false; // It was overdue at the first tick after a pause.
    };

    struct HeldPull {
        std::string address;
        TablePull pull; // With the position as StoreEras resolves it.
        bool takesWholeTables = false; // Unlike a peer of an earlier build.
        TimePoint received;
        TimePoint deadline; // Time at which the pull is answered if nothing has changed.
    };

    struct ChangedRow {
        StoreRow row;
        StorePosition significantPosition; // Of the newest significant change of the row.
    };

    /** The history of a table. Invariants: changedRows holds the newest state of each row that changed after
     *  historyStart, up to position; if isWhole, it holds all rows of the table. newestRow is the position of the
     * newest change in it and newestSignificant that of the newest significant one, so that a pull without changes
     * needs no search. All positions are of one era. */
    struct Table {
        StorePosition historyStart {};
        StorePosition position {};
        std::optional<TimePoint> asOf {}; // Start time of the newest successful read, if there is one.
        std::map<std::string, ChangedRow> changedRows {};
        bool isWhole = false;
        bool awaitsSnapshot = false; // Until then nothing else in here is valid but the held pulls.
        StorePosition newestRow {};
        StorePosition newestSignificant {};
        std::vector<HeldPull> held {}; // Pulls of peers that wait for a change.
    };

    /** When a reader that did not know the changes of a table is asked for it again. */
    struct UnknownChanges {
        Duration backoff { 0 };
        TimePoint until {};
    };

    TableReader reader(const std::string& table, TimePoint now) const;
    void logSkip(const InstanceId& reader, const char* reason, const std::string& table);
    static bool hasChangesFor(const HeldPull&, const Table&);
    /** Whether the response to the pull is the whole table. */
    static bool needsWholeTable(const HeldPull&, const Table&);
    /** Whether the table's history covers the pull, now or once it has been read. */
    static bool canAnswer(const HeldPull&, const Table&);
    /** Whether the response names a large value that the peer can't fetch. */
    static bool hasForeignValues(const HeldPull&, const std::vector<StoreRow>&);
    /** Records a read of the store in the table, and answers the held pulls for which it brings something. */
    void readSucceeded(Table&, const StorePosition&, TimePoint asOf, TimePoint now);
    static void put(Table&, const StoreRow&);
    void answerHeld(Table&, TimePoint now);
    void answer(const HeldPull&, const Table*, TimePoint now);

    const InstanceId m_self;
    const TableRelayOptions m_options;
    const Ports m_ports;
    StoreEras& m_eras;
    EventLog& m_log;
    std::map<std::string, Table> m_tables; // The tables that this instance reads from the store, by name.
    std::map<std::uint64_t, OpenPull> m_openPulls; // Pulls sent to a reader and not yet answered, by sequence number.
    // By table name, the reader that this instance's position comes from. No entry if it was read from the store.
    std::map<std::string, InstanceId> m_versionSources;
    std::map<InstanceId, TimePoint> m_skippedUntil; // The time until which each skipped reader is not used at all.
    // By table and reader, for readers that have not provided changes since they responded that they do not know them.
    std::map<std::pair<std::string, InstanceId>, UnknownChanges> m_unknownChanges;
    // Time from which this instance may read the store although it is not a reader. Set while its last read of any
    // table has failed.
    std::optional<TimePoint> m_nextDirectRead;
    std::uint64_t m_sequence = 0;
    std::optional<TimePoint> m_lastTick;
};

}
