// Builder of one structured log line: key=value pairs, values quoted where needed.

#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <concepts>
#include <string>
#include <string_view>

namespace peridot {

class LogLine {
public:
    /** Starts the line with `event=<event>`. */
    explicit LogLine(std::string_view event);

    /** Long values are cut, because some quote input of other programs. */
    LogLine& add(std::string_view key, std::string_view value);
    LogLine& add(std::string_view key, const char* value) { return add(key, std::string_view(value)); }
    LogLine& add(std::string_view key, const std::string& value) { return add(key, std::string_view(value)); }
    LogLine& add(std::string_view key, bool value) { return add(key, value ? "true" : "false"); }
    LogLine& add(std::string_view key, double value);

    template <std::integral T>
    requires(!std::same_as<T, bool>) LogLine& add(std::string_view key, T value)
    {
        return add(key, std::to_string(value));
    }

    template <typename Tag> LogLine& add(std::string_view key, const Id<Tag>& id) { return add(key, id.value()); }

    /** Adds a duration in milliseconds; the key should end in `_ms`. */
    LogLine& add(std::string_view key, Duration value);

    const std::string& text() const noexcept { return m_text; }

private:
    std::string m_text;
};

}
