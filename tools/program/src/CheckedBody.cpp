// The filler depends on the echo, so that pieces of two responses can't be mixed up unnoticed.

#include "program/CheckedBody.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>

namespace peridot {

namespace {

    std::string filler(const std::string& echo, std::size_t length)
    {
        std::string block = fmt::format("{:016x}", XXH64(echo.data(), echo.size(), 1));
        std::string text;
        text.reserve(length + block.size());
        while (text.size() < length)
            text += block;
        text.resize(length);
        return text;
    }

}

std::string makeCheckedBody(const CheckedBodyHead& head, std::size_t bytes)
{
    nlohmann::json document { { "request_id", head.requestId }, { "echo", head.echo }, { "server", head.server },
        { "filler", "" } };
    const auto dump = [&document] { return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace); };
    auto text = dump();
    if (text.size() < bytes) {
        document["filler"] = filler(head.echo, bytes - text.size());
        text = dump();
    }
    return text;
}

std::optional<CheckedBodyHead> parseCheckedBody(std::string_view body)
{
    const auto document = nlohmann::json::parse(body.begin(), body.end(), nullptr, false);
    if (!document.is_object())
        return std::nullopt;
    const auto text = [&document](const char* name) -> std::optional<std::string> {
        const auto it = document.find(name);
        if (it == document.end() || !it->is_string())
            return std::nullopt;
        return it->get<std::string>();
    };
    const auto requestId = text("request_id");
    const auto echo = text("echo");
    const auto server = text("server");
    const auto padding = text("filler");
    if (!requestId || !echo || !server || !padding || *padding != filler(*echo, padding->size()))
        return std::nullopt;
    return CheckedBodyHead { *requestId, *echo, *server };
}

std::string contentChecksum(std::string_view body)
{
    return fmt::format("{:016x}", XXH64(body.data(), body.size(), 0));
}

}
