// Checked access to JSON members.

#include "base/JsonReader.h"

#include <fmt/format.h>

#include <fstream>
#include <sstream>
#include <utility>

namespace peridot {

namespace {

    constexpr std::size_t longestValueInError = 80;

    constexpr std::size_t maximumNesting = 100;

    /** A slash outside of strings begins a comment; where comments are not allowed, parsing ends there. */
    bool isNestedTooDeeply(std::string_view text) noexcept
    {
        constexpr std::string_view lineEnds("\n\r\0", 3);
        std::size_t depth = 0;
        for (std::size_t i = 0; i < text.size(); ++i) {
            switch (text[i]) {
            case '"':
                for (++i; i < text.size() && text[i] != '"'; ++i)
                    i += text[i] == '\\' ? 1 : 0;
                break;
            case '/':
                i = text.substr(i, 2) == "/*" ? text.find("*/", i + 2) : text.find_first_of(lineEnds, i);
                if (i == std::string_view::npos)
                    return false;
                i += text[i] == '*' ? 1 : 0;
                break;
            case '[':
            case '{':
                if (++depth > maximumNesting)
                    return true;
                break;
            case ']':
            case '}':
                depth -= depth > 0 ? 1 : 0;
                break;
            default:
                break;
            }
        }
        return false;
    }

    nlohmann::json parse(std::string_view text, bool mayHoldComments)
    {
        if (isNestedTooDeeply(text))
            throw JsonReaderError(fmt::format("nested more than {} levels deep", maximumNesting));
        return nlohmann::json::parse(text.begin(), text.end(), nullptr, true, mayHoldComments);
    }

    std::string shorten(const nlohmann::json& value)
    {
        std::string text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        if (text.size() > longestValueInError)
            text = text.substr(0, longestValueInError) + "...";
        return text;
    }

}

nlohmann::json parseJson(std::string_view text) { return parse(text, false); }

Result<nlohmann::json> parseJsonWithComments(std::string_view text, const std::string& source)
{
    try {
        return parse(text, true);
    } catch (const std::exception& error) {
        return makeError(ErrorCode::InvalidSettings, "parse JSON", source, error.what());
    }
}

Result<nlohmann::json> readJsonFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return makeError(ErrorCode::InvalidSettings, "open file", path, "the file cannot be read");
    std::ostringstream text;
    text << file.rdbuf();
    return parseJsonWithComments(text.str(), path);
}

JsonReader::JsonReader(const nlohmann::json& object, std::string path)
    : m_object(object)
    , m_path(std::move(path))
{
    if (!m_object.is_object()) {
        throw JsonReaderError(
            fmt::format("{}: found {}, expected an object", m_path.empty() ? "document" : m_path, shorten(m_object)));
    }
}

bool JsonReader::has(const std::string& name) const { return m_object.contains(name); }

std::string JsonReader::pathOf(const std::string& name) const { return m_path.empty() ? name : m_path + "." + name; }

void JsonReader::fail(const std::string& name, const std::string& expected) const
{
    if (auto it = m_object.find(name); it != m_object.end())
        throw JsonReaderError(fmt::format("{}: found {}, expected {}", pathOf(name), shorten(*it), expected));
    throw JsonReaderError(fmt::format("{}: missing, expected {}", pathOf(name), expected));
}

const nlohmann::json* JsonReader::find(const std::string& name)
{
    m_read.insert(name);
    auto it = m_object.find(name);
    return it == m_object.end() ? nullptr : &*it;
}

const nlohmann::json& JsonReader::require(const std::string& name, const std::string& expected)
{
    if (const auto* value = find(name))
        return *value;
    fail(name, expected);
}

std::string JsonReader::string(const std::string& name)
{
    const auto& value = require(name, "a string that is not empty");
    if (!value.is_string() || value.get_ref<const std::string&>().empty())
        fail(name, "a string that is not empty");
    return value.get<std::string>();
}

std::string JsonReader::string(const std::string& name, const std::string& fallback)
{
    const auto* value = find(name);
    if (!value)
        return fallback;
    if (!value->is_string())
        fail(name, "a string");
    return value->get<std::string>();
}

bool JsonReader::boolean(const std::string& name, bool fallback)
{
    const auto* value = find(name);
    if (!value)
        return fallback;
    if (!value->is_boolean())
        fail(name, "true or false");
    return value->get<bool>();
}

std::int64_t JsonReader::integer(const std::string& name, std::int64_t lowest, std::int64_t highest)
{
    const auto expected = fmt::format("an integer from {} to {}", lowest, highest);
    const auto& value = require(name, expected);
    if (!value.is_number_integer())
        fail(name, expected);
    if (value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX))
        fail(name, expected);
    const auto n = value.get<std::int64_t>();
    if (n < lowest || n > highest)
        fail(name, expected);
    return n;
}

std::int64_t JsonReader::integer(
    const std::string& name, std::int64_t lowest, std::int64_t highest, std::int64_t fallback)
{
    return find(name) ? integer(name, lowest, highest) : fallback;
}

double JsonReader::number(const std::string& name, double lowest, double highest)
{
    const auto expected = fmt::format("a number from {} to {}", lowest, highest);
    const auto& value = require(name, expected);
    if (!value.is_number())
        fail(name, expected);
    const auto n = value.get<double>();
    if (!(n >= lowest && n <= highest))
        fail(name, expected);
    return n;
}

double JsonReader::number(const std::string& name, double lowest, double highest, double fallback)
{
    return find(name) ? number(name, lowest, highest) : fallback;
}

Duration JsonReader::milliseconds(const std::string& name, Duration lowest, Duration highest, Duration fallback)
{
    if (!find(name))
        return fallback;
    const auto n
        = number(name, static_cast<double>(lowest.count()) / 1000.0, static_cast<double>(highest.count()) / 1000.0);
    return Duration { static_cast<Duration::rep>(n * 1000.0) };
}

std::vector<std::string> JsonReader::strings(const std::string& name, bool isRequired)
{
    const auto* value = find(name);
    if (!value) {
        if (isRequired)
            fail(name, "an array of strings");
        return {};
    }
    if (!value->is_array())
        fail(name, "an array of strings");
    std::vector<std::string> result;
    for (const auto& item : *value) {
        if (!item.is_string())
            fail(name, "an array of strings");
        result.push_back(item.get<std::string>());
    }
    return result;
}

void JsonReader::object(const std::string& name, bool isRequired, const std::function<void(JsonReader&)>& read)
{
    const auto* value = find(name);
    if (!value) {
        if (isRequired)
            fail(name, "an object");
        return;
    }
    JsonReader reader(*value, pathOf(name));
    read(reader);
    reader.finish();
}

void JsonReader::objects(const std::string& name, bool isRequired, const std::function<void(JsonReader&)>& read)
{
    const auto* value = find(name);
    if (!value) {
        if (isRequired)
            fail(name, "an array of objects");
        return;
    }
    if (!value->is_array())
        fail(name, "an array of objects");
    for (std::size_t i = 0; i < value->size(); ++i) {
        JsonReader reader((*value)[i], fmt::format("{}[{}]", pathOf(name), i));
        read(reader);
        reader.finish();
    }
}

void JsonReader::finish() const
{
    for (const auto& item : m_object.items()) {
        if (!m_read.contains(item.key()))
            throw JsonReaderError(fmt::format(
                "{}: unknown setting, found {}, expected it to be absent", pathOf(item.key()), shorten(item.value())));
    }
}

}
