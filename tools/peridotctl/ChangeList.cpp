#include "ChangeList.h"

#include <algorithm>
#include <map>
#include <set>

namespace peridot {

namespace {

    using nlohmann::json;
    using Changes = std::vector<json>;

    /** Thrown inside changesBetween() only. */
    struct BadDocument {
        std::string message;
    };

    json typed(const char* type, json members)
    {
        members["type"] = type;
        return members;
    }

    std::map<std::string, json> byId(const json& document, const char* section)
    {
        std::map<std::string, json> items;
        if (!document.contains(section))
            return items;
        if (!document[section].is_array())
            throw BadDocument { std::string(section) + ": expected an array" };
        for (const auto& item : document[section]) {
            if (!item.is_object() || !item.contains("id") || !item["id"].is_string())
                throw BadDocument { std::string(section) + ": expected objects with a member 'id'" };
            items[item["id"].get<std::string>()] = item;
        }
        return items;
    }

    std::set<std::string> names(const json& document, const char* section)
    {
        std::set<std::string> result;
        for (const auto& item : document.value(section, json::array())) {
            if (!item.is_string())
                throw BadDocument { std::string(section) + ": expected strings" };
            result.insert(item.get<std::string>());
        }
        return result;
    }

    /** Names of the members in which two objects differ. */
    std::set<std::string> differences(const json& left, const json& right)
    {
        std::set<std::string> result;
        for (const auto& [name, value] : right.items()) {
            if (!left.contains(name) || left[name] != value)
                result.insert(name);
        }
        for (const auto& [name, value] : left.items()) {
            if (!right.contains(name))
                result.insert(name);
        }
        return result;
    }

    void addClassChanges(const json& current, const json& wanted, Changes& changes)
    {
        const auto existing = byId(current, "classes");
        for (const auto& [id, item] : byId(wanted, "classes")) {
            const auto it = existing.find(id);
            auto different = it == existing.end() ? std::set<std::string> { "id" } : differences(it->second, item);
            // Narrow changes conflict with fewer changes of other operators.
            if (different.erase("target_latency_ms") != 0 && different.empty())
                changes.push_back(
                    typed("set_target", { { "class", id }, { "target_latency_ms", item["target_latency_ms"] } }));
            else if (different == std::set<std::string> { "open" } && it->second.contains("target_latency_ms")
                && it->second["target_latency_ms"] == item.value("target_latency_ms", json()))
                changes.push_back(typed("set_route_open", { { "class", id }, { "open", item["open"] } }));
            else if (!different.empty())
                changes.push_back(typed("put_class", item));
        }
    }

    void addWorkspaceChanges(const json& current, const json& wanted, Changes& changes)
    {
        const auto existing = byId(current, "workspaces");
        for (const auto& [id, item] : byId(wanted, "workspaces")) {
            const auto it = existing.find(id);
            if (it == existing.end()) {
                changes.push_back(typed("add_workspace", item));
            } else if (it->second != item) {
                json change = item;
                change.erase("id");
                change["workspace"] = id;
                changes.push_back(typed("set_rate", change));
            }
        }
    }

    void addKeyChanges(const json& current, const json& wanted, Changes& changes)
    {
        const auto existing = byId(current, "keys");
        for (const auto& [id, item] : byId(wanted, "keys")) {
            const auto it = existing.find(id);
            if (it == existing.end())
                changes.push_back(typed("issue_key", item));
            else if (it->second != item)
                throw BadDocument { "keys: key " + id + " exists with another hash or workspace; issue a new id" };
        }
        for (const auto& id : names(wanted, "withdrawn_keys")) {
            if (existing.count(id) != 0)
                changes.push_back(typed("withdraw_key", { { "key", id } }));
        }
    }

    void addDrainChanges(const json& current, const json& wanted, Changes& changes)
    {
        if (!wanted.contains("drains"))
            return;
        const auto before = current.value("drains", json::array());
        const auto& after = wanted["drains"];
        const auto add = [&](const json& drains, const json& others, bool isDrained) {
            for (const auto& drain : drains) {
                if (!drain.is_object())
                    throw BadDocument { "drains: expected objects" };
                if (std::find(others.begin(), others.end(), drain) != others.end())
                    continue;
                json change = drain;
                change["drained"] = isDrained;
                changes.push_back(typed("set_drain", change));
            }
        };
        add(after, before, true);
        add(before, after, false);
    }

}

Result<std::vector<json>> changesBetween(const json& current, const json& wanted)
{
    try {
        if (!wanted.is_object())
            throw BadDocument { "expected an object" };
        if (wanted.contains("services") && names(wanted, "services") != names(current, "services"))
            throw BadDocument { "services: no change adds or removes services" };
        Changes changes;
        addWorkspaceChanges(current, wanted, changes);
        addClassChanges(current, wanted, changes);
        addKeyChanges(current, wanted, changes);
        addDrainChanges(current, wanted, changes);
        return changes;
    } catch (const BadDocument& error) {
        return makeError(ErrorCode::InvalidArgument, "compare configurations", "", error.message);
    }
}

std::string describeChange(const json& change)
{
    std::string line = change.value("type", "");
    for (const auto& [name, value] : change.items()) {
        if (name != "type")
            line += ' ' + name + '=' + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    return line;
}

}
