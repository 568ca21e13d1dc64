// A small configuration document that the tests of this library share.

#pragma once

#include "config/Configuration.h"

#include <string>

namespace peridot::testing {

/** Two classes, two workspaces and the keys k1 (secret "s1") and k2 (secret "s2"). */
inline std::string smallDocument()
{
    return R"({
        "services": ["salonik", "stolic"],
        "classes": [
            {"id": "lookup", "service": "salonik", "methods": ["GET"], "path_prefix": "/", "importance": 5,
             "target_latency_ms": 50, "idempotent": true, "open": true},
            {"id": "booking", "service": "salonik", "methods": ["GET", "POST"], "path_prefix": "/bookings",
             "importance": 9, "target_latency_ms": 80}
        ],
        "workspaces": [
            {"id": "w1", "rate_per_second": 100, "burst": 200},
            {"id": "w2", "rate_per_second": 10, "burst": 20}
        ],
        "keys": [
            {"id": "k1", "workspace": "w1", "hash": ")"
        + toHex(hashKey("k1.s1")) + R"("},
            {"id": "k2", "workspace": "w2", "hash": ")"
        + toHex(hashKey("k2.s2")) + R"("}
        ]
    })";
}

inline Configuration smallConfiguration()
{
    auto data = Configuration::parse(smallDocument(), "test").value().data();
    data.version = 1;
    data.changeId = "first";
    return Configuration::create(std::move(data)).value();
}

}
