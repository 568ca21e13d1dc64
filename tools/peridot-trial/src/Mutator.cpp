#include "Mutator.h"

namespace peridot::trial {

namespace {

    constexpr std::uint64_t mutatedAnswerInterval = 50;
    const char* const headRow = "config/head";

}

void Mutator::changeMessage(PeerMessage& message) const
{
    auto* grant = std::get_if<BudgetGrant>(&message);
    if (!grant || m_mutation != Mutation::DoubleGrant)
        return;
    for (BudgetGrantItem& item : grant->items)
        item.granted *= 2;
}

void Mutator::changeStoreResult(StoreResult& result)
{
    if (!result)
        return;
    if (auto* rows = std::get_if<TableRows>(&*result); rows && m_mutation == Mutation::HideConfiguration) {
        for (TableRow& row : rows->rows) {
            if (row.key != headRow)
                continue;
            if (!m_firstHead)
                m_firstHead = row;
            row = *m_firstHead;
        }
    }
    if (auto* list = std::get_if<InstanceList>(&*result); list && m_mutation == Mutation::HideLeaving) {
        for (PlatformInstance& it : list->instances)
            it.state = PlatformInstanceState::Live;
    }
}

void Mutator::changeRefusal(Refusal& refusal) const
{
    if (m_mutation == Mutation::ClaimNotRun)
        refusal.run = RunState::NotRun;
}

int Mutator::answerCopies()
{
    if (++m_answers % mutatedAnswerInterval != 0)
        return 1;
    if (m_mutation == Mutation::DropAnswer)
        return 0;
    return m_mutation == Mutation::RepeatAnswer ? 2 : 1;
}

void Mutator::changeReplay(RecordedResponse& response) const
{
    if (m_mutation == Mutation::SwapReplay)
        response.body += "-of-another-request";
}

}
