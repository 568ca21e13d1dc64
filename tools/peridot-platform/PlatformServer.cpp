// Paths, status codes and delays.

#include "PlatformServer.h"

#include "program/Clocks.h"
#include "store/StoreJson.h"

#include <boost/asio/steady_timer.hpp>
#include <pplx/threadpool.h>

#include <memory>
#include <thread>
#include <utility>

namespace peridot {

namespace {

    constexpr Duration longestHold = std::chrono::seconds { 60 };
    const std::string instancesPath = "/v1/instances";

    std::uint16_t statusOf(const StoreResult& result)
    {
        if (result)
            return 200;
        return result.error().code == ErrorCode::InvalidArgument ? 400 : 503;
    }

    HttpReply storeReply(const StoreResult& result) { return { statusOf(result), encodeStoreResult(result) }; }

    HttpReply storeRefusal(std::uint16_t status, ErrorCode code, const std::string& message)
    {
        return { status, encodeStoreResult(makeError(code, "admit", "", message)) };
    }

    HttpReply methodNotAllowed() { return httpError(405, "method_not_allowed", "the path has no such method"); }

}

PlatformServer::PlatformServer(const PlatformSettings& settings, EventLog& log)
    : m_log(log)
    , m_platform(settings, monotonicTime())
    , m_endpoint(settings.listen,
          [this](const HttpRequest& request, const HttpEndpoint::Respond& respond) { handle(request, respond); })
{
}

PlatformServer::~PlatformServer() { close(); }

Result<void> PlatformServer::open() { return m_endpoint.open(); }

void PlatformServer::close()
{
    std::list<HeldRequest> held;
    {
        std::lock_guard lock(m_mutex);
        m_isClosing = true;
        held.swap(m_held);
        for (const auto& timer : m_delayed)
            timer->cancel();
    }
    release(held);
    m_endpoint.close();
    // Delayed requests answer before the endpoint closes; their timers may still be returning.
    for (;;) {
        {
            std::lock_guard lock(m_mutex);
            if (m_delayed.empty())
                return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds { 1 });
    }
}

void PlatformServer::handle(const HttpRequest& request, const HttpEndpoint::Respond& respond)
{
    if (request.path == "/v1/store")
        return request.method == "POST" ? handleStore(request, respond) : respond(methodNotAllowed());
    if (request.path == "/v1/faults")
        return respond(handleFaults(request));
    if (request.path == "/v1/statistics") {
        if (request.method != "GET")
            return respond(methodNotAllowed());
        std::lock_guard lock(m_mutex);
        return respond({ 200, m_platform.statistics().dump() });
    }
    if (request.path == instancesPath)
        return respond(handleInstance(request, ""));
    if (request.path.starts_with(instancesPath + "/"))
        return respond(handleInstance(request, request.path.substr(instancesPath.size() + 1)));
    respond(httpError(404, "not_found", "no such path"));
}

HttpReply PlatformServer::handleFaults(const HttpRequest& request)
{
    if (request.method != "GET" && request.method != "PUT")
        return methodNotAllowed();
    if (request.method == "PUT") {
        auto document = parseJsonWithComments(request.body, "faults");
        if (!document)
            return httpError(document.error());
        auto faults = readSettings<PlatformFaults>(*document, "faults", readPlatformFaults);
        if (!faults)
            return httpError(faults.error());
        std::lock_guard lock(m_mutex);
        m_platform.setFaults(*faults, monotonicTime());
        m_log.write(LogLevel::Info, LogLine("faults_set").add("faults", encodePlatformFaults(*faults).dump()));
    }
    std::lock_guard lock(m_mutex);
    return { 200, encodePlatformFaults(m_platform.faults()).dump() };
}

HttpReply PlatformServer::handleInstance(const HttpRequest& request, const std::string& name)
{
    if (name.empty()) {
        if (request.method != "GET")
            return methodNotAllowed();
        std::lock_guard lock(m_mutex);
        return storeReply(StoreValue { m_platform.instances().current() });
    }
    if (request.method == "PUT")
        return putInstance(name, request.body);
    if (request.method == "PATCH")
        return setInstanceState(name, request.body);
    if (request.method != "DELETE")
        return methodNotAllowed();
    std::lock_guard lock(m_mutex);
    if (!m_platform.instances().remove(name, monotonicTime()))
        return httpError(404, "not_found", "no such instance");
    m_log.write(LogLevel::Info, LogLine("instance_removed").add("name", name));
    return { 200, "{}" };
}

HttpReply PlatformServer::putInstance(const std::string& name, const std::string& body)
{
    auto document = parseJsonWithComments(body, "instance");
    if (!document)
        return httpError(document.error());
    auto instance = readSettings<PlatformInstance>(*document, "instance", [&name](JsonReader& reader) {
        auto value = readPlatformInstance(reader);
        if (value.name != name)
            reader.fail("name", "the name in the path");
        return value;
    });
    if (!instance)
        return httpError(instance.error());
    std::lock_guard lock(m_mutex);
    m_platform.instances().put(*instance, monotonicTime());
    m_log.write(LogLevel::Info,
        LogLine("instance_put")
            .add("name", name)
            .add("state", enumName(instance->state))
            .add("address", instance->address));
    return { 200, encodePlatformInstance(*instance).dump() };
}

HttpReply PlatformServer::setInstanceState(const std::string& name, const std::string& body)
{
    auto document = parseJsonWithComments(body, "instance state");
    if (!document)
        return httpError(document.error());
    auto state = readSettings<PlatformInstanceState>(*document, "instance state", [](JsonReader& reader) {
        const auto value = enumFromName<PlatformInstanceState>(reader.string("state"));
        if (!value)
            reader.fail("state", "live or leaving");
        return *value;
    });
    if (!state)
        return httpError(state.error());
    std::lock_guard lock(m_mutex);
    if (!m_platform.instances().setState(name, *state, monotonicTime()))
        return httpError(404, "not_found", "no such instance");
    m_log.write(LogLevel::Info, LogLine("instance_state_set").add("name", name).add("state", enumName(*state)));
    return { 200, "{}" };
}

void PlatformServer::handleStore(const HttpRequest& message, const HttpEndpoint::Respond& respond)
{
    releaseOld();
    auto request = decodeStoreRequest(message.body);
    if (!request)
        return respond(storeReply(tl::make_unexpected(request.error())));
    auto header = message.headers.find("x-caller");
    const std::string caller = header == message.headers.end() ? "" : header->second;
    Admission admission = Admission::Hang;
    Duration delay { 0 };
    {
        std::lock_guard lock(m_mutex);
        admission = m_platform.admit(*request, caller, monotonicTime());
        delay = m_platform.delay();
    }
    switch (admission) {
    case Admission::Run:
        return runLater(std::move(*request), delay, respond);
    case Admission::RefuseDown:
        return respond(storeRefusal(503, ErrorCode::Unavailable, "the store is down"));
    case Admission::RefuseRate:
        return respond(storeRefusal(429, ErrorCode::Unavailable, "the store's rate is used up"));
    case Admission::Hang:
        return hold(respond);
    }
}

void PlatformServer::runLater(StoreRequest request, Duration delay, HttpEndpoint::Respond respond)
{
    if (delay.count() == 0)
        return run(request, respond);
    auto timer = std::make_shared<boost::asio::steady_timer>(crossplat::threadpool::shared_instance().service(), delay);
    std::lock_guard lock(m_mutex);
    m_delayed.insert(timer);
    timer->async_wait([this, timer, request = std::move(request), respond = std::move(respond)](
                          const boost::system::error_code& error) {
        if (error)
            respond(storeRefusal(503, ErrorCode::Unavailable, "the store is closing"));
        else
            run(request, respond);
        std::lock_guard inner(m_mutex);
        m_delayed.erase(timer);
    });
    if (m_isClosing)
        timer->cancel();
}

void PlatformServer::run(const StoreRequest& request, const HttpEndpoint::Respond& respond)
{
    std::unique_lock lock(m_mutex);
    auto execution = m_platform.execute(request, monotonicTime());
    lock.unlock();
    if (execution.isAnswerLost)
        return hold(respond);
    respond(storeReply(execution.result));
}

void PlatformServer::hold(HttpEndpoint::Respond respond)
{
    {
        std::lock_guard lock(m_mutex);
        m_held.push_back({ monotonicTime(), std::move(respond) });
    }
    releaseOld();
}

void PlatformServer::releaseOld()
{
    std::list<HeldRequest> old;
    {
        std::lock_guard lock(m_mutex);
        const auto now = monotonicTime();
        while (!m_held.empty() && (m_isClosing || m_held.front().since + longestHold < now))
            old.splice(old.end(), m_held, m_held.begin());
    }
    release(old);
}

void PlatformServer::release(const std::list<HeldRequest>& held)
{
    for (const auto& request : held)
        request.respond(storeRefusal(504, ErrorCode::OutcomeUnknown, "the platform did not answer in time"));
}

}
