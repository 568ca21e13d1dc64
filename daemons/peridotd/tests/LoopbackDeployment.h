// The daemon on loopback, with the platform's stand-in and a misbehaving backend server.

#pragma once

#include "Daemon.h"
#include "LoopbackBackend.h"
#include "Registration.h"

#include "PlatformServer.h"
#include "config/KeyHash.h"
#include "program/FreePort.h"

#include <cppunit/TestAssert.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <thread>

namespace peridot {

inline const std::string callerKey = "korzo-1.a-secret-that-no-backend-server-sees";

inline std::string configurationText()
{
    const nlohmann::json document { { "version", 1 }, { "change", "initial" }, { "services", { "shop" } },
        { "classes",
            { { { "id", "items" }, { "service", "shop" }, { "methods", { "GET" } }, { "path_prefix", "/items" },
                  { "importance", 50 }, { "target_latency_ms", 5000 }, { "idempotent", true }, { "open", false } },
                { { "id", "orders" }, { "service", "shop" }, { "methods", { "POST" } }, { "path_prefix", "/orders" },
                    { "importance", 90 }, { "target_latency_ms", 5000 }, { "idempotent", false },
                    { "open", false } } } },
        { "workspaces", { { { "id", "korzo" }, { "rate_per_second", 10000 }, { "burst", 5000 } } } },
        { "keys", { { { "id", "korzo-1" }, { "hash", toHex(hashKey(callerKey)) }, { "workspace", "korzo" } } } },
        { "withdrawn_keys", nlohmann::json::array() }, { "drains", nlohmann::json::array() } };
    return document.dump();
}

inline std::string headRow()
{
    return nlohmann::json {
        { "version", 1 }, { "object", "config/1-initial" }, { "change", "initial" },
        { "recent", { { { "id", "initial" }, { "version", 1 } } } }
    }.dump();
}

inline PlatformSettings platformSettings(const std::string& backend)
{
    PlatformSettings settings;
    settings.deployment = DeploymentId { "test" };
    settings.listen = freeLoopbackAddress();
    settings.listLag = Duration { 0 };
    settings.initialRows = { { "config/head", headRow() } };
    settings.initialObjects = { { "config/1-initial", configurationText() } };
    PlatformInstance server;
    server.kind = PlatformInstanceKind::BackendServer;
    server.name = "shop-1";
    server.region = RegionId { "jadran" };
    server.failureDomain = FailureDomainId { "jadran-1" };
    server.service = ServiceId { "shop" };
    server.address = backend;
    server.slots = 8;
    server.maximumConnections = 100;
    settings.instances = { server };
    return settings;
}

inline DaemonSettings daemonSettings(const std::string& platform)
{
    DaemonSettings settings;
    settings.node.deployment = DeploymentId { "test" };
    settings.node.regions = { RegionId { "jadran" } };
    settings.node.self = { InstanceId { "entry-1" }, 7, RegionId { "jadran" }, FailureDomainId { "jadran-1" },
        freeLoopbackAddress(), freeLoopbackAddress(), InstanceState::Starting, 0 };
    settings.operatorAddress = freeLoopbackAddress();
    settings.platformAddress = platform;
    settings.operatorKey = "operator-key-of-the-test";
    settings.limits.bodyBytes = 200'000;
    return settings;
}

/** Platform, backend server and daemon, started once for all tests. */
struct Deployment {
    Deployment()
        : platformOptions(platformSettings(backend.address()))
        , platform(platformOptions, log)
        , settings(daemonSettings(platformOptions.listen))
    {
        CPPUNIT_ASSERT(platform.open().has_value());
        CPPUNIT_ASSERT(Registration(settings).checkDeployment().has_value());
        CPPUNIT_ASSERT(Registration(settings).announce(PlatformInstanceState::Live).has_value());
        daemon = std::make_unique<Daemon>(settings, log);
        CPPUNIT_ASSERT(daemon->open().has_value());
        daemon->start();
        // Returns once the first request has units; the test program's own timeout ends a wait in vain.
        while (get("/shop/items/first").find(" 200 ") == std::string::npos)
            std::this_thread::sleep_for(std::chrono::milliseconds { 50 });
    }

    ~Deployment()
    {
        daemon->close();
        platform.close();
    }

    std::string send(const std::string& bytes) const { return exchangeBytes(settings.node.self.callerAddress, bytes); }

    std::string get(const std::string& target, const std::string& headers = "X-Api-Key: " + callerKey + "\r\n") const
    {
        return send("GET " + target + " HTTP/1.1\r\nHost: t\r\nConnection: close\r\n" + headers + "\r\n");
    }

    std::string post(const std::string& target, const std::string& headers, const std::string& body) const
    {
        return send("POST " + target + " HTTP/1.1\r\nHost: t\r\nConnection: close\r\nX-Api-Key: " + callerKey + "\r\n"
            + headers + "\r\n" + body);
    }

    NullEventLog log;
    LoopbackBackend backend;
    PlatformSettings platformOptions;
    PlatformServer platform;
    DaemonSettings settings;
    std::unique_ptr<Daemon> daemon;
};

inline Deployment& deployment()
{
    static Deployment instance;
    return instance;
}

inline void assertRefused(
    const std::string& response, const std::string& status, const std::string& code, const std::string& run = "not_run")
{
    CPPUNIT_ASSERT_MESSAGE(response.substr(0, 600), response.rfind("HTTP/1.1 " + status, 0) == 0);
    CPPUNIT_ASSERT_MESSAGE(response, response.find("X-Request-Id: entry-1-") != std::string::npos);
    const auto body = nlohmann::json::parse(response.substr(response.find("\r\n\r\n") + 4), nullptr, false);
    CPPUNIT_ASSERT_MESSAGE(response, body.is_object());
    CPPUNIT_ASSERT_EQUAL(code, body.value("code", ""));
    CPPUNIT_ASSERT_EQUAL(run, body.value("run", ""));
}

}
