// Misbehaving callers at each listener of peridotd.

#include "MisbehavingCallersTest.h"

#include "LoopbackBackend.h"
#include "PlatformServer.h"
#include "config/KeyHash.h"

#include "support/LoopbackAddress.h"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <chrono>
#include <fstream>
#include <thread>

namespace peridot {

namespace {

    using nlohmann::json;

    const std::string callerKey = "korzo-1.a-secret";
    constexpr auto operatorKey = "operator-key-of-the-test";

    std::string configuration()
    {
        const auto serviceClass = [](const char* id, const char* method, const char* prefix, bool isIdempotent) {
            return json { { "id", id }, { "service", "shop" }, { "methods", { method } }, { "path_prefix", prefix },
                { "importance", 50 }, { "target_latency_ms", 5000 }, { "idempotent", isIdempotent },
                { "open", false } };
        };
        return json {
            { "version", 1 }, { "change", "initial" }, { "services", { "shop" } },
            { "classes",
                { serviceClass("items", "GET", "/items", true), serviceClass("orders", "POST", "/orders", false) } },
            { "workspaces", { { { "id", "korzo" }, { "rate_per_second", 10000 }, { "burst", 5000 } } } },
            { "keys", { { { "id", "korzo-1" }, { "hash", toHex(hashKey(callerKey)) }, { "workspace", "korzo" } } } },
            { "withdrawn_keys", json::array() }, { "drains", json::array() }
        }.dump();
    }

    PlatformSettings platformSettings(const std::string& address, const std::string& backend)
    {
        PlatformSettings settings;
        settings.deployment = DeploymentId { "test" };
        settings.listen = address;
        settings.listLag = Duration { 0 };
        const json head { { "version", 1 }, { "object", "config/1-initial" }, { "change", "initial" },
            { "recent", { { { "id", "initial" }, { "version", 1 } } } } };
        settings.initialRows = { { "config/head", head.dump() } };
        settings.initialObjects = { { "config/1-initial", configuration() } };
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

    /** The daemon as a process, with the platform's stand-in and a backend server. */
    class DaemonDeployment : public DeploymentUnderTest {
    public:
        DaemonDeployment()
            : m_platform(m_platformSettings, m_log)
        {
            CPPUNIT_ASSERT(sodium_init() >= 0);
            CPPUNIT_ASSERT(m_platform.open().has_value());
            const auto keyPath = m_directory.path() / "operator.key";
            std::ofstream(keyPath) << operatorKey << '\n';
            const json settings { { "deployment", "test" }, { "name", "entry-1" }, { "region", "jadran" },
                { "failure_domain", "jadran-1" }, { "regions", { "jadran" } },
                { "caller_address", address(s_callerPort) }, { "operator_address", address(s_operatorPort) },
                { "peer_address", address(s_peerPort) }, { "platform_address", m_platformSettings.listen },
                { "operator_key_file", keyPath.string() }, { "limits", { { "body_bytes", LoweredLimits::body } } } };
            const auto settingsPath = m_directory.path() / "peridotd.json";
            std::ofstream(settingsPath) << settings.dump(2) << '\n';
            CPPUNIT_ASSERT(m_process
                               .start(programDirectory() / "peridotd", { "--settings", settingsPath.string() },
                                   m_directory.path() / "peridotd.log")
                               .has_value());
            // The limit of time of the test ends a wait in vain.
            const auto callers = DaemonDeployment::listener("caller");
            while (ordinaryStatus(callers.address, callers.ordinaryRequest) != 200)
                std::this_thread::sleep_for(std::chrono::milliseconds { 50 });
        }

        ~DaemonDeployment() override { m_platform.close(); }

        soak::ChildProcess& process() override { return m_process; }
        std::string ip() const override { return processLoopback().to_string(); }

        ListenerUnderTest listener(const std::string& name) const override
        {
            const std::string callerHeaders = "Host: t\r\nX-Api-Key: " + callerKey + "\r\n";
            const std::string end = "Connection: close\r\n\r\n";
            if (name == "caller")
                return { address(s_callerPort), "POST /shop/orders/1 HTTP/1.1\r\n" + callerHeaders,
                    "GET /shop/items/1 HTTP/1.1\r\n" + callerHeaders + end };
            if (name == "operator")
                return { address(s_operatorPort), "POST /v1/operator/changes HTTP/1.1\r\nHost: t\r\n",
                    "GET /v1/operator/status HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer " + std::string(operatorKey)
                        + "\r\n" + end };
            return { address(s_peerPort), "POST / HTTP/1.1\r\nHost: t\r\n", {} };
        }

        std::string largestRequest() const override
        {
            return "POST /shop/orders/largest HTTP/1.1\r\nHost: t\r\nX-Api-Key: " + callerKey
                + "\r\nConnection: close\r\nContent-Length: " + std::to_string(LoweredLimits::body) + "\r\n\r\n"
                + std::string(LoweredLimits::body, 'l');
        }

    private:
        static constexpr std::uint16_t s_callerPort = 8100;
        static constexpr std::uint16_t s_operatorPort = 8101;
        static constexpr std::uint16_t s_peerPort = 8102;
        static constexpr std::uint16_t s_platformPort = 8103;

        static std::string address(std::uint16_t port) { return onProcessLoopback(port); }

        const TemporaryDirectory m_directory;
        NullEventLog m_log;
        LoopbackBackend m_backend;
        const PlatformSettings m_platformSettings = platformSettings(address(s_platformPort), m_backend.address());
        PlatformServer m_platform;
        soak::ChildProcess m_process;
    };

    MisbehavingCallersFactory<DaemonDeployment> factory({ "caller", "operator", "peer" });

}

}
