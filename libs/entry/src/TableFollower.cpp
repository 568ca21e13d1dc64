#include "entry/TableFollower.h"

#include "base/LogLine.h"

#include <algorithm>

namespace peridot {

namespace {

    constexpr Duration longestTimerDelay = std::chrono::milliseconds { 100 }; // Of a process that is not paused.
    // Time between two attempts to read a row from the store whose value no peer could provide.
    constexpr Duration fetchRetryDelay = std::chrono::seconds { 1 };

}

TableFollower::TableFollower(Timers& timers, TableStore& store, TableRelay& relay, ValueExchange& values,
    const StoreEras& eras, TableFollowerOptions options, Handlers handlers, EventLog& log)
    : m_timers(timers)
    , m_store(store)
    , m_relay(relay)
    , m_values(values)
    , m_eras(eras)
    , m_options(std::move(options))
    , m_handlers(std::move(handlers))
    , m_log(log)
    , m_timer(timers.makeTimer())
    , m_overdueTimer(timers.makeTimer())
{
}

TableFollower::~TableFollower() { *m_isAlive = false; }

void TableFollower::start() { readSnapshot({}); }

TableFollower::OperationId TableFollower::beginOperation(const char* name, Duration limit)
{
    m_operationName = name;
    m_isReadingTable = false;
    m_operationStart = m_timers.now();
    m_operationDeadline = m_operationStart + limit + m_options.operationOverdueMargin;
    return ++m_operation;
}

void TableFollower::checkProgress(TimePoint now)
{
    if (m_operation == 0)
        return;
    readFailedFetches(now);
    readUrgentRows(now);
    if (now <= std::max(m_operationDeadline, m_store.lastProgress(m_options.table) + m_options.operationOverdueMargin))
        return;
    ++m_abandonedOperations;
    m_log.write(LogLevel::Warning,
        LogLine("table_update_overdue")
            .add("table", m_options.table)
            .add("waited_for", m_operationName)
            .add("since_ms", now - m_operationStart)
            .add("age_ms", now - m_asOf));
    confirm();
}

void TableFollower::confirmSince(TimePoint since)
{
    if (m_operation != 0 && m_operationStart < since)
        confirm();
}

void TableFollower::confirm()
{
    m_relay.stopServing(m_options.table, m_timers.now());
    beginAnew();
}

void TableFollower::storeRestored()
{
    if (m_operation == 0 || isOfNewestEra())
        return;
    m_relay.awaitSnapshot(m_options.table);
    beginAnew();
}

void TableFollower::beginAnew()
{
    m_needsConfirmation = true;
    m_timer->cancel();
    m_overdueTimer->cancel();
    if (m_hasSnapshot)
        pullOrReadChanges();
    else
        readSnapshot({});
}

void TableFollower::callAfter(Duration delay, std::function<void()> next)
{
    const auto operation = beginOperation("pause", delay);
    m_timer->start(delay, [this, operation, next = std::move(next), isAlive = m_isAlive] {
        if (*isAlive && isCurrent(operation))
            next();
    });
}

void TableFollower::readSnapshot(const std::string& firstKey)
{
    const auto operation = beginOperation("snapshot", Duration { 0 });
    m_isReadingTable = true;
    if (firstKey.empty()) {
        m_snapshotRows.clear();
        m_snapshotStart = m_operationStart;
    }
    m_store.read(m_options.table, firstKey, [this, operation, isAlive = m_isAlive](Result<StoreRows> rows) {
        if (!*isAlive || !isCurrent(operation))
            return;
        attemptEnded();
        if (!rows) {
            storeCallFailed(rows.error(), [this] { m_hasSnapshot ? pullOrReadChanges() : readSnapshot({}); });
            return;
        }
        // The table may change between two parts. The position is that of the first part, so that all later changes
        // are read again as changes.
        if (m_snapshotRows.empty())
            m_snapshotPosition = rows->position;
        std::move(rows->rows.begin(), rows->rows.end(), std::back_inserter(m_snapshotRows));
        if (rows->hasMore && !m_snapshotRows.empty()) {
            readSnapshot(m_snapshotRows.back().key + '\0');
            return;
        }
        m_relay.directReadSucceeded();
        keepLargeValues(m_snapshotRows);
        m_relay.addSnapshot(m_options.table, m_snapshotRows, m_snapshotPosition, m_snapshotStart, m_timers.now());
        applySnapshot(std::exchange(m_snapshotRows, {}), m_snapshotPosition, m_snapshotStart, nullptr);
        callAfter(m_options.storeCallPause, [this] { pullOrReadChanges(); });
    });
}

void TableFollower::applySnapshot(
    const std::vector<StoreRow>& rows, const StorePosition& position, TimePoint asOf, const PeerInstance* teller)
{
    const bool isRestored = std::exchange(m_hasSnapshot, true) && position.era > m_position.era && m_position.era;
    m_position = position;
    updateSucceeded(asOf);
    if (isRestored)
        m_log.write(LogLevel::Info,
            LogLine("table_restored")
                .add("table", m_options.table)
                .add("era", *position.era)
                .add("version", position.version)
                .add("rows", rows.size()));
    while (!m_awaited.empty())
        dropAwaited(m_awaited.begin());
    m_handlers.onSnapshot({ takeComplete(rows, teller), position, isRestored });
}

void TableFollower::pullOrReadChanges()
{
    if (m_relay.canPull(m_options.table, m_timers.now()))
        pullChanges();
    else
        readUnlessBackingOff();
}

void TableFollower::readUnlessBackingOff()
{
    if (m_relay.isReader() || m_relay.tryDirectRead(m_timers.now()))
        isOfNewestEra() ? readChanges() : readSnapshot({});
    else if (m_relay.canPull(m_options.table, m_timers.now()))
        pullChanges(); // The reader that failed is skipped now, so this pulls from the next one.
    else
        callAfter(m_options.readerPullInterval, [this] { pullOrReadChanges(); });
}

void TableFollower::pullChanges()
{
    const auto pullWait = std::min(wait(), m_options.maximumPullWait);
    const auto operation = beginOperation("pull", pullWait);
    m_relay.pull(m_options.table, m_position, pullWait, m_timers.now(),
        [this, operation, isAlive = m_isAlive](const TableRelay::PullResult& changes) {
            if (!*isAlive || !isCurrent(operation))
                return;
            attemptEnded();
            if (!changes) {
                // A reader that does not know the changes says so at once, so asking the next one costs no time.
                m_needsConfirmation = true;
                if (changes.error() == PullFailure::NotKnown && m_relay.canPull(m_options.table, m_timers.now()))
                    pullChanges();
                else
                    readUnlessBackingOff();
                return;
            }
            // The peer reads the store, so this instance must not answer pulls from its own history any longer.
            m_relay.stopServing(m_options.table, m_timers.now());
            logReceived("peer", changes->rows, changes->asOf);
            if (changes->isWhole)
                applySnapshot(changes->rows.rows, changes->rows.position, changes->asOf, &changes->reader);
            else
                applyChanges(changes->rows, changes->asOf, &changes->reader);
            // Until the position has caught up, each response holds the urgent rows again.
            callAfter(m_newestRow > m_position ? m_options.urgentReadInterval : m_options.pullPause,
                [this] { pullOrReadChanges(); });
        });
}

void TableFollower::readChanges()
{
    const auto operation = beginOperation("changes", wait());
    m_relay.startReading(m_options.table, m_position);
    startOverdueTimer(wait() + m_options.callOverdueMargin, true);
    m_store.changes(
        m_options.table, m_position, wait(), [this, operation, isAlive = m_isAlive](Result<StoreRows> rows) {
            if (!*isAlive || !isCurrent(operation))
                return;
            attemptEnded();
            m_overdueTimer->cancel();
            if (!rows && rows.error().code == ErrorCode::NotFound) {
                m_log.write(LogLevel::Info,
                    LogLine("table_history_lost").add("table", m_options.table).add("version", m_position.version));
                readSnapshot({});
                return;
            }
            if (!rows) {
                storeCallFailed(rows.error(), [this] { pullOrReadChanges(); });
                return;
            }
            m_relay.directReadSucceeded();
            if (rows->position.era != m_position.era) {
                readSnapshot({}); // The changes are those of another history.
                return;
            }
            markSignificant(*rows);
            keepLargeValues(rows->rows);
            m_relay.addChanges(m_options.table, m_position, *rows, m_operationStart, m_timers.now());
            std::erase_if(rows->rows, [](const auto& row) { return !row.isNews; });
            logReceived("store", *rows, m_operationStart);
            applyChanges(*rows, m_operationStart, nullptr);
            callAfter(m_options.storeCallPause, [this] { pullOrReadChanges(); });
        });
}

void TableFollower::logReceived(const char* source, const StoreRows& rows, TimePoint asOf) const
{
    if (rows.rows.empty() || !m_log.isEnabled(LogLevel::Info))
        return;
    std::size_t bytes = 0;
    for (const auto& row : rows.rows)
        bytes += row.value.size();
    const auto now = m_timers.now();
    m_log.write(LogLevel::Info,
        LogLine("table_changes_received")
            .add("table", m_options.table)
            .add("source", source)
            .add("version", rows.position.version)
            .add("rows", rows.rows.size())
            .add("bytes", bytes)
            .add("asked_ms", now - m_operationStart)
            .add("age_ms", now - asOf));
}

void TableFollower::startOverdueTimer(Duration delay, bool mayBeLate)
{
    m_overdueTimer->start(delay, [this, mayBeLate, isAlive = m_isAlive] {
        if (!*isAlive)
            return;
        // After a pause of the process, the response may wait behind this handler.
        if (mayBeLate && m_overdueTimer->lateness() > longestTimerDelay)
            startOverdueTimer(longestTimerDelay, false);
        else if (isReceiving(m_timers.now()))
            startOverdueTimer(m_options.callOverdueMargin, false);
        else
            m_relay.stopServing(m_options.table, m_timers.now());
    });
}

bool TableFollower::isReceiving(TimePoint now) const
{
    const auto last = m_store.lastProgress(m_options.table);
    return last >= m_operationStart && now - last <= m_options.callOverdueMargin;
}

void TableFollower::readUrgentRows(TimePoint now)
{
    if (m_options.urgentRowsFrom.empty() || !m_hasSnapshot || !isReceiving(now)) {
        m_nextUrgentRead.reset();
        return;
    }
    if (!m_nextUrgentRead)
        m_nextUrgentRead = now + m_options.urgentReadInterval;
    if (m_isReadingUrgentRows || now < *m_nextUrgentRead)
        return;
    m_nextUrgentRead = now + m_options.urgentReadInterval;
    m_isReadingUrgentRows = true;
    m_store.read(m_options.table, m_options.urgentRowsFrom,
        [this, operation = m_operation, isAlive = m_isAlive](Result<StoreRows> rows) {
            if (!*isAlive)
                return;
            m_isReadingUrgentRows = false;
            // The response that was coming in may have brought later rows since.
            if (!rows || !isCurrent(operation) || rows->position.era != m_position.era)
                return;
            std::erase_if(rows->rows, [this](const auto& row) {
                return row.position <= std::max(m_position, m_newestRow) || row.value.size() > largestInlineValue;
            });
            if (rows->rows.empty())
                return;
            logReceived("store_early", *rows, m_operationStart);
            m_relay.addEarlyChanges(m_options.table, rows->rows, m_timers.now());
            m_handlers.onChanges(takeComplete(rows->rows, nullptr));
        });
}

void TableFollower::markSignificant(StoreRows& rows) const
{
    if (!m_handlers.isSignificant)
        return;
    for (auto& row : rows.rows)
        row.isNews = m_handlers.isSignificant(row);
}

void TableFollower::applyChanges(const StoreRows& rows, TimePoint asOf, const PeerInstance* teller)
{
    m_position = std::max(m_position, rows.position);
    updateSucceeded(asOf);
    if (const auto complete = takeComplete(rows.rows, teller); !complete.empty())
        m_handlers.onChanges(complete);
}

void TableFollower::keepLargeValues(std::vector<StoreRow>& rows)
{
    for (auto& row : rows) {
        if (!row.isRemoved && row.value.size() > largestInlineValue)
            row.largeValue = m_values.add(row.value);
    }
}

std::vector<StoreRow> TableFollower::takeComplete(const std::vector<StoreRow>& rows, const PeerInstance* teller)
{
    std::vector<StoreRow> complete;
    for (const auto& row : rows) {
        const auto awaited = m_awaited.find(row.key);
        if (awaited != m_awaited.end() && row.position < awaited->second.first.row.position)
            continue;
        auto value = row.value;
        if (row.largeValue && value.empty()) {
            if (const auto kept = m_values.find(*row.largeValue)) {
                value = *kept;
            } else if (awaited == m_awaited.end()) {
                fetch(m_awaited.emplace(row.key, AwaitedKey { { row, *teller, m_timers.now() } }).first->second.first);
                continue;
            } else {
                if (row.position > awaited->second.first.row.position)
                    awaited->second.newest = AwaitedRow { row, *teller, m_timers.now() };
                continue;
            }
        }
        if (awaited != m_awaited.end())
            dropAwaited(awaited);
        if (row.largeValue)
            m_largeValues.insert_or_assign(row.key, *row.largeValue);
        else
            m_largeValues.erase(row.key);
        if (row.position > std::max(m_position, m_newestRow) && m_newestRow <= m_position)
            m_overtakenSince = m_timers.now();
        m_newestRow = std::max(m_newestRow, row.position);
        complete.push_back(row);
        complete.back().value = std::move(value);
    }
    return complete;
}

void TableFollower::fetch(AwaitedRow& awaited)
{
    const auto& row = awaited.row;
    const auto base = m_largeValues.find(row.key);
    m_log.write(LogLevel::Info,
        LogLine("large_value_awaited")
            .add("table", m_options.table)
            .add("key", row.key)
            .add("version", row.position.version)
            .add("value", row.largeValue->low)
            .add("bytes", row.largeValue->bytes)
            .add("teller", awaited.teller.id)
            .add("known_ms", m_timers.now() - awaited.known));
    awaited.fetch = m_values.fetch(*row.largeValue,
        base == m_largeValues.end() ? std::nullopt : std::optional(base->second), m_relay.valueSources(awaited.teller),
        [this, key = row.key, id = *row.largeValue, isAlive = m_isAlive](const ValueExchange::Value& value) {
            if (*isAlive)
                fetched(key, id, value);
        });
}

void TableFollower::fetched(const std::string& key, const ValueId& id, const ValueExchange::Value& value)
{
    const auto it = m_awaited.find(key);
    if (it == m_awaited.end() || it->second.first.row.largeValue != id)
        return;
    auto& first = it->second.first;
    first.fetch.reset();
    if (!value) {
        if (it->second.newest)
            endFirst(it);
        else
            readFailedFetches(m_timers.now());
        return;
    }
    auto row = std::move(first.row);
    row.value = *value;
    m_largeValues.insert_or_assign(key, id);
    endFirst(it);
    m_handlers.onChanges({ row });
}

void TableFollower::endFirst(std::map<std::string, AwaitedKey>::iterator it)
{
    auto& [key, awaited] = *it;
    if (!awaited.newest) {
        m_awaited.erase(it);
        return;
    }
    awaited.first = std::move(*awaited.newest);
    awaited.newest.reset();
    fetch(awaited.first);
}

void TableFollower::dropAwaited(std::map<std::string, AwaitedKey>::iterator it)
{
    if (it->second.first.fetch)
        m_values.cancel(*it->second.first.fetch);
    m_awaited.erase(it);
}

/** Reads the table from the store if no peer could provide a value. */
void TableFollower::readFailedFetches(TimePoint now)
{
    const auto isDue = [&](const auto& it) { return !it.second.first.fetch && it.second.first.nextAttempt <= now; };
    // A read that was begun anew while its response comes in would never end.
    if (m_isReadingTable || isReceiving(now) || std::none_of(m_awaited.begin(), m_awaited.end(), isDue))
        return;
    for (auto& [key, awaited] : m_awaited)
        awaited.first.nextAttempt = now + fetchRetryDelay;
    if (!m_relay.isReader() && !m_relay.tryDirectRead(now))
        return;
    m_timer->cancel();
    m_overdueTimer->cancel();
    readSnapshot({});
}

std::optional<TimePoint> TableFollower::behindSince() const
{
    std::optional<TimePoint> since;
    if (m_newestRow > m_position)
        since = m_overtakenSince;
    for (const auto& [key, awaited] : m_awaited)
        since = since ? std::min(*since, awaited.first.known) : awaited.first.known;
    return since;
}

void TableFollower::updateSucceeded(TimePoint asOf)
{
    m_retryDelay = Duration { 0 };
    m_needsConfirmation = false;
    m_asOf = std::max(m_asOf, asOf);
    if (std::exchange(m_isReached, true))
        return;
    m_log.write(
        LogLevel::Info, LogLine("store_reached").add("table", m_options.table).add("version", m_position.version));
    m_handlers.onContactChanged(true);
}

void TableFollower::storeCallFailed(const Error& error, std::function<void()> next)
{
    m_relay.storeContactLost(m_options.table, m_timers.now());
    m_needsConfirmation = true;
    m_retryDelay = std::clamp(m_retryDelay * 2, m_options.minimumRetryDelay, m_options.maximumRetryDelay);
    if (std::exchange(m_isReached, false)) {
        m_log.write(
            LogLevel::Warning, LogLine("store_lost").add("table", m_options.table).add("error", error.describe()));
        m_handlers.onContactChanged(false);
    }
    // The jitter keeps instances that lost the store at the same time from retrying at the same time.
    const auto jitter = std::uniform_int_distribution<Duration::rep>(0, m_retryDelay.count() / 2)(m_random);
    if (!m_relay.isReader())
        m_relay.directReadFailed(Duration { jitter }, m_timers.now());
    callAfter(m_retryDelay + Duration { jitter }, std::move(next));
}

}
