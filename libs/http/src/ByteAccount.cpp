#include "http/ByteAccount.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <utility>

namespace peridot {

namespace {

    constexpr std::size_t smallMessage = 65'536;
    // One part in so many of the limit is left to small messages.
    constexpr std::size_t smallMessagePart = 8;
    constexpr std::chrono::milliseconds readingStallTime { 1'000 };
    // Longer, because the message has been made and is lost if its receiver only has a slow link.
    constexpr std::chrono::milliseconds writingStallTime { 5'000 };
    constexpr std::chrono::milliseconds shortestTimeToRoom { 100 };

}

ByteAccount::ByteAccount(std::size_t limit, Clock now)
    : m_limit(limit)
    , m_now(std::move(now))
{
}

ByteAccount::Claim::Claim(
    std::shared_ptr<ByteAccount> account, std::function<void()> onRevoked, MessageKind kind, ClaimStage stage)
    : m_account(std::move(account))
    , m_onRevoked(std::move(onRevoked))
    , m_kind(kind)
    , m_stage(m_onRevoked ? stage : ClaimStage::Held)
{
    if (m_stage == ClaimStage::Held)
        return;
    m_account->m_revocable.insert(this);
    noteProgress();
}

ByteAccount::Claim::~Claim()
{
    resize(0);
    m_account->m_revocable.erase(this);
}

bool ByteAccount::Claim::resize(std::size_t bytes)
{
    const bool hasGrown = bytes > m_bytes;
    m_account->m_held += bytes - m_bytes;
    m_account->m_heldByKind[static_cast<std::size_t>(m_kind)] += bytes - m_bytes;
    if (m_isRevoked)
        m_account->m_revoked += bytes - m_bytes;
    m_bytes = bytes;
    if (bytes == 0)
        m_isRevoked = false;
    if (hasGrown)
        m_account->makeRoom(*this);
    return !m_isRevoked;
}

void ByteAccount::Claim::noteProgress() { m_lastProgress = m_account->m_now(); }

void ByteAccount::Claim::hold()
{
    m_stage = ClaimStage::Held;
    m_account->m_revocable.erase(this);
}

std::uint64_t ByteAccount::revocations() const noexcept
{
    return std::accumulate(m_revocations.begin(), m_revocations.end(), std::uint64_t { 0 });
}

Duration ByteAccount::timeToRoom() const
{
    const auto now = m_now();
    Duration shortest = readingStallTime;
    for (const auto* claim : m_revocable) {
        if (claim->m_stage == ClaimStage::Reading && !claim->m_isRevoked && claim->m_bytes > 0)
            shortest = std::min<Duration>(shortest, claim->m_lastProgress + readingStallTime - now);
    }
    return std::max<Duration>(shortest, shortestTimeToRoom);
}

std::size_t ByteAccount::limitFor(std::size_t bytes) const noexcept
{
    return bytes > smallMessage ? m_limit - m_limit / smallMessagePart : m_limit;
}

bool ByteAccount::isStalled(const Claim& claim, TimePoint now) const
{
    const Duration stallTime = claim.m_stage == ClaimStage::Writing ? writingStallTime : readingStallTime;
    return now - claim.m_lastProgress >= stallTime;
}

void ByteAccount::makeRoom(Claim& wanting)
{
    while (m_held - m_revoked > limitFor(wanting.m_bytes)) {
        const auto now = m_now();
        Claim* stalled = nullptr;
        // Of claims of one size the newest demand gives way.
        Claim* largest = wanting.m_stage == ClaimStage::Reading && !wanting.m_isRevoked ? &wanting : nullptr;
        const auto bytesOf = [](const Claim* claim) { return claim ? claim->m_bytes : 0; };
        for (auto* claim : m_revocable) {
            if (claim->m_isRevoked)
                continue;
            if (claim->m_bytes >= wanting.m_bytes && claim->m_bytes > bytesOf(stalled) && isStalled(*claim, now))
                stalled = claim;
            if (claim->m_stage == ClaimStage::Reading && claim->m_bytes > bytesOf(largest))
                largest = claim;
        }
        if (!stalled && !largest)
            return; // All that is left is in use.
        revoke(stalled ? *stalled : *largest);
    }
}

void ByteAccount::revoke(Claim& claim)
{
    claim.m_isRevoked = true;
    m_revoked += claim.m_bytes;
    ++m_revocations[static_cast<std::size_t>(claim.m_kind)];
    claim.m_onRevoked();
}

}
