#include "http/ByteAccount.h"

#include <algorithm>
#include <utility>

namespace peridot {

ByteAccount::Claim::Claim(std::shared_ptr<ByteAccount> account, std::function<void()> onRevoked)
    : m_account(std::move(account))
    , m_onRevoked(std::move(onRevoked))
{
    if (m_onRevoked)
        m_account->m_revocable.insert(this);
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
    if (m_isRevoked)
        m_account->m_revoked += bytes - m_bytes;
    m_bytes = bytes;
    if (bytes == 0)
        m_isRevoked = false;
    if (hasGrown)
        m_account->makeRoom();
    return !m_isRevoked;
}

void ByteAccount::makeRoom()
{
    while (m_held - m_revoked > m_limit) {
        Claim* largest = nullptr;
        for (auto* claim : m_revocable) {
            if (!claim->m_isRevoked && claim->m_bytes > (largest ? largest->m_bytes : 0))
                largest = claim;
        }
        if (!largest)
            return; // All that is left is ready.
        revoke(*largest);
    }
}

void ByteAccount::revoke(Claim& claim)
{
    claim.m_isRevoked = true;
    m_revoked += claim.m_bytes;
    ++m_revocations;
    claim.m_onRevoked();
}

}
