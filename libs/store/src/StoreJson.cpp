// Encoding and checked decoding of store requests and results.

#include "store/StoreJson.h"

#include "store/Base64.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace peridot {

namespace {

    using nlohmann::json;

    constexpr std::int64_t highestInteger = std::numeric_limits<std::int64_t>::max();

    template <typename... Visitors> struct Overloaded : Visitors... {
        using Visitors::operator()...;
    };
    template <typename... Visitors> Overloaded(Visitors...) -> Overloaded<Visitors...>;

    bool isAscii(const std::string& text)
    {
        return std::all_of(text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) < 0x80; });
    }

    void encodeValue(json& object, const std::string& value)
    {
        if (isAscii(value))
            object["value"] = value;
        else
            object["value_base64"] = toBase64(value);
    }

    std::optional<std::string> readOptionalValue(JsonReader& reader)
    {
        if (reader.has("value_base64")) {
            auto bytes = fromBase64(reader.string("value_base64"));
            if (!bytes)
                reader.fail("value_base64", "base64 text");
            if (reader.has("value"))
                reader.fail("value", "either value or value_base64");
            return bytes;
        }
        if (!reader.has("value"))
            return std::nullopt;
        return reader.string("value", "");
    }

    std::string readValue(JsonReader& reader)
    {
        auto value = readOptionalValue(reader);
        if (!value)
            reader.fail("value", "a string");
        return std::move(*value);
    }

    json encodeRow(const TableRow& row)
    {
        json object { { "key", row.key }, { "version", row.version } };
        encodeValue(object, row.value);
        return object;
    }

    json encodeRows(const std::vector<TableRow>& rows)
    {
        json list = json::array();
        for (const auto& row : rows)
            list.push_back(encodeRow(row));
        return list;
    }

    std::vector<TableRow> readRows(JsonReader& reader)
    {
        std::vector<TableRow> rows;
        reader.objects("rows", true, [&rows](JsonReader& item) {
            TableRow row;
            row.key = item.string("key");
            row.value = readValue(item);
            row.version = static_cast<RowVersion>(item.integer("version", 0, highestInteger));
            rows.push_back(std::move(row));
        });
        return rows;
    }

    json encodeCommit(const TableCommit& commit)
    {
        json conditions = json::array();
        for (const auto& condition : commit.conditions)
            conditions.push_back({ { "key", condition.key }, { "version", condition.expectedVersion } });
        json writes = json::array();
        for (const auto& write : commit.writes) {
            json object { { "key", write.key } };
            if (write.value)
                encodeValue(object, *write.value);
            else
                object["delete"] = true;
            writes.push_back(std::move(object));
        }
        return { { "type", "table_commit" }, { "conditions", std::move(conditions) }, { "writes", std::move(writes) } };
    }

    TableWrite readWrite(JsonReader& reader)
    {
        TableWrite write;
        write.key = reader.string("key");
        write.value = readOptionalValue(reader);
        // A write without a value must say that it deletes, so that a forgotten member does not destroy a row.
        if (reader.boolean("delete", false) == write.value.has_value())
            reader.fail("delete", "true or a value");
        return write;
    }

    TableCommit readCommit(JsonReader& reader)
    {
        TableCommit commit;
        reader.objects("conditions", true, [&commit](JsonReader& item) {
            TableCondition condition;
            condition.key = item.string("key");
            condition.expectedVersion = static_cast<RowVersion>(item.integer("version", 0, highestInteger));
            commit.conditions.push_back(std::move(condition));
        });
        reader.objects("writes", true, [&commit](JsonReader& item) { commit.writes.push_back(readWrite(item)); });
        return commit;
    }

    StoreRequest readRequest(JsonReader& reader)
    {
        const auto type = reader.string("type");
        if (type == "table_read")
            return TableRead { reader.strings("keys", true) };
        if (type == "table_scan") {
            TableScan scan;
            scan.prefix = reader.string("prefix", "");
            scan.limit = static_cast<std::uint32_t>(reader.integer("limit", 1, 10000, scan.limit));
            return scan;
        }
        if (type == "table_commit")
            return readCommit(reader);
        if (type == "object_put") {
            auto key = reader.string("key");
            return ObjectPut { std::move(key), readValue(reader) };
        }
        if (type == "object_get")
            return ObjectGet { reader.string("key") };
        if (type == "list_instances")
            return ListInstances {};
        reader.fail("type", "table_read, table_scan, table_commit, object_put, object_get or list_instances");
    }

    // A separate type, because a Result<Result<T>> would be ambiguous inside readSettings.
    struct DecodedResult {
        StoreResult result;
    };

    DecodedResult readResult(JsonReader& reader)
    {
        const auto type = reader.string("type");
        if (type == "table_rows")
            return { StoreValue { TableRows { readRows(reader) } } };
        if (type == "commit") {
            if (!reader.has("committed"))
                reader.fail("committed", "true or false");
            const bool isCommitted = reader.boolean("committed", false);
            return { StoreValue { CommitResult { isCommitted, readRows(reader) } } };
        }
        if (type == "object_stored")
            return { StoreValue { ObjectStored {} } };
        if (type == "object")
            return { StoreValue { ObjectValue { readOptionalValue(reader) } } };
        if (type == "instances") {
            InstanceList list;
            reader.objects(
                "instances", true, [&list](JsonReader& item) { list.instances.push_back(readPlatformInstance(item)); });
            return { StoreValue { std::move(list) } };
        }
        if (type == "error") {
            const auto code = enumFromName<ErrorCode>(reader.string("code"));
            if (!code)
                reader.fail("code", "the name of an error code");
            auto step = reader.string("step", "");
            auto peer = reader.string("peer", "");
            return { makeError(*code, std::move(step), std::move(peer), reader.string("message", "")) };
        }
        reader.fail("type", "table_rows, commit, object_stored, object, instances or error");
    }

}

std::string encodeStoreRequest(const StoreRequest& request)
{
    const auto document = std::visit(
        Overloaded {
            [](const TableRead& read) {
                return json { { "type", "table_read" }, { "keys", read.keys } };
            },
            [](const TableScan& scan) {
                return json { { "type", "table_scan" }, { "prefix", scan.prefix }, { "limit", scan.limit } };
            },
            [](const TableCommit& commit) { return encodeCommit(commit); },
            [](const ObjectPut& put) {
                json object { { "type", "object_put" }, { "key", put.key } };
                encodeValue(object, put.value);
                return object;
            },
            [](const ObjectGet& get) {
                return json { { "type", "object_get" }, { "key", get.key } };
            },
            [](const ListInstances&) {
                return json { { "type", "list_instances" } };
            },
        },
        request);
    return document.dump();
}

Result<StoreRequest> decodeStoreRequest(std::string_view text)
{
    auto document = parseJsonWithComments(text, "store request");
    auto request = document ? readSettings<StoreRequest>(*document, "store request", readRequest)
                            : Result<StoreRequest>(tl::make_unexpected(document.error()));
    if (!request)
        return makeError(ErrorCode::InvalidArgument, "decode store request", "", request.error().message);
    return request;
}

std::string encodeStoreResult(const StoreResult& result)
{
    if (!result) {
        const auto& error = result.error();
        return json {
            { "type", "error" }, { "code", enumName(error.code) }, { "step", error.step }, { "peer", error.peer },
            { "message", error.message }
        }.dump(-1, ' ', false, json::error_handler_t::replace);
    }
    const auto document
        = std::visit(Overloaded {
                         [](const TableRows& rows) {
                             return json { { "type", "table_rows" }, { "rows", encodeRows(rows.rows) } };
                         },
                         [](const CommitResult& commit) {
                             return json { { "type", "commit" }, { "committed", commit.isCommitted },
                                 { "rows", encodeRows(commit.current) } };
                         },
                         [](const ObjectStored&) {
                             return json { { "type", "object_stored" } };
                         },
                         [](const ObjectValue& object) {
                             json encoded { { "type", "object" } };
                             if (object.value)
                                 encodeValue(encoded, *object.value);
                             return encoded;
                         },
                         [](const InstanceList& list) {
                             json encoded { { "type", "instances" }, { "instances", json::array() } };
                             for (const auto& instance : list.instances)
                                 encoded["instances"].push_back(encodePlatformInstance(instance));
                             return encoded;
                         },
                     },
            *result);
    return document.dump();
}

StoreResult decodeStoreResult(std::string_view text)
{
    auto document = parseJsonWithComments(text, "store result");
    auto decoded = document ? readSettings<DecodedResult>(*document, "store result", readResult)
                            : Result<DecodedResult>(tl::make_unexpected(document.error()));
    if (!decoded)
        return makeError(ErrorCode::ProtocolViolation, "decode store result", "", decoded.error().message);
    return std::move(decoded->result);
}

nlohmann::json encodePlatformInstance(const PlatformInstance& instance)
{
    json object { { "name", instance.name }, { "kind", enumName(instance.kind) }, { "region", instance.region.value() },
        { "failure_domain", instance.failureDomain.value() }, { "address", instance.address },
        { "state", enumName(instance.state) } };
    if (instance.kind == PlatformInstanceKind::Entry) {
        object["peer_address"] = instance.peerAddress;
    } else {
        object["service"] = instance.service.value();
        object["slots"] = instance.slots;
        object["maximum_connections"] = instance.maximumConnections;
    }
    return object;
}

PlatformInstance readPlatformInstance(JsonReader& reader)
{
    PlatformInstance instance;
    instance.name = reader.string("name");
    const auto kind = enumFromName<PlatformInstanceKind>(reader.string("kind"));
    if (!kind)
        reader.fail("kind", "entry or backend_server");
    instance.kind = *kind;
    instance.region = RegionId { reader.string("region") };
    instance.failureDomain = FailureDomainId { reader.string("failure_domain") };
    instance.address = reader.string("address");
    const auto state = enumFromName<PlatformInstanceState>(reader.string("state", "live"));
    if (!state)
        reader.fail("state", "live or leaving");
    instance.state = *state;
    if (instance.kind == PlatformInstanceKind::Entry) {
        instance.peerAddress = reader.string("peer_address");
    } else {
        instance.service = ServiceId { reader.string("service") };
        instance.slots = static_cast<std::uint32_t>(reader.integer("slots", 1, 100000));
        instance.maximumConnections = static_cast<std::uint32_t>(reader.integer("maximum_connections", 1, 1000000));
    }
    return instance;
}

}
