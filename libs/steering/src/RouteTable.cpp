#include "steering/RouteTable.h"

#include <algorithm>
#include <cctype>

namespace peridot {

namespace {

    std::string normalisedHost(std::string_view host)
    {
        if (const auto colon = host.rfind(':'); colon != std::string_view::npos && host.back() != ']')
            host = host.substr(0, colon);
        std::string text(host);
        std::transform(
            text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return text;
    }

    tl::unexpected<Error> invalid(std::string message)
    {
        return makeError(ErrorCode::InvalidArgument, "check configuration", {}, std::move(message));
    }

}

Result<std::shared_ptr<const RouteTable>> RouteTable::create(RouteTableData data)
{
    std::shared_ptr<RouteTable> table(new RouteTable(std::move(data)));
    auto& it = *table;
    for (std::size_t i = 0; i < it.m_data.services.size(); ++i)
        it.m_services.emplace(it.m_data.services[i].id, i);
    for (std::size_t i = 0; i < it.m_data.workspaces.size(); ++i)
        it.m_workspaces.emplace(it.m_data.workspaces[i].id, i);
    for (std::size_t i = 0; i < it.m_data.routes.size(); ++i) {
        auto& route = it.m_data.routes[i];
        if (route.services.empty())
            return invalid("route " + route.name + " has no service");
        for (const auto& share : route.services) {
            if (!it.m_services.contains(share.service))
                return invalid("route " + route.name + " names unknown service " + share.service.value());
        }
        route.host = normalisedHost(route.host);
        it.m_routesByHost[route.host].push_back(i);
        if (!route.homeRegions.empty())
            it.m_homesByHost[route.host].insert(route.homeRegions.begin(), route.homeRegions.end());
    }
    for (const auto& [key, workspace] : it.m_data.keys) {
        if (!it.m_workspaces.contains(workspace))
            return invalid("a key names unknown workspace " + workspace.value());
    }
    for (auto& [host, routes] : it.m_routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [&](std::size_t a, std::size_t b) {
            return it.m_data.routes[a].pathPrefix.size() > it.m_data.routes[b].pathPrefix.size();
        });
    }
    return std::shared_ptr<const RouteTable>(std::move(table));
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto it = m_routesByHost.find(normalisedHost(host));
    if (it == m_routesByHost.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    for (const auto i : it->second) {
        if (path.starts_with(m_data.routes[i].pathPrefix))
            return &m_data.routes[i];
    }
    return nullptr;
}

std::set<RegionId> RouteTable::homeRegionsOfHost(std::string_view host) const
{
    const auto it = m_homesByHost.find(normalisedHost(host));
    return it == m_homesByHost.end() ? std::set<RegionId> {} : it->second;
}

const WorkspaceQuota* RouteTable::workspaceOfKey(const std::string& key) const
{
    const auto it = m_data.keys.find(key);
    return it == m_data.keys.end() ? nullptr : &m_data.workspaces[m_workspaces.at(it->second)];
}

const ServiceDescription* RouteTable::service(const ServiceId& id) const
{
    const auto it = m_services.find(id);
    return it == m_services.end() ? nullptr : &m_data.services[it->second];
}

}
