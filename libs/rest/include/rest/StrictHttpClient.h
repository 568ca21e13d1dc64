// HTTP client that sends and returns cpprestsdk's messages and reads responses with ResponseParser. cpprestsdk's own
// client takes any text for a status, trims the names of fields, which changes the framing of bodies, and skips what it
// can't read.

#pragma once

#include "base/Time.h"

#include <boost/asio/ssl/context.hpp>
#include <cpprest/http_msg.h>
#include <pplx/pplxtasks.h>

#include <memory>
#include <string>

namespace peridot {

enum class ConnectionUse {
    // Connections are kept for further requests. A request is sent once more if its kept connection turns out to be
    // closed, so that it has to be one that may run twice. Its body is read before it is sent.
    Kept,
    Single, // Each request has a connection of its own and is sent once.
};

/** Thread-safe. */
class StrictHttpClient {
public:
    /** @p address is host:port. @p timeout bounds the time of an exchange, with the body of the response. */
    StrictHttpClient(const std::string& address, ConnectionUse, Duration timeout);
    /** Uses TLS, on single connections. The certificate has to name the host. */
    StrictHttpClient(
        const std::string& address, std::shared_ptr<boost::asio::ssl::context> tlsContext, Duration timeout);

    /** Returns the response once its head has arrived; its body follows in the stream. Errors are http_exceptions, of
     *  the task or of the stream. The code is host_unreachable only if no connection could be opened, so that nothing
     *  was sent. */
    pplx::task<web::http::http_response> request(
        const web::http::http_request&, const pplx::cancellation_token& = pplx::cancellation_token::none()) const;

private:
    class Exchange;
    class Server;

    const std::shared_ptr<Server> m_server;
    const Duration m_timeout;
};

}
