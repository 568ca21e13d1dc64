// HTTP exchange, timeouts and the mapping of failures to store errors.

#include "store/HttpStoreClient.h"

#include "rest/StrictHttpClient.h"
#include "store/StoreJson.h"

#include <boost/asio/steady_timer.hpp>
#include <pplx/threadpool.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <set>
#include <utility>

namespace peridot {

namespace {

    namespace http = web::http;

    // The timer of a call ends its exchange earlier; this one only guarantees that the connection is given up if
    // cancellation should fail.
    constexpr auto exchangeTimeout = std::chrono::seconds { 60 };

    bool isWrite(const StoreRequest& request) noexcept
    {
        return std::holds_alternative<TableCommit>(request) || std::holds_alternative<ObjectPut>(request);
    }

    /** Without a connection nothing was sent. */
    bool tookNoEffect(const http::http_exception& error) { return error.error_code() == std::errc::host_unreachable; }

    /** One open call. Its callback is taken by the answer or by the timer, whichever comes first. */
    class StoreCallState {
    public:
        StoreCallState(bool isWrite, std::string peer, HttpStoreClient::Callback callback)
            : m_isWrite(isWrite)
            , m_peer(std::move(peer))
            , m_callback(std::move(callback))
            , m_timer(crossplat::threadpool::shared_instance().service())
        {
        }

        bool isWrite() const noexcept { return m_isWrite; }
        boost::asio::steady_timer& timer() noexcept { return m_timer; }
        pplx::cancellation_token token() const { return m_cancellation.get_token(); }
        void cancelExchange() { m_cancellation.cancel(); }

        /** Returns true to the first caller only. */
        bool claim() noexcept { return !m_isClaimed.exchange(true); }
        void deliver(StoreResult result) { m_callback(std::move(result)); }

        /** The error of a call whose answer is missing. */
        StoreResult missingAnswer(std::string message) const
        {
            return makeError(m_isWrite ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable, "call the platform",
                m_peer, std::move(message));
        }

        StoreResult notSent(std::string message) const
        {
            return makeError(ErrorCode::Unavailable, "call the platform", m_peer, std::move(message));
        }

        StoreResult interpret(http::status_code status, const std::string& body) const
        {
            auto result = decodeStoreResult(body);
            if (!result && result.error().code == ErrorCode::ProtocolViolation)
                return missingAnswer("status " + std::to_string(status) + " with a body that is no store result");
            if (!result) {
                result.error().peer = m_peer;
                // A read takes no effect, whatever became of it.
                if (!m_isWrite && result.error().code == ErrorCode::OutcomeUnknown)
                    result.error().code = ErrorCode::Unavailable;
            }
            return result;
        }

    private:
        const bool m_isWrite;
        const std::string m_peer;
        const HttpStoreClient::Callback m_callback;
        std::atomic<bool> m_isClaimed = false;
        boost::asio::steady_timer m_timer;
        pplx::cancellation_token_source m_cancellation;
    };

    using StoreCallPointer = std::shared_ptr<StoreCallState>;

}

class HttpStoreClient::Implementation : public std::enable_shared_from_this<Implementation> {
public:
    explicit Implementation(HttpStoreClientSettings settings)
        : m_settings(std::move(settings))
        , m_reads(m_settings.address, ConnectionUse::Kept, exchangeTimeout)
        , m_writes(m_settings.address, ConnectionUse::Single, exchangeTimeout)
    {
    }

    void call(const StoreRequest&, Duration timeout, Callback);
    void close();

private:
    http::http_request makeRequest(const StoreRequest&) const;
    void startTimer(const StoreCallPointer&, Duration timeout);
    void exchange(const StoreCallPointer&, const http::http_request&);
    void complete(const StoreCallPointer&, StoreResult);

    const HttpStoreClientSettings m_settings;
    const StrictHttpClient m_reads;
    const StrictHttpClient m_writes;

    std::mutex m_mutex;
    std::condition_variable m_idle;
    std::set<StoreCallPointer> m_open; // Guarded by m_mutex. A call stays here until its callback has returned.
    bool m_isClosed = false; // Guarded by m_mutex.
};

http::http_request HttpStoreClient::Implementation::makeRequest(const StoreRequest& request) const
{
    http::http_request message(http::methods::POST);
    message.set_request_uri("/v1/store");
    message.set_body(encodeStoreRequest(request), "application/json");
    if (!m_settings.caller.empty())
        message.headers().add("X-Caller", m_settings.caller);
    return message;
}

void HttpStoreClient::Implementation::call(const StoreRequest& request, Duration timeout, Callback callback)
{
    auto state = std::make_shared<StoreCallState>(isWrite(request), m_settings.address, std::move(callback));
    bool isClosed = false;
    {
        std::lock_guard lock(m_mutex);
        isClosed = m_isClosed;
        if (!isClosed)
            m_open.insert(state);
    }
    if (isClosed) {
        state->deliver(state->notSent("the client is closed"));
        return;
    }
    startTimer(state, timeout);
    exchange(state, makeRequest(request));
}

void HttpStoreClient::Implementation::startTimer(const StoreCallPointer& state, Duration timeout)
{
    state->timer().expires_after(timeout);
    state->timer().async_wait([self = shared_from_this(), state](const boost::system::error_code& error) {
        if (error)
            return;
        self->complete(state, state->missingAnswer("no answer in time"));
        state->cancelExchange();
    });
}

void HttpStoreClient::Implementation::exchange(const StoreCallPointer& state, const http::http_request& message)
{
    const auto& client = state->isWrite() ? m_writes : m_reads;
    struct Answer {
        http::status_code status = 0;
        std::string body;
    };
    client.request(message, state->token())
        .then([](const http::http_response& response) {
            return response.extract_utf8string(true).then([status = response.status_code()](std::string body) {
                return Answer { status, std::move(body) };
            });
        })
        .then([self = shared_from_this(), state](const pplx::task<Answer>& task) {
            StoreResult result = state->missingAnswer("the exchange was cancelled");
            try {
                const auto answer = task.get();
                result = state->interpret(answer.status, answer.body);
            } catch (const http::http_exception& error) {
                result = tookNoEffect(error) ? state->notSent(error.what()) : state->missingAnswer(error.what());
            } catch (const std::exception& error) {
                result = state->missingAnswer(error.what());
            }
            self->complete(state, std::move(result));
        });
}

void HttpStoreClient::Implementation::complete(const StoreCallPointer& state, StoreResult result)
{
    if (!state->claim())
        return;
    state->timer().cancel();
    state->deliver(std::move(result));
    std::lock_guard lock(m_mutex);
    m_open.erase(state);
    if (m_open.empty())
        m_idle.notify_all();
}

void HttpStoreClient::Implementation::close()
{
    std::set<StoreCallPointer> open;
    {
        std::lock_guard lock(m_mutex);
        m_isClosed = true;
        open = m_open;
    }
    for (const auto& state : open) {
        complete(state, state->missingAnswer("the client was closed"));
        state->cancelExchange();
    }
    std::unique_lock lock(m_mutex);
    m_idle.wait(lock, [this] { return m_open.empty(); });
}

HttpStoreClient::HttpStoreClient(HttpStoreClientSettings settings)
    : m_implementation(std::make_shared<Implementation>(std::move(settings)))
{
}

HttpStoreClient::~HttpStoreClient() { m_implementation->close(); }

void HttpStoreClient::call(const StoreRequest& request, Duration timeout, Callback callback)
{
    m_implementation->call(request, timeout, std::move(callback));
}

}
