// Breaks one rule in the trial's own wiring. Each mutation proves that the judge reports a violation of its rule.

#pragma once

#include "EventLoop.h"
#include "TrialOptions.h"

#include "peridot/Node.h"

#include <cstdint>
#include <vector>

namespace peridot::trial {

class Mutator {
public:
    Mutator(Mutation mutation, const EventLoop& loop) noexcept
        : m_mutation(mutation)
        , m_loop(loop)
    {
    }

    bool is(Mutation mutation) const noexcept { return m_mutation == mutation; }

    /** DoubleGrant and HideConfiguration. */
    void changeMessage(PeerMessage&) const;
    /** HideConfiguration and HideLeaving. */
    void changeStoreResult(StoreResult&);
    /** ClaimNotRun. */
    void changeRefusal(Refusal&) const;
    /** How often a final answer is delivered: DropAnswer and RepeatAnswer. */
    int answerCopies();
    /** SwapReplay. */
    void changeReplay(RecordedResponse&) const;

private:
    struct SeenHead {
        VirtualTime since;
        TableRow row;
        ConfigurationVersion version;
    };

    /** The newest head row that was read long enough ago. */
    const SeenHead& staleHead() const;
    void hideVersions(PeerMessage&) const;
    void hideHead(TableRow&);

    Mutation m_mutation;
    const EventLoop& m_loop;
    std::vector<SeenHead> m_heads; // Ascending; those that some read has returned.
    std::uint64_t m_answers = 0;
};

}
