#include "config/HeadRow.h"

#include "base/JsonReader.h"

#include <fmt/format.h>

#include <algorithm>

namespace peridot {

std::string HeadRow::toJson() const
{
    nlohmann::json changes = nlohmann::json::array();
    for (const auto& change : recent)
        changes.push_back({ { "id", change.id }, { "version", change.version } });
    return nlohmann::json {
        { "version", version }, { "object", objectKey }, { "change", changeId }, { "recent", std::move(changes) }
    }.dump();
}

Result<HeadRow> HeadRow::parse(std::string_view text)
{
    const auto document = parseJsonWithComments(text, configurationHeadKey);
    if (!document)
        return tl::unexpected(document.error());
    return readSettings<HeadRow>(*document, configurationHeadKey, [](JsonReader& reader) {
        HeadRow row;
        row.version = static_cast<ConfigurationVersion>(reader.integer("version", 1, INT64_MAX));
        row.objectKey = reader.string("object");
        row.changeId = reader.string("change");
        reader.objects("recent", true, [&](JsonReader& item) {
            auto id = item.string("id");
            row.recent.push_back(
                { std::move(id), static_cast<ConfigurationVersion>(item.integer("version", 1, INT64_MAX)) });
        });
        return row;
    });
}

const AppliedChange* HeadRow::findChange(const std::string& id) const noexcept
{
    const auto it = std::find_if(recent.begin(), recent.end(), [&](const auto& change) { return change.id == id; });
    return it == recent.end() ? nullptr : &*it;
}

std::string configurationObjectKey(ConfigurationVersion version, const std::string& changeId)
{
    return fmt::format("config/{}-{}", version, changeId);
}

}
