// Identifier types. Each kind of name has its own type, so that a workspace cannot be passed where a region is meant.

#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace peridot {

/** A name of one kind; @p Tag keeps kinds apart. */
template <typename Tag> class Id {
public:
    Id() = default;
    explicit Id(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const noexcept { return m_value; }
    bool isEmpty() const noexcept { return m_value.empty(); }

    auto operator<=>(const Id&) const = default;

    friend std::ostream& operator<<(std::ostream& stream, const Id& id) { return stream << id.m_value; }

private:
    std::string m_value;
};

using DeploymentId = Id<struct DeploymentTag>;
using RegionId = Id<struct RegionTag>;
using FailureDomainId = Id<struct FailureDomainTag>;
using InstanceId = Id<struct InstanceTag>;
using BackendServerId = Id<struct BackendServerTag>;
using ServiceId = Id<struct ServiceTag>;
using ClassId = Id<struct ClassTag>;
using WorkspaceId = Id<struct WorkspaceTag>;
using KeyId = Id<struct KeyTag>;
using RequestId = Id<struct RequestTag>;

}

template <typename Tag> struct std::hash<peridot::Id<Tag>> {
    std::size_t operator()(const peridot::Id<Tag>& id) const noexcept { return std::hash<std::string> {}(id.value()); }
};
