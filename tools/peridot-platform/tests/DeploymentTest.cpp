// The files of each deployment must agree with each other and with the design: a server that only one file knows, or a
// key that no configuration holds, would quietly weaken every trial.

#include "BackendSettings.h"
#include "LoadSettings.h"
#include "PlatformSettings.h"
#include "config/Configuration.h"
#include "config/HeadRow.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

using namespace peridot;

namespace {

struct Expected {
    std::string name;
    std::vector<std::string> regions;
    std::size_t entries;
    std::map<std::string, std::pair<std::size_t, std::uint32_t>> services; // Servers and slots per server.
    std::uint32_t connections;
};

const std::vector<Expected> deployments {
    { "plesni-caj", { "jadran", "slavonija", "zagorje" }, 11,
        { { "salonik", { 16, 8 } }, { "stolic", { 12, 6 } }, { "orkestar", { 12, 4 } } }, 360 },
    { "lithoplan", { "sachsen", "bayern", "rhein" }, 10,
        { { "stockdesk", { 18, 6 } }, { "orderdesk", { 12, 5 } }, { "platehouse", { 12, 3 } } }, 390 },
};

template <typename T> T require(Result<T> result)
{
    CPPUNIT_ASSERT_MESSAGE(result ? "" : result.error().describe(), result.has_value());
    return std::move(*result);
}

std::string pathOf(const Expected& deployment, const std::string& file)
{
    return std::string(PERIDOT_DEPLOYMENTS) + "/" + deployment.name + "/" + file;
}

Configuration firstConfiguration(const PlatformSettings& platform)
{
    CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, platform.initialObjects.size());
    return require(Configuration::parse(platform.initialObjects[0].value, platform.initialObjects[0].key));
}

}

class DeploymentTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DeploymentTest);
    CPPUNIT_TEST(listHasServersOfDesignSpreadEvenly);
    CPPUNIT_TEST(backendProcessesServeTheListedServers);
    CPPUNIT_TEST(headRowNamesTheConfiguration);
    CPPUNIT_TEST(callersKeysFitTheConfiguration);
    CPPUNIT_TEST(secretsAreThoseOfTheCallers);
    CPPUNIT_TEST_SUITE_END();

public:
    void listHasServersOfDesignSpreadEvenly()
    {
        for (const auto& deployment : deployments) {
            const auto platform = require(readPlatformSettings(pathOf(deployment, "platform.json")));
            std::map<std::string, std::map<std::string, std::size_t>> byDomain; // By service; entry instances as "".
            std::size_t entries = 0;
            for (const auto& instance : platform.instances) {
                ++byDomain[instance.service.value()][instance.failureDomain.value()];
                if (instance.kind == PlatformInstanceKind::Entry) {
                    ++entries;
                    continue;
                }
                CPPUNIT_ASSERT_EQUAL(deployment.services.at(instance.service.value()).second, instance.slots);
                CPPUNIT_ASSERT_EQUAL(deployment.connections, instance.maximumConnections);
            }
            CPPUNIT_ASSERT_EQUAL(deployment.entries, entries);
            for (const auto& [service, domains] : byDomain) {
                CPPUNIT_ASSERT_EQUAL(std::size_t { 6 }, domains.size());
                std::size_t total = 0;
                for (const auto& [domain, count] : domains)
                    total += count;
                for (const auto& [domain, count] : domains)
                    CPPUNIT_ASSERT_MESSAGE(service, count >= total / 6 && count <= total / 6 + 1);
                if (!service.empty())
                    CPPUNIT_ASSERT_EQUAL(deployment.services.at(service).first, total);
            }
        }
    }

    void backendProcessesServeTheListedServers()
    {
        for (const auto& deployment : deployments) {
            const auto platform = require(readPlatformSettings(pathOf(deployment, "platform.json")));
            std::map<std::string, BackendServerSettings> served;
            for (const auto& region : deployment.regions) {
                const auto backend = require(readBackendSettings(pathOf(deployment, "backend-" + region + ".json")));
                CPPUNIT_ASSERT(backend.deployment == platform.deployment);
                for (const auto& server : backend.servers) {
                    CPPUNIT_ASSERT_EQUAL(region, server.region);
                    CPPUNIT_ASSERT_MESSAGE(server.name, served.emplace(server.name, server).second);
                }
            }
            for (const auto& instance : platform.instances) {
                if (instance.kind == PlatformInstanceKind::Entry)
                    continue;
                const auto& server = served.at(instance.name);
                CPPUNIT_ASSERT_EQUAL(instance.address, server.listen);
                CPPUNIT_ASSERT_EQUAL(instance.service.value(), server.service);
                CPPUNIT_ASSERT_EQUAL(instance.failureDomain.value(), server.failureDomain);
                CPPUNIT_ASSERT_EQUAL(instance.slots, server.slots);
                CPPUNIT_ASSERT_EQUAL(instance.maximumConnections, server.maximumConnections);
                served.erase(instance.name);
            }
            CPPUNIT_ASSERT_MESSAGE("a server that the list lacks", served.empty());
        }
    }

    void headRowNamesTheConfiguration()
    {
        for (const auto& deployment : deployments) {
            const auto platform = require(readPlatformSettings(pathOf(deployment, "platform.json")));
            const auto configuration = firstConfiguration(platform);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, platform.initialRows.size());
            CPPUNIT_ASSERT_EQUAL(std::string(configurationHeadKey), platform.initialRows[0].key);
            const auto head = require(HeadRow::parse(platform.initialRows[0].value.value()));
            CPPUNIT_ASSERT_EQUAL(configuration.version(), head.version);
            CPPUNIT_ASSERT_EQUAL(configuration.changeId(), head.changeId);
            CPPUNIT_ASSERT_EQUAL(platform.initialObjects[0].key, head.objectKey);
            CPPUNIT_ASSERT_EQUAL(configurationObjectKey(head.version, head.changeId), head.objectKey);
        }
    }

    void callersKeysFitTheConfiguration()
    {
        for (const auto& deployment : deployments) {
            const auto configuration
                = firstConfiguration(require(readPlatformSettings(pathOf(deployment, "platform.json"))));
            const auto load = require(readLoadSettings(pathOf(deployment, "callers.json")));
            CPPUNIT_ASSERT_EQUAL(configuration.data().workspaces.size(), load.callers.size());
            for (const auto& caller : load.callers) {
                const auto key = configuration.authenticate(caller.key);
                CPPUNIT_ASSERT_MESSAGE(caller.workspace, key.has_value());
                CPPUNIT_ASSERT_EQUAL(caller.workspace, key->workspace.value());
                const auto* workspace = configuration.findWorkspace(key->workspace);
                CPPUNIT_ASSERT_EQUAL(static_cast<double>(workspace->ratePerSecond), caller.ratePerSecond);
                CPPUNIT_ASSERT_EQUAL(static_cast<double>(workspace->burst), caller.burst);
                for (const auto& kind : caller.mix) {
                    const auto* found = configuration.findClass(ServiceId { kind.service }, kind.method, kind.path);
                    CPPUNIT_ASSERT_MESSAGE(kind.path, found != nullptr);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(kind.path, found->isIdempotent, kind.isIdempotent);
                }
            }
        }
    }

    // A secret that is missing from a backend server's settings would let a leaked key pass unnoticed.
    void secretsAreThoseOfTheCallers()
    {
        for (const auto& deployment : deployments) {
            const auto load = require(readLoadSettings(pathOf(deployment, "callers.json")));
            std::set<std::string> expected;
            for (const auto& caller : load.callers)
                expected.insert(caller.key.substr(caller.key.find('.') + 1));
            for (const auto& region : deployment.regions) {
                const auto backend = require(readBackendSettings(pathOf(deployment, "backend-" + region + ".json")));
                CPPUNIT_ASSERT(expected
                    == std::set<std::string>(backend.callerKeySecrets.begin(), backend.callerKeySecrets.end()));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeploymentTest);
