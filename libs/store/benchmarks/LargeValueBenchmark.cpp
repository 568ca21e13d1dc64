// Measures what a change of a configuration costs as a large value: encoded bytes and processor time, by the number of
// its routes. Prints one line per size.

#include "store/LargeValue.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <vector>

using namespace peridot;

namespace {

std::string word(std::mt19937_64& random, std::size_t length)
{
    std::string text;
    for (std::size_t i = 0; i < length; ++i)
        text += static_cast<char>('a' + random() % 26);
    return text;
}

std::vector<std::string> makeRoutes(std::size_t count, std::mt19937_64& random)
{
    std::vector<std::string> routes;
    for (std::size_t i = 0; i < count; ++i)
        routes.push_back(fmt::format(
            R"({{"name":"r-{}","path_prefix":"/{}/{}/","kind":"safe","timeout":"2000ms","target_latency":"600ms","priority":{},"service":"{}","attempts":2,"public":false,"sticky":true,"home_regions":[]}},)",
            word(random, 7), word(random, 7), word(random, 4), random() % 3, word(random, 7)));
    return routes;
}

std::string configuration(unsigned version, const std::vector<std::string>& routes, std::size_t count)
{
    auto text = fmt::format(R"({{"version":"{:08x}","hosts":[)", version);
    for (std::size_t i = 0; i < count; ++i)
        text += routes[i];
    return text + "]}";
}

/** The least of several repetitions, because other work shares the machine. */
template <typename Function> double leastMicroseconds(Function function)
{
    auto least = std::chrono::duration<double, std::micro>::max();
    for (int i = 0; i < 7; ++i) {
        const auto start = std::chrono::steady_clock::now();
        function();
        least = std::min<std::chrono::duration<double, std::micro>>(least, std::chrono::steady_clock::now() - start);
    }
    return least.count();
}

}

int main()
{
    std::mt19937_64 random(43);
    const auto routes = makeRoutes(24'000, random);
    fmt::print("routes  bytes  whole  one_route  half_more  hash_us  encode_us  encode_change_us  decode_us  "
               "decode_change_us\n");
    for (const std::size_t count : { 350, 1'400, 2'800, 5'600, 16'000 }) {
        const auto base = configuration(1, routes, count);
        const auto changed = configuration(2, routes, count + 1);
        const auto grown = configuration(3, routes, count + count / 2);
        const auto whole = encodeValue(base, {});
        const auto change = encodeValue(changed, base);
        const auto id = valueIdOf(base);
        const auto changedId = valueIdOf(changed);
        fmt::print("{}  {}  {}  {}  {}  {:.0f}  {:.0f}  {:.0f}  {:.0f}  {:.0f}\n", count, base.size(), whole.size(),
            change.size(), encodeValue(grown, base).size(), leastMicroseconds([&] { valueIdOf(base); }),
            leastMicroseconds([&] { encodeValue(base, {}); }), leastMicroseconds([&] { encodeValue(changed, base); }),
            leastMicroseconds([&] { static_cast<void>(decodeValue(whole, {}, id)); }),
            leastMicroseconds([&] { static_cast<void>(decodeValue(change, base, changedId)); }));
    }
}
