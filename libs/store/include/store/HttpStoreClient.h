// Client of the platform's HTTP interface (docs/stand-ins.md), over StrictHttpClient.

#pragma once

#include "base/Time.h"
#include "store/StoreTypes.h"

#include <functional>
#include <memory>
#include <string>

namespace peridot {

struct HttpStoreClientSettings {
    std::string address; // host:port of the platform.
    std::string caller; // Name of this instance, sent along for statistics and faults.
};

/**
 * Sends store requests asynchronously. Thread-safe.
 *
 * A commit or object write travels on a connection of its own: a request on a kept connection may be sent twice, and a
 * commit that is sent twice would be reported as refused although it took effect.
 */
class HttpStoreClient {
public:
    /** Runs once per call, on a thread of cpprestsdk. It must not destroy the client. */
    using Callback = std::function<void(StoreResult)>;

    explicit HttpStoreClient(HttpStoreClientSettings);
    /** Ends the open calls and returns after their callbacks have returned. */
    ~HttpStoreClient();
    HttpStoreClient(const HttpStoreClient&) = delete;
    HttpStoreClient& operator=(const HttpStoreClient&) = delete;

    /**
     * Errors: Unavailable if the request took no effect (a read, a refusal or no connection), OutcomeUnknown if a write
     * was sent and no answer arrived in time, InvalidArgument if the platform rejects the request as malformed.
     */
    void call(const StoreRequest&, Duration timeout, Callback);

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

}
