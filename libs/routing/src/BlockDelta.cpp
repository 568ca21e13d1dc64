// Binary form of block deltas. Each change: one byte that holds family and prefix length (IPv4 the length, IPv6 the
// length plus 64), the bytes of the prefix, the number of sites and the sites as variable-length numbers.

#include "routing/BlockMap.h"

#include <optional>

namespace peridot {

namespace {

    constexpr unsigned v6LengthOffset = 64;

    void writeNumber(std::string& bytes, std::uint64_t value)
    {
        for (; value >= 0x80; value >>= 7)
            bytes.push_back(static_cast<char>(value | 0x80));
        bytes.push_back(static_cast<char>(value));
    }

    class Reader {
    public:
        explicit Reader(std::string_view bytes)
            : m_bytes(bytes)
        {
        }

        std::size_t remaining() const noexcept { return m_bytes.size(); }

        std::optional<std::uint8_t> byte()
        {
            if (m_bytes.empty())
                return std::nullopt;
            const auto value = static_cast<std::uint8_t>(m_bytes.front());
            m_bytes.remove_prefix(1);
            return value;
        }

        std::optional<std::uint64_t> number()
        {
            std::uint64_t value = 0;
            for (unsigned shift = 0; shift < 63; shift += 7) {
                const auto part = byte();
                if (!part)
                    return std::nullopt;
                value |= static_cast<std::uint64_t>(*part & 0x7f) << shift;
                if (!(*part & 0x80))
                    return value;
            }
            return std::nullopt;
        }

    private:
        std::string_view m_bytes;
    };

    void writeBlock(std::string& bytes, const ClientBlock& block)
    {
        const auto& address = block.address();
        bytes.push_back(static_cast<char>(block.prefixLength() + (address.isV6() ? v6LengthOffset : 0)));
        for (unsigned i = 0; i < (block.prefixLength() + 7) / 8; ++i) {
            const auto word = !address.isV6() ? address.low() << 32 : i < 8 ? address.high() : address.low();
            bytes.push_back(static_cast<char>(word >> (56 - 8 * (i % 8))));
        }
    }

    std::optional<ClientBlock> readBlock(Reader& reader)
    {
        const auto head = reader.byte();
        if (!head)
            return std::nullopt;
        const bool isV6 = *head >= v6LengthOffset;
        const unsigned length = *head - (isV6 ? v6LengthOffset : 0);
        if (length > (isV6 ? 128 : 32))
            return std::nullopt;
        std::uint64_t words[2] = { 0, 0 };
        for (unsigned i = 0; i < (length + 7) / 8; ++i) {
            const auto byte = reader.byte();
            if (!byte)
                return std::nullopt;
            words[i / 8] |= static_cast<std::uint64_t>(*byte) << (56 - 8 * (i % 8));
        }
        const auto address = isV6 ? ClientAddress::fromV6(words[0], words[1])
                                  : ClientAddress::fromV4(static_cast<std::uint32_t>(words[0] >> 32));
        if (address.isV6() != isV6)
            return std::nullopt;
        const auto block = ClientBlock::containing(address, length);
        return block.address() == address ? std::optional(block) : std::nullopt;
    }

    std::optional<std::vector<SiteIndex>> readSites(Reader& reader)
    {
        const auto count = reader.number();
        if (!count || *count > reader.remaining())
            return std::nullopt;
        std::vector<SiteIndex> sites;
        sites.reserve(*count);
        for (std::uint64_t i = 0; i < *count; ++i) {
            const auto site = reader.number();
            if (!site || *site > UINT16_MAX)
                return std::nullopt;
            sites.push_back(static_cast<SiteIndex>(*site));
        }
        return sites;
    }

}

std::string BlockDelta::encode() const
{
    std::string bytes;
    for (const auto& change : changes) {
        writeBlock(bytes, change.block);
        writeNumber(bytes, change.sites.size());
        for (const auto site : change.sites)
            writeNumber(bytes, site);
    }
    return bytes;
}

Result<BlockDelta> BlockDelta::decode(std::string_view bytes)
{
    BlockDelta delta;
    Reader reader(bytes);
    while (reader.remaining()) {
        const auto offset = bytes.size() - reader.remaining();
        const auto block = readBlock(reader);
        auto sites = block ? readSites(reader) : std::nullopt;
        if (!sites) {
            return makeError(ErrorCode::ProtocolViolation, "decode block delta", "",
                "malformed change at byte " + std::to_string(offset));
        }
        delta.changes.push_back({ *block, std::move(*sites) });
    }
    return delta;
}

}
