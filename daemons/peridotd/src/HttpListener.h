// One listening address of the daemon. Keeps cpprestsdk's listener type out of the other headers.

#pragma once

#include "Settings.h"

#include "base/Error.h"

#include <cpprest/http_msg.h>

#include <functional>
#include <memory>
#include <string>

namespace peridot {

class HttpListener {
public:
    using Handler = std::function<void(web::http::http_request)>;

    /** @p handler runs on a thread of cpprestsdk and must not block. */
    HttpListener(const std::string& address, const TlsFiles&, EventLog&, Handler handler);
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;

    Result<void> open();
    /** Waits until the open exchanges are over. */
    void close();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
