#include "Commands.h"

#include "ChangeList.h"

#include "base/JsonReader.h"
#include "config/KeyHash.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <thread>

namespace peridot {

const char* const commandSummary = "Commands:\n"
                                   "  show                                the configuration in force\n"
                                   "  diff FILE                           the changes that lead to FILE\n"
                                   "  apply FILE                          make these changes\n"
                                   "  set-target CLASS MS                 target latency of a class\n"
                                   "  workspace add WORKSPACE RATE        requests per second; see --burst\n"
                                   "  workspace set-rate WORKSPACE RATE\n"
                                   "  key issue WORKSPACE                 prints the key, which is kept nowhere else\n"
                                   "  key withdraw KEY-ID\n"
                                   "  route open|close CLASS              whether requests need a key\n"
                                   "  drain region|instance|backend NAME  see --off\n"
                                   "  status                              instances, versions in force, classes\n"
                                   "  explain REQUEST-ID                  the decisions about a request\n"
                                   "  explain REQUEST-ID LOG-FILE...      the same from log files; asks no instance\n";

namespace {

    using nlohmann::json;

    constexpr std::size_t randomBytes = 16;
    constexpr std::chrono::milliseconds pollInterval { 200 };

    std::string randomHex()
    {
        std::array<unsigned char, randomBytes> bytes {};
        randombytes_buf(bytes.data(), bytes.size());
        std::string text;
        constexpr std::string_view digits = "0123456789abcdef";
        for (const auto byte : bytes) {
            text += digits[byte >> 4U];
            text += digits[byte & 15U];
        }
        return text;
    }

    std::optional<std::uint32_t> number(const std::string& text)
    {
        std::uint32_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc {} || end != text.data() + text.size() || value == 0)
            return std::nullopt;
        return value;
    }

    std::string text(const json& body, const char* name)
    {
        if (!body.is_object() || !body.contains(name))
            return "";
        return body[name].is_string() ? body[name].get<std::string>() : body[name].dump();
    }

}

Commands::Commands(const OperatorClient& client, CommandOptions options, std::ostream& output, std::ostream& errors)
    : m_client(client)
    , m_options(std::move(options))
    , m_output(output)
    , m_errors(errors)
{
}

int Commands::run(const Words& words)
{
    const std::string command = words.empty() ? "" : words[0];
    if (command == "show" && words.size() == 1)
        return show();
    if (command == "status" && words.size() == 1)
        return status();
    if (command == "explain" && words.size() == 2)
        return explain(words[1]);
    if (command == "diff" && words.size() == 2)
        return compare(words[1], false);
    if (command == "apply" && words.size() == 2)
        return compare(words[1], true);
    if (command == "set-target" && words.size() == 3)
        return setTarget(words);
    if (command == "workspace" && words.size() == 4)
        return workspace(words);
    if (command == "key" && words.size() == 3)
        return key(words);
    if (command == "route" && words.size() == 3)
        return route(words);
    if (command == "drain" && words.size() == 3)
        return drain(words);
    return usage(command.empty() ? "no command given" : "no such command, or wrong number of arguments: " + command);
}

int Commands::show() { return printReply(m_client.get("/configuration")); }

int Commands::explain(const std::string& requestId)
{
    const auto reply = m_client.get("/explain/" + requestId);
    if (!reply || reply->status != 200 || m_options.isJson)
        return printReply(reply);
    for (const auto& decision : reply->body.value("decisions", json::array()))
        m_output << (decision.is_string() ? decision.get<std::string>() : decision.dump()) << '\n';
    return exitSuccess;
}

int Commands::status()
{
    const auto reply = m_client.get("/status");
    if (!reply || reply->status != 200 || m_options.isJson)
        return printReply(reply);
    const auto& body = reply->body;
    const auto versions = body.value("versions", json::object());
    m_output << "version in force everywhere: " << text(versions, "lowest")
             << ", highest known: " << text(versions, "highest") << "\nevidence: " << text(body, "evidence") << ", "
             << text(body, "evidence_age_ms") << " ms old\n";
    for (const auto& instance : body.value("instances", json::array())) {
        m_output << "instance " << text(instance, "name") << " region=" << text(instance, "region")
                 << " failure_domain=" << text(instance, "failure_domain") << " state=" << text(instance, "state")
                 << '\n';
    }
    for (const auto& item : body.value("served", json::object()).value("classes", json::array())) {
        m_output << "class " << text(item, "class") << " target_ms=" << text(item, "target_latency_ms")
                 << " p99_ms=" << text(item, "p99_ms") << " completed=" << text(item, "completed")
                 << " not_run=" << text(item, "not_run") << " unknown=" << text(item, "unknown") << '\n';
    }
    return exitSuccess;
}

int Commands::compare(const std::string& path, bool isApplied)
{
    const auto wanted = readJsonFile(path);
    if (!wanted)
        return fail(wanted.error());
    const auto current = configuration();
    if (!current)
        return exitFailure;
    const auto changes = changesBetween(*current, *wanted);
    if (!changes)
        return fail(changes.error());
    if (m_options.isJson && !isApplied)
        m_output << json(*changes).dump(2) << '\n';
    for (const auto& change : *changes) {
        if (!m_options.isJson)
            m_output << describeChange(change) << '\n';
    }
    if (!isApplied || changes->empty())
        return exitSuccess;
    // A file that was made from an older version must not undo what others changed since.
    return submit(*changes, wanted->value("version", current->value("version", std::uint64_t { 0 })));
}

int Commands::setTarget(const Words& words)
{
    const auto target = number(words[2]);
    if (!target)
        return usage("the target latency is a positive number of milliseconds");
    return submitOne({ { "type", "set_target" }, { "class", words[1] }, { "target_latency_ms", *target } });
}

int Commands::workspace(const Words& words)
{
    const auto rate = number(words[3]);
    if (!rate)
        return usage("the rate is a positive number of requests per second");
    const auto burst = m_options.burst != 0 ? m_options.burst : std::max(*rate / 2, 1U);
    if (words[1] == "add")
        return submitOne(
            { { "type", "add_workspace" }, { "id", words[2] }, { "rate_per_second", *rate }, { "burst", burst } });
    if (words[1] == "set-rate")
        return submitOne(
            { { "type", "set_rate" }, { "workspace", words[2] }, { "rate_per_second", *rate }, { "burst", burst } });
    return usage("workspace add or workspace set-rate");
}

int Commands::key(const Words& words)
{
    if (words[1] == "withdraw")
        return submitOne({ { "type", "withdraw_key" }, { "key", words[2] } });
    if (words[1] != "issue")
        return usage("key issue or key withdraw");
    const std::string id = m_options.keyId.empty() ? words[2] + "-" + randomHex().substr(0, 8) : m_options.keyId;
    const std::string newKey = id + "." + randomHex();
    const int result = submitOne(
        { { "type", "issue_key" }, { "id", id }, { "workspace", words[2] }, { "hash", toHex(hashKey(newKey)) } });
    if (result == exitSuccess || result == exitNotInForce)
        m_output << (m_options.isJson ? json { { "key", newKey } }.dump() : "key: " + newKey) << '\n';
    return result;
}

int Commands::route(const Words& words)
{
    if (words[1] != "open" && words[1] != "close")
        return usage("route open or route close");
    return submitOne({ { "type", "set_route_open" }, { "class", words[2] }, { "open", words[1] == "open" } });
}

int Commands::drain(const Words& words)
{
    const std::string kind = words[1] == "backend" ? "backend_server" : words[1];
    if (kind != "region" && kind != "instance" && kind != "backend_server")
        return usage("drain region, drain instance or drain backend");
    return submitOne(
        { { "type", "set_drain" }, { "kind", kind }, { "name", words[2] }, { "drained", !m_options.isOff } });
}

std::optional<json> Commands::configuration()
{
    const auto reply = m_client.get("/configuration");
    if (reply && reply->status == 200 && reply->body.is_object())
        return reply->body;
    printReply(reply);
    return std::nullopt;
}

int Commands::submitOne(const json& change)
{
    if (m_options.baseVersion)
        return submit({ change }, *m_options.baseVersion);
    const auto current = configuration();
    if (!current)
        return exitFailure;
    return submit({ change }, current->value("version", std::uint64_t { 0 }));
}

int Commands::submit(const std::vector<json>& changes, std::uint64_t baseVersion)
{
    const json body { { "base_version", baseVersion }, { "changes", changes }, { "operator", m_options.operatorName } };
    const auto reply = m_client.post("/changes", body, "ctl-" + randomHex());
    if (reply && reply->status == 409) {
        m_errors << "peridotctl: not changed: field " << text(reply->body, "field") << " was changed by "
                 << text(reply->body, "operator") << " in version " << text(reply->body, "version")
                 << ", after the base version " << baseVersion << '\n';
        if (m_options.isJson)
            m_output << reply->body.dump(2) << '\n';
        return exitConflict;
    }
    if (!reply || reply->status != 200)
        return printReply(reply);
    const auto version = reply->body.value("version", std::uint64_t { 0 });
    if (m_options.isJson)
        m_output << reply->body.dump(2) << '\n';
    else
        m_output << "accepted as version " << version << '\n';
    return m_options.isWaiting ? waitUntilInForce(version) : exitSuccess;
}

int Commands::waitUntilInForce(std::uint64_t version)
{
    const auto start = std::chrono::steady_clock::now();
    const auto end = start + std::chrono::seconds { m_options.timeoutSeconds };
    while (std::chrono::steady_clock::now() < end) {
        const auto reply = m_client.get("/status");
        if (reply && reply->status == 200
            && reply->body.value("versions", json::object()).value("lowest", std::uint64_t { 0 }) >= version) {
            const auto elapsed
                = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start);
            if (!m_options.isJson)
                m_output << "in force everywhere after " << elapsed.count() << " ms\n";
            return exitSuccess;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    m_errors << "peridotctl: version " << version << " is accepted, but not in force everywhere after "
             << m_options.timeoutSeconds << " s\n";
    return exitNotInForce;
}

int Commands::printReply(const Result<OperatorReply>& reply)
{
    if (!reply)
        return fail(reply.error());
    if (reply->status == 200) {
        m_output << reply->body.dump(2) << '\n';
        return exitSuccess;
    }
    m_errors << "peridotctl: refused with status " << reply->status << ", " << text(reply->body, "code") << ": "
             << text(reply->body, "message") << '\n';
    return exitFailure;
}

int Commands::fail(const Error& error)
{
    m_errors << "peridotctl: " << error.describe() << '\n';
    return exitFailure;
}

int Commands::usage(const std::string& message)
{
    m_errors << "peridotctl: " << message << '\n' << commandSummary;
    return exitUsage;
}

}
