// HTTP clients towards backend servers: one that keeps connections per server, and single-use ones.

#pragma once

#include "base/Ids.h"
#include "rest/StrictHttpClient.h"

#include <cpprest/http_msg.h>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace peridot {

/** A backend server that repeats the request id must repeat the one of this request. */
bool isResponseTo(const web::http::http_response&, const RequestId&);

/** Thread-safe. */
class BackendClients {
public:
    using Client = std::shared_ptr<StrictHttpClient>;

    /** The client whose connections to @p address are kept. A request may be sent twice there. */
    Client pooled(const std::string& address);
    /** A client that opens a connection of its own and sends the request once. */
    Client fresh(const std::string& address) const;

private:
    struct Entry {
        Client client;
        std::chrono::steady_clock::time_point lastUse;
    };

    void removeUnused(std::chrono::steady_clock::time_point now);

    std::mutex m_mutex;
    std::map<std::string, Entry> m_clients; // By address.
};

}
