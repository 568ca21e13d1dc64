// Name tables of enumerations. A specialisation of enumNames lists every value once; text in messages, settings and
// logs comes from these tables.

#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace peridot {

template <typename Enum, std::size_t size> using EnumNameTable = std::array<std::pair<Enum, std::string_view>, size>;

/** Specialise as `template <> inline constexpr EnumNameTable<E, n> enumNames<E> { { ... } };`. */
template <typename Enum> inline constexpr int enumNames = 0;

template <typename Enum> constexpr std::string_view enumName(Enum value) noexcept
{
    for (const auto& [candidate, name] : enumNames<Enum>) {
        if (candidate == value)
            return name;
    }
    return "unknown";
}

template <typename Enum> constexpr std::optional<Enum> enumFromName(std::string_view text) noexcept
{
    for (const auto& [candidate, name] : enumNames<Enum>) {
        if (name == text)
            return candidate;
    }
    return std::nullopt;
}

}
