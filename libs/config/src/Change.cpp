// The JSON form of changes, the fields they touch and their effect.

#include "config/Change.h"

#include "ConfigurationJson.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace peridot {

namespace {

    template <typename... Functions> struct Overloaded : Functions... {
        using Functions::operator()...;
    };
    template <typename... Functions> Overloaded(Functions...) -> Overloaded<Functions...>;

    // In the order of the alternatives of Change.
    constexpr std::array<std::string_view, std::variant_size_v<Change>> changeTypes { "set_target", "put_class",
        "add_workspace", "set_rate", "issue_key", "withdraw_key", "set_route_open", "set_drain" };

    Change readChange(JsonReader& reader)
    {
        const auto type = reader.string("type");
        if (type == "set_target") {
            ClassId id(reader.string("class"));
            return SetTarget { std::move(id), readTargetLatency(reader) };
        }
        if (type == "put_class")
            return PutClass { readClass(reader) };
        if (type == "add_workspace")
            return AddWorkspace { readWorkspace(reader) };
        if (type == "set_rate") {
            SetRate change;
            change.workspace = WorkspaceId(reader.string("workspace"));
            change.ratePerSecond = readUnsigned(reader, "rate_per_second", 1, highestRate);
            change.burst = readUnsigned(reader, "burst", 1, highestRate);
            return change;
        }
        if (type == "issue_key")
            return IssueKey { readKey(reader) };
        if (type == "withdraw_key")
            return WithdrawKey { KeyId(reader.string("key")) };
        if (type == "set_route_open" || type == "set_drain") {
            const std::string member = type == "set_drain" ? "drained" : "open";
            if (!reader.has(member))
                reader.fail(member, "true or false");
            if (type == "set_drain") {
                auto drain = readDrain(reader);
                return SetDrain { std::move(drain), reader.boolean(member, false) };
            }
            ClassId id(reader.string("class"));
            return SetRouteOpen { std::move(id), reader.boolean(member, false) };
        }
        reader.fail("type", fmt::format("one of {}", fmt::join(changeTypes, ", ")));
    }

    std::string classField(const ClassId& id, std::string_view member)
    {
        return fmt::format("classes/{}/{}", id.value(), member);
    }

    std::string rateField(const WorkspaceId& id) { return fmt::format("workspaces/{}/rate", id.value()); }
    std::string keyField(const KeyId& id) { return fmt::format("keys/{}", id.value()); }

    /** Applies one change to the data. Returns the reason if that is impossible. */
    class Application {
    public:
        explicit Application(ConfigurationData& data)
            : m_data(data)
        {
        }

        std::string operator()(const SetTarget& change)
        {
            return withClass(change.trafficClass, [&](auto& value) { value.targetLatency = change.targetLatency; });
        }

        std::string operator()(const PutClass& change)
        {
            m_data.services.insert(change.trafficClass.service);
            m_data.classes.insert_or_assign(change.trafficClass.id, change.trafficClass);
            return "";
        }

        std::string operator()(const AddWorkspace& change)
        {
            const auto& id = change.workspace.id;
            if (!m_data.workspaces.try_emplace(id, change.workspace).second)
                return fmt::format("workspace {} exists already", id.value());
            return "";
        }

        std::string operator()(const SetRate& change)
        {
            const auto it = m_data.workspaces.find(change.workspace);
            if (it == m_data.workspaces.end())
                return fmt::format("workspace {} does not exist", change.workspace.value());
            it->second.ratePerSecond = change.ratePerSecond;
            it->second.burst = change.burst;
            return "";
        }

        std::string operator()(const IssueKey& change)
        {
            const auto& id = change.key.id;
            if (m_data.withdrawnKeys.contains(id))
                return fmt::format("key {} was withdrawn and is never issued again", id.value());
            if (!m_data.keys.try_emplace(id, change.key).second)
                return fmt::format("key {} exists already", id.value());
            return "";
        }

        std::string operator()(const WithdrawKey& change)
        {
            if (m_data.withdrawnKeys.contains(change.key))
                return fmt::format("key {} is withdrawn already", change.key.value());
            if (m_data.keys.erase(change.key) == 0)
                return fmt::format("key {} does not exist", change.key.value());
            m_data.withdrawnKeys.insert(change.key);
            return "";
        }

        std::string operator()(const SetRouteOpen& change)
        {
            return withClass(change.trafficClass, [&](auto& value) { value.isOpen = change.isOpen; });
        }

        std::string operator()(const SetDrain& change)
        {
            if (change.isDrained)
                m_data.drains.insert(change.drain);
            else
                m_data.drains.erase(change.drain);
            return "";
        }

    private:
        template <typename Function> std::string withClass(const ClassId& id, Function function)
        {
            const auto it = m_data.classes.find(id);
            if (it == m_data.classes.end())
                return fmt::format("class {} does not exist", id.value());
            function(it->second);
            return "";
        }

        ConfigurationData& m_data;
    };

    void recordFields(ConfigurationData& data, const Change& change)
    {
        for (const auto& field : touchedFields(change))
            data.fields.insert_or_assign(field, FieldChange { data.version, data.changeId });
        // A withdrawn id admits no further change, so its field needs no version.
        if (const auto* withdrawal = std::get_if<WithdrawKey>(&change))
            data.fields.erase(keyField(withdrawal->key));
    }

}

nlohmann::json changeToJson(const Change& change)
{
    auto document = std::visit(
        Overloaded {
            [](const SetTarget& value) {
                return nlohmann::json { { "class", value.trafficClass.value() },
                    { "target_latency_ms", toMilliseconds(value.targetLatency) } };
            },
            [](const PutClass& value) { return classToJson(value.trafficClass); },
            [](const AddWorkspace& value) { return workspaceToJson(value.workspace); },
            [](const SetRate& value) {
                return nlohmann::json { { "workspace", value.workspace.value() },
                    { "rate_per_second", value.ratePerSecond }, { "burst", value.burst } };
            },
            [](const IssueKey& value) { return keyToJson(value.key); },
            [](const WithdrawKey& value) {
                return nlohmann::json { { "key", value.key.value() } };
            },
            [](const SetRouteOpen& value) {
                return nlohmann::json { { "class", value.trafficClass.value() }, { "open", value.isOpen } };
            },
            [](const SetDrain& value) {
                auto json = drainToJson(value.drain);
                json["drained"] = value.isDrained;
                return json;
            },
        },
        change);
    document["type"] = changeTypes[change.index()];
    return document;
}

Result<Change> changeFromJson(const nlohmann::json& document, const std::string& path)
{
    try {
        JsonReader reader(document, path);
        auto change = readChange(reader);
        reader.finish();
        return change;
    } catch (const JsonReaderError& error) {
        return makeError(ErrorCode::InvalidArgument, "read change", "", error.what());
    }
}

std::vector<std::string> touchedFields(const Change& change)
{
    using Fields = std::vector<std::string>;
    return std::visit(
        Overloaded {
            [](const SetTarget& value) -> Fields { return { classField(value.trafficClass, "target_latency_ms") }; },
            [](const PutClass& value) -> Fields {
                const auto& id = value.trafficClass.id;
                return { classField(id, "route"), classField(id, "importance"), classField(id, "target_latency_ms"),
                    classField(id, "idempotent"), classField(id, "open") };
            },
            [](const AddWorkspace& value) -> Fields { return { rateField(value.workspace.id) }; },
            [](const SetRate& value) -> Fields { return { rateField(value.workspace) }; },
            [](const IssueKey& value) -> Fields { return { keyField(value.key.id) }; },
            [](const WithdrawKey& value) -> Fields { return { keyField(value.key) }; },
            [](const SetRouteOpen& value) -> Fields { return { classField(value.trafficClass, "open") }; },
            [](const SetDrain& value) -> Fields {
                return { fmt::format("drains/{}/{}", enumName(value.drain.kind), value.drain.name) };
            },
        },
        change);
}

std::optional<FieldConflict> findConflict(
    const Configuration& configuration, ConfigurationVersion baseVersion, const std::vector<Change>& changes)
{
    for (const auto& change : changes) {
        for (const auto& field : touchedFields(change)) {
            if (auto last = configuration.lastChange(field); last.version > baseVersion)
                return FieldConflict { field, last.version, last.changeId };
        }
    }
    return std::nullopt;
}

Result<Configuration> applyChanges(const Configuration& configuration, ConfigurationVersion baseVersion,
    const std::vector<Change>& changes, const std::string& changeId)
{
    constexpr auto step = "apply changes";
    if (changes.empty() || changeId.empty())
        return makeError(ErrorCode::InvalidArgument, step, "", "expected a change id and at least one change");
    if (baseVersion > configuration.version())
        return makeError(ErrorCode::InvalidArgument, step, "",
            fmt::format("base version {} is newer than version {}", baseVersion, configuration.version()));
    if (const auto conflict = findConflict(configuration, baseVersion, changes))
        return makeError(ErrorCode::Conflict, step, "",
            fmt::format("{} was changed in version {} by {}", conflict->field, conflict->version, conflict->changeId));
    auto data = configuration.data();
    ++data.version;
    data.changeId = changeId;
    Application application(data);
    for (std::size_t i = 0; i < changes.size(); ++i) {
        if (auto reason = std::visit(application, changes[i]); !reason.empty())
            return makeError(ErrorCode::InvalidArgument, step, "", fmt::format("changes[{}]: {}", i, reason));
        recordFields(data, changes[i]);
    }
    return Configuration::create(std::move(data));
}

}
