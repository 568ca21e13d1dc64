#include "Deployment.h"

#include <algorithm>
#include <cmath>

namespace peridot::trial {

namespace {

    using std::chrono::microseconds;
    using std::chrono::milliseconds;

    std::vector<WorkspaceShape> workspaces(const std::vector<std::string>& names)
    {
        constexpr double shares[] = { 0.30, 0.22, 0.15, 0.10, 0.08, 0.06, 0.05, 0.04 };
        std::vector<WorkspaceShape> result;
        for (std::size_t n = 0; n < names.size(); ++n)
            result.push_back({ names[n], shares[n] });
        return result;
    }

    Deployment plesniCaj()
    {
        Deployment it;
        it.name = "plesni-caj";
        it.regions = { "jadran", "slavonija", "zagorje" };
        it.instances = { 4, 4, 3 };
        it.domainDelay = milliseconds { 1 };
        it.regionDelay = milliseconds { 55 };
        it.clientDelay = milliseconds { 8 };
        it.connectionCost = milliseconds { 1 };
        it.probeCost = milliseconds { 6 };
        it.linkMegabitsPerSecond = 4000;
        it.maximumConnections = 360;
        it.services = { { "salonik", 16, 8, milliseconds { 25 } }, { "stolic", 12, 6, milliseconds { 40 } },
            { "orkestar", 12, 4, milliseconds { 55 } } };
        it.classes = {
            { "sessions", 0, "GET", "/sessions", 3, milliseconds { 250 }, true, false, 0.9 },
            { "programme", 0, "GET", "/programme", 1, milliseconds { 500 }, true, true, 0.1 },
            { "tables", 1, "GET", "/tables", 2, milliseconds { 400 }, true, false, 0.5 },
            { "bookings", 1, "POST", "/bookings", 4, milliseconds { 600 }, false, false, 0.5 },
            { "bands", 2, "GET", "/bands", 2, milliseconds { 400 }, true, false, 0.6 },
            { "engagements", 2, "POST", "/engagements", 5, milliseconds { 800 }, false, false, 0.4 },
        };
        it.workspaces = workspaces(
            { "plavi-dom", "stari-hoteli", "klub-jesen", "zeleni-sat", "dvorana-sava", "orkestri", "lipa", "mirta" });
        return it;
    }

    Deployment lithoplan()
    {
        Deployment it;
        it.name = "lithoplan";
        it.regions = { "sachsen", "bayern", "rhein" };
        it.instances = { 4, 3, 3 };
        it.domainDelay = microseconds { 500 };
        it.regionDelay = milliseconds { 12 };
        it.clientDelay = milliseconds { 3 };
        it.connectionCost = milliseconds { 1 };
        it.probeCost = milliseconds { 2 };
        it.linkMegabitsPerSecond = 4000;
        it.maximumConnections = 390;
        it.services = { { "stockdesk", 18, 6, milliseconds { 20 } }, { "orderdesk", 12, 5, milliseconds { 40 } },
            { "platehouse", 12, 3, milliseconds { 60 } } };
        it.classes = {
            { "stock", 0, "GET", "/stock", 3, milliseconds { 200 }, true, false, 0.85 },
            { "catalogue", 0, "GET", "/catalogue", 1, milliseconds { 500 }, true, true, 0.15 },
            { "proofs", 1, "GET", "/proofs", 2, milliseconds { 400 }, true, false, 0.5 },
            { "orders", 1, "POST", "/orders", 4, milliseconds { 500 }, false, false, 0.5 },
            { "jobs", 2, "GET", "/jobs", 2, milliseconds { 400 }, true, false, 0.5 },
            { "exposures", 2, "POST", "/exposures", 5, milliseconds { 800 }, false, false, 0.5 },
        };
        it.workspaces = workspaces({ "elbdruck", "isar-print", "rheinbogen", "presshaus", "offset-nord", "kupferstich",
            "blattgold", "kleindruck" });
        return it;
    }

}

double Deployment::capacity(std::size_t service) const
{
    const ServiceSize& size = services[service];
    return size.servers * size.slots / toSeconds(size.meanServiceTime);
}

double Deployment::capacity() const
{
    double total = 0;
    for (std::size_t n = 0; n < services.size(); ++n)
        total += capacity(n);
    return total;
}

std::optional<Deployment> deploymentByName(const std::string& name, double slotScale)
{
    std::optional<Deployment> result;
    if (name == "plesni-caj")
        result = plesniCaj();
    else if (name == "lithoplan")
        result = lithoplan();
    else
        return std::nullopt;
    for (ServiceSize& service : result->services)
        service.slots = std::max(1, static_cast<int>(std::ceil(service.slots * slotScale)));
    result->linkMegabitsPerSecond = std::max<std::uint64_t>(
        1, static_cast<std::uint64_t>(static_cast<double>(result->linkMegabitsPerSecond) * slotScale));
    return result;
}

}
