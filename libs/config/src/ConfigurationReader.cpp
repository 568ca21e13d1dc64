// Head reads overlap if the store is slow: each one is evidence as of its own start.

#include "config/ConfigurationReader.h"

namespace peridot {

ConfigurationReader::ConfigurationReader(ConfigurationReaderSettings settings, EventLog& log)
    : m_settings(settings)
    , m_log(log)
{
}

ConfigurationReader::Output ConfigurationReader::tick(bool polls, const std::vector<InstanceId>& peers, TimePoint now)
{
    Output output;
    dropOverdueCalls(now);
    if (polls && (!m_lastPoll || now - *m_lastPoll >= m_settings.pollInterval))
        readHead(now, output);
    if (m_highestHeard > version())
        fetchNewer(peers, now, output);
    return output;
}

void ConfigurationReader::dropOverdueCalls(TimePoint now)
{
    // The surroundings report every call; this bounds the table if they lose one.
    std::erase_if(m_calls, [&](const auto& item) { return now - item.second.start > 4 * m_settings.callTimeout; });
    if (m_objectCallStart && now - *m_objectCallStart > m_settings.callTimeout)
        m_objectCallStart.reset();
}

void ConfigurationReader::readHead(TimePoint now, Output& output)
{
    m_lastPoll = now;
    const auto id = m_nextCall++;
    m_calls.emplace(id, OpenCall { now, true, {} });
    output.calls.push_back({ id, TableRead { { configurationHeadKey } }, m_settings.callTimeout });
}

void ConfigurationReader::fetchNewer(const std::vector<InstanceId>& peers, TimePoint now, Output& output)
{
    if (m_lastAttempt && now - *m_lastAttempt < m_settings.peerTimeout)
        return;
    m_lastAttempt = now;
    const auto attempt = m_attempts++;
    const auto round = m_settings.peerAttempts + 1; // The store is asked once after each round of peers.
    if (!peers.empty() && attempt % round < m_settings.peerAttempts) {
        m_openPull = m_nextPull++;
        output.pulls.push_back({ peers[attempt % peers.size()], ConfigurationPull { m_openPull, version() } });
    } else if (!m_lastPoll || now - *m_lastPoll >= m_settings.peerTimeout) {
        readHead(now, output);
    }
}

ConfigurationReader::Output ConfigurationReader::storeCompleted(
    std::uint64_t callId, const StoreResult& result, TimePoint now)
{
    Output output;
    const auto it = m_calls.find(callId);
    if (it == m_calls.end())
        return output;
    const auto call = std::move(it->second);
    m_calls.erase(it);
    if (!call.isHeadRead)
        m_objectCallStart.reset();
    if (!result)
        return output;
    if (const auto* rows = std::get_if<TableRows>(&*result); rows && call.isHeadRead)
        headArrived(*rows, call, now, output);
    else if (const auto* object = std::get_if<ObjectValue>(&*result); object && !call.isHeadRead)
        objectArrived(*object, call, output);
    return output;
}

void ConfigurationReader::headArrived(const TableRows& rows, const OpenCall& call, TimePoint now, Output& output)
{
    if (rows.rows.empty()) {
        output.read = HeadRead { 0, call.start };
        return;
    }
    const auto head = HeadRow::parse(rows.rows.front().value);
    if (!head) {
        m_log.write(LogLevel::Error, LogLine("head_row_unreadable").add("error", head.error().describe()));
        return;
    }
    output.read = HeadRead { head->version, call.start };
    heard(head->version);
    if (head->version > version())
        fetchObject(*head, now, output);
}

void ConfigurationReader::fetchObject(const HeadRow& head, TimePoint now, Output& output)
{
    if (m_objectCallStart)
        return;
    m_objectCallStart = now;
    m_lastAttempt = now;
    const auto id = m_nextCall++;
    m_calls.emplace(id, OpenCall { now, false, head });
    output.calls.push_back({ id, ObjectGet { head.objectKey }, m_settings.callTimeout });
}

void ConfigurationReader::objectArrived(const ObjectValue& object, const OpenCall& call, Output& output)
{
    if (!object.value) {
        m_log.write(LogLevel::Error, LogLine("configuration_object_missing").add("object", call.head.objectKey));
        return;
    }
    output.isNewVersion = take(*object.value, call.head.version, call.head.objectKey);
}

ConfigurationReader::Output ConfigurationReader::receive(const ConfigurationObject& message, TimePoint)
{
    Output output;
    if (message.sequence != m_openPull || message.body.empty())
        return output;
    output.isNewVersion = take(message.body, message.version, "peer");
    return output;
}

bool ConfigurationReader::take(std::string_view body, ConfigurationVersion expected, const std::string& source)
{
    if (expected <= version())
        return false;
    auto configuration = Configuration::parse(body, source);
    if (!configuration || configuration->version() != expected) {
        m_log.write(LogLevel::Error,
            LogLine("configuration_rejected")
                .add("version", expected)
                .add("source", source)
                .add("error", configuration ? "it holds another version" : configuration.error().describe()));
        return false;
    }
    return adopt(std::make_shared<const Configuration>(std::move(*configuration)));
}

ConfigurationObject ConfigurationReader::answer(const ConfigurationPull& pull) const
{
    if (version() <= pull.haveVersion)
        return { pull.sequence, version(), {} };
    return { pull.sequence, version(), m_body };
}

void ConfigurationReader::heard(ConfigurationVersion version) noexcept
{
    m_highestHeard = std::max(m_highestHeard, version);
}

bool ConfigurationReader::adopt(std::shared_ptr<const Configuration> configuration)
{
    if (!configuration || configuration->version() <= version())
        return false;
    m_inForce = std::move(configuration);
    m_body = m_inForce->toJson();
    m_attempts = 0;
    heard(m_inForce->version());
    m_log.write(LogLevel::Info,
        LogLine("configuration_in_force").add("version", m_inForce->version()).add("change", m_inForce->changeId()));
    return true;
}

}
