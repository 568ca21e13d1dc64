// Steps of the lease on the row `ledger/<region>`.

#include "budget/LedgerLease.h"

#include "base/Assert.h"
#include "base/LogLine.h"
#include "budget/BudgetShare.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace peridot {

namespace {

    constexpr Duration retryInterval = std::chrono::milliseconds { 200 };
    constexpr Duration readInterval = std::chrono::seconds { 1 };
    constexpr Duration longestCallGap = std::chrono::milliseconds { 500 };

    std::string toText(const LeaseRow& row)
    {
        nlohmann::json json { { "holder", row.holder.value() }, { "incarnation", row.incarnation },
            { "epoch", row.epoch }, { "change_id", row.changeId } };
        if (!row.snapshot.empty())
            json["snapshot"] = row.snapshot;
        return json.dump();
    }

    std::optional<LeaseRow> leaseRowFromText(const std::string& text)
    {
        try {
            const auto json = nlohmann::json::parse(text);
            LeaseRow row;
            row.holder = InstanceId(json.at("holder").get<std::string>());
            row.incarnation = json.at("incarnation").get<std::uint64_t>();
            row.epoch = json.at("epoch").get<std::uint64_t>();
            row.changeId = json.at("change_id").get<std::string>();
            row.snapshot = json.value("snapshot", "");
            return row;
        } catch (const nlohmann::json::exception&) {
            return std::nullopt;
        }
    }

}

std::string ledgerRowKey(const RegionId& region) { return "ledger/" + region.value(); }

LedgerLease::LedgerLease(RegionId region, InstanceId self, std::uint64_t incarnation, EventLog& log)
    : m_region(std::move(region))
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_log(log)
{
}

bool LedgerLease::isHandedOver() const noexcept { return m_isHandedOver; }

RowVersion LedgerLease::confirmedRowVersion() const noexcept
{
    return m_isOurs && !m_isResolving && m_step != Step::Writing ? m_rowVersion : 0;
}

bool LedgerLease::isRowOurs() const noexcept { return m_row.holder == m_self && m_row.incarnation == m_incarnation; }

std::optional<StoreRequest> LedgerLease::next(const LeaseInputs& inputs, TimePoint now)
{
    // A process that was paused did not attest in the meantime.
    if (!inputs.mayWrite || now - std::exchange(m_lastCall, now) > longestCallGap)
        m_mayWriteSince = TimePoint::max();
    if (inputs.mayWrite)
        m_mayWriteSince = std::min(m_mayWriteSince, now);
    if (m_step != Step::Idle || now < m_nextStep || m_isHandedOver)
        return std::nullopt;
    if (m_isResolving)
        return read();
    if (m_isHandingOver)
        return inputs.mayWrite ? write(Purpose::HandOver, now) : std::nullopt;
    if (m_isOurs)
        return inputs.mayWrite ? write(Purpose::Renew, now) : std::nullopt;
    if (!inputs.isCandidate)
        return std::nullopt;
    if (inputs.mayWrite && now >= acquirableFrom())
        return write(Purpose::Acquire, now);
    return read();
}

/** From when on the row as last read may be taken: at once if it names no holder, else when its lease has lapsed. */
TimePoint LedgerLease::acquirableFrom() const noexcept
{
    if (!m_isRowKnown || !m_isRowReadable)
        return TimePoint::max();
    if (m_row.holder.isEmpty())
        return TimePoint::min();
    const auto since = std::max(m_rowSeenSince, m_mayWriteSince);
    return since == TimePoint::max() ? since : since + withDrift(leaseLifetime);
}

std::optional<StoreRequest> LedgerLease::read()
{
    m_step = Step::Reading;
    return TableRead { { ledgerRowKey(m_region) } };
}

std::optional<StoreRequest> LedgerLease::write(Purpose purpose, TimePoint now)
{
    m_step = Step::Writing;
    m_purpose = purpose;
    if (!m_mayLand)
        m_writeBegan = now;
    m_written = {};
    m_written.incarnation = m_incarnation;
    m_written.epoch = purpose == Purpose::Acquire ? m_row.epoch + 1 : m_epoch;
    m_written.changeId = m_self.value() + "/" + std::to_string(m_incarnation) + "/" + std::to_string(++m_writes);
    if (purpose == Purpose::HandOver)
        m_written.snapshot = m_snapshot;
    else
        m_written.holder = m_self;
    if (purpose == Purpose::Acquire) {
        m_isWaitNeeded = !m_row.holder.isEmpty();
        m_offeredSnapshot = m_row.snapshot;
    }
    const auto key = ledgerRowKey(m_region);
    return TableCommit { { { key, m_rowVersion } }, { { key, toText(m_written) } } };
}

void LedgerLease::completed(const StoreResult& result, TimePoint now)
{
    PERIDOT_ASSERT(m_step != Step::Idle, "a result arrived for a lease without an open request");
    const bool wasWriting = std::exchange(m_step, Step::Idle) == Step::Writing;
    if (!result) {
        // A write with an unknown outcome is resolved by reading the row.
        if (wasWriting && result.error().code != ErrorCode::Unavailable)
            m_isResolving = m_mayLand = true;
        m_nextStep = now + (wasWriting && m_isResolving ? Duration { 0 } : retryInterval);
        return;
    }
    if (const auto* rows = std::get_if<TableRows>(&*result); rows && !wasWriting)
        takeRead(*rows, now);
    else if (const auto* commit = std::get_if<CommitResult>(&*result); commit && wasWriting)
        takeCommit(*commit, now);
    else
        PERIDOT_ASSERT(false, "the result does not match the request of the lease");
}

void LedgerLease::takeRow(const TableRow& row, TimePoint now)
{
    if (!m_isRowKnown || row.version != m_rowVersion)
        m_rowSeenSince = now;
    m_isRowKnown = true;
    m_rowVersion = row.version;
    const auto parsed = row.version == 0 ? LeaseRow {} : leaseRowFromText(row.value);
    m_isRowReadable = parsed.has_value();
    m_row = parsed.value_or(LeaseRow {});
    if (!m_isRowReadable) {
        LogLine line("lease_row_unreadable");
        line.add("region", m_region).add("row_version", row.version);
        m_log.write(LogLevel::Error, line);
    }
}

void LedgerLease::takeRead(const TableRows& rows, TimePoint now)
{
    const auto expected = m_rowVersion;
    takeRow(rows.rows.empty() ? TableRow {} : rows.rows.front(), now);
    m_nextStep = std::min(now + readInterval, std::max(now, acquirableFrom()));
    if (std::exchange(m_isResolving, false))
        resolve(expected, now);
}

void LedgerLease::takeCommit(const CommitResult& result, TimePoint now)
{
    const auto expected = m_rowVersion;
    const auto key = ledgerRowKey(m_region);
    const auto it = std::find_if(
        result.current.begin(), result.current.end(), [&](const TableRow& row) { return row.key == key; });
    takeRow(it == result.current.end() ? TableRow {} : *it, now);
    if (result.isCommitted) {
        PERIDOT_ASSERT(m_row.changeId == m_written.changeId, "a committed lease row has another content");
        m_mayLand = false;
        confirm(now);
    } else {
        resolve(expected, now);
    }
}

/** Finds out from the row what became of writes on version @p expected. */
void LedgerLease::resolve(RowVersion expected, TimePoint now)
{
    m_nextStep = now;
    if (m_rowVersion == expected)
        return; // None is in effect. One may still land; the next write, on the same version, then fails and shows it.
    m_mayLand = false;
    const bool isHandover = m_row.holder.isEmpty() && m_row.epoch == m_epoch;
    if (m_purpose == Purpose::HandOver ? isHandover : isRowOurs())
        confirm(now);
    else if (!isRowOurs())
        lose("the row was changed by another instance");
}

void LedgerLease::confirm(TimePoint now)
{
    const auto leaseEnd = m_writeBegan + leaseLifetime;
    if (m_purpose == Purpose::HandOver) {
        m_isOurs = false;
        m_isHandedOver = true;
        m_log.write(LogLevel::Info, LogLine("lease_handed_over").add("region", m_region).add("epoch", m_epoch));
        return;
    }
    m_nextStep = m_writeBegan + leaseRenewInterval;
    if (m_purpose == Purpose::Renew) {
        if (now >= m_leaseEnd) {
            // The caller may have dropped the ledger's state when the lease lapsed, so its units have to expire.
            ++m_term;
            m_grantsFrom = std::max(m_grantsFrom, now + withDrift(unitLifetime));
            m_inheritedSnapshot.clear();
        }
        m_leaseEnd = std::max(m_leaseEnd, leaseEnd);
        return;
    }
    m_isOurs = true;
    m_epoch = m_row.epoch;
    ++m_term;
    m_leaseEnd = leaseEnd;
    m_grantsFrom = m_isWaitNeeded ? now + withDrift(unitLifetime) : now;
    m_inheritedSnapshot = m_offeredSnapshot;
    LogLine line("lease_acquired");
    line.add("region", m_region).add("epoch", m_epoch).add("wait_ms", m_grantsFrom - now);
    m_log.write(LogLevel::Info, line);
}

void LedgerLease::lose(std::string_view reason)
{
    m_nextStep = {};
    if (m_isHandingOver)
        m_isHandedOver = true;
    if (!std::exchange(m_isOurs, false))
        return;
    LogLine line("lease_lost");
    line.add("region", m_region).add("epoch", m_epoch).add("holder", m_row.holder).add("reason", reason);
    m_log.write(LogLevel::Warning, line);
}

void LedgerLease::extend(TimePoint evidenceTime, TimePoint now)
{
    if (isHeld(now))
        m_leaseEnd = std::max(m_leaseEnd, evidenceTime + leaseLifetime);
}

void LedgerLease::handOver(std::string snapshot, TimePoint now)
{
    // Before grantsFrom, units of the previous holder may still be spendable, so the next holder has to wait as well.
    m_isHandedOver = !isHeld(now) || now < m_grantsFrom;
    m_isHandingOver = true;
    m_snapshot = std::move(snapshot);
    m_nextStep = now;
}

}
