// Bounds the memory that the bytes of messages take, summed over all connections of the process.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>

namespace peridot {

/**
 * Not thread-safe. Holders of bytes have a claim each. When the sum exceeds the limit, the largest claim of a message
 * that is still being read is revoked, so that small messages never end because of a large one. It counts as released
 * from then on; its holder gives the bytes back in the next turn. Messages that are ready are counted and never
 * revoked. Invariant: m_held is the sum over all claims, m_revoked the part of those that were revoked and not given
 * back yet.
 */
class ByteAccount {
public:
    class Claim {
    public:
        /** @p onRevoked has to give the bytes back, not before it has returned. Without it the claim is not revoked. */
        Claim(std::shared_ptr<ByteAccount>, std::function<void()> onRevoked);
        ~Claim();
        Claim(const Claim&) = delete;
        Claim& operator=(const Claim&) = delete;

        /** Sets how many bytes the holder has. Returns false if they are more than it may have; it has to give them
         *  back then. Without bytes the claim begins anew. */
        bool resize(std::size_t bytes);

    private:
        friend class ByteAccount;

        const std::shared_ptr<ByteAccount> m_account;
        const std::function<void()> m_onRevoked;
        std::size_t m_bytes = 0;
        bool m_isRevoked = false;
    };

    explicit ByteAccount(std::size_t limit)
        : m_limit(limit)
    {
    }

    std::size_t held() const noexcept { return m_held; }
    std::size_t limit() const noexcept { return m_limit; }
    /** Messages that ended because there was no room for them. */
    std::uint64_t revocations() const noexcept { return m_revocations; }

private:
    /** Revokes claims until the others are within the limit. */
    void makeRoom();
    void revoke(Claim&);

    const std::size_t m_limit;
    std::set<Claim*> m_revocable;
    std::size_t m_held = 0;
    std::size_t m_revoked = 0;
    std::uint64_t m_revocations = 0;
};

}
