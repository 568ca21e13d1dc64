// Arithmetic and text form of share rows. All amounts are integers; what division leaves over goes to the remainder.

#include "ShareRow.h"

#include "SharePolicy.h"

#include "base/Assert.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace peridot {

namespace {

    nlohmann::json toJson(const BudgetShare& share)
    {
        return { { "milli_rate", share.rate }, { "burst", share.burst } };
    }

    BudgetShare shareFrom(const nlohmann::json& json)
    {
        return { json.at("milli_rate").get<MilliRate>(), json.at("burst").get<Units>() };
    }

    bool isNegative(const BudgetShare& share) { return share.rate < 0 || share.burst < 0; }

    bool hasExactSums(const ShareRow& row)
    {
        auto sum = row.remainder;
        bool isValid = !isNegative(row.remainder);
        for (const auto& [region, share] : row.shares) {
            isValid = isValid && !isNegative(share);
            sum.rate += share.rate;
            sum.burst += share.burst;
        }
        return isValid && sum == row.total;
    }

    ShareRow parse(const std::string& text)
    {
        const auto json = nlohmann::json::parse(text);
        ShareRow row;
        row.configurationVersion = json.at("configuration_version").get<std::uint64_t>();
        row.total = shareFrom(json.at("total"));
        row.remainder = shareFrom(json.at("remainder"));
        for (const auto& [region, share] : json.at("shares").items())
            row.shares[RegionId(region)] = shareFrom(share);
        for (const auto& [region, rate] : json.at("needs").items())
            row.needs[RegionId(region)] = rate.get<MilliRate>();
        for (const auto& [region, id] : json.at("changes").items())
            row.changes[RegionId(region)] = id.get<std::string>();
        return row;
    }

    std::int64_t scaled(std::int64_t part, std::int64_t from, std::int64_t to)
    {
        if (to >= from || from <= 0)
            return part;
        // The product may exceed 64 bits. A rounding error of long double must not round up.
        const auto exact
            = static_cast<long double>(part) * static_cast<long double>(to) / static_cast<long double>(from);
        return std::max<std::int64_t>(0, static_cast<std::int64_t>(exact) - 1);
    }

}

BudgetShare lowerOf(const BudgetShare& a, const BudgetShare& b) noexcept
{
    return { std::min(a.rate, b.rate), std::min(a.burst, b.burst) };
}

BudgetShare ShareRow::shareOf(const RegionId& region) const
{
    const auto it = shares.find(region);
    return it == shares.end() ? BudgetShare {} : it->second;
}

void ShareRow::setShare(const RegionId& region, const BudgetShare& share)
{
    auto& own = shares[region];
    remainder.rate += own.rate - share.rate;
    remainder.burst += own.burst - share.burst;
    own = share;
}

void ShareRow::assertSums() const
{
    PERIDOT_ASSERT(hasExactSums(*this), "the shares of a workspace do not add up to its rate and burst");
}

std::string toText(const ShareRow& row)
{
    row.assertSums();
    auto shares = nlohmann::json::object();
    for (const auto& [region, share] : row.shares)
        shares[region.value()] = toJson(share);
    auto needs = nlohmann::json::object();
    for (const auto& [region, rate] : row.needs)
        needs[region.value()] = rate;
    auto changes = nlohmann::json::object();
    for (const auto& [region, id] : row.changes)
        changes[region.value()] = id;
    return nlohmann::json {
        { "configuration_version", row.configurationVersion }, { "total", toJson(row.total) },
        { "remainder", toJson(row.remainder) }, { "shares", shares }, { "needs", needs }, { "changes", changes }
    }.dump();
}

Result<ShareRow> shareRowFromText(const std::string& text)
{
    try {
        auto row = parse(text);
        if (!hasExactSums(row))
            return makeError(ErrorCode::ProtocolViolation, "read share row", "", "the shares do not add up");
        return row;
    } catch (const nlohmann::json::exception& error) {
        return makeError(ErrorCode::ProtocolViolation, "read share row", "", error.what());
    }
}

ShareRow initialShareRow(
    const BudgetShare& total, std::uint64_t configurationVersion, const std::vector<RegionId>& regions)
{
    ShareRow row;
    row.configurationVersion = configurationVersion;
    row.total = total;
    row.remainder = total;
    const auto n = static_cast<std::int64_t>(regions.size());
    for (const auto& region : regions)
        row.setShare(region, { total.rate / n, burstFor(total.rate / n, total, regions.size()) });
    return row;
}

BudgetShare scaledShare(const BudgetShare& share, const BudgetShare& from, const BudgetShare& to)
{
    return { scaled(share.rate, from.rate, to.rate), scaled(share.burst, from.burst, to.burst) };
}

ShareRow withTotal(const ShareRow& row, const BudgetShare& total, std::uint64_t configurationVersion)
{
    auto result = row;
    result.configurationVersion = configurationVersion;
    result.total = total;
    result.remainder = total;
    for (auto& [region, share] : result.shares) {
        share = scaledShare(share, row.total, total);
        result.remainder.rate -= share.rate;
        result.remainder.burst -= share.burst;
    }
    return result;
}

}
