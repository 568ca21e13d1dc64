// Start, end and control of the servers.

#include "BackendProcess.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <future>
#include <set>
#include <utility>

namespace peridot {

namespace {

    struct ControlRequest {
        std::set<std::string> servers;
        std::set<std::string> services;
        std::set<std::string> regions;
        ServerControl control;
        bool startsCold = false;

        bool isMeant(const BackendServerSettings& server) const
        {
            const auto matches = [](const std::set<std::string>& names, const std::string& name) {
                return names.empty() || names.contains(name);
            };
            return matches(servers, server.name) && matches(services, server.service)
                && matches(regions, server.region);
        }
    };

    std::set<std::string> toSet(std::vector<std::string> names)
    {
        return { std::make_move_iterator(names.begin()), std::make_move_iterator(names.end()) };
    }

    Result<ControlRequest> readControlRequest(const std::string& body)
    {
        auto document = parseJsonWithComments(body, "control");
        if (!document)
            return tl::make_unexpected(document.error());
        return readSettings<ControlRequest>(*document, "control", [](JsonReader& reader) {
            ControlRequest request;
            request.servers = toSet(reader.strings("servers"));
            request.services = toSet(reader.strings("services"));
            request.regions = toSet(reader.strings("regions"));
            request.startsCold = reader.boolean("cold", false);
            reader.object("control", true, [&](JsonReader& member) { request.control = readServerControl(member); });
            return request;
        });
    }

}

BackendProcess::BackendProcess(const BackendSettings& settings, EventLog& log, std::function<void()> keySeen)
    : m_log(log)
    , m_runs(settings.trackedIds)
    , m_keys(settings.callerKeySecrets)
    , m_control(settings.controlListen,
          [this](const HttpRequest& request, const HttpEndpoint::Respond& respond) { respond(handle(request)); })
{
    for (std::uint32_t i = 0; i < settings.threads; ++i)
        m_loops.push_back(std::make_unique<Loop>());
    const ServedContext context { m_runs, m_keys, m_log, std::move(keySeen) };
    for (const auto& server : settings.servers) {
        m_servers.push_back(std::make_unique<ServedServer>(loopOf(m_servers.size()).io, server,
            settings.services.at(server.service), settings.randomSeed + m_servers.size(), context));
    }
}

BackendProcess::~BackendProcess() { close(); }

Result<void> BackendProcess::open()
{
    m_isOpen = true;
    for (auto& loop : m_loops)
        loop->thread = std::thread([&io = loop->io] { io.run(); });
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        Result<void> opened;
        runOn(i, [&opened](ServedServer& server) { opened = server.open(); });
        if (!opened)
            return opened;
    }
    return m_control.open();
}

void BackendProcess::close()
{
    if (!std::exchange(m_isOpen, false))
        return;
    m_control.close();
    for (std::size_t i = 0; i < m_servers.size(); ++i)
        runOn(i, [](ServedServer& server) { server.close(); });
    for (auto& loop : m_loops) {
        loop->work.reset();
        loop->io.stop();
        loop->thread.join();
    }
}

void BackendProcess::runOn(std::size_t server, const std::function<void(ServedServer&)>& action)
{
    std::promise<void> done;
    boost::asio::post(loopOf(server).io, [&] {
        action(*m_servers[server]);
        done.set_value();
    });
    done.get_future().wait();
}

HttpReply BackendProcess::handle(const HttpRequest& request)
{
    if (request.path == "/control" && request.method == "GET")
        return describe();
    if (request.path == "/control" && request.method == "PUT")
        return setControl(request.body);
    if (request.path == "/control/runs")
        return handleRuns(request);
    if (request.path == "/control")
        return httpError(405, "method_not_allowed", "expected GET or PUT");
    return httpError(404, "not_found", "no such path");
}

HttpReply BackendProcess::describe()
{
    nlohmann::json servers = nlohmann::json::object();
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        runOn(i, [&servers](ServedServer& server) { servers[server.model().settings().name] = server.describe(); });
    }
    return { 200, nlohmann::json { { "servers", std::move(servers) } }.dump() };
}

HttpReply BackendProcess::setControl(const std::string& body)
{
    const auto request = readControlRequest(body);
    if (!request)
        return httpError(request.error());
    std::vector<std::string> names;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        const auto& settings = m_servers[i]->model().settings();
        if (!request->isMeant(settings))
            continue;
        runOn(i, [&request](ServedServer& server) { server.setControl(request->control, request->startsCold); });
        names.push_back(settings.name);
    }
    if (names.empty())
        return httpError(404, "not_found", "no server matches");
    m_log.write(LogLevel::Info,
        LogLine("control_set")
            .add("servers", names.size())
            .add("cold", request->startsCold)
            .add("control", encodeServerControl(request->control).dump()));
    return { 200, nlohmann::json { { "servers", names } }.dump() };
}

HttpReply BackendProcess::handleRuns(const HttpRequest& request)
{
    if (request.method == "DELETE") {
        m_runs.clear();
        return { 200, "{}" };
    }
    if (request.method != "GET")
        return httpError(405, "method_not_allowed", "expected GET or DELETE");
    const auto full = request.query.find("full");
    const auto method = request.query.find("method");
    return { 200,
        m_runs
            .report(
                full != request.query.end() && full->second == "1", method == request.query.end() ? "" : method->second)
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) };
}

}
