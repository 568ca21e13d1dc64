// The lease row `ledger/<region>`, which decides the instance that runs the ledger of a region.

#pragma once

#include "base/EventLog.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "store/StoreTypes.h"

#include <cstdint>
#include <optional>
#include <string>

namespace peridot {

/** Life of a lease, counted from before the write that acquired or renewed it began. */
constexpr Duration leaseLifetime = std::chrono::seconds { 3 };
constexpr Duration leaseRenewInterval = std::chrono::seconds { 1 };

std::string ledgerRowKey(const RegionId&);

/** What the caller knows at the time of a step. */
struct LeaseInputs {
    bool isCandidate = false; // This instance should hold the lease if nobody does (first rank of the live view).
    bool mayWrite = false; // Rule W: a heartbeat that said `storeReachable` was answered within the last second.
    bool isRowHolderGone = false; // The instance named by rowHolder() is not in the live view; no need to wait for it.
};

/**
 * State machine of one lease. next() returns the store request to start, at most one at a time; completed() takes its
 * result. The epoch rises by one with each acquisition.
 *
 * After taking over from a holder that did not hand over, grantsFrom() is the lease lifetime plus the unit lifetime
 * after the row was won: the previous holder may have written or extended its lease until that moment.
 *
 * Not thread-safe.
 */
class LedgerLease {
public:
    /** @p incarnation keeps apart the processes that run under the name @p self one after the other. */
    LedgerLease(RegionId, InstanceId self, std::uint64_t incarnation, EventLog&);

    std::optional<StoreRequest> next(const LeaseInputs&, TimePoint now);
    void completed(const StoreResult&, TimePoint now);

    /** Prolongs a held lease: as of @p evidenceTime no instance could reach the store (storeUnavailable evidence). */
    void extend(TimePoint evidenceTime, TimePoint now);

    /**
     * Gives up the lease for a planned stop. The ledger must have stopped granting, and @p snapshot is its state, which
     * the next holder takes over without a wait. isHeld() is false from now on.
     */
    void handOver(std::string snapshot, TimePoint now);
    /** True if the handover row is written, or the row has become another instance's. */
    bool isHandedOver() const noexcept;

    /** True if this instance runs the ledger. The ledger grants from grantsFrom() on. */
    bool isHeld(TimePoint now) const noexcept;
    std::uint64_t epoch() const noexcept { return m_epoch; }
    TimePoint grantsFrom() const noexcept { return m_grantsFrom; }
    /** Rises with each acquisition, and when a lease that had lapsed is renewed before another instance took it. */
    std::uint64_t term() const noexcept { return m_term; }
    /** The snapshot taken over from the previous holder; empty after a takeover from a crashed holder. */
    const std::string& inheritedSnapshot() const noexcept { return m_inheritedSnapshot; }

    /** Version of the row that this instance wrote last; 0 while a write is open or the lease is not held. */
    RowVersion confirmedRowVersion() const noexcept;
    /** The instance named in the row as last read; empty if there is none. */
    const InstanceId& rowHolder() const noexcept { return m_rowHolder; }

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

    std::optional<StoreRequest> read(TimePoint now);
    std::optional<StoreRequest> write(Purpose, TimePoint now);
    void takeRow(const std::optional<TableRow>&, TimePoint now);
    void confirm(RowVersion, TimePoint now);
    void lose(std::string_view reason);
    bool mayAcquire(const LeaseInputs&, TimePoint now) const noexcept;

    RegionId m_region;
    InstanceId m_self;
    std::uint64_t m_incarnation;
    EventLog& m_log;
    std::string m_rowKey;

    Step m_step = Step::Idle;
    Purpose m_purpose = Purpose::Acquire;
    bool m_isOurs = false; // The row named this process when last confirmed.
    bool m_isResolving = false; // The outcome of the last write is unknown until the row has been read.
    bool m_isHandingOver = false;
    bool m_isHandedOver = false;

    std::uint64_t m_epoch = 0;
    std::uint64_t m_term = 0;
    TimePoint m_leaseEnd {};
    TimePoint m_grantsFrom {};
    std::string m_inheritedSnapshot;
    std::string m_snapshot; // To be handed over.

    TimePoint m_writeBegan {};
    std::uint64_t m_writeNumber = 0;
    std::string m_changeId; // Of the last write, kept in the row.
    TimePoint m_nextStep {};

    bool m_hasRead = false;
    RowVersion m_rowVersion = 0;
    InstanceId m_rowHolder;
    std::uint64_t m_rowEpoch = 0;
    bool m_rowIsHandover = false;
    std::string m_rowSnapshot;
    TimePoint m_rowUnchangedSince {};
};

}
