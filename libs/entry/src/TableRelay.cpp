#include "entry/TableRelay.h"

#include "base/LogLine.h"

#include <algorithm>
#include <utility>

namespace peridot {

namespace {

    constexpr Duration maximumPullWait = std::chrono::seconds { 5 }; // Upper bound on the wait of a pull.

    /** ValueExchange holds large values. */
    StoreRow withoutLargeValue(StoreRow row)
    {
        if (row.largeValue)
            row.value.clear();
        return row;
    }

}

TableRelay::TableRelay(InstanceId self, TableRelayOptions options, Ports ports, StoreEras& eras, EventLog& log)
    : m_self(std::move(self))
    , m_options(options)
    , m_ports(std::move(ports))
    , m_eras(eras)
    , m_log(log)
{
}

/** Returns the first reader that is not skipped. The address is empty if this instance has to read the store itself. */
TableReader TableRelay::reader(const std::string& table, TimePoint now) const
{
    for (const auto& candidate : m_ports.readers()) {
        const auto skipped = m_skippedUntil.find(candidate.id);
        const auto unknown = m_unknownChanges.find({ table, candidate.id });
        if ((skipped == m_skippedUntil.end() || skipped->second <= now)
            && (unknown == m_unknownChanges.end() || unknown->second.until <= now))
            return candidate.id == m_self ? TableReader {} : candidate;
    }
    return {};
}

std::vector<PeerInstance> TableRelay::valueSources(const PeerInstance& teller) const
{
    return peridot::valueSources(m_self, teller, m_ports.instances());
}

bool TableRelay::isReader() const
{
    const auto readers = m_ports.readers();
    return readers.empty()
        || std::any_of(readers.begin(), readers.end(), [this](const auto& it) { return it.id == m_self; });
}

bool TableRelay::tryDirectRead(TimePoint now)
{
    if (!m_nextDirectRead)
        return true;
    if (now < *m_nextDirectRead)
        return false;
    m_nextDirectRead = now + m_options.failedStoreBackoff;
    return true;
}

void TableRelay::logSkip(const InstanceId& reader, const char* reason, const std::string& table)
{
    m_log.write(LogLevel::Info,
        LogLine("table_reader_passed_over").add("reader", reader).add("reason", reason).add("table", table));
}

void TableRelay::pull(
    const std::string& table, const StorePosition& known, Duration wait, TimePoint now, PullHandler handler)
{
    const auto target = reader(table, now);
    const auto position = m_eras.resolve(known).value_or(known);
    const auto sequence = ++m_sequence;
    const auto source = m_versionSources.find(table);
    const bool wantsAll = source == m_versionSources.end() || source->second != target.id;
    m_openPulls.emplace(
        sequence, OpenPull { table, position, target, now, now + wait + m_options.answerMargin, std::move(handler) });
    m_ports.sendPull(target.address, { sequence, table, position, wait, wantsAll, m_eras.newest(), true });
}

void TableRelay::receive(const TableChanges& changes, TimePoint now)
{
    auto node = m_openPulls.extract(changes.sequence);
    if (node.empty())
        return;
    const auto& pull = node.mapped();
    const auto position = m_eras.resolve(changes.position);
    const bool isOfPulledEra = position && position->era == pull.position.era;
    if (!changes.isKnown || !position || position->era < m_eras.newest() || (!changes.isWhole && !isOfPulledEra)) {
        auto& unknown = m_unknownChanges[{ pull.table, pull.reader.id }];
        unknown.backoff
            = std::clamp(unknown.backoff * 2, m_options.unknownChangesBackoff, m_options.maximumUnknownChangesBackoff);
        unknown.until = now + unknown.backoff;
        logSkip(pull.reader.id, "not_known", pull.table);
        pull.handler(tl::make_unexpected(PullFailure::NotKnown));
        return;
    }
    m_unknownChanges.erase({ pull.table, pull.reader.id });
    // If the reader's position is older than that of the pull, it has not yet read all that this instance has received,
    // and does not count as the source of its position.
    if (*position >= pull.position)
        m_versionSources.insert_or_assign(pull.table, pull.reader.id);
    // The transit time of both messages is added to the age, because the response may have been delayed in transit.
    const auto transitTime = std::max(now - pull.sent - changes.held, Duration { 0 });
    auto rows = changes.rows;
    for (auto& row : rows)
        row.position.era = position->era;
    pull.handler(Changes {
        { std::move(rows), *position, false }, now - changes.age - transitTime, changes.isWhole, pull.reader });
    // After the response has been applied, so that the follower of this table need not ask again.
    m_eras.learn(position->era, pull.reader.id.value());
}

/** Registers the table before the first response of the store. Otherwise a reader that the store refuses and that pulls
 *  from the next reader would be answered "not known" while that reader waits for its first response, and would receive
 *  changes seconds late. */
void TableRelay::startReading(const std::string& name, const StorePosition& since)
{
    m_tables.try_emplace(name, Table { .historyStart = since, .position = since });
}

void TableRelay::addChanges(
    const std::string& name, const StorePosition& since, const StoreRows& rows, TimePoint asOf, TimePoint now)
{
    auto& table = m_tables[name];
    if (table.position != since || table.changedRows.size() + rows.rows.size() > m_options.maximumHistoryRows) {
        table.changedRows.clear();
        table.isWhole = false;
        table.newestRow = table.newestSignificant = {};
        table.historyStart = since;
    }
    m_versionSources.erase(name);
    for (const auto& row : rows.rows)
        put(table, row);
    readSucceeded(table, std::max(rows.position, since), asOf, now);
}

void TableRelay::put(Table& table, const StoreRow& row)
{
    auto& changed = table.changedRows[row.key];
    changed.row = withoutLargeValue(row);
    table.newestRow = std::max(table.newestRow, row.position);
    if (row.isNews) {
        changed.significantPosition = row.position;
        table.newestSignificant = std::max(table.newestSignificant, row.position);
    }
}

void TableRelay::addEarlyChanges(const std::string& name, const std::vector<StoreRow>& rows, TimePoint now)
{
    const auto it = m_tables.find(name);
    if (it == m_tables.end() || !it->second.asOf || it->second.awaitsSnapshot)
        return;
    for (const auto& row : rows)
        put(it->second, row);
    answerHeld(it->second, now);
}

void TableRelay::addSnapshot(const std::string& name, const std::vector<StoreRow>& rows, const StorePosition& position,
    TimePoint asOf, TimePoint now)
{
    auto& table = m_tables[name];
    table = Table { .historyStart = position, .held = std::move(table.held) };
    table.isWhole = rows.size() <= m_options.maximumHistoryRows;
    m_versionSources.erase(name);
    if (table.isWhole) {
        for (const auto& row : rows)
            table.changedRows.insert_or_assign(row.key, ChangedRow { withoutLargeValue(row), {} });
    }
    readSucceeded(table, position, asOf, now);
}

void TableRelay::readSucceeded(Table& table, const StorePosition& position, TimePoint asOf, TimePoint now)
{
    table.position = position;
    table.asOf = asOf;
    table.awaitsSnapshot = false;
    answerHeld(table, now);
}

void TableRelay::answerHeld(Table& table, TimePoint now)
{
    const auto firstAnswerable = std::stable_partition(table.held.begin(), table.held.end(),
        [&](const auto& held) { return !hasChangesFor(held, table) && held.pull.wait > Duration { 0 }; });
    for (auto it = firstAnswerable; it != table.held.end(); ++it)
        answer(*it, &table, now);
    table.held.erase(firstAnswerable, table.held.end());
}

void TableRelay::awaitSnapshot(const std::string& name)
{
    if (const auto it = m_tables.find(name); it != m_tables.end())
        it->second = Table { .awaitsSnapshot = true, .held = std::move(it->second.held) };
}

bool TableRelay::hasChangesFor(const HeldPull& held, const Table& table)
{
    return held.pull.position < table.historyStart
        || (held.pull.wantsAll ? table.newestRow : table.newestSignificant) > held.pull.position;
}

bool TableRelay::needsWholeTable(const HeldPull& held, const Table& table)
{
    return held.pull.position < table.historyStart;
}

bool TableRelay::canAnswer(const HeldPull& held, const Table& table)
{
    if (table.awaitsSnapshot)
        return held.takesWholeTables;
    return !needsWholeTable(held, table) || (table.isWhole && held.takesWholeTables);
}

bool TableRelay::hasForeignValues(const HeldPull& held, const std::vector<StoreRow>& rows)
{
    return !held.pull.takesLargeValues
        && std::any_of(rows.begin(), rows.end(), [](const auto& row) { return row.largeValue.has_value(); });
}

void TableRelay::stopServing(const std::string& name, TimePoint now)
{
    const auto node = m_tables.extract(name);
    if (node.empty())
        return;
    for (const auto& held : node.mapped().held)
        answer(held, nullptr, now);
}

void TableRelay::storeContactLost(const std::string& name, TimePoint now)
{
    stopServing(name, now);
    m_skippedUntil[m_self] = now + m_options.unresponsiveReaderBackoff;
}

void TableRelay::receive(const std::string& senderAddress, const TablePull& pull, TimePoint now)
{
    // Before the table is looked at, because a new era discards it.
    const auto newestEra = std::max(pull.newestEra, pull.position.era);
    m_eras.learn(newestEra, senderAddress);
    const auto position = m_eras.resolve(pull.position);
    HeldPull held { senderAddress, pull, newestEra.has_value(), now, now + std::min(pull.wait, maximumPullWait) };
    held.pull.position = position.value_or(StorePosition {});
    const auto it = m_tables.find(pull.table);
    if (it == m_tables.end() || !position || !canAnswer(held, it->second)) {
        answer(held, nullptr, now);
        return;
    }
    auto& table = it->second;
    if (!table.asOf)
        held.deadline = std::max(held.deadline, now + m_options.firstResponseWait);
    if ((table.asOf && hasChangesFor(held, table)) || held.deadline <= now)
        answer(held, &table, now);
    else
        table.held.push_back(held);
}

/** If @p table is null, has not been read yet or has a history that does not cover the pull, the response says that the
 *  changes are not known, and the peer has to read the store itself. */
void TableRelay::answer(const HeldPull& held, const Table* table, TimePoint now)
{
    TableChanges changes;
    if (table && table->asOf && canAnswer(held, *table)) {
        changes.isKnown = true;
        changes.position = table->position;
        changes.isWhole = needsWholeTable(held, *table);
        changes.age = now - *table->asOf;
        changes.held = now - held.received;
        for (const auto& [key, changed] : table->changedRows) {
            const auto& position = held.pull.wantsAll ? changed.row.position : changed.significantPosition;
            if (changes.isWhole ? !changed.row.isRemoved : position > held.pull.position)
                changes.rows.push_back(changed.row);
        }
        if (hasForeignValues(held, changes.rows))
            changes = TableChanges {};
    }
    changes.sequence = held.pull.sequence;
    m_ports.sendChanges(held.address, std::move(changes));
}

void TableRelay::tick(TimePoint now)
{
    for (auto& [name, table] : m_tables) {
        const auto hasExpired = [now](const HeldPull& held) { return held.deadline <= now; };
        for (const auto& held : table.held) {
            if (hasExpired(held))
                answer(held, &table, now);
        }
        std::erase_if(table.held, hasExpired);
    }
    const bool wasPaused = m_lastTick && now - *m_lastTick > m_options.longestTick;
    m_lastTick = now;
    std::vector<OpenPull> expired;
    for (auto it = m_openPulls.begin(); it != m_openPulls.end();) {
        const bool isOverdue = it->second.deadline <= now;
        // Once only: a process with little processor time may be late at each tick.
        if (!isOverdue || (wasPaused && !std::exchange(it->second.isSpared, true))) {
            ++it;
            continue;
        }
        expired.push_back(std::move(it->second));
        it = m_openPulls.erase(it);
    }
    for (const auto& pull : expired) {
        m_skippedUntil[pull.reader.id] = now + m_options.unresponsiveReaderBackoff;
        logSkip(pull.reader.id, "silent", pull.table);
        pull.handler(tl::make_unexpected(PullFailure::Silent));
    }
}

}
