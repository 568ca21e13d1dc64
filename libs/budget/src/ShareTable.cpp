// Steps of the share rows of all workspaces.

#include "budget/ShareTable.h"

#include "SharePolicy.h"
#include "ShareRow.h"

#include "base/Assert.h"
#include "base/LogLine.h"
#include "budget/LedgerLease.h"

#include <algorithm>
#include <variant>

namespace peridot {

namespace {

    constexpr Duration scanInterval = std::chrono::seconds { 1 };
    /** Interval of scans while this region waits for share. */
    constexpr Duration urgentScanInterval = std::chrono::milliseconds { 300 };
    constexpr Duration decisionInterval = std::chrono::milliseconds { 250 };
    constexpr Duration retryInterval = std::chrono::milliseconds { 200 };
    /** Every instance that serves keyed requests knows a configuration change after 4 s, the limit of evidence. */
    constexpr Duration configurationDelay = withDrift(std::chrono::seconds { 5 });
    /** A need is withdrawn after the region was not short for this long. */
    constexpr Duration needLifetime = std::chrono::seconds { 5 };
    /** Part of the rate below which a difference is not worth a write. */
    constexpr int smallestMoveDivisor = 50;
    constexpr std::uint32_t scanLimit = 10'000;

    BudgetKey budgetKey(const WorkspaceId& workspace) { return { BudgetKind::WorkspaceRate, workspace.value() }; }

}

std::string shareRowKey(const WorkspaceId& workspace) { return "share/" + workspace.value(); }

class ShareTable::Implementation {
public:
    Implementation(RegionId self, std::vector<RegionId> regions, RegionLedger& ledger, EventLog& log)
        : m_self(std::move(self))
        , m_regions(std::move(regions))
        , m_ledger(ledger)
        , m_log(log)
    {
        PERIDOT_ASSERT(!m_regions.empty(), "a share table needs at least one region");
    }

    void setWorkspace(const WorkspaceId&, const BudgetShare& total, std::uint64_t version, TimePoint now);
    void removeWorkspace(const WorkspaceId&, TimePoint now);
    std::optional<StoreRequest> next(const ShareInputs&, TimePoint now);
    void completed(const StoreResult&, TimePoint now);
    BudgetShare share(const WorkspaceId&) const;

private:
    struct Workspace {
        BudgetShare total; // As configured.
        std::uint64_t version = 0; // Latest configuration version known to hold this total.
        std::uint64_t changedVersion = 0; // Version at which the total was last seen to change.
        TimePoint changedAt {};

        bool isRowKnown = false;
        RowVersion rowVersion = 0;
        std::optional<ShareRow> row; // Empty if there is no row.
        bool isRowReadable = true;

        // The ledger's share is at most this, beyond the row: a write that makes it smaller is due or may take effect.
        std::optional<BudgetShare> shrinkTo;
        bool mayLand = false; // A write with an unknown outcome may take effect while the row keeps its version.
        BudgetShare landing; // Lowest own share in such writes.
        bool isResolving = false; // The row has to be read before anything else is written.

        TimePoint nextDecision {};
        TimePoint notShortSince {};
    };

    struct Write {
        WorkspaceId workspace;
        ShareRow row;
        std::string reason;
        std::vector<TableCondition> conditions;
    };

    struct OpenRequest {
        std::uint64_t term = 0;
        std::optional<Write> write; // None for reads.
        std::string changeId;
    };

    void startTerm(std::uint64_t term, TimePoint now);
    std::optional<StoreRequest> scan(const ShareInputs&, TimePoint now);
    std::optional<StoreRequest> commit(Write, const ShareInputs&);

    void takeRows(const std::vector<TableRow>&, bool isComplete, TimePoint now);
    void takeRow(const WorkspaceId&, Workspace&, const TableRow&, TimePoint now);
    void takeCommit(const Write&, const CommitResult&, TimePoint now);
    void apply(const WorkspaceId&, Workspace&, bool isFreshRow, TimePoint now);

    std::optional<Write> decide(const WorkspaceId&, Workspace&, const ShareInputs&, TimePoint now);
    std::optional<Write> decideTotal(const WorkspaceId&, const Workspace&, TimePoint now) const;
    std::optional<Write> decideRelease(const WorkspaceId&, const Workspace&, const ShareInputs&) const;
    std::optional<Write> decideGrowth(const WorkspaceId&, Workspace&, TimePoint now);
    std::optional<Write> decideShrink(const WorkspaceId&, Workspace&, TimePoint now);
    MilliRate missingElsewhere(const ShareRow&) const;

    const RegionId m_self;
    const std::vector<RegionId> m_regions;
    RegionLedger& m_ledger;
    EventLog& m_log;
    std::map<WorkspaceId, Workspace> m_workspaces;
    std::uint64_t m_term = 0;
    std::optional<OpenRequest> m_open;
    std::uint64_t m_writes = 0;
    TimePoint m_nextScan {};
    TimePoint m_nextRequest {};
};

void ShareTable::Implementation::setWorkspace(
    const WorkspaceId& id, const BudgetShare& total, std::uint64_t version, TimePoint now)
{
    auto& workspace = m_workspaces[id];
    if (version < workspace.version)
        return;
    if (workspace.version == 0 || total != workspace.total) {
        workspace.total = total;
        workspace.changedVersion = version;
        workspace.changedAt = now;
    }
    workspace.version = version;
    apply(id, workspace, false, now);
}

void ShareTable::Implementation::removeWorkspace(const WorkspaceId& id, TimePoint now)
{
    if (m_workspaces.erase(id) > 0)
        m_ledger.removeShare(budgetKey(id), now);
}

BudgetShare ShareTable::Implementation::share(const WorkspaceId& id) const { return m_ledger.share(budgetKey(id)); }

/** Sets the ledger's share. It grows only right after the row was read or written. */
void ShareTable::Implementation::apply(const WorkspaceId& id, Workspace& workspace, bool isFreshRow, TimePoint now)
{
    const auto key = budgetKey(id);
    const auto inForce = m_ledger.share(key);
    BudgetShare limit;
    bool mayGrow = false;
    if (workspace.row) {
        const auto& row = *workspace.row;
        limit = row.shareOf(m_self);
        if (workspace.version > row.configurationVersion)
            limit = scaledShare(limit, row.total, workspace.total);
        if (workspace.mayLand)
            limit = lowerOf(limit, workspace.landing);
        if (workspace.shrinkTo)
            limit = lowerOf(limit, *workspace.shrinkTo);
        // Until a change of the total is in the row, another region may still scale the shares down for an earlier one.
        mayGrow = isFreshRow && row.configurationVersion >= workspace.changedVersion;
    }
    const auto share = mayGrow ? limit : lowerOf(limit, inForce);
    m_ledger.setShare(key, share, now);
    if (share != inForce) {
        LogLine line("share_in_force");
        line.add("region", m_self).add("workspace", id).add("milli_rate", share.rate).add("burst", share.burst);
        m_log.write(LogLevel::Info, line);
    }
}

void ShareTable::Implementation::startTerm(std::uint64_t term, TimePoint now)
{
    // Writes of an earlier term cannot take effect any more, because the lease row has changed since.
    m_term = term;
    m_nextScan = now;
    for (auto& [id, workspace] : m_workspaces) {
        workspace.isRowKnown = false;
        workspace.rowVersion = 0;
        workspace.row.reset();
        workspace.shrinkTo.reset();
        workspace.mayLand = false;
        workspace.isResolving = false;
        apply(id, workspace, false, now);
    }
}

std::optional<StoreRequest> ShareTable::Implementation::next(const ShareInputs& inputs, TimePoint now)
{
    if (!inputs.isHeld)
        return std::nullopt;
    if (inputs.leaseTerm != m_term)
        startTerm(inputs.leaseTerm, now);
    if (m_open || now < m_nextRequest)
        return std::nullopt;
    if (now >= m_nextScan)
        return scan(inputs, now);
    if (!inputs.mayWrite || inputs.leaseRowVersion == 0)
        return std::nullopt;
    for (auto& [id, workspace] : m_workspaces) {
        if (!workspace.isRowKnown || !workspace.isRowReadable || workspace.isResolving || now < workspace.nextDecision)
            continue;
        workspace.nextDecision = now + decisionInterval;
        if (auto write = decide(id, workspace, inputs, now))
            return commit(std::move(*write), inputs);
    }
    return std::nullopt;
}

std::optional<StoreRequest> ShareTable::Implementation::scan(const ShareInputs& inputs, TimePoint now)
{
    m_nextScan = now + scanInterval;
    m_open = OpenRequest { inputs.leaseTerm, std::nullopt, {} };
    return TableScan { "share/", scanLimit };
}

std::optional<StoreRequest> ShareTable::Implementation::commit(Write write, const ShareInputs& inputs)
{
    auto& workspace = m_workspaces.at(write.workspace);
    const auto changeId = m_self.value() + "/" + std::to_string(m_ledger.epoch()) + "/" + std::to_string(m_term) + "/"
        + std::to_string(++m_writes);
    write.row.changes[m_self] = changeId;
    const auto key = shareRowKey(write.workspace);
    TableCommit request;
    request.conditions = { { key, workspace.rowVersion }, { ledgerRowKey(m_self), inputs.leaseRowVersion } };
    request.conditions.insert(request.conditions.end(), write.conditions.begin(), write.conditions.end());
    request.writes = { { key, toText(write.row) } };

    LogLine line("share_write");
    const auto own = write.row.shareOf(m_self);
    line.add("region", m_self).add("workspace", write.workspace).add("reason", write.reason).add("change", changeId);
    line.add("milli_rate", own.rate).add("burst", own.burst).add("remainder_milli_rate", write.row.remainder.rate);
    m_log.write(LogLevel::Info, line);
    m_open = OpenRequest { inputs.leaseTerm, std::move(write), changeId };
    return request;
}

void ShareTable::Implementation::completed(const StoreResult& result, TimePoint now)
{
    PERIDOT_ASSERT(m_open.has_value(), "a result arrived for a share table without an open request");
    const auto open = std::move(*m_open);
    m_open.reset();
    if (open.term != m_term)
        return;
    if (!result) {
        m_nextRequest = now + retryInterval;
        if (!open.write)
            m_nextScan = now;
        const auto it = open.write ? m_workspaces.find(open.write->workspace) : m_workspaces.end();
        if (it != m_workspaces.end() && result.error().code != ErrorCode::Unavailable) {
            auto& workspace = it->second;
            const auto own = open.write->row.shareOf(m_self);
            workspace.landing = workspace.mayLand ? lowerOf(workspace.landing, own) : own;
            workspace.mayLand = true;
            workspace.isResolving = true;
            m_nextScan = now;
            apply(it->first, workspace, false, now);
        }
        return;
    }
    if (const auto* rows = std::get_if<TableRows>(&*result); rows && !open.write)
        takeRows(rows->rows, true, now);
    else if (const auto* commit = std::get_if<CommitResult>(&*result); commit && open.write)
        takeCommit(*open.write, *commit, now);
    else
        PERIDOT_ASSERT(false, "the result does not match the request of the share table");
}

void ShareTable::Implementation::takeRows(const std::vector<TableRow>& rows, bool isComplete, TimePoint now)
{
    std::map<std::string_view, const TableRow*> byKey;
    for (const auto& row : rows)
        byKey[row.key] = &row;
    const TableRow none;
    for (auto& [id, workspace] : m_workspaces) {
        const auto it = byKey.find(shareRowKey(id));
        if (it != byKey.end())
            takeRow(id, workspace, *it->second, now);
        else if (isComplete && rows.size() < scanLimit)
            takeRow(id, workspace, none, now);
    }
}

void ShareTable::Implementation::takeRow(
    const WorkspaceId& id, Workspace& workspace, const TableRow& row, TimePoint now)
{
    if (workspace.isRowKnown && row.version < workspace.rowVersion)
        return;
    if (row.version != workspace.rowVersion)
        workspace.mayLand = false;
    workspace.isResolving = false;
    workspace.isRowKnown = true;
    workspace.rowVersion = row.version;
    workspace.row.reset();
    workspace.isRowReadable = true;
    if (row.version != 0) {
        if (auto parsed = shareRowFromText(row.value)) {
            workspace.row = std::move(*parsed);
        } else {
            workspace.isRowReadable = false;
            LogLine line("share_row_unreadable");
            line.add("workspace", id).add("row_version", row.version).add("error", parsed.error().describe());
            m_log.write(LogLevel::Error, line);
        }
    }
    if (workspace.row && workspace.shrinkTo && missingElsewhere(*workspace.row) <= workspace.row->remainder.rate)
        workspace.shrinkTo.reset();
    apply(id, workspace, true, now);
}

void ShareTable::Implementation::takeCommit(const Write& write, const CommitResult& result, TimePoint now)
{
    const auto it = m_workspaces.find(write.workspace);
    if (it == m_workspaces.end())
        return;
    auto& workspace = it->second;
    workspace.nextDecision = now;
    if (result.isCommitted)
        workspace.shrinkTo.reset();
    const auto key = shareRowKey(write.workspace);
    const auto row = std::find_if(
        result.current.begin(), result.current.end(), [&](const TableRow& current) { return current.key == key; });
    takeRow(it->first, workspace, row == result.current.end() ? TableRow {} : *row, now);
    if (!result.isCommitted)
        m_nextRequest = now + std::chrono::milliseconds { 20 };
}

/** Rate that other regions ask for beyond what they have. */
MilliRate ShareTable::Implementation::missingElsewhere(const ShareRow& row) const
{
    MilliRate missing = 0;
    for (const auto& [region, rate] : row.needs) {
        if (region != m_self)
            missing += std::max<MilliRate>(0, rate - row.shareOf(region).rate);
    }
    return missing;
}

std::optional<ShareTable::Implementation::Write> ShareTable::Implementation::decide(
    const WorkspaceId& id, Workspace& workspace, const ShareInputs& inputs, TimePoint now)
{
    if (!workspace.row)
        return Write { id, initialShareRow(workspace.total, workspace.version, m_regions), "initial", {} };
    if (auto write = decideTotal(id, workspace, now))
        return write;
    if (workspace.version > workspace.row->configurationVersion && workspace.total != workspace.row->total)
        return std::nullopt; // A lower total is not in the row yet.
    if (auto write = decideRelease(id, workspace, inputs))
        return write;
    if (auto write = decideShrink(id, workspace, now))
        return write;
    if (auto write = decideGrowth(id, workspace, now))
        return write;
    // A new row version keeps an earlier write from taking effect, so that the ledger's share is the row's again.
    if (workspace.mayLand)
        return Write { id, *workspace.row, "settle", {} };
    return std::nullopt;
}

std::optional<ShareTable::Implementation::Write> ShareTable::Implementation::decideTotal(
    const WorkspaceId& id, const Workspace& workspace, TimePoint now) const
{
    const auto& row = *workspace.row;
    if (workspace.version <= row.configurationVersion)
        return std::nullopt;
    if (workspace.total == row.total && workspace.changedVersion <= row.configurationVersion)
        return std::nullopt;
    // All regions must have scaled down their own buckets before the row says so.
    const bool isLower = workspace.total.rate < row.total.rate || workspace.total.burst < row.total.burst;
    if (isLower && now < workspace.changedAt + configurationDelay)
        return std::nullopt;
    return Write { id, withTotal(row, workspace.total, workspace.version), "total", {} };
}

std::optional<ShareTable::Implementation::Write> ShareTable::Implementation::decideRelease(
    const WorkspaceId& id, const Workspace& workspace, const ShareInputs& inputs) const
{
    for (const auto& lapsed : inputs.lapsedRegions) {
        if (lapsed.region == m_self || workspace.row->shareOf(lapsed.region) == BudgetShare {})
            continue;
        auto row = *workspace.row;
        row.setShare(lapsed.region, {});
        row.needs.erase(lapsed.region);
        return Write { id, row, "release", { { ledgerRowKey(lapsed.region), lapsed.ledgerRowVersion } } };
    }
    return std::nullopt;
}

/** Gives share to regions that are short: first in the ledger, then, once its bucket fits, in the row. */
std::optional<ShareTable::Implementation::Write> ShareTable::Implementation::decideShrink(
    const WorkspaceId& id, Workspace& workspace, TimePoint now)
{
    const auto key = budgetKey(id);
    const auto& row = *workspace.row;
    const auto own = row.shareOf(m_self);
    if (!workspace.shrinkTo) {
        const auto missing = missingElsewhere(row) - row.remainder.rate;
        const auto usage = m_ledger.usage(key, now);
        const auto spare = isBurstLow(usage, own) ? 0 : own.rate - rateToKeep(usage, row.total, m_regions.size());
        const auto given = std::min(missing, spare);
        if (given <= 0 || given < std::min(missing, row.total.rate / smallestMoveDivisor))
            return std::nullopt;
        const auto rate = own.rate - given;
        workspace.shrinkTo = BudgetShare { rate, std::min(own.burst, burstFor(rate, row.total, m_regions.size())) };
        apply(id, workspace, false, now);
    }
    const auto target = lowerOf(own, *workspace.shrinkTo);
    if (m_ledger.boundBurst(key, now) > target.burst) {
        workspace.nextDecision = now + demandInterval;
        return std::nullopt;
    }
    Write write { id, row, "shrink", {} };
    write.row.setShare(m_self, target);
    write.row.needs.erase(m_self);
    return write;
}

/** Takes share from the remainder, or states the need. */
std::optional<ShareTable::Implementation::Write> ShareTable::Implementation::decideGrowth(
    const WorkspaceId& id, Workspace& workspace, TimePoint now)
{
    if (workspace.shrinkTo)
        return std::nullopt;
    const auto& row = *workspace.row;
    const auto own = row.shareOf(m_self);
    const auto usage = m_ledger.usage(budgetKey(id), now);
    const auto need = row.needs.find(m_self);
    Write write { id, row, "need", {} };
    if (!isShort(usage, own, row.total, m_regions.size())) {
        if (need == row.needs.end() || now < workspace.notShortSince + needLifetime)
            return std::nullopt;
        write.row.needs.erase(m_self);
        return write;
    }
    workspace.notShortSince = now;
    const auto wanted = std::max(own.rate, rateToAskFor(usage, row.total, m_regions.size()));
    const auto missing = wanted - own.rate;
    if (missing <= 0)
        return std::nullopt;
    m_nextScan = std::min(m_nextScan, now + urgentScanInterval);
    const auto allMissing = missing + missingElsewhere(row);
    const auto part = static_cast<double>(missing) / static_cast<double>(std::max<MilliRate>(allMissing, 1));
    const auto offered = std::min<MilliRate>(
        row.remainder.rate, static_cast<MilliRate>(static_cast<double>(row.remainder.rate) * part) + 1);
    const auto taken = std::min(missing, offered);
    const auto step = std::max<MilliRate>(1, row.total.rate / smallestMoveDivisor);
    // Other regions give at most what the need exceeds the share by.
    const bool isNeedCurrent
        = need != row.needs.end() && need->second >= own.rate + missing / 2 && need->second < wanted + 5 * step;
    const bool isWorthTaking = taken >= std::min(step, missing);
    if (isNeedCurrent && !isWorthTaking)
        return std::nullopt;
    write.row.needs[m_self] = wanted;
    if (isWorthTaking) {
        write.reason = "grow";
        const auto rate = own.rate + taken;
        const auto burst
            = std::clamp(burstFor(rate, row.total, m_regions.size()), own.burst, own.burst + row.remainder.burst);
        write.row.setShare(m_self, { rate, burst });
    }
    return write;
}

ShareTable::ShareTable(RegionId self, std::vector<RegionId> regions, RegionLedger& ledger, EventLog& log)
    : m_implementation(std::make_unique<Implementation>(std::move(self), std::move(regions), ledger, log))
{
}

ShareTable::~ShareTable() = default;

void ShareTable::setWorkspace(
    const WorkspaceId& id, const BudgetShare& total, std::uint64_t configurationVersion, TimePoint now)
{
    m_implementation->setWorkspace(id, total, configurationVersion, now);
}

void ShareTable::removeWorkspace(const WorkspaceId& id, TimePoint now) { m_implementation->removeWorkspace(id, now); }

std::optional<StoreRequest> ShareTable::next(const ShareInputs& inputs, TimePoint now)
{
    return m_implementation->next(inputs, now);
}

void ShareTable::completed(const StoreResult& result, TimePoint now) { m_implementation->completed(result, now); }

BudgetShare ShareTable::share(const WorkspaceId& id) const { return m_implementation->share(id); }

}
