// Checked reading of the settings file.

#include "PlatformSettings.h"

#include "store/StoreJson.h"

#include <set>

namespace peridot {

namespace {

    PlatformSettings readMembers(JsonReader& reader)
    {
        PlatformSettings settings;
        settings.deployment = DeploymentId { reader.string("deployment") };
        settings.listen = reader.string("listen");
        settings.writesPerSecond = reader.number("writes_per_second", 1, 1e6, settings.writesPerSecond);
        settings.readsPerSecond = reader.number("reads_per_second", 1, 1e6, settings.readsPerSecond);
        settings.listLag
            = reader.milliseconds("list_lag_ms", Duration { 0 }, std::chrono::minutes { 10 }, settings.listLag);
        settings.randomSeed = static_cast<std::uint64_t>(reader.integer("random_seed", 0, INT64_MAX, 1));
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
    return readSettings<PlatformSettings>(document, source, readMembers);
}

Result<PlatformSettings> readPlatformSettings(const std::string& path)
{
    auto document = readJsonFile(path);
    if (!document)
        return tl::make_unexpected(document.error());
    return parsePlatformSettings(*document, path);
}

}
