// What the fuzzers of byte streams share: long runs of a byte in an input, where it is cut, and running all that a part
// of it causes.

#pragma once

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace peridot {

/** The first byte of an input says where the rest is cut in two. */
inline std::size_t cutOf(std::uint8_t byte, std::string_view bytes) { return byte * bytes.size() / 256; }

/** The input with each sequence of the byte 0xff, a number n and a byte replaced by 512 n copies of that byte: short
 * inputs reach the limits of parsers that are above 64 KiB. All runs together have at most 100,000 bytes. */
inline std::string expanded(std::string_view input)
{
    constexpr char mark = '\xff';
    constexpr std::size_t unit = 512;
    std::size_t left = 100'000;
    std::string bytes;
    for (std::size_t i = 0; i < input.size(); ++i) {
        if (input[i] != mark || input.size() - i < 3) {
            bytes += input[i];
            continue;
        }
        const auto run = std::min(left, unit * static_cast<unsigned char>(input[i + 1]));
        bytes.append(run, input[i + 2]);
        left -= run;
        i += 2;
    }
    return bytes;
}

/** Runs handlers until none is ready. */
inline void runReady(boost::asio::io_context& context)
{
    do {
        context.restart();
    } while (context.poll() > 0);
}

}
