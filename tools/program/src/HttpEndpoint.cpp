// Translation between cpprestsdk's messages and plain values.

#include "program/HttpEndpoint.h"

#include <cpprest/http_listener.h>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <utility>

namespace peridot {

namespace {

    namespace http = web::http;
    using Listener = http::experimental::listener::http_listener;

    constexpr std::uint64_t largestBody = 16U << 20U;
    // A caller that does not read its reply must not keep a program from ending.
    constexpr std::chrono::seconds longestClose { 5 };

    std::string lowerCase(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(),
            [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
        return text;
    }

    HttpRequest readHead(const http::http_request& message)
    {
        HttpRequest request;
        request.method = message.method();
        const auto uri = message.relative_uri();
        request.path = web::uri::decode(uri.path());
        for (const auto& [name, value] : web::uri::split_query(uri.query()))
            request.query.insert_or_assign(web::uri::decode(name), web::uri::decode(value));
        for (const auto& [name, value] : message.headers())
            request.headers.insert_or_assign(lowerCase(name), value);
        return request;
    }

    /** Requests whose reply has not been written yet. */
    class OpenRequests {
    public:
        void add()
        {
            std::lock_guard lock(m_mutex);
            ++m_count;
        }

        void remove()
        {
            std::lock_guard lock(m_mutex);
            if (--m_count == 0)
                m_none.notify_all();
        }

        bool waitForNone(std::chrono::milliseconds limit)
        {
            std::unique_lock lock(m_mutex);
            return m_none.wait_for(lock, limit, [this] { return m_count == 0; });
        }

    private:
        std::mutex m_mutex;
        std::condition_variable m_none;
        std::size_t m_count = 0;
    };

    using OpenRequestsPointer = std::shared_ptr<OpenRequests>;

    void sendReply(const http::http_request& message, const OpenRequestsPointer& open, HttpReply reply)
    {
        http::http_response response(reply.status);
        response.set_body(std::move(reply.body), reply.contentType);
        for (const auto& [name, value] : reply.headers)
            response.headers().add(name, value);
        message.reply(response).then([open](const pplx::task<void>& task) {
            try {
                task.get();
            } catch (const std::exception& error) {
                // The caller closed its connection. Nothing is left to do for it.
                spdlog::debug("event=reply_not_sent message=\"{}\"", error.what());
            }
            open->remove();
        });
    }

}

HttpReply httpError(std::uint16_t status, const std::string& code, const std::string& message)
{
    const nlohmann::json body { { "code", code }, { "message", message } };
    return { status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) };
}

HttpReply httpError(const Error& error)
{
    const auto status = [&error]() -> std::uint16_t {
        switch (error.code) {
        case ErrorCode::InvalidArgument:
        case ErrorCode::InvalidSettings:
            return 400;
        case ErrorCode::NotFound:
            return 404;
        case ErrorCode::Unavailable:
            return 503;
        default:
            return 500;
        }
    }();
    return httpError(status, std::string(enumName(error.code)), error.message);
}

class HttpEndpoint::Implementation {
public:
    Implementation(std::string address, Handler handler)
        : m_address(std::move(address))
        , m_handler(std::move(handler))
    {
    }

    Result<void> open()
    {
        try {
            m_listener = std::make_unique<Listener>("http://" + m_address);
            m_listener->support([this](const http::http_request& message) { take(message); });
            m_listener->open().wait();
            return {};
        } catch (const std::exception& error) {
            m_listener.reset();
            return makeError(ErrorCode::Unavailable, "listen", m_address, error.what());
        }
    }

    void close()
    {
        if (!m_listener)
            return;
        // The listener's own close() cuts connections whose reply is being written.
        if (!m_open->waitForNone(longestClose))
            spdlog::warn("event=close_with_open_requests address={}", m_address);
        try {
            m_listener->close().wait();
        } catch (const std::exception& error) {
            spdlog::warn("event=close_failed address={} message=\"{}\"", m_address, error.what());
        }
        m_listener.reset();
    }

private:
    void take(const http::http_request& message)
    {
        m_open->add();
        // A handler that fails after it has responded must not respond again.
        const auto respond
            = [message, open = m_open, isDone = std::make_shared<std::atomic<bool>>(false)](HttpReply reply) {
                  if (!isDone->exchange(true))
                      sendReply(message, open, std::move(reply));
              };
        try {
            if (message.headers().content_length() > largestBody)
                return respond(httpError(413, "body_too_large", "the body is larger than 16 MiB"));
            auto request = std::make_shared<HttpRequest>(readHead(message));
            message.extract_vector().then([this, respond, request](const pplx::task<std::vector<unsigned char>>& task) {
                try {
                    const auto& bytes = task.get();
                    request->body.assign(bytes.begin(), bytes.end());
                } catch (const std::exception& error) {
                    return respond(httpError(400, "invalid_argument", error.what()));
                }
                handle(*request, respond);
            });
        } catch (const std::exception& error) {
            // Such as a path with a broken percent escape.
            respond(httpError(400, "invalid_argument", error.what()));
        }
    }

    void handle(const HttpRequest& request, const Respond& respond)
    {
        try {
            m_handler(request, respond);
        } catch (const std::exception& error) {
            respond(httpError(500, "internal", error.what()));
        }
    }

    const std::string m_address;
    const Handler m_handler;
    const OpenRequestsPointer m_open = std::make_shared<OpenRequests>();
    std::unique_ptr<Listener> m_listener;
};

HttpEndpoint::HttpEndpoint(std::string address, Handler handler)
    : m_implementation(std::make_unique<Implementation>(std::move(address), std::move(handler)))
{
}

HttpEndpoint::~HttpEndpoint() { close(); }

Result<void> HttpEndpoint::open() { return m_implementation->open(); }

void HttpEndpoint::close() { m_implementation->close(); }

}
