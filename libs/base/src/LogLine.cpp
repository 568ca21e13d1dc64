// Escaping rules: a value is quoted if it is empty or holds white space, quotes, '=' or control characters, so that
// text from callers cannot forge further pairs or lines.

#include "base/LogLine.h"

#include <fmt/format.h>

#include <algorithm>

namespace peridot {

namespace {

    constexpr std::size_t maximumValueBytes = 1'000;

    /** Cuts between characters of UTF-8. */
    std::string_view beginningOf(std::string_view value)
    {
        constexpr std::size_t maximumCharacterBytes = 4;
        auto size = maximumValueBytes;
        while (size > maximumValueBytes - maximumCharacterBytes
            && (static_cast<unsigned char>(value[size]) & 0xc0) == 0x80)
            --size;
        return value.substr(0, size);
    }

    bool needsQuotes(std::string_view value)
    {
        return value.empty() || std::any_of(value.begin(), value.end(), [](char c) {
            const auto byte = static_cast<unsigned char>(c);
            return byte <= ' ' || byte == '"' || byte == '=' || byte == '\\' || byte == 0x7f;
        });
    }

    void appendQuoted(std::string& text, std::string_view value)
    {
        text += '"';
        for (char c : value) {
            const auto byte = static_cast<unsigned char>(c);
            if (c == '"' || c == '\\') {
                text += '\\';
                text += c;
            } else if (byte < ' ' || byte == 0x7f) {
                text += fmt::format("\\x{:02x}", byte);
            } else {
                text += c;
            }
        }
        text += '"';
    }

}

LogLine::LogLine(std::string_view event)
{
    m_text = "event=";
    m_text += event;
}

LogLine& LogLine::add(std::string_view key, std::string_view value)
{
    std::string cut;
    if (value.size() > maximumValueBytes)
        value = cut = std::string(beginningOf(value)) + "...";
    m_text += ' ';
    m_text += key;
    m_text += '=';
    if (needsQuotes(value))
        appendQuoted(m_text, value);
    else
        m_text += value;
    return *this;
}

LogLine& LogLine::add(std::string_view key, double value) { return add(key, fmt::format("{:.3f}", value)); }

LogLine& LogLine::add(std::string_view key, Duration value)
{
    return add(key, fmt::format("{:.3f}", static_cast<double>(value.count()) / 1000.0));
}

}
