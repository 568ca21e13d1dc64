// Text form of a ledger snapshot: a JSON array of [kind, subject, nano tokens, outstanding units].

#include "budget/RegionLedger.h"

#include <nlohmann/json.hpp>

namespace peridot {

std::string toText(const LedgerSnapshot& snapshot)
{
    auto json = nlohmann::json::array();
    for (const auto& item : snapshot.items) {
        json.push_back(nlohmann::json::array(
            { std::string(enumName(item.key.kind)), item.key.subject, item.nanoTokens, item.outstanding }));
    }
    return json.dump();
}

Result<LedgerSnapshot> ledgerSnapshotFromText(const std::string& text)
{
    LedgerSnapshot snapshot;
    try {
        for (const auto& json : nlohmann::json::parse(text)) {
            const auto kind = enumFromName<BudgetKind>(json.at(0).get<std::string>());
            LedgerSnapshotItem item;
            item.key = { kind.value_or(BudgetKind::WorkspaceRate), json.at(1).get<std::string>() };
            item.nanoTokens = json.at(2).get<std::int64_t>();
            item.outstanding = json.at(3).get<Units>();
            if (!kind || item.nanoTokens < 0 || item.outstanding < 0)
                return makeError(ErrorCode::ProtocolViolation, "read ledger snapshot", "", "an item is out of range");
            snapshot.items.push_back(std::move(item));
        }
    } catch (const nlohmann::json::exception& error) {
        return makeError(ErrorCode::ProtocolViolation, "read ledger snapshot", "", error.what());
    }
    return snapshot;
}

}
