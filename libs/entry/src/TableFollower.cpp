#include "entry/TableFollower.h"

#include "base/LogLine.h"
#include "base/SteadyTime.h"

#include <algorithm>

namespace peridot {

TableFollower::TableFollower(boost::asio::io_context& context, TableStore& store, TableRelay& relay,
    TableFollowerOptions options, Handlers handlers, EventLog& log)
    : m_store(store)
    , m_relay(relay)
    , m_options(std::move(options))
    , m_handlers(std::move(handlers))
    , m_log(log)
    , m_timer(context)
    , m_overdueTimer(context)
{
}

TableFollower::~TableFollower() { *m_isAlive = false; }

void TableFollower::start() { readSnapshot({}); }

void TableFollower::callAfter(Duration delay, std::function<void()> next)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([next = std::move(next), isAlive = m_isAlive](const boost::system::error_code& ec) {
        if (!ec && *isAlive)
            next();
    });
}

void TableFollower::readSnapshot(const std::string& firstKey)
{
    if (firstKey.empty())
        m_snapshotRows.clear();
    m_callStart = steadyNow();
    m_store.read(m_options.table, firstKey, [this, isAlive = m_isAlive](Result<StoreRows> rows) {
        if (!*isAlive)
            return;
        if (!rows) {
            storeCallFailed(rows.error(), [this] { readSnapshot({}); });
            return;
        }
        // The table may change between two parts. m_version is the version of the first part, so that all later changes
        // are read again as changes.
        if (m_snapshotRows.empty())
            m_version = rows->version;
        std::move(rows->rows.begin(), rows->rows.end(), std::back_inserter(m_snapshotRows));
        if (rows->hasMore && !m_snapshotRows.empty()) {
            readSnapshot(m_snapshotRows.back().key + '\0');
            return;
        }
        m_relay.directReadSucceeded();
        updateSucceeded(m_callStart);
        m_relay.addChanges(m_options.table, m_version, { {}, m_version, false }, m_callStart, steadyNow());
        m_handlers.onSnapshot(std::exchange(m_snapshotRows, {}), m_version);
        callAfter(m_options.storeCallPause, [this] { pullOrReadChanges(); });
    });
}

void TableFollower::pullOrReadChanges()
{
    if (m_relay.canPull(steadyNow()))
        pullChanges();
    else
        readUnlessBackingOff();
}

void TableFollower::readUnlessBackingOff()
{
    if (m_relay.isReader() || m_relay.tryDirectRead(steadyNow()))
        readChanges();
    else if (m_relay.canPull(steadyNow()))
        pullChanges(); // The reader that failed is skipped now, so this pulls from the next one.
    else
        callAfter(m_options.readerPullInterval, [this] { pullOrReadChanges(); });
}

void TableFollower::pullChanges()
{
    m_relay.pull(m_options.table, m_version, m_options.wait, steadyNow(),
        [this, isAlive = m_isAlive](const std::optional<TableRelay::Changes>& changes) {
            if (!*isAlive)
                return;
            if (!changes) {
                readUnlessBackingOff();
                return;
            }
            // The peer reads the store, so this instance must not answer pulls from its own history any longer.
            m_relay.stopServing(m_options.table, steadyNow());
            applyChanges(changes->rows, changes->asOf);
            callAfter(m_options.pullPause, [this] { pullOrReadChanges(); });
        });
}

void TableFollower::readChanges()
{
    m_callStart = steadyNow();
    m_relay.startReading(m_options.table, m_version);
    startOverdueTimer();
    m_store.changes(m_options.table, m_version, m_options.wait, [this, isAlive = m_isAlive](Result<StoreRows> rows) {
        if (!*isAlive)
            return;
        m_overdueTimer.cancel();
        if (!rows && rows.error().code == ErrorCode::NotFound) {
            m_log.write(
                LogLevel::Info, LogLine("table_history_lost").add("table", m_options.table).add("version", m_version));
            readSnapshot({});
            return;
        }
        if (!rows) {
            storeCallFailed(rows.error(), [this] { pullOrReadChanges(); });
            return;
        }
        m_relay.directReadSucceeded();
        markSignificant(*rows);
        m_relay.addChanges(m_options.table, m_version, *rows, m_callStart, steadyNow());
        std::erase_if(rows->rows, [](const auto& row) { return !row.isNews; });
        applyChanges(*rows, m_callStart);
        callAfter(m_options.storeCallPause, [this] { pullOrReadChanges(); });
    });
}

void TableFollower::startOverdueTimer()
{
    m_overdueTimer.expires_after(m_options.wait + m_options.callOverdueMargin);
    m_overdueTimer.async_wait([this, isAlive = m_isAlive](const boost::system::error_code& ec) {
        if (!ec && *isAlive)
            m_relay.stopServing(m_options.table, steadyNow());
    });
}

void TableFollower::markSignificant(StoreRows& rows) const
{
    if (!m_handlers.isSignificant)
        return;
    for (auto& row : rows.rows)
        row.isNews = m_handlers.isSignificant(row);
}

void TableFollower::applyChanges(const StoreRows& rows, TimePoint asOf)
{
    m_version = std::max(m_version, rows.version);
    updateSucceeded(asOf);
    if (!rows.rows.empty())
        m_handlers.onChanges(rows.rows);
}

void TableFollower::updateSucceeded(TimePoint asOf)
{
    m_retryDelay = Duration { 0 };
    m_asOf = std::max(m_asOf, asOf);
    if (std::exchange(m_isReached, true))
        return;
    m_log.write(LogLevel::Info, LogLine("store_reached").add("table", m_options.table).add("version", m_version));
    m_handlers.onContactChanged(true);
}

void TableFollower::storeCallFailed(const Error& error, std::function<void()> next)
{
    m_relay.storeContactLost(m_options.table, steadyNow());
    m_retryDelay = std::clamp(m_retryDelay * 2, m_options.minimumRetryDelay, m_options.maximumRetryDelay);
    if (std::exchange(m_isReached, false)) {
        m_log.write(
            LogLevel::Warning, LogLine("store_lost").add("table", m_options.table).add("error", error.describe()));
        m_handlers.onContactChanged(false);
    }
    // The jitter keeps instances that lost the store at the same time from retrying at the same time.
    const auto jitter = std::uniform_int_distribution<Duration::rep>(0, m_retryDelay.count() / 2)(m_random);
    if (!m_relay.isReader())
        m_relay.directReadFailed(Duration { jitter }, steadyNow());
    callAfter(m_retryDelay + Duration { jitter }, std::move(next));
}

}
