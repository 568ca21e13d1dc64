// The lease row `ledger/<region>`, which decides the instance that runs the ledger of a region.

#pragma once

#include "base/EventLog.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "store/StoreTypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridot {

/**
 * Life of a lease, counted from before the write that acquired or renewed it began. Longer than evidence lasts (4 s),
 * so that a slow store stops the ledger no earlier than it stops the requests.
 */
constexpr Duration leaseLifetime = std::chrono::seconds { 6 };
constexpr Duration leaseRenewInterval = std::chrono::seconds { 1 };

std::string ledgerRowKey(const RegionId&);

/** What the caller knows at the time of a step. */
struct LeaseInputs {
    bool isCandidate = false; // This instance should hold the lease if nobody does (first rank of the live view).
    bool mayWrite = false; // Rule W: a heartbeat that said `storeReachable` was answered within the last second.
};

/** The content of the row. */
struct LeaseRow {
    InstanceId holder; // Empty after a handover.
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0;
    std::string changeId; // Differs for each write.
    std::string snapshot; // Ledger state of a handover.
};

/**
 * State machine of one lease. next() returns the store request to start, at most one at a time; completed() takes its
 * result. The epoch rises by one with each acquisition.
 *
 * A row that names a holder is taken over after it stayed unchanged for the lease lifetime, with mayWrite all the
 * while. This instance attested all the while that the store can be reached, so the holder cannot have extended its
 * lease and has stopped granting when the row is won. The units that it granted live on for at most the unit lifetime,
 * so grantsFrom() is that long after the row was won. There is no wait after a handover, or if there was no row.
 *
 * Not thread-safe.
 */
class LedgerLease {
public:
    /** @p incarnation keeps apart the processes that run under the name @p self one after the other. */
    LedgerLease(RegionId, InstanceId self, std::uint64_t incarnation, EventLog&);

    /** Call it every 10 ms, also while nothing can be written. */
    std::optional<StoreRequest> next(const LeaseInputs&, TimePoint now);
    void completed(const StoreResult&, TimePoint now);

    /** Prolongs a held lease: as of @p evidenceTime no instance could reach the store (storeUnavailable evidence). */
    void extend(TimePoint evidenceTime, TimePoint now);

    /**
     * Gives up the lease for a planned stop. The ledger must have stopped granting, and @p snapshot is its state, which
     * the next holder takes over without a wait. isHeld() is false from now on.
     */
    void handOver(std::string snapshot, TimePoint now);
    /** True if the handover row is written, or there is nothing to hand over. */
    bool isHandedOver() const noexcept;

    /** True if this instance runs the ledger. The ledger grants from grantsFrom() on. */
    bool isHeld(TimePoint now) const noexcept { return m_isOurs && !m_isHandingOver && now < m_leaseEnd; }
    std::uint64_t epoch() const noexcept { return m_epoch; }
    TimePoint grantsFrom() const noexcept { return m_grantsFrom; }
    /**
     * Rises with each acquisition, and when a lease that had lapsed is renewed before another instance took it. Shares
     * may have been released in between: ShareTable::next must see the new term before the ledger answers a demand.
     */
    std::uint64_t term() const noexcept { return m_term; }
    /** The snapshot taken over from the previous holder; empty after a takeover from a crashed holder. */
    const std::string& inheritedSnapshot() const noexcept { return m_inheritedSnapshot; }

    /** Version of the row that this instance wrote last; 0 while a write is open or the lease is not held. */
    RowVersion confirmedRowVersion() const noexcept;
    /** The instance named in the row as last read; empty if there is none. */
    const InstanceId& rowHolder() const noexcept { return m_row.holder; }

private:
    enum class Step {
        Idle,
        Reading,
        Writing,
    };
    enum class Purpose {
        Acquire,
        Renew,
        HandOver,
    };

    std::optional<StoreRequest> read();
    std::optional<StoreRequest> write(Purpose, TimePoint now);
    TimePoint acquirableFrom() const noexcept;
    void takeRow(const TableRow&, TimePoint now);
    void takeRead(const TableRows&, TimePoint now);
    void takeCommit(const CommitResult&, TimePoint now);
    void resolve(RowVersion expected, TimePoint now);
    void confirm(TimePoint now);
    void lose(std::string_view reason);
    bool isRowOurs() const noexcept;

    const RegionId m_region;
    const InstanceId m_self;
    const std::uint64_t m_incarnation;
    EventLog& m_log;

    Step m_step = Step::Idle;
    Purpose m_purpose = Purpose::Acquire; // Of the last write.
    bool m_isOurs = false; // The row named this process when it was last confirmed.
    bool m_isResolving = false; // The last write may have taken effect; the row has to be read.
    bool m_mayLand = false; // An earlier write may still take effect, as long as the row keeps its version.
    bool m_isHandingOver = false;
    bool m_isHandedOver = false;

    std::uint64_t m_epoch = 0;
    std::uint64_t m_term = 0;
    TimePoint m_leaseEnd {};
    TimePoint m_grantsFrom {};
    std::string m_inheritedSnapshot;
    std::string m_snapshot; // To be handed over.

    TimePoint m_writeBegan {}; // Of the earliest write whose outcome is not known.
    std::uint64_t m_writes = 0;
    LeaseRow m_written; // The content of the last write.
    bool m_isWaitNeeded = false; // The row to be acquired names a holder.
    std::string m_offeredSnapshot; // Of the row to be acquired.
    TimePoint m_nextStep {};

    bool m_isRowKnown = false;
    RowVersion m_rowVersion = 0;
    LeaseRow m_row;
    bool m_isRowReadable = true;
    TimePoint m_rowSeenSince {}; // The row has had this version since then.
    TimePoint m_mayWriteSince = TimePoint::max();
    TimePoint m_lastCall {};
};

}
