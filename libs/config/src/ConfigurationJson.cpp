// Arrays are written in the order of their ids, so equal configurations give equal texts.

#include "ConfigurationJson.h"

namespace peridot {

std::uint32_t readUnsigned(JsonReader& reader, const std::string& name, std::uint32_t lowest, std::uint32_t highest)
{
    return static_cast<std::uint32_t>(reader.integer(name, lowest, highest));
}

Duration readTargetLatency(JsonReader& reader)
{
    return std::chrono::milliseconds { reader.integer("target_latency_ms", 1, longestTargetMilliseconds) };
}

nlohmann::json classToJson(const TrafficClass& value)
{
    return { { "id", value.id.value() }, { "service", value.service.value() }, { "methods", value.methods },
        { "path_prefix", value.pathPrefix }, { "importance", value.importance },
        { "target_latency_ms", toMilliseconds(value.targetLatency) }, { "idempotent", value.isIdempotent },
        { "open", value.isOpen } };
}

TrafficClass readClass(JsonReader& reader)
{
    TrafficClass value;
    value.id = ClassId(reader.string("id"));
    value.service = ServiceId(reader.string("service"));
    value.methods = reader.strings("methods", true);
    value.pathPrefix = reader.string("path_prefix");
    value.importance = readUnsigned(reader, "importance", 0, highestImportance);
    value.targetLatency = readTargetLatency(reader);
    // A missing "idempotent" must not allow retries, nor a missing "open" let callers in without a key.
    value.isIdempotent = reader.boolean("idempotent", false);
    value.isOpen = reader.boolean("open", false);
    return value;
}

nlohmann::json workspaceToJson(const Workspace& value)
{
    return { { "id", value.id.value() }, { "rate_per_second", value.ratePerSecond }, { "burst", value.burst } };
}

Workspace readWorkspace(JsonReader& reader)
{
    Workspace value;
    value.id = WorkspaceId(reader.string("id"));
    value.ratePerSecond = readUnsigned(reader, "rate_per_second", 1, highestRate);
    value.burst = readUnsigned(reader, "burst", 1, highestRate);
    return value;
}

nlohmann::json keyToJson(const AccessKey& value)
{
    return { { "id", value.id.value() }, { "hash", toHex(value.hash) }, { "workspace", value.workspace.value() } };
}

AccessKey readKey(JsonReader& reader)
{
    AccessKey value;
    value.id = KeyId(reader.string("id"));
    const auto hash = keyHashFromHex(reader.string("hash"));
    if (!hash)
        reader.fail("hash", "a BLAKE2b-256 hash of 64 lower-case hexadecimal digits");
    value.hash = *hash;
    value.workspace = WorkspaceId(reader.string("workspace"));
    return value;
}

nlohmann::json drainToJson(const Drain& value) { return { { "kind", enumName(value.kind) }, { "name", value.name } }; }

Drain readDrain(JsonReader& reader)
{
    Drain value;
    const auto kind = enumFromName<DrainKind>(reader.string("kind"));
    if (!kind)
        reader.fail("kind", "one of region, instance, backend_server");
    value.kind = *kind;
    value.name = reader.string("name");
    return value;
}

}
