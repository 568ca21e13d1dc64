#include "BackendProbe.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <pplx/threadpool.h>

namespace peridot {

namespace {

    namespace http = web::http;

    constexpr std::chrono::seconds probeTimeout { 1 };

    std::uint32_t count(const nlohmann::json& document, const char* name)
    {
        const auto it = document.find(name);
        if (it == document.end() || !it->is_number_unsigned())
            return 0;
        return static_cast<std::uint32_t>(std::min<std::uint64_t>(it->get<std::uint64_t>(), 1'000'000));
    }

    ProbeResult probeResult(std::uint16_t status, const std::string& body)
    {
        ProbeResult result;
        result.isReachable = true;
        const auto document = nlohmann::json::parse(body, nullptr, false);
        if (!document.is_object())
            return result;
        result.isHealthy = status == 200;
        const auto state = document.find("state");
        result.isDraining = state != document.end() && state->is_string() && *state == "draining";
        result.inFlight = count(document, "in_flight");
        result.slots = count(document, "slots");
        return result;
    }

}

void BackendProbe::probe(const ProbeBackendServer& target)
{
    const pplx::cancellation_token_source cancellation;
    const auto timer
        = std::make_shared<boost::asio::steady_timer>(crossplat::threadpool::shared_instance().service(), probeTimeout);
    timer->async_wait([cancellation](const boost::system::error_code& error) {
        if (!error)
            cancellation.cancel();
    });
    const auto report = [this, id = target.backendServer, timer](const ProbeResult& result) {
        timer->cancel();
        m_driver.probeCompleted(id, result);
    };
    try {
        const auto client = m_clients.pooled(target.address);
        const auto status = std::make_shared<std::uint16_t>(0);
        // Probes and requests share connections. The id keeps their responses apart if the server writes one too many.
        const RequestId id { "probe-" + std::to_string(++m_probes) };
        http::http_request request(http::methods::GET);
        request.set_request_uri("/health");
        request.headers().add("X-Request-Id", id.value());
        client->request(request, cancellation.get_token())
            .then([status, id, cancellation](const http::http_response& response) {
                if (!isResponseTo(response, id)) {
                    cancellation.cancel();
                    throw http::http_exception("the response belongs to another request");
                }
                *status = response.status_code();
                return response.extract_utf8string(true);
            })
            .then([client, status, report](const pplx::task<std::string>& task) {
                ProbeResult result;
                try {
                    result = probeResult(*status, task.get());
                } catch (const std::exception&) {
                    result = {};
                }
                report(result);
            });
    } catch (const std::exception&) {
        report({});
    }
}

}
