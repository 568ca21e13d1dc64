// Bounds the memory that the bytes of messages take, summed over all connections of the process.

#pragma once

#include "base/SteadyTime.h"
#include "base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>

namespace peridot {

enum class MessageKind {
    Request,
    Response,
};

/** What the holder of bytes waits for. */
enum class ClaimStage {
    Reading, // For the rest of the message. The claim may be revoked.
    Held, // The message is whole and in use. The claim is never revoked.
    Writing, // For the receiver of a whole message to take it. The claim is revoked only if it takes nothing for long.
};

/**
 * Not thread-safe. Holders of bytes have a claim each. When the sum exceeds the limit, claims are revoked until it
 * doesn't: first the largest of those without progress that are at least as large as the claim that needs room, then
 * the largest message that is still being read. So a small message never ends because of a large one. Claims of large
 * messages leave a part of the limit to small ones. A revoked claim counts as released; its holder gives the bytes back
 * in the next turn. Invariant: m_held is the sum over all claims, m_revoked the part of those that were revoked and not
 * given back yet.
 */
class ByteAccount {
public:
    using Clock = std::function<TimePoint()>;

    class Claim {
    public:
        /** @p onRevoked has to give the bytes back, not before it has returned. Without it the claim is Held. */
        Claim(std::shared_ptr<ByteAccount>, std::function<void()> onRevoked, MessageKind = MessageKind::Response,
            ClaimStage = ClaimStage::Reading);
        ~Claim();
        Claim(const Claim&) = delete;
        Claim& operator=(const Claim&) = delete;

        /** Sets how many bytes the holder has or is about to take. Returns false if they are more than it may have; it
         *  has to give them back then. Without bytes the claim begins anew. */
        bool resize(std::size_t bytes);
        /** Bytes of the message came in, or the receiver took some. */
        void noteProgress();
        /** The message is whole and in use from now on. */
        void hold();
        std::size_t bytes() const noexcept { return m_bytes; }

    private:
        friend class ByteAccount;

        const std::shared_ptr<ByteAccount> m_account;
        const std::function<void()> m_onRevoked;
        const MessageKind m_kind;
        ClaimStage m_stage;
        std::size_t m_bytes = 0;
        TimePoint m_lastProgress;
        bool m_isRevoked = false;
    };

    explicit ByteAccount(std::size_t limit, Clock now = steadyNow);

    std::size_t held() const noexcept { return m_held; }
    std::size_t held(MessageKind kind) const noexcept { return m_heldByKind[static_cast<std::size_t>(kind)]; }
    std::size_t limit() const noexcept { return m_limit; }
    /** The largest message that finds room if nothing else is held. */
    std::size_t largestMessage() const noexcept { return limitFor(m_limit); }
    /** Messages that ended because there was no room for them. */
    std::uint64_t revocations() const noexcept;
    std::uint64_t revocations(MessageKind kind) const noexcept { return m_revocations[static_cast<std::size_t>(kind)]; }
    /** When a message that finds no room now may find some: once the one that has waited longest counts as stalled. */
    Duration timeToRoom() const;

private:
    static constexpr std::size_t s_kinds = 2;

    /** The part of the limit that a claim of this size may use up. */
    std::size_t limitFor(std::size_t bytes) const noexcept;
    /** Revokes claims until the others are within the limit. @p wanting has just grown. */
    void makeRoom(Claim& wanting);
    bool isStalled(const Claim&, TimePoint now) const;
    void revoke(Claim&);

    const std::size_t m_limit;
    const Clock m_now;
    std::set<Claim*> m_revocable; // Those in another stage than Held.
    std::size_t m_held = 0;
    std::array<std::size_t, s_kinds> m_heldByKind {};
    std::size_t m_revoked = 0;
    std::array<std::uint64_t, s_kinds> m_revocations {};
};

}
