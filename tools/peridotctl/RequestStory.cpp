#include "RequestStory.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <set>

namespace peridot {

namespace {

    // Beliefs that are older, such as a lost store, have usually led to a line within this time.
    constexpr std::chrono::seconds contextTime { 10 };

    std::optional<int> numberAt(std::string_view text, std::size_t start, std::size_t length)
    {
        int value = 0;
        if (start + length > text.size())
            return std::nullopt;
        const auto* end = text.data() + start + length;
        const auto [last, ec] = std::from_chars(text.data() + start, end, value);
        return ec == std::errc {} && last == end ? std::optional(value) : std::nullopt;
    }

    /** Reads "2026-12-04T03:02:52.123". */
    std::optional<LogTime> parseTime(std::string_view text)
    {
        const auto year = numberAt(text, 0, 4);
        const auto month = numberAt(text, 5, 2);
        const auto day = numberAt(text, 8, 2);
        const auto hour = numberAt(text, 11, 2);
        const auto minute = numberAt(text, 14, 2);
        const auto second = numberAt(text, 17, 2);
        const auto millisecond = numberAt(text, 20, 3);
        if (!year || !month || !day || !hour || !minute || !second || !millisecond)
            return std::nullopt;
        const std::chrono::year_month_day date { std::chrono::year { *year },
            std::chrono::month { static_cast<unsigned>(*month) }, std::chrono::day { static_cast<unsigned>(*day) } };
        if (!date.ok())
            return std::nullopt;
        return std::chrono::sys_days { date } + std::chrono::hours { *hour } + std::chrono::minutes { *minute }
        + std::chrono::seconds { *second } + std::chrono::milliseconds { *millisecond };
    }

    /** Takes a value off the front of @p text; the counterpart of LogLine's quoting. */
    std::string takeValue(std::string_view& text)
    {
        if (text.empty() || text.front() != '"') {
            const auto end = std::min(text.find(' '), text.size());
            std::string value(text.substr(0, end));
            text.remove_prefix(end);
            return value;
        }
        std::string value;
        std::size_t i = 1;
        for (; i < text.size() && text[i] != '"'; ++i) {
            if (text[i] == '\\' && i + 1 < text.size())
                value += text[++i];
            else
                value += text[i];
        }
        text.remove_prefix(std::min(i + 1, text.size()));
        return value;
    }

    void sortByTime(std::vector<LogRecord>& records)
    {
        std::stable_sort(records.begin(), records.end(), [](const auto& a, const auto& b) { return a.time < b.time; });
    }

    std::string field(const LogRecord& record, const char* name)
    {
        const auto it = record.fields.find(name);
        return it == record.fields.end() ? "" : it->second;
    }

    void printRecord(std::ostream& output, const LogRecord& record, LogTime origin)
    {
        output << fmt::format("{:+9} ms  {}  {}\n", (record.time - origin).count(), record.source, record.text);
    }

}

std::optional<LogRecord> parseLogLine(std::string_view line, const std::string& source)
{
    constexpr std::string_view timeName = "time=";
    const auto start = line.find(timeName);
    if (start == std::string_view::npos)
        return std::nullopt;
    line.remove_prefix(start + timeName.size());
    const auto time = parseTime(line);
    const auto event = line.find(" event=");
    if (!time || event == std::string_view::npos)
        return std::nullopt;
    LogRecord record { *time, source, {}, {}, std::string(line.substr(event + 1)) };
    line.remove_prefix(std::min(line.find(' '), line.size()));
    while (!line.empty()) {
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        const auto equals = line.find('=');
        if (equals == std::string_view::npos)
            break;
        const std::string name(line.substr(0, equals));
        line.remove_prefix(equals + 1);
        record.fields[name] = takeValue(line);
    }
    record.event = record.fields["event"];
    return record;
}

RequestStory::RequestStory(std::string requestId)
    : m_requestId(std::move(requestId))
{
}

void RequestStory::read(std::istream& input, const std::string& source)
{
    for (std::string line; std::getline(input, line);) {
        auto record = parseLogLine(line, source);
        if (!record)
            continue;
        const auto request = record->fields.find("request");
        if (request == record->fields.end())
            m_context.push_back(std::move(*record));
        else if (request->second == m_requestId)
            m_lines.push_back(std::move(*record));
        else if (record->event == "send_failed")
            m_failures.push_back(std::move(*record));
    }
    sortByTime(m_lines);
    sortByTime(m_context);
}

void RequestStory::print(std::ostream& output) const
{
    if (!isKnown())
        return;
    const auto from = m_lines.front().time;
    const auto to = m_lines.back().time;
    output << "request " << m_requestId << '\n';
    for (const auto& line : m_lines)
        printRecord(output, line, from);
    printServers(output, from, to);
    printContext(output, from, to);
}

void RequestStory::printServers(std::ostream& output, LogTime from, LogTime to) const
{
    std::set<std::string> servers;
    for (const auto& line : m_lines) {
        if (line.event == "send")
            servers.insert(field(line, "server"));
    }
    for (const auto& server : servers) {
        std::map<std::string, std::size_t> results;
        for (const auto& failure : m_failures) {
            if (field(failure, "server") == server && failure.time >= from - contextTime
                && failure.time <= to + contextTime)
                ++results[field(failure, "result")];
        }
        output << fmt::format("server {}: failed sends of other requests within {} s:", server, contextTime.count());
        for (const auto& [result, count] : results)
            output << ' ' << result << '=' << count;
        output << (results.empty() ? " none\n" : "\n");
    }
}

void RequestStory::printContext(std::ostream& output, LogTime from, LogTime to) const
{
    std::set<std::string> sources;
    for (const auto& line : m_lines)
        sources.insert(line.source);
    output << fmt::format("what these instances noted in the {} s before:\n", contextTime.count());
    bool isEmpty = true;
    for (const auto& record : m_context) {
        if (!sources.contains(record.source) || record.time < from - contextTime || record.time > to)
            continue;
        isEmpty = false;
        printRecord(output, record, from);
    }
    if (isEmpty)
        output << "  nothing\n";
}

}
