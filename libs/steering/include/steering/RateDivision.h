// Divides a rate that binds the sum over all entry instances, such as the rate of a cold server, among a few of them.

#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace peridot {

/** An entry instance, as the divisions of rates count it. */
struct EntryInstance {
    InstanceId id;
    RegionId region;
    bool isLive = true; // If not, it is listed, but not known to live. It may still send requests.
    bool isDetached = false; // It reaches no backend server and passes its requests on.
    std::string callerAddress {}; // Takes requests that other instances pass on. Empty if it takes none now.

    bool operator==(const EntryInstance&) const = default;
};

/**
 * Each instance that holds a part of a rate may have one request ready at any time, so that a rate has only as many
 * holders as its bound leaves room for. Instances that know the same instances choose the same holders, without
 * messages. Instances that live in the server's region come first, because they use it most.
 */
class RateDivision {
public:
    /** @p instances includes the instance itself. With an empty list, the instance has each rate for itself. */
    RateDivision(InstanceId self, std::vector<EntryInstance> instances);

    /** Returns this instance's part of the server's @p rate, which is 0 if the instance holds none. The next instances
     *  in the order are the holders in the next @p turn. */
    double part(const BackendServerId&, const RegionId& serverRegion, double rate, double maximumHolders,
        std::size_t turn = 0) const;
    std::size_t instances() const noexcept { return m_instances.size(); }

private:
    InstanceId m_self;
    std::vector<EntryInstance> m_instances;
};

/** Requests that may be sent now, one at most. Unused ones do not accumulate. */
class SendTokens {
public:
    SendTokens(double initial, TimePoint now)
        : m_tokens(initial)
        , m_time(now)
    {
    }

    void setRate(double perSecond, TimePoint now);
    /** Time until a request may be sent if @p ahead others go first; empty if the rate is 0. */
    std::optional<Duration> wait(std::size_t ahead, TimePoint now);
    void take() noexcept { m_tokens -= 1; }

private:
    void refill(TimePoint now);

    double m_perSecond = 0;
    double m_tokens;
    TimePoint m_time; // Of the last refill.
};

}
