#include "store/LargeValue.h"

#include <xxhash.h>
#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace peridot {

namespace {

    constexpr int compressionLevel = 3;
    // References into the base are found within the window only.
    constexpr int smallestWindowLog = 18;
    constexpr int largestWindowLog = 27;

    int windowLogFor(std::size_t bytes)
    {
        return std::clamp(static_cast<int>(std::bit_width(bytes)) + 1, smallestWindowLog, largestWindowLog);
    }

    tl::unexpected<Error> invalid(const char* message)
    {
        return makeError(ErrorCode::ProtocolViolation, "decode value", {}, message);
    }

}

ValueId valueIdOf(std::string_view value)
{
    const auto hash = XXH3_128bits(value.data(), value.size());
    return { hash.high64, hash.low64, value.size() };
}

std::string encodeValue(std::string_view value, std::string_view base)
{
    const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLogFor(value.size() + base.size()));
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    if (!base.empty())
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string encoded(ZSTD_compressBound(value.size()), '\0');
    const auto size = ZSTD_compress2(context.get(), encoded.data(), encoded.size(), value.data(), value.size());
    // Memory is the only cause, and an allocation that fails ends the process anyway.
    if (ZSTD_isError(size))
        throw std::bad_alloc();
    encoded.resize(size);
    encoded.shrink_to_fit();
    return encoded;
}

Result<std::string> decodeValue(std::string_view encoded, std::string_view base, const ValueId& id)
{
    if (id.bytes > maximumValueBytes)
        return invalid("the value is too large");
    const std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, largestWindowLog);
    if (!base.empty())
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string value(id.bytes, '\0');
    const auto size = ZSTD_decompressDCtx(context.get(), value.data(), value.size(), encoded.data(), encoded.size());
    if (ZSTD_isError(size) || size != value.size())
        return invalid("the encoded value is damaged");
    if (valueIdOf(value) != id)
        return invalid("the content is another one");
    return value;
}

}
