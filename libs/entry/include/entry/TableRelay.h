// Hands the changes of the store's tables from the instance that reads them to the other instances of its region.
// Without it, reads of the store grow with the number of instances.

#pragma once

#include "base/EventLog.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "store/TableFeed.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridot {

/** An instance that may read the store for others. */
struct TableReader {
    InstanceId id;
    std::string address; // Where it takes messages.
};

struct TableRelayOptions {
    // Added to the wait of a pull before the reader counts as silent: a round trip inside a region and a busy process.
    Duration answerMargin = std::chrono::milliseconds { 350 };
    // A silent reader is not asked for this long; membership finds a dead one sooner.
    Duration unresponsiveReaderBackoff = std::chrono::seconds { 3 };
    // The same for a reader that has lost contact or whose history is too short; it may answer again at any moment.
    Duration unknownChangesBackoff = std::chrono::milliseconds { 300 };
    // Rows kept for pulls, one for each key; whoever is further behind reads the store. Above the backend servers of
    // the users' target, 1,500 instances with some 10 each; 250 bytes a row.
    std::size_t maximumHistoryRows = 20'000;
    // An instance that reads for nobody leaves a store that failed alone for this long and asks the readers meanwhile.
    // The store may still have failed this instance only.
    Duration failedStoreBackoff = std::chrono::seconds { 3 };
};

/**
 * Not thread-safe. Each instance of a region ranks the readers alike. The first one that is not passed over reads the
 * store; the others pull from it, and read the store themselves as soon as it does not answer or has lost contact.
 *
 * Rows that are no news to the reader are not handed on, because every server's heartbeat changes a row. A peer whose
 * version was not told by the same reader gets every row once (TablePull::wantsAll): it may have seen an entry missing
 * that the reader saw before and after only.
 */
class TableRelay {
public:
    struct Ports {
        /** The readers of the own region, best first. */
        std::function<std::vector<TableReader>()> readers;
        std::function<void(const std::string& address, TablePull)> sendPull;
        std::function<void(const std::string& address, TableChanges)> sendChanges;
    };
    struct Changes {
        StoreRows rows;
        TimePoint asOf; // Start of the read of the store that confirmed them.
    };
    using PullHandler = std::function<void(std::optional<Changes>)>;

    TableRelay(InstanceId self, TableRelayOptions, Ports, EventLog&);

    /** Whether another instance reads the store for this one. */
    bool canPull(TimePoint now) const { return !reader(now).address.empty(); }
    /** Whether this instance may have to read the store for others. */
    bool isReader() const;
    /** Whether this instance may read the store now although it reads for nobody. After a failure one table tries for
     *  all. */
    bool tryDirectRead(TimePoint now);
    void directReadSucceeded() { m_nextDirectRead.reset(); }
    /** @p jitter differs between instances, so that those that lost the store together don't return together. */
    void directReadFailed(Duration jitter, TimePoint now)
    {
        m_nextDirectRead = now + m_options.failedStoreBackoff + jitter;
    }
    /** Calls the handler exactly once, with nothing if the store has to be read instead. Only if canPull(). */
    void pull(const std::string& table, std::uint64_t version, Duration wait, TimePoint now, PullHandler);

    /** This instance asks the store for the changes after version @p since. Pulls wait for the answer from now on. */
    void startReading(const std::string& table, std::uint64_t since);
    /** It has read them; no rows means no change. */
    void addChanges(const std::string& table, std::uint64_t since, const StoreRows&, TimePoint asOf, TimePoint now);
    /** This instance does not read the table from the store, or cannot say how old what it knows is. */
    void stopServing(const std::string& table, TimePoint now);
    /** The store did not answer or refused; it may still serve another reader. */
    void storeContactLost(const std::string& table, TimePoint now);

    void receive(const std::string& senderAddress, const TablePull&, TimePoint now);
    void receive(const TableChanges&, TimePoint now);
    /** Ends pulls whose time is over. Call it every 50 to 100 ms. */
    void tick(TimePoint now);

private:
    struct OpenPull {
        std::string table;
        std::uint64_t version = 0;
        InstanceId reader;
        TimePoint sent;
        TimePoint deadline;
        PullHandler handler;
    };

    struct HeldPull {
        std::string address;
        TablePull pull;
        TimePoint received;
    };

    struct ChangedRow {
        StoreRow row;
        std::uint64_t significantVersion = 0; // Of its newest state that was news; 0 if none was.
    };

    /** Invariants: changed holds the newest state of each row that changed after version start, up to version;
     *  newestRow and newestSignificant are the largest versions in it, so that a pull without an answer costs no
     * search. */
    struct Table {
        std::uint64_t historyStart = 0;
        std::uint64_t version = 0;
        std::optional<TimePoint> asOf; // None until the first read has succeeded.
        std::map<std::string, ChangedRow> changedRows {};
        std::uint64_t newestRow = 0;
        std::uint64_t newestSignificant = 0;
        std::vector<HeldPull> held {};
    };

    TableReader reader(TimePoint now) const;
    void skipReader(const InstanceId& reader, const char* reason, Duration, TimePoint now);
    static bool hasChangesFor(const TablePull&, const Table&);
    void answer(const HeldPull&, const Table*, TimePoint now);

    const InstanceId m_self;
    const TableRelayOptions m_options;
    const Ports m_ports;
    EventLog& m_log;
    std::map<std::string, Table> m_tables; // Those that this instance reads from the store.
    std::map<std::uint64_t, OpenPull> m_openPulls;
    std::map<std::string, InstanceId>
        m_versionSources; // By table; none if this instance read its version from the store.
    std::map<InstanceId, TimePoint> m_skippedUntil; // And until when.
    std::optional<TimePoint> m_nextDirectRead; // Set since the last read of any table failed.
    std::uint64_t m_sequence = 0;
};

}
