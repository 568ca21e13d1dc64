// Feeds bytes to a caller's connection, once whole and once in two parts. How the network cuts a byte stream must not
// change which requests it holds: two readings of the same bytes are how requests are smuggled.

#include "SplitInput.h"

#include "http/ServerConnection.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace peridot {

namespace {

    namespace asio = boost::asio;

    constexpr std::size_t accountBytes = 16'777'216; // More than all requests of an input take.

    struct Reading {
        std::vector<std::string> requests;
        std::string answers;
    };

    void send(int descriptor, std::string_view bytes, asio::io_context& context)
    {
        // The connection may have closed; then the rest goes nowhere.
        if (!bytes.empty() && ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
            return;
        runReady(context);
    }

    Reading read(std::string_view bytes, std::size_t cut)
    {
        Reading reading;
        std::array<int, 2> ends {};
        if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()) != 0)
            std::abort();
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.assign(asio::ip::tcp::v4(), ends[0]);
        HttpServerLimits limits;
        limits.headerBytes = 81'920; // Above the longest field that Beast takes.
        limits.bodyBytes = 2'048;
        const auto account = std::make_shared<ByteAccount>(accountBytes);
        auto connection = std::make_shared<ServerConnection>(
            std::move(socket), limits, account,
            [&](const std::shared_ptr<HttpExchange>& exchange) {
                const auto& request = exchange->request;
                reading.requests.push_back(std::string(request.method_string()) + ' ' + std::string(request.target())
                    + '\n' + request.body().text());
                exchange->respond(makeResponse(boost::beast::http::status::ok, "text/plain", "ok"));
            },
            [](ServerConnection&) {});
        connection->start();
        send(ends[1], bytes.substr(0, cut), context);
        send(ends[1], bytes.substr(cut), context);
        std::array<char, 4'096> buf {};
        for (ssize_t n = 0; (n = ::recv(ends[1], buf.data(), buf.size(), MSG_DONTWAIT)) > 0;) {
            reading.answers.append(buf.data(), static_cast<std::size_t>(n));
            runReady(context);
        }
        ::close(ends[1]);
        runReady(context);
        connection->close(CloseReason::Stopped);
        runReady(context);
        connection.reset();
        if (account->held() != 0) {
            std::fprintf(stderr, "%zu bytes are still claimed\n", account->held());
            std::abort();
        }
        return reading;
    }

}

}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size < 2)
        return 0;
    const auto bytes = peridot::expanded({ reinterpret_cast<const char*>(data) + 1, size - 1 });
    const auto cut = peridot::cutOf(data[0], bytes);
    const auto whole = peridot::read(bytes, 0);
    const auto inParts = peridot::read(bytes, cut);
    // Bytes that are no request may be refused later if they come in parts; the requests have to be the same.
    if (whole.requests != inParts.requests) {
        for (const auto* reading : { &whole, &inParts }) {
            std::fprintf(
                stderr, "%s: %zu requests\n", reading == &whole ? "whole" : "in parts", reading->requests.size());
            for (const auto& request : reading->requests)
                std::fprintf(stderr, "  request %s\n", request.c_str());
            std::fprintf(stderr, "  answers %s\n", reading->answers.c_str());
        }
        std::fprintf(stderr, "cut at %zu\n", cut);
        std::abort();
    }
    return 0;
}
