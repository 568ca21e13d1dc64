// Checked reading of JSON settings with comments. Every error names the path, the value found and what was expected;
// a member that no one has read is an error, so that a misspelt setting is not ignored.

#pragma once

#include "base/Error.h"
#include "base/Time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/** Thrown by parseJson(), and inside a reading function by JsonReader; readSettings turns it into an Error. */
class JsonReaderError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/** Parses JSON text from another process. Throws an exception of the JSON library if it is invalid, and JsonReaderError
 *  if it is nested too deeply: copying and printing a value recurse for each level. */
nlohmann::json parseJson(std::string_view text);

/** As parseJson(), but the text may hold comments. @p source names the text in errors. */
Result<nlohmann::json> parseJsonWithComments(std::string_view text, const std::string& source);

/** Reads and parses a file of JSON with comments. */
Result<nlohmann::json> readJsonFile(const std::string& path);

/** Reads the members of one JSON object. Call finish() after the last member. */
class JsonReader {
public:
    /** @p path is the object's own path, such as "peers[2]"; empty for the document. */
    JsonReader(const nlohmann::json& object, std::string path);

    bool has(const std::string& name) const;

    std::string string(const std::string& name);
    std::string string(const std::string& name, const std::string& fallback);
    bool boolean(const std::string& name, bool fallback);
    std::int64_t integer(const std::string& name, std::int64_t lowest, std::int64_t highest);
    std::int64_t integer(const std::string& name, std::int64_t lowest, std::int64_t highest, std::int64_t fallback);
    double number(const std::string& name, double lowest, double highest);
    double number(const std::string& name, double lowest, double highest, double fallback);
    /** Reads a number of milliseconds. */
    Duration milliseconds(const std::string& name, Duration lowest, Duration highest, Duration fallback);
    std::vector<std::string> strings(const std::string& name, bool isRequired = false);

    /** Calls @p read for the object member @p name; a missing optional member is skipped. */
    void object(const std::string& name, bool isRequired, const std::function<void(JsonReader&)>& read);
    /** Calls @p read for each object in the array member @p name. */
    void objects(const std::string& name, bool isRequired, const std::function<void(JsonReader&)>& read);

    /** Fails if the object holds a member that was not read. */
    void finish() const;

    /** Fails with the path of member @p name. */
    [[noreturn]] void fail(const std::string& name, const std::string& expected) const;

private:
    const nlohmann::json* find(const std::string& name);
    const nlohmann::json& require(const std::string& name, const std::string& expected);
    std::string pathOf(const std::string& name) const;

    const nlohmann::json& m_object;
    std::string m_path;
    std::set<std::string> m_read;
};

/** Runs @p read over the document and turns reading errors into an Error with code InvalidSettings. */
template <typename T>
Result<T> readSettings(
    const nlohmann::json& document, const std::string& source, const std::function<T(JsonReader&)>& read)
{
    try {
        JsonReader reader(document, "");
        T value = read(reader);
        reader.finish();
        return value;
    } catch (const JsonReaderError& error) {
        return makeError(ErrorCode::InvalidSettings, "read settings", source, error.what());
    }
}

}
