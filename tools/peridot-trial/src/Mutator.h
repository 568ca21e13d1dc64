// Breaks one rule in the trial's own wiring. Each mutation proves that the judge reports a violation of its rule.

#pragma once

#include "TrialOptions.h"

#include "peridot/Node.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace peridot::trial {

class Mutator {
public:
    explicit Mutator(Mutation mutation) noexcept
        : m_mutation(mutation)
    {
    }

    bool is(Mutation mutation) const noexcept { return m_mutation == mutation; }

    /** DoubleGrant. */
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
    Mutation m_mutation;
    std::optional<TableRow> m_firstHead;
    std::uint64_t m_answers = 0;
};

}
