// Feeds bytes to a connection to a server as the answer to a request, once whole and once in two parts. The request
// ends exactly once, and the cut must not decide whether the caller gets a response. What the caller gets is checked
// without the parser's help: a status that servers may send, and fields whose names are tokens.

#include "SplitInput.h"

#include "http/ClientConnection.h"

#include <boost/asio/write.hpp>

#include <cstdio>
#include <cstdlib>
#include <string>

namespace peridot {

namespace {

    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    using asio::ip::tcp;

    struct Outcome {
        bool isResponse = false;
        unsigned status = 0;
        std::string body;

        bool operator==(const Outcome&) const = default;
    };

    bool isToken(std::string_view name)
    {
        return !name.empty()
            && name.find_first_not_of("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                      "abcdefghijklmnopqrstuvwxyz")
            == std::string_view::npos;
    }

    void checkHead(const HttpResponse& response)
    {
        bool isSound = response.result_int() >= 200 && response.result_int() <= 599;
        for (const auto& field : response) {
            const std::string_view value(field.value().data(), field.value().size());
            isSound = isSound && isToken({ field.name_string().data(), field.name_string().size() })
                && value.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
        }
        if (!isSound) {
            std::fprintf(stderr, "a response with a head that no server may send was taken\n");
            std::abort();
        }
    }

    Outcome receive(std::string_view bytes, std::size_t cut, bool isHead)
    {
        asio::io_context context;
        tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        const auto connection = std::make_shared<ClientConnection>(
            context, acceptor.local_endpoint(), ClientConnectionOptions {}, nullptr, nullptr);
        Outcome outcome;
        int ends = 0;
        HttpRequest request(isHead ? http::verb::head : http::verb::get, "/", 11);
        request.set(http::field::host, "t");
        connection->send(std::move(request), nullptr, [&](ExchangeResult result) {
            ++ends;
            outcome.isResponse = result.has_value();
            if (result) {
                checkHead(*result);
                outcome.status = result->result_int();
                outcome.body = result->body();
            }
        });
        tcp::socket server(context);
        acceptor.accept(server);
        // No TIME_WAIT, which would use up the ports.
        server.set_option(asio::socket_base::linger(true, 0));
        runReady(context);
        boost::system::error_code ec;
        for (const auto part : { bytes.substr(0, cut), bytes.substr(cut) }) {
            asio::write(server, asio::buffer(part.data(), part.size()), ec); // The connection may have closed.
            runReady(context);
        }
        server.shutdown(tcp::socket::shutdown_send, ec);
        while (ends == 0) {
            context.restart();
            context.run_one();
        }
        connection->close();
        runReady(context);
        if (ends != 1) {
            std::fprintf(stderr, "the request ended %d times\n", ends);
            std::abort();
        }
        return outcome;
    }

}

}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size < 3)
        return 0;
    const auto bytes = peridot::expanded({ reinterpret_cast<const char*>(data) + 2, size - 2 });
    const auto cut = peridot::cutOf(data[0], bytes);
    const bool isHead = data[1] % 4 == 0;
    if (peridot::receive(bytes, 0, isHead) != peridot::receive(bytes, cut, isHead)) {
        std::fprintf(stderr, "the response depends on the cut at %zu\n", cut);
        std::abort();
    }
    return 0;
}
