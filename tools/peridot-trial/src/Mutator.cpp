#include "Mutator.h"

#include "config/HeadRow.h"

#include <algorithm>

namespace peridot::trial {

namespace {

    constexpr std::uint64_t mutatedAnswerInterval = 50;
    constexpr Duration hiddenFor = std::chrono::seconds { 10 };

}

const Mutator::SeenHead& Mutator::staleHead() const
{
    auto it = m_heads.rbegin();
    while (std::next(it) != m_heads.rend() && m_loop.now() - it->since < hiddenFor)
        ++it;
    return *it;
}

void Mutator::hideHead(TableRow& row)
{
    const auto head = HeadRow::parse(row.value);
    if (!head)
        return;
    if (m_heads.empty() || m_heads.back().version < head->version)
        m_heads.push_back({ m_loop.now(), row, head->version });
    row = staleHead().row;
}

void Mutator::hideVersions(PeerMessage& message) const
{
    if (m_heads.empty())
        return;
    const ConfigurationVersion shown = staleHead().version;
    const auto hide = [shown](ConfigurationVersion& version) { version = std::min(version, shown); };
    if (auto* heartbeat = std::get_if<Heartbeat>(&message)) {
        hide(heartbeat->configurationVersion);
        hide(heartbeat->highest.version);
        hide(heartbeat->evidence.version);
    } else if (auto* reply = std::get_if<HeartbeatReply>(&message)) {
        hide(reply->highest.version);
        hide(reply->witnessedVersion);
        hide(reply->lowestVersion);
        for (DomainSummary& it : reply->domains)
            hide(it.lowestVersion);
        hide(reply->evidence.version);
    } else if (auto* digest = std::get_if<Digest>(&message)) {
        hide(digest->highest.version);
        hide(digest->evidence.version);
    } else if (auto* pull = std::get_if<DigestPull>(&message)) {
        hide(pull->highest.version);
    } else if (auto* object = std::get_if<ConfigurationObject>(&message); object && object->version > shown) {
        object->version = shown;
        object->body.clear();
    }
}

void Mutator::changeMessage(PeerMessage& message) const
{
    if (m_mutation == Mutation::HideConfiguration)
        hideVersions(message);
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
            if (row.key == configurationHeadKey)
                hideHead(row);
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
