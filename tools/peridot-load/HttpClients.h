// HTTP exchanges over StrictHttpClient, with kept connections per address.

#pragma once

#include "base/Time.h"

#include <functional>
#include <map>
#include <string>

namespace peridot {

struct HttpCall {
    std::string method;
    std::string target; // Path and query.
    std::map<std::string, std::string> headers;
    std::string body;
    // Only requests that may run twice travel on kept connections, on which they may be sent twice.
    bool mayRunTwice = false;
    Duration timeout { 0 };
};

struct HttpOutcome {
    int status = 0; // 0 if there is no whole response.
    std::map<std::string, std::string> headers; // Names in lower case.
    std::string body;
    std::string error;
    bool isMalformed = false; // Bytes came that are no response.
    bool isConnected = true; // False if no connection could be made, so that nothing was sent.
};

/** Calls back once, on a thread of cpprestsdk. */
void sendHttp(const std::string& address, const HttpCall&, const std::function<void(const HttpOutcome&)>& callback);

/** Calls @p action after @p delay on a thread of cpprestsdk. */
void callLater(Duration delay, std::function<void()> action);

}
