// HTTP endpoint of the stand-ins on cpprestsdk's listener, with requests and replies as plain values.

#pragma once

#include "base/Error.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace peridot {

struct HttpRequest {
    std::string method;
    std::string path; // Decoded, without the query.
    std::map<std::string, std::string> query; // Decoded.
    std::map<std::string, std::string> headers; // Names in lower case.
    std::string body;
};

struct HttpReply {
    std::uint16_t status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::map<std::string, std::string> headers = {};
};

/** `{"code", "message"}`. */
HttpReply httpError(std::uint16_t status, const std::string& code, const std::string& message);
HttpReply httpError(const Error&);

class HttpEndpoint {
public:
    /** Must be called exactly once, on any thread. */
    using Respond = std::function<void(HttpReply)>;
    /** Runs on a thread of cpprestsdk, several at a time. */
    using Handler = std::function<void(const HttpRequest&, const Respond&)>;

    /** @p address is host:port. */
    HttpEndpoint(std::string address, Handler);
    ~HttpEndpoint();
    HttpEndpoint(const HttpEndpoint&) = delete;
    HttpEndpoint& operator=(const HttpEndpoint&) = delete;

    Result<void> open();
    /** Waits until the replies to open requests are written, at most 5 s. */
    void close();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
