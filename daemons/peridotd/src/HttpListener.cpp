#include "HttpListener.h"

#include "base/LogLine.h"

#include <cpprest/http_listener.h>

namespace peridot {

namespace {

    namespace http = web::http;
    using http::experimental::listener::http_listener;
    using http::experimental::listener::http_listener_config;

    // Bounds the time in which a caller may send its headers.
    constexpr std::chrono::seconds receiveTimeout { 60 };
    constexpr int pendingConnections = 1024;

    http_listener_config configuration(const TlsFiles& tls, EventLog& log)
    {
        http_listener_config result;
        result.set_timeout(receiveTimeout);
        result.set_backlog(pendingConnections);
        if (!tls.isEnabled())
            return result;
        // cpprestsdk calls this for each connection, so that replaced files take effect at once.
        result.set_ssl_context_callback([tls, &log](boost::asio::ssl::context& context) {
            boost::system::error_code error;
            context.set_options(boost::asio::ssl::context::default_workarounds | boost::asio::ssl::context::no_sslv2
                    | boost::asio::ssl::context::no_sslv3 | boost::asio::ssl::context::no_tlsv1
                    | boost::asio::ssl::context::no_tlsv1_1,
                error);
            if (!error)
                context.use_certificate_chain_file(tls.certificateFile, error);
            if (!error)
                context.use_private_key_file(tls.keyFile, boost::asio::ssl::context::pem, error);
            if (error) {
                log.write(LogLevel::Error,
                    LogLine("certificate_not_loaded").add("file", tls.certificateFile).add("message", error.message()));
            }
        });
        return result;
    }

}

class HttpListener::Implementation {
public:
    Implementation(const std::string& address, const TlsFiles& tls, EventLog& log, Handler handler)
        : m_address(address)
        , m_listener(web::uri((tls.isEnabled() ? "https://" : "http://") + address + "/"), configuration(tls, log))
    {
        const auto guardedHandler = [handler = std::move(handler), &log](const http::http_request& request) {
            try {
                handler(request);
            } catch (const std::exception& error) {
                log.write(LogLevel::Error, LogLine("request_handler_failed").add("message", error.what()));
                request.reply(http::status_codes::InternalError).then([](const pplx::task<void>& task) {
                    try {
                        task.get();
                    } catch (const std::exception&) {
                        return;
                    }
                });
            }
        };
        m_listener.support(guardedHandler);
        // cpprestsdk answers these two itself unless told otherwise.
        m_listener.support(http::methods::OPTIONS, guardedHandler);
        m_listener.support(http::methods::TRCE, guardedHandler);
    }

    Result<void> open()
    {
        try {
            m_listener.open().wait();
            return {};
        } catch (const std::exception& error) {
            return makeError(ErrorCode::Unavailable, "open listener", m_address, error.what());
        }
    }

    void close()
    {
        try {
            m_listener.close().wait();
        } catch (const std::exception&) {
            // The process ends; there is nothing left to close.
            return;
        }
    }

private:
    const std::string m_address;
    http_listener m_listener;
};

HttpListener::HttpListener(const std::string& address, const TlsFiles& tls, EventLog& log, Handler handler)
    : m_implementation(std::make_unique<Implementation>(address, tls, log, std::move(handler)))
{
}

HttpListener::~HttpListener() = default;

Result<void> HttpListener::open() { return m_implementation->open(); }

void HttpListener::close() { m_implementation->close(); }

}
