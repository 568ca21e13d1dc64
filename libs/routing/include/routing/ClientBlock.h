// Client addresses and client blocks (CIDR), IPv4 and IPv6.

#pragma once

#include "base/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace peridot {

/** A client address. IPv4-mapped IPv6 addresses are taken as IPv4. */
class ClientAddress {
public:
    static Result<ClientAddress> parse(std::string_view text);
    static ClientAddress fromV4(std::uint32_t bits) noexcept;
    static ClientAddress fromV6(std::uint64_t high, std::uint64_t low) noexcept;

    bool isV6() const noexcept { return m_isV6; }
    /** The address as one number, left-aligned for IPv6 only: IPv4 uses the low 32 bits of low(). */
    std::uint64_t high() const noexcept { return m_high; }
    std::uint64_t low() const noexcept { return m_low; }
    std::uint32_t v4() const noexcept { return static_cast<std::uint32_t>(m_low); }

    std::string text() const;

    bool operator==(const ClientAddress&) const = default;
    bool operator<(const ClientAddress& other) const noexcept
    {
        return std::tie(m_isV6, m_high, m_low) < std::tie(other.m_isV6, other.m_high, other.m_low);
    }

private:
    bool m_isV6 = false;
    std::uint64_t m_high = 0;
    std::uint64_t m_low = 0;
};

/** A block of client addresses, such as `10.1.0.0/16`. The bits after the prefix are zero. */
class ClientBlock {
public:
    /** Parses "address/length". Refuses bits set after the prefix, as they are usually a typing error. */
    static Result<ClientBlock> parse(std::string_view text);
    /** Returns the block of this length that holds the address; the length must fit the address family. */
    static ClientBlock containing(const ClientAddress&, unsigned prefixLength);

    const ClientAddress& address() const noexcept { return m_address; }
    unsigned prefixLength() const noexcept { return m_prefixLength; }
    bool contains(const ClientAddress&) const noexcept;

    std::string text() const;

    bool operator==(const ClientBlock&) const = default;
    /** Orders by address, wider blocks first. */
    bool operator<(const ClientBlock& other) const noexcept
    {
        return std::tie(m_address, m_prefixLength) < std::tie(other.m_address, other.m_prefixLength);
    }

private:
    ClientAddress m_address;
    std::uint8_t m_prefixLength = 0;
};

}
