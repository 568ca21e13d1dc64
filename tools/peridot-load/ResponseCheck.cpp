// Checks of length, checksum and echo, and the reading of refusals.

#include "ResponseCheck.h"

#include "program/CheckedBody.h"

#include <nlohmann/json.hpp>

namespace peridot {

namespace {

    std::string member(const nlohmann::json& document, const char* name)
    {
        if (!document.is_object() || !document.contains(name) || !document[name].is_string())
            return "";
        return document[name].get<std::string>();
    }

    /** Returns the fault of a response, or nothing if it is whole and its own. */
    std::string findFault(const HttpOutcome& response, const RequestKind& kind, const std::string& echo)
    {
        if (auto it = response.headers.find("content-length");
            it != response.headers.end() && it->second != std::to_string(response.body.size()))
            return "wrong_length";
        const auto checksum = response.headers.find("x-content-checksum");
        // A replayed response has lost the header; its body still names the request and shows damage.
        if (checksum == response.headers.end() && !kind.hasIdempotencyKey)
            return "no_checksum";
        if (checksum != response.headers.end() && checksum->second != contentChecksum(response.body))
            return "wrong_checksum";
        const auto head = parseCheckedBody(response.body);
        if (!head)
            return "damaged_body";
        if (head->echo != echo)
            return "response_of_another_request";
        if (kind.responseBytes > 0 && response.body.size() < kind.responseBytes)
            return "short_body";
        return "";
    }

}

Judgement judgeResponse(const HttpOutcome& response, const RequestKind& kind, const std::string& echo)
{
    const auto whenLost = kind.isIdempotent ? Outcome::Failed : Outcome::Unknown;
    // Whatever the client lets through (RFC 9110, section 15).
    if (response.isMalformed || (response.status != 0 && (response.status < 200 || response.status > 599)))
        return { Outcome::Wrong, "malformed" };
    if (response.status == 0) {
        if (!response.isConnected)
            return { Outcome::Failed, "not_connected" };
        return { whenLost, "connection_lost" };
    }
    if (response.status == 200) {
        auto fault = findFault(response, kind, echo);
        return { fault.empty() ? Outcome::Completed : Outcome::Wrong, std::move(fault) };
    }
    const auto refusal = nlohmann::json::parse(response.body, nullptr, false);
    auto code = member(refusal, "code");
    if (code.empty())
        code = "status_" + std::to_string(response.status);
    const auto run = member(refusal, "run");
    if (run == "not_run")
        return { Outcome::RefusedInside, std::move(code) };
    return { run == "unknown" ? whenLost : Outcome::Failed, std::move(code) };
}

}
