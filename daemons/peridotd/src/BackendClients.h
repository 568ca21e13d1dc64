// HTTP clients towards backend servers: one with a connection pool per server, and single-use ones.

#pragma once

#include "base/Ids.h"

#include <cpprest/http_client.h>

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
    using Client = std::shared_ptr<web::http::client::http_client>;

    /** The client whose pool of connections to @p address is shared. */
    Client pooled(const std::string& address);
    /**
     * A client that opens a connection of its own. cpprestsdk sends a request again if a pooled connection turns out to
     * be closed, even after the server has read the request; on a first connection it does not.
     */
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
