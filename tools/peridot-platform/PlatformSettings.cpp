// Checked reading of the settings file.

#include "PlatformSettings.h"

#include "store/StoreJson.h"

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace peridot {

namespace {

    std::string readObjectFile(JsonReader& reader, const std::filesystem::path& directory)
    {
        std::ifstream file(directory / reader.string("file"), std::ios::binary);
        if (!file)
            reader.fail("file", "a readable file");
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    void readInitialContent(JsonReader& reader, const std::filesystem::path& directory, PlatformSettings& settings)
    {
        reader.objects("initial_rows", false, [&settings](JsonReader& item) {
            auto key = item.string("key");
            settings.initialRows.push_back({ std::move(key), item.string("value") });
        });
        reader.objects("initial_objects", false, [&](JsonReader& item) {
            auto key = item.string("key");
            settings.initialObjects.push_back({ std::move(key), readObjectFile(item, directory) });
        });
    }

    PlatformSettings readMembers(JsonReader& reader, const std::filesystem::path& directory)
    {
        PlatformSettings settings;
        settings.deployment = DeploymentId { reader.string("deployment") };
        settings.listen = reader.string("listen");
        settings.writesPerSecond = reader.number("writes_per_second", 1, 1e6, settings.writesPerSecond);
        settings.readsPerSecond = reader.number("reads_per_second", 1, 1e6, settings.readsPerSecond);
        settings.listLag
            = reader.milliseconds("list_lag_ms", Duration { 0 }, std::chrono::minutes { 10 }, settings.listLag);
        settings.randomSeed = static_cast<std::uint64_t>(reader.integer("random_seed", 0, INT64_MAX, 1));
        readInitialContent(reader, directory, settings);
        std::set<std::string> names;
        std::set<std::string> addresses;
        reader.objects("instances", true, [&](JsonReader& item) {
            auto instance = readPlatformInstance(item);
            if (!names.insert(instance.name).second)
                item.fail("name", "a name that no other instance has");
            if (!addresses.insert(instance.address).second)
                item.fail("address", "an address that no other instance has");
            if (!instance.peerAddress.empty() && !addresses.insert(instance.peerAddress).second)
                item.fail("peer_address", "an address that no other instance has");
            settings.instances.push_back(std::move(instance));
        });
        return settings;
    }

}

Result<PlatformSettings> parsePlatformSettings(const nlohmann::json& document, const std::string& source)
{
    const auto directory = std::filesystem::path(source).parent_path();
    return readSettings<PlatformSettings>(
        document, source, [&directory](JsonReader& reader) { return readMembers(reader, directory); });
}

Result<PlatformSettings> readPlatformSettings(const std::string& path)
{
    auto document = readJsonFile(path);
    if (!document)
        return tl::make_unexpected(document.error());
    return parsePlatformSettings(*document, path);
}

}
