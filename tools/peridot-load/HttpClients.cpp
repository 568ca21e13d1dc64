// Client pool, timeouts and timers.

#include "HttpClients.h"

#include "rest/StrictHttpClient.h"

#include <boost/asio/steady_timer.hpp>
#include <pplx/threadpool.h>

#include <algorithm>
#include <memory>
#include <mutex>
#include <utility>

namespace peridot {

namespace {

    namespace http = web::http;
    using ClientPointer = std::shared_ptr<StrictHttpClient>;

    // The timer of an exchange ends it earlier.
    constexpr auto exchangeTimeout = std::chrono::seconds { 60 };

    ClientPointer makeClient(const std::string& address, ConnectionUse use)
    {
        return std::make_shared<StrictHttpClient>(address, use, exchangeTimeout);
    }

    ClientPointer pooledClient(const std::string& address)
    {
        static std::mutex mutex;
        static std::map<std::string, ClientPointer> clients;
        std::lock_guard lock(mutex);
        auto& client = clients[address];
        if (!client)
            client = makeClient(address, ConnectionUse::Kept);
        return client;
    }

    http::http_request makeRequest(const HttpCall& exchange)
    {
        http::http_request request(exchange.method);
        request.set_request_uri(web::uri(exchange.target));
        for (const auto& [name, value] : exchange.headers)
            request.headers().add(name, value);
        if (!exchange.body.empty())
            request.set_body(exchange.body, "application/octet-stream");
        return request;
    }

    HttpOutcome readHead(const http::http_response& response)
    {
        HttpOutcome outcome;
        outcome.status = response.status_code();
        for (const auto& [name, value] : response.headers()) {
            std::string lower = name;
            std::transform(lower.begin(), lower.end(), lower.begin(),
                [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
            outcome.headers.emplace(std::move(lower), value);
        }
        return outcome;
    }

    HttpOutcome failed(const std::string& error, bool isConnected)
    {
        HttpOutcome outcome;
        outcome.error = error;
        outcome.isConnected = isConnected;
        return outcome;
    }

    HttpOutcome await(const pplx::task<HttpOutcome>& task)
    {
        try {
            return task.get();
        } catch (const http::http_exception& error) {
            auto outcome = failed(error.what(), error.error_code() != std::errc::host_unreachable);
            outcome.isMalformed = error.error_code() == std::errc::bad_message;
            return outcome;
        } catch (const std::exception& error) {
            return failed(error.what(), true);
        }
    }

}

void sendHttp(
    const std::string& address, const HttpCall& exchange, const std::function<void(const HttpOutcome&)>& callback)
{
    const pplx::cancellation_token_source cancellation;
    auto timer = std::make_shared<boost::asio::steady_timer>(
        crossplat::threadpool::shared_instance().service(), exchange.timeout);
    timer->async_wait([cancellation, timer](const boost::system::error_code& error) {
        if (!error)
            cancellation.cancel();
    });
    try {
        const auto client = exchange.mayRunTwice ? pooledClient(address) : makeClient(address, ConnectionUse::Single);
        client->request(makeRequest(exchange), cancellation.get_token())
            .then([](const http::http_response& response) {
                auto outcome = readHead(response);
                return response.extract_vector().then(
                    [outcome = std::move(outcome)](const std::vector<unsigned char>& body) mutable {
                        outcome.body.assign(body.begin(), body.end());
                        return outcome;
                    });
            })
            .then([client, timer, callback](const pplx::task<HttpOutcome>& task) {
                const auto outcome = await(task);
                timer->cancel();
                callback(outcome);
            });
    } catch (const std::exception& error) {
        timer->cancel();
        callback(failed(error.what(), false));
    }
}

void callLater(Duration delay, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(crossplat::threadpool::shared_instance().service(), delay);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code&) { action(); });
}

}
