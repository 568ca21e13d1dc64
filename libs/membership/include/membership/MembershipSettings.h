// Intervals and limits of heartbeats and digests.

#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>

namespace peridot {

struct MembershipSettings {
    Duration heartbeatInterval = std::chrono::milliseconds { 500 };
    Duration digestInterval = std::chrono::milliseconds { 500 };
    // While the own domain reaches the store, evidence comes from there, and changed lists and new versions are pulled
    // at once, so digests carry only loads and signs of life.
    Duration steadyDigestInterval = std::chrono::seconds { 1 };
    // A pull without an answer is repeated after this time, longer than a round trip between regions.
    Duration digestRetry = std::chrono::milliseconds { 400 };
    // Two heartbeats unanswered: the relay is passed over and the next one by rank is asked.
    Duration relaySilence = std::chrono::milliseconds { 1100 };
    // A relay that was passed over is asked again after this time.
    Duration relayRetry = std::chrono::seconds { 3 };
    // A new instance knows its domain by the platform's lagging list only. It asks more members at first, so that it
    // meets the relays even if it outranks them.
    Duration introduction = std::chrono::seconds { 3 };
    std::size_t introductionMembers = 6;
    Duration memberSilence = std::chrono::seconds { 2 };
    // Loads of all regions are told in every n-th reply to a member.
    std::uint32_t loadsEvery = 4;
};

}
