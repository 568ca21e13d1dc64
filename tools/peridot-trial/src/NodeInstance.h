// The product behind the trial's interface.

#pragma once

#include "SteeringInstance.h"

namespace peridot::trial {

class NodeInstance final : public SteeringInstance {
public:
    NodeInstance(const NodeSettings& settings, EventLog& log)
        : m_node(settings, log)
    {
    }

    Actions tick(TimePoint now) override { return m_node.tick(now); }
    Actions receive(const Envelope& envelope, TimePoint now) override { return m_node.receive(envelope, now); }
    Actions storeCompleted(std::uint64_t id, const StoreResult& result, TimePoint now) override
    {
        return m_node.storeCompleted(id, result, now);
    }
    Actions probeCompleted(const BackendServerId& id, const ProbeResult& result, TimePoint now) override
    {
        return m_node.probeCompleted(id, result, now);
    }
    LookupResult lookup(const LookupQuery& query, TimePoint now) override { return m_node.lookup(query, now); }
    Actions begin(const RequestHead& head, TimePoint now) override { return m_node.begin(head, now); }
    Actions finished(const RequestId& id, const DispatchOutcome& outcome, TimePoint now) override
    {
        return m_node.finished(id, outcome, now);
    }
    Actions abandoned(const RequestId& id, TimePoint now) override { return m_node.abandoned(id, now); }
    Actions operate(const OperatorRequest& request, TimePoint now) override { return m_node.operate(request, now); }
    Actions leave(TimePoint now) override { return m_node.leave(now); }
    bool hasDrained(TimePoint now) const override { return m_node.hasDrained(now); }
    InstanceState state() const override { return m_node.state(); }
    ConfigurationVersion configurationVersion() const override { return m_node.configurationVersion(); }
    std::string status(TimePoint now) const override { return m_node.status(now); }

private:
    Node m_node;
};

}
