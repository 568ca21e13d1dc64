// Parsing and text of client addresses and blocks; the text forms are those of inet_pton and inet_ntop.

#include "routing/ClientBlock.h"

#include "base/Assert.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace peridot {

namespace {

    std::uint64_t bigEndian(const unsigned char* bytes, std::size_t count) noexcept
    {
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < count; ++i)
            value = value << 8 | bytes[i];
        return value;
    }

    /** Returns @p bits with all but the first @p length of @p width bits cleared. */
    std::uint64_t keepPrefix(std::uint64_t bits, unsigned length, unsigned width) noexcept
    {
        if (length >= width)
            return bits;
        return length ? bits >> (width - length) << (width - length) : 0;
    }

    unsigned width(const ClientAddress& address) noexcept { return address.isV6() ? 128 : 32; }

}

Result<ClientAddress> ClientAddress::parse(std::string_view text)
{
    const std::string terminated(text);
    std::array<unsigned char, 16> bytes {};
    if (terminated.find('\0') == std::string::npos) {
        if (inet_pton(AF_INET, terminated.c_str(), bytes.data()) == 1)
            return fromV4(static_cast<std::uint32_t>(bigEndian(bytes.data(), 4)));
        if (inet_pton(AF_INET6, terminated.c_str(), bytes.data()) == 1)
            return fromV6(bigEndian(bytes.data(), 8), bigEndian(bytes.data() + 8, 8));
    }
    return makeError(ErrorCode::InvalidArgument, "parse client address", "",
        "'" + terminated + "' is neither an IPv4 nor an IPv6 address");
}

ClientAddress ClientAddress::fromV4(std::uint32_t bits) noexcept
{
    ClientAddress address;
    address.m_low = bits;
    return address;
}

ClientAddress ClientAddress::fromV6(std::uint64_t high, std::uint64_t low) noexcept
{
    if (!high && low >> 32 == 0xffff)
        return fromV4(static_cast<std::uint32_t>(low));
    ClientAddress address;
    address.m_isV6 = true;
    address.m_high = high;
    address.m_low = low;
    return address;
}

std::string ClientAddress::text() const
{
    std::array<unsigned char, 16> bytes {};
    for (unsigned i = 0; i < 8; ++i) {
        bytes[i] = static_cast<unsigned char>(m_high >> (56 - 8 * i));
        bytes[8 + i] = static_cast<unsigned char>(m_low >> (56 - 8 * i));
    }
    std::array<char, INET6_ADDRSTRLEN> text {};
    inet_ntop(m_isV6 ? AF_INET6 : AF_INET, bytes.data() + (m_isV6 ? 0 : 12), text.data(), text.size());
    return text.data();
}

Result<ClientBlock> ClientBlock::parse(std::string_view text)
{
    const auto fail = [text](std::string message) {
        return makeError(
            ErrorCode::InvalidArgument, "parse client block", "", "'" + std::string(text) + "': " + std::move(message));
    };
    const auto slash = text.find('/');
    if (slash == std::string_view::npos)
        return fail("expected address/length, such as 10.1.0.0/16");
    const auto address = ClientAddress::parse(text.substr(0, slash));
    if (!address)
        return fail("the part before '/' is neither an IPv4 nor an IPv6 address");
    const auto digits = text.substr(slash + 1);
    unsigned length = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), length);
    if (ec != std::errc() || end != digits.data() + digits.size())
        return fail("the prefix length is not a number");
    if (text.substr(0, slash).find(':') != std::string_view::npos && !address->isV6())
        return fail("write a block of IPv4-mapped addresses as an IPv4 block");
    if (length > width(*address))
        return fail("the prefix length must be 0 to " + std::to_string(width(*address)));
    const auto block = containing(*address, length);
    if (block.address() != *address)
        return fail("bits are set after the prefix; did you mean " + block.text() + "?");
    return block;
}

ClientBlock ClientBlock::containing(const ClientAddress& address, unsigned prefixLength)
{
    PERIDOT_ASSERT(prefixLength <= width(address), "prefix length does not fit the address family");
    ClientBlock block;
    block.m_prefixLength = static_cast<std::uint8_t>(prefixLength);
    if (!address.isV6())
        block.m_address
            = ClientAddress::fromV4(static_cast<std::uint32_t>(keepPrefix(address.low(), prefixLength, 32)));
    else
        block.m_address = ClientAddress::fromV6(keepPrefix(address.high(), prefixLength, 64),
            prefixLength > 64 ? keepPrefix(address.low(), prefixLength - 64, 64) : 0);
    return block;
}

bool ClientBlock::contains(const ClientAddress& address) const noexcept
{
    if (address.isV6() != m_address.isV6())
        return false;
    if (!address.isV6())
        return keepPrefix(address.low(), m_prefixLength, 32) == m_address.low();
    return keepPrefix(address.high(), m_prefixLength, 64) == m_address.high()
        && (m_prefixLength <= 64 || keepPrefix(address.low(), m_prefixLength - 64u, 64) == m_address.low());
}

std::string ClientBlock::text() const { return m_address.text() + "/" + std::to_string(m_prefixLength); }

}
