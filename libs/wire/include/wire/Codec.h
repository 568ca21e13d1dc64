// Encoding of envelopes for the transport between instances, by libs/wire/proto/peer.proto.

#pragma once

#include "base/Error.h"
#include "wire/PeerMessage.h"

#include <string>
#include <string_view>

namespace peridot {

/** Largest encoded envelope. A full digest of 1,500 members takes about 150 KB, a configuration object about 1 MB. */
constexpr std::size_t maximumEnvelopeBytes = 8'388'608;

std::string encode(const Envelope&);

/** Checks sizes, ranges and enumeration values; whatever does not come from encode() is a ProtocolViolation. */
Result<Envelope> decode(std::string_view bytes);

}
