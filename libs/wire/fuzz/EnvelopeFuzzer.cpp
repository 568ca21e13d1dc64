// Messages of peers: whatever arrives is an error or a message, and a message survives its own encoding.

#include "wire/Codec.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const auto decoded = peridot::decode({ reinterpret_cast<const char*>(data), size });
    if (!decoded)
        return 0;
    const auto encoded = peridot::encode(*decoded);
    const auto again = peridot::decode(encoded);
    if (!again || peridot::encode(*again) != encoded)
        std::abort();
    return 0;
}
