// Operators that change rates, targets, keys and drains under live traffic, race each other, and repeat what got no
// answer.

#pragma once

#include "CallerKeys.h"
#include "CallerPopulation.h"
#include "ConfigurationWatch.h"
#include "EntryFleet.h"
#include "EventLoop.h"
#include "Random.h"
#include "Verdict.h"

#include "config/Change.h"

#include <functional>
#include <memory>
#include <string>

namespace peridot::trial {

struct OperatorCounts {
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0; // No answer after all tries, or the outcome is unknown.
};

class Operators {
public:
    Operators(const Deployment&, EventLoop&, Network&, EntryFleet&, CallerPopulation&, CallerKeys&, ConfigurationWatch&,
        Judge&, Verdict&, std::uint64_t seed);

    void start(VirtualTime begin, VirtualTime end);
    const OperatorCounts& counts() const noexcept { return m_counts; }

private:
    /** One change until its outcome is known. */
    struct Submission {
        std::string id;
        std::string body;
        int tries = 0;
        bool isOver = false;
        std::function<void(bool isAccepted)> done;
    };
    using SubmissionRef = std::shared_ptr<Submission>;

    void scheduleNext();
    void act();
    void changeRate(std::size_t workspace);
    void changeTarget();
    void replaceKey(std::size_t workspace);
    void drainRegion();
    void race(std::size_t workspace);

    void submit(const Change&, std::uint64_t baseVersion, std::function<void(bool isAccepted)> done);
    void attempt(const SubmissionRef&);
    void answered(const SubmissionRef&, const AnswerOperator&);
    void finish(const SubmissionRef&, bool isAccepted);
    Change rateChange(std::size_t workspace);

    const Deployment& m_deployment;
    EventLoop& m_loop;
    Network& m_network;
    EntryFleet& m_fleet;
    CallerPopulation& m_callers;
    CallerKeys& m_keys;
    ConfigurationWatch& m_watch;
    Judge& m_judge;
    Verdict& m_verdict;
    Random m_random;
    VirtualTime m_end { 0 };
    OperatorCounts m_counts;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_lastKey = 100;
};

}
