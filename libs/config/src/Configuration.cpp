// Checks of the content and the look-ups.

#include "config/Configuration.h"

#include "ConfigurationJson.h"
#include "PathRules.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <tuple>

namespace peridot {

namespace {

    constexpr std::size_t longestName = 64;

    /** Thrown inside create(). */
    struct InvalidContent {
        std::string path;
        std::string reason;
    };

    void require(bool condition, const std::string& path, const std::string& reason)
    {
        if (!condition)
            throw InvalidContent { path, reason };
    }

    void checkName(const std::string& name, const std::string& path)
    {
        const bool isAllowed = std::all_of(name.begin(), name.end(), [](char c) {
            return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
                || c == '.';
        });
        require(!name.empty() && name.size() <= longestName && isAllowed, path,
            fmt::format("expected 1 to {} letters, digits, '-', '_' or '.'", longestName));
    }

    void checkClass(const TrafficClass& value, const ConfigurationData& data, const std::string& path)
    {
        checkName(value.id.value(), path + ".id");
        require(data.services.contains(value.service), path + ".service",
            fmt::format("service {} does not exist", value.service.value()));
        require(!value.methods.empty(), path + ".methods", "expected at least one method");
        for (const auto& method : value.methods) {
            require(!method.empty() && method.size() <= 16
                    && std::all_of(method.begin(), method.end(), [](char c) { return c >= 'A' && c <= 'Z'; }),
                path + ".methods", "expected upper-case method names");
            require(std::count(value.methods.begin(), value.methods.end(), method) == 1, path + ".methods",
                fmt::format("method {} is named twice", method));
        }
        require(isPlainPath(value.pathPrefix) && (value.pathPrefix == "/" || value.pathPrefix.back() != '/'),
            path + ".path_prefix", "expected a path that starts with '/', without empty, dot or trailing segments");
        require(value.targetLatency >= std::chrono::milliseconds { 1 }
                && value.targetLatency <= std::chrono::milliseconds { longestTargetMilliseconds }
                && value.targetLatency % std::chrono::milliseconds { 1 } == Duration { 0 },
            path + ".target_latency_ms", fmt::format("expected 1 to {}", longestTargetMilliseconds));
        require(value.importance <= highestImportance, path + ".importance",
            fmt::format("expected at most {}", highestImportance));
    }

    void checkRoutes(const ConfigurationData& data)
    {
        std::map<std::tuple<ServiceId, std::string, std::string>, ClassId> routes;
        for (const auto& [id, value] : data.classes) {
            for (const auto& method : value.methods) {
                const auto [it, isNew] = routes.try_emplace({ value.service, method, value.pathPrefix }, id);
                require(isNew, fmt::format("classes[{}].path_prefix", id.value()),
                    fmt::format("class {} has the same method and prefix", it->second.value()));
            }
        }
    }

    void checkWorkspace(const Workspace& value, const std::string& path)
    {
        checkName(value.id.value(), path + ".id");
        require(value.ratePerSecond >= 1 && value.ratePerSecond <= highestRate, path + ".rate_per_second",
            fmt::format("expected 1 to {}", highestRate));
        require(value.burst >= 1 && value.burst <= highestRate, path + ".burst",
            fmt::format("expected 1 to {}", highestRate));
    }

    void checkKey(const AccessKey& value, const ConfigurationData& data, const std::string& path)
    {
        const auto parts = splitKey(value.id.value() + ".x");
        require(parts && parts->first == value.id, path + ".id", "expected 1 to 64 letters, digits, '-' or '_'");
        require(data.workspaces.contains(value.workspace), path + ".workspace",
            fmt::format("workspace {} does not exist", value.workspace.value()));
        require(!data.withdrawnKeys.contains(value.id), path + ".id", "a withdrawn key id is never issued again");
    }

    void check(const ConfigurationData& data)
    {
        for (const auto& service : data.services)
            checkName(service.value(), fmt::format("services[{}]", service.value()));
        for (const auto& [id, value] : data.classes) {
            const auto path = fmt::format("classes[{}]", id.value());
            require(id == value.id, path, "listed under another id");
            checkClass(value, data, path);
        }
        checkRoutes(data);
        for (const auto& [id, value] : data.workspaces) {
            const auto path = fmt::format("workspaces[{}]", id.value());
            require(id == value.id, path, "listed under another id");
            checkWorkspace(value, path);
        }
        for (const auto& [id, value] : data.keys) {
            const auto path = fmt::format("keys[{}]", id.value());
            require(id == value.id, path, "listed under another id");
            checkKey(value, data, path);
        }
        for (const auto& drain : data.drains)
            checkName(drain.name, fmt::format("drains[{}].name", drain.name));
        for (const auto& [field, change] : data.fields) {
            require(change.version >= 1 && change.version <= data.version, fmt::format("fields[{}].version", field),
                "expected a version that exists");
        }
    }

    template <typename Container, typename Value> void addUnique(Container& container, Value value, JsonReader& reader)
    {
        const auto id = value.id;
        if (!container.try_emplace(id, std::move(value)).second)
            reader.fail("id", "an id that is used once");
    }

    ConfigurationData readData(JsonReader& reader)
    {
        ConfigurationData data;
        data.version = static_cast<ConfigurationVersion>(reader.integer("version", 0, INT64_MAX, 0));
        data.changeId = reader.string("change", "");
        for (const auto& service : reader.strings("services"))
            data.services.insert(ServiceId(service));
        reader.objects("classes", false, [&](JsonReader& item) { addUnique(data.classes, readClass(item), item); });
        reader.objects(
            "workspaces", false, [&](JsonReader& item) { addUnique(data.workspaces, readWorkspace(item), item); });
        reader.objects("keys", false, [&](JsonReader& item) { addUnique(data.keys, readKey(item), item); });
        for (const auto& key : reader.strings("withdrawn_keys"))
            data.withdrawnKeys.insert(KeyId(key));
        reader.objects("drains", false, [&](JsonReader& item) { data.drains.insert(readDrain(item)); });
        reader.objects("fields", false, [&](JsonReader& item) {
            FieldChange change { static_cast<ConfigurationVersion>(item.integer("version", 1, INT64_MAX)),
                item.string("change") };
            if (!data.fields.try_emplace(item.string("field"), std::move(change)).second)
                item.fail("field", "a field that is named once");
        });
        return data;
    }

}

Configuration::Configuration(ConfigurationData data)
    : m_data(std::move(data))
{
    for (const auto& [id, value] : m_data.classes)
        m_classesByService[value.service].push_back(id);
    for (auto& [service, ids] : m_classesByService) {
        std::stable_sort(ids.begin(), ids.end(), [this](const ClassId& a, const ClassId& b) {
            return m_data.classes.at(a).pathPrefix.size() > m_data.classes.at(b).pathPrefix.size();
        });
    }
}

Result<Configuration> Configuration::create(ConfigurationData data)
{
    try {
        check(data);
    } catch (const InvalidContent& error) {
        return makeError(
            ErrorCode::InvalidArgument, "check configuration", "", fmt::format("{}: {}", error.path, error.reason));
    }
    return Configuration(std::move(data));
}

Result<Configuration> Configuration::parse(std::string_view text, const std::string& source)
{
    const auto document = parseJsonWithComments(text, source);
    if (!document)
        return tl::unexpected(document.error());
    auto data = readSettings<ConfigurationData>(*document, source, readData);
    if (!data)
        return tl::unexpected(data.error());
    auto result = create(std::move(*data));
    if (!result)
        result.error().peer = source;
    return result;
}

std::string Configuration::toJson() const
{
    nlohmann::json document { { "version", m_data.version }, { "change", m_data.changeId } };
    auto& services = document["services"] = nlohmann::json::array();
    for (const auto& service : m_data.services)
        services.push_back(service.value());
    auto& classes = document["classes"] = nlohmann::json::array();
    for (const auto& [id, value] : m_data.classes)
        classes.push_back(classToJson(value));
    auto& workspaces = document["workspaces"] = nlohmann::json::array();
    for (const auto& [id, value] : m_data.workspaces)
        workspaces.push_back(workspaceToJson(value));
    auto& keys = document["keys"] = nlohmann::json::array();
    for (const auto& [id, value] : m_data.keys)
        keys.push_back(keyToJson(value));
    auto& withdrawn = document["withdrawn_keys"] = nlohmann::json::array();
    for (const auto& id : m_data.withdrawnKeys)
        withdrawn.push_back(id.value());
    auto& drains = document["drains"] = nlohmann::json::array();
    for (const auto& drain : m_data.drains)
        drains.push_back(drainToJson(drain));
    auto& fields = document["fields"] = nlohmann::json::array();
    for (const auto& [field, change] : m_data.fields)
        fields.push_back({ { "field", field }, { "version", change.version }, { "change", change.changeId } });
    return document.dump();
}

const TrafficClass* Configuration::findClass(const ClassId& id) const noexcept
{
    const auto it = m_data.classes.find(id);
    return it == m_data.classes.end() ? nullptr : &it->second;
}

const TrafficClass* Configuration::findClass(
    const ServiceId& service, std::string_view method, std::string_view path) const noexcept
{
    const auto candidates = m_classesByService.find(service);
    if (candidates == m_classesByService.end() || !isPlainPath(path))
        return nullptr;
    for (const auto& id : candidates->second) {
        const auto& value = m_data.classes.find(id)->second;
        if (isPathPrefix(value.pathPrefix, path)
            && std::find(value.methods.begin(), value.methods.end(), method) != value.methods.end())
            return &value;
    }
    return nullptr;
}

const Workspace* Configuration::findWorkspace(const WorkspaceId& id) const noexcept
{
    const auto it = m_data.workspaces.find(id);
    return it == m_data.workspaces.end() ? nullptr : &it->second;
}

bool Configuration::isDrained(DrainKind kind, const std::string& name) const
{
    return m_data.drains.contains(Drain { kind, name });
}

bool Configuration::hasService(const ServiceId& service) const { return m_data.services.contains(service); }

tl::expected<AuthenticatedKey, KeyRefusal> Configuration::authenticate(std::string_view presentedKey) const
{
    const auto parts = splitKey(presentedKey);
    if (!parts)
        return tl::unexpected(KeyRefusal::Malformed);
    const auto it = m_data.keys.find(parts->first);
    // An unknown id takes the same hash and comparison, so that the time does not tell which ids exist.
    static const KeyHash noHash {};
    const auto& expected = it == m_data.keys.end() ? noHash : it->second.hash;
    const bool isEqual = equalHashes(hashKey(presentedKey), expected);
    if (it != m_data.keys.end() && isEqual)
        return AuthenticatedKey { it->first, it->second.workspace };
    if (m_data.withdrawnKeys.contains(parts->first))
        return tl::unexpected(KeyRefusal::Withdrawn);
    return tl::unexpected(KeyRefusal::Unknown);
}

FieldChange Configuration::lastChange(const std::string& field) const
{
    const auto it = m_data.fields.find(field);
    return it == m_data.fields.end() ? FieldChange {} : it->second;
}

}
