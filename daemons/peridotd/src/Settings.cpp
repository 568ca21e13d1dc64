#include "Settings.h"

#include "base/JsonReader.h"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace peridot {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::minutes;
    using std::chrono::seconds;

    constexpr std::size_t shortestOperatorKey = 16;
    constexpr std::size_t z85KeyLength = 40;

    std::string address(JsonReader& reader, const std::string& name)
    {
        std::string value = reader.string(name);
        const auto colon = value.rfind(':');
        const bool hasHost = colon != std::string::npos && colon > 0;
        const std::string port = hasHost ? value.substr(colon + 1) : "";
        const bool isNumber
            = !port.empty() && port.size() <= 5 && port.find_first_not_of("0123456789") == std::string::npos;
        if (!isNumber || std::stoi(port) < 1 || std::stoi(port) > 65535)
            reader.fail(name, "an address host:port");
        return value;
    }

    std::string nonEmpty(JsonReader& reader, const std::string& name)
    {
        std::string value = reader.string(name);
        if (value.empty())
            reader.fail(name, "a name");
        return value;
    }

    /** Reads a file of one secret; line ends around it are no part of it. */
    std::string secretFrom(JsonReader& reader, const std::string& name)
    {
        const std::string path = reader.string(name);
        std::ifstream file(path);
        if (!file)
            reader.fail(name, "a readable file");
        std::string text { std::istreambuf_iterator<char>(file), {} };
        const auto last = text.find_last_not_of(" \t\r\n");
        text.erase(last == std::string::npos ? 0 : last + 1);
        return text;
    }

    LogLevel logLevel(JsonReader& reader)
    {
        const std::string value = reader.string("log_level", "info");
        if (value == "debug")
            return LogLevel::Debug;
        if (value == "info")
            return LogLevel::Info;
        if (value == "warning")
            return LogLevel::Warning;
        if (value == "error")
            return LogLevel::Error;
        reader.fail("log_level", "debug, info, warning or error");
    }

    RequestLimits readLimits(JsonReader& reader)
    {
        RequestLimits limits;
        limits.headerBytes = static_cast<std::uint64_t>(reader.integer("header_bytes", 1024, 1'048'576, 16'384));
        limits.bodyBytes = static_cast<std::uint64_t>(reader.integer("body_bytes", 0, 1'073'741'824, 16'777'216));
        limits.bufferedBodyBytes
            = static_cast<std::uint64_t>(reader.integer("buffered_body_bytes", 1024, 1'048'576, 65'536));
        limits.openRequests = static_cast<std::uint32_t>(reader.integer("open_requests", 1, 1'000'000, 4096));
        return limits;
    }

    TlsFiles readTls(JsonReader& reader)
    {
        TlsFiles files { nonEmpty(reader, "certificate_file"), nonEmpty(reader, "key_file") };
        if (!std::ifstream(files.certificateFile))
            reader.fail("certificate_file", "a readable file");
        if (!std::ifstream(files.keyFile))
            reader.fail("key_file", "a readable file");
        return files;
    }

    std::string z85Key(JsonReader& reader, const std::string& name)
    {
        std::string value = reader.string(name);
        if (value.size() != z85KeyLength)
            reader.fail(name, "a Z85 key of 40 characters");
        return value;
    }

    std::string z85Secret(JsonReader& reader, const std::string& name)
    {
        std::string value = secretFrom(reader, name);
        if (value.size() != z85KeyLength)
            reader.fail(name, "a file with a Z85 key of 40 characters");
        return value;
    }

    CurveKeys readCurve(JsonReader& reader)
    {
        CurveKeys keys;
        keys.serverPublicKey = z85Key(reader, "server_public_key");
        keys.serverSecretKey = z85Secret(reader, "server_secret_key_file");
        keys.publicKey = z85Key(reader, "public_key");
        keys.secretKey = z85Secret(reader, "secret_key_file");
        keys.allowedPublicKeys = reader.strings("allowed_public_keys", true);
        for (const auto& key : keys.allowedPublicKeys) {
            if (key.size() != z85KeyLength)
                reader.fail("allowed_public_keys", "Z85 keys of 40 characters");
        }
        return keys;
    }

    NodeSettings readNode(JsonReader& reader)
    {
        NodeSettings node;
        node.deployment = DeploymentId { nonEmpty(reader, "deployment") };
        node.self.id = InstanceId { nonEmpty(reader, "name") };
        node.self.region = RegionId { nonEmpty(reader, "region") };
        node.self.failureDomain = FailureDomainId { nonEmpty(reader, "failure_domain") };
        node.self.callerAddress = address(reader, "caller_address");
        node.self.peerAddress = address(reader, "peer_address");
        for (const auto& region : reader.strings("regions", true))
            node.regions.emplace_back(region);
        if (std::find(node.regions.begin(), node.regions.end(), node.self.region) == node.regions.end())
            reader.fail("regions", "a list that holds the instance's own region");
        node.lookupTimeToLive
            = reader.milliseconds("lookup_time_to_live_ms", seconds { 1 }, minutes { 10 }, seconds { 5 });
        node.clientDelay
            = reader.milliseconds("client_delay_ms", milliseconds { 0 }, seconds { 1 }, milliseconds { 8 });
        node.regionDelay
            = reader.milliseconds("region_delay_ms", milliseconds { 0 }, seconds { 1 }, milliseconds { 55 });
        node.linkMegabitsPerSecond
            = static_cast<std::uint64_t>(reader.integer("link_megabits_per_second", 1, 10'000'000, 4000));
        reader.objects("client_blocks", false, [&](JsonReader& item) {
            ClientBlockRegions block { nonEmpty(item, "block"), {} };
            for (const auto& region : item.strings("regions", true))
                block.regions.emplace_back(region);
            node.clientBlocks.push_back(std::move(block));
        });
        return node;
    }

    DaemonSettings readDocument(JsonReader& reader)
    {
        DaemonSettings settings;
        settings.node = readNode(reader);
        settings.operatorAddress = address(reader, "operator_address");
        settings.platformAddress = address(reader, "platform_address");
        settings.operatorKey = secretFrom(reader, "operator_key_file");
        if (settings.operatorKey.size() < shortestOperatorKey)
            reader.fail("operator_key_file", "a file with a key of at least 16 characters");
        reader.object("limits", false, [&](JsonReader& member) { settings.limits = readLimits(member); });
        settings.defaultTimeout
            = reader.milliseconds("default_timeout_ms", milliseconds { 10 }, minutes { 10 }, seconds { 30 });
        settings.longestTimeout
            = reader.milliseconds("longest_timeout_ms", seconds { 1 }, minutes { 60 }, minutes { 10 });
        settings.longestShutdown
            = reader.milliseconds("longest_shutdown_ms", seconds { 1 }, minutes { 60 }, minutes { 2 });
        settings.threads = static_cast<std::uint32_t>(reader.integer("threads", 2, 64, 4));
        settings.logLevel = logLevel(reader);
        reader.object("caller_tls", false, [&](JsonReader& member) { settings.callerTls = readTls(member); });
        reader.object("operator_tls", false, [&](JsonReader& member) { settings.operatorTls = readTls(member); });
        reader.object("curve", false, [&](JsonReader& member) {
            settings.curve = readCurve(member);
            settings.isPeerTrafficEncrypted = true;
        });
        return settings;
    }

}

Result<DaemonSettings> readDaemonSettings(const std::string& path)
{
    const auto document = readJsonFile(path);
    if (!document)
        return tl::make_unexpected(document.error());
    return readSettings<DaemonSettings>(*document, path, readDocument);
}

}
