// Reads each accepted configuration out of the store at the moment of its commit, and makes the first one.

#pragma once

#include "EventLoop.h"
#include "Judge.h"
#include "Platform.h"

#include "config/Configuration.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace peridot::trial {

class ConfigurationWatch {
public:
    ConfigurationWatch(Platform&, Judge&, Verdict&);

    /** Writes version 1 into the store. */
    void install(const Configuration&, VirtualTime now);
    void committed(const TableCommit&, VirtualTime now);

    /** Version that a change made; 0 if it is not applied. */
    std::uint64_t versionOf(const std::string& changeId) const;
    /** An operator was told that the change is not and will not be applied. */
    void refused(const std::string& changeId, VirtualTime now);

private:
    void accept(const std::string& headText, VirtualTime now);

    Platform& m_platform;
    Judge& m_judge;
    Verdict& m_verdict;
    std::map<std::string, std::uint64_t> m_applied; // Change id to version.
    std::map<std::string, VirtualTime> m_refused;
};

/** The configuration of a deployment, with two keys per workspace. */
Configuration firstConfiguration(
    const Deployment&, const std::function<AcceptedConfiguration::Limit(std::size_t workspace)>& limitOf);

}
