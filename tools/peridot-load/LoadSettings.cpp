// Checked reading of the settings file.

#include "LoadSettings.h"

#include <set>

namespace peridot {

namespace {

    using namespace std::chrono_literals;

    RequestKind readKind(JsonReader& reader)
    {
        constexpr std::int64_t largestBody = 16 << 20;
        RequestKind kind;
        kind.service = reader.string("service");
        kind.method = reader.string("method");
        kind.path = reader.string("path");
        if (kind.path.front() != '/')
            reader.fail("path", "a path that starts with '/'");
        kind.weight = reader.number("weight", 0.001, 1e6, 1);
        kind.isIdempotent = reader.boolean("idempotent", false);
        kind.hasIdempotencyKey = reader.boolean("idempotency_key", false);
        kind.requestBytes = static_cast<std::uint32_t>(reader.integer("request_bytes", 0, largestBody, 0));
        kind.responseBytes = static_cast<std::uint32_t>(reader.integer("response_bytes", 0, largestBody, 0));
        return kind;
    }

    CallerSettings readCaller(JsonReader& reader)
    {
        CallerSettings caller;
        caller.workspace = reader.string("workspace");
        caller.key = reader.string("key", "");
        caller.ratePerSecond = reader.number("rate_per_second", 0.1, 1e6);
        caller.burst = reader.number("burst", 1, 1e6, caller.ratePerSecond);
        caller.multiple = reader.number("multiple", 0.001, 1000, 1);
        caller.closedLoopCallers = static_cast<std::uint32_t>(reader.integer("closed_loop_callers", 0, 10000, 0));
        caller.thinkTime = reader.milliseconds("think_time_ms", 0us, 1h, 0us);
        caller.attempts = static_cast<std::uint32_t>(reader.integer("attempts", 1, 100, 1));
        caller.clientAddresses = reader.strings("clients");
        reader.objects("mix", true, [&caller](JsonReader& item) { caller.mix.push_back(readKind(item)); });
        if (caller.mix.empty())
            reader.fail("mix", "at least one kind of request");
        return caller;
    }

    LoadSettings readMembers(JsonReader& reader)
    {
        LoadSettings settings;
        settings.deployment = DeploymentId { reader.string("deployment") };
        settings.entryAddresses = reader.strings("entry_addresses", true);
        if (settings.entryAddresses.empty())
            reader.fail("entry_addresses", "at least one address");
        settings.controlAddresses = reader.strings("control_addresses");
        settings.duration = reader.milliseconds("duration_ms", 1ms, 24h, settings.duration);
        settings.requestTimeout = reader.milliseconds("request_timeout_ms", 1ms, 1h, settings.requestTimeout);
        settings.openRequests
            = static_cast<std::uint32_t>(reader.integer("open_requests", 1, 100000, settings.openRequests));
        settings.randomSeed = static_cast<std::uint64_t>(reader.integer("random_seed", 0, INT64_MAX, 1));
        std::set<std::string> names;
        reader.objects("callers", true, [&](JsonReader& item) {
            settings.callers.push_back(readCaller(item));
            if (!names.insert(settings.callers.back().workspace).second)
                item.fail("workspace", "a name that no other caller has");
        });
        if (settings.callers.empty())
            reader.fail("callers", "at least one workspace");
        return settings;
    }

}

Result<LoadSettings> parseLoadSettings(const nlohmann::json& document, const std::string& source)
{
    return readSettings<LoadSettings>(document, source, readMembers);
}

Result<LoadSettings> readLoadSettings(const std::string& path)
{
    auto document = readJsonFile(path);
    if (!document)
        return tl::make_unexpected(document.error());
    return parseLoadSettings(*document, path);
}

}
