// Checked reading of the settings file.

#include "BackendSettings.h"

#include <set>

namespace peridot {

namespace {

    using namespace std::chrono_literals;

    ServiceBehaviour readBehaviour(JsonReader& reader)
    {
        ServiceBehaviour behaviour;
        behaviour.medianServiceTime = reader.milliseconds("median_ms", 0us, 10min, behaviour.medianServiceTime);
        behaviour.p99ServiceTime = reader.milliseconds("p99_ms", 0us, 10min, behaviour.p99ServiceTime);
        if (behaviour.p99ServiceTime < behaviour.medianServiceTime)
            reader.fail("p99_ms", "at least median_ms");
        behaviour.responseBytes
            = static_cast<std::uint32_t>(reader.integer("response_bytes", 0, 16 << 20, behaviour.responseBytes));
        behaviour.coldFactor = reader.number("cold_factor", 1, 1000, behaviour.coldFactor);
        behaviour.warmRuns = static_cast<std::uint32_t>(reader.integer("warm_runs", 0, 1000000, behaviour.warmRuns));
        behaviour.queuePerSlot = reader.number("queue_per_slot", 0, 1000, behaviour.queuePerSlot);
        return behaviour;
    }

    BackendServerSettings readServer(JsonReader& reader)
    {
        BackendServerSettings server;
        server.name = reader.string("name");
        server.region = reader.string("region");
        server.failureDomain = reader.string("failure_domain");
        server.service = reader.string("service");
        server.listen = reader.string("listen");
        server.slots = static_cast<std::uint32_t>(reader.integer("slots", 1, 100000));
        server.maximumConnections = static_cast<std::uint32_t>(reader.integer("maximum_connections", 1, 1000000));
        return server;
    }

    BackendSettings readMembers(JsonReader& reader)
    {
        BackendSettings settings;
        settings.deployment = DeploymentId { reader.string("deployment") };
        settings.controlListen = reader.string("control_listen");
        settings.threads = static_cast<std::uint32_t>(reader.integer("threads", 1, 64, settings.threads));
        settings.randomSeed = static_cast<std::uint64_t>(reader.integer("random_seed", 0, INT64_MAX, 1));
        settings.trackedIds
            = static_cast<std::uint32_t>(reader.integer("tracked_ids", 1, 100000000, settings.trackedIds));
        settings.callerKeySecrets = reader.strings("caller_key_secrets");
        for (const auto& secret : settings.callerKeySecrets) {
            if (secret.size() < 8)
                reader.fail("caller_key_secrets", "secrets of at least 8 characters");
        }
        reader.objects("services", true, [&settings](JsonReader& item) {
            auto name = item.string("name");
            if (!settings.services.emplace(name, readBehaviour(item)).second)
                item.fail("name", "a name that no other service has");
        });
        std::set<std::string> names;
        std::set<std::string> addresses { settings.controlListen };
        reader.objects("servers", true, [&](JsonReader& item) {
            auto server = readServer(item);
            if (!settings.services.contains(server.service))
                item.fail("service", "the name of a service in services");
            if (!names.insert(server.name).second)
                item.fail("name", "a name that no other server has");
            if (!addresses.insert(server.listen).second)
                item.fail("listen", "an address that nothing else has");
            settings.servers.push_back(std::move(server));
        });
        if (settings.servers.empty())
            reader.fail("servers", "at least one server");
        return settings;
    }

}

Result<BackendSettings> parseBackendSettings(const nlohmann::json& document, const std::string& source)
{
    return readSettings<BackendSettings>(document, source, readMembers);
}

Result<BackendSettings> readBackendSettings(const std::string& path)
{
    auto document = readJsonFile(path);
    if (!document)
        return tl::make_unexpected(document.error());
    return parseBackendSettings(*document, path);
}

}
