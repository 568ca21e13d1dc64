// Responses whose status line, header or trailer breaks the grammar of HTTP, and sound ones that look unusual, for the
// tests of each way to the caller.

#pragma once

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/** A whole response with one fault. */
struct BrokenHead {
    std::string place;
    std::string bytes;
    std::size_t cut = 0; // Where the fault ends: what a server sends in two parts is cut here.

    std::string description(bool isCut) const { return place + (isCut ? ", in two reads: " : ": ") + bytes; }
};

/** RFC 9110, section 15: a status code is a number from 100 to 599. */
inline constexpr std::array<std::string_view, 9> brokenStatusCodes { "000", "001", "099", "600", "999", "20", "2000",
    "+20", "2x0" };

/** RFC 9110, section 5.1: the name of a field is a token, without whitespace before or behind it (RFC 9112, section
 *  5.1). A line that begins with whitespace continues the line before it for some parsers (RFC 9112, section 5.2). */
inline const std::array<std::string_view, 16>& brokenFieldNames()
{
    using namespace std::string_view_literals;
    static constexpr std::array names { "X Fault"sv, " X-Fault"sv, "\tX-Fault"sv, "X-Fault "sv, "X-Fault\t"sv,
        "X\tFault"sv, "X\0Fault"sv, "X\1Fault"sv, "X-Fault\1"sv, "\1X-Fault"sv, "X\013Fault"sv, "\014X-Fault"sv,
        "X\033Fault"sv, "X\177Fault"sv, "X\rFault"sv, ""sv };
    return names;
}

/** Lengths of a field's name or value around the 65,533 bytes beyond which Beast throws. */
inline constexpr std::array<std::size_t, 3> oversizedLengths { 65'533, 65'534, 66'000 };

/** Responses to a request with @p headers in the final head. The faults stand in the status line, before and behind the
 *  other fields, in an informational response, behind one, and in the trailer. */
inline std::vector<BrokenHead> brokenHeads(const std::string& headers, const std::string& body = "one, two")
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string hints = "HTTP/1.1 103 Early Hints\r\n";
    // The text of the last one goes on in a line that begins with whitespace.
    const auto fields = "Content-Length: " + std::to_string(body.size()) + "\r\n" + headers;
    const auto final = ok + fields + "\r\n" + body;
    const auto chunks = ok + headers + "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n5\r\n, two\r\n0\r\n";
    std::vector<BrokenHead> heads;
    const auto add = [&](const std::string& place, const std::string& before, const std::string& fault,
                         const std::string& behind) {
        heads.push_back({ place, before + fault + behind, before.size() + fault.size() });
    };
    for (const auto code : brokenStatusCodes) {
        const auto line = "HTTP/1.1 " + std::string(code);
        add("status line", "", line, " OK\r\n" + fields + "\r\n" + body);
        add("status line behind an informational response", hints + "\r\n", line, " OK\r\n" + fields + "\r\n" + body);
        add("status line without a body", "", line, " OK\r\n" + headers + "Content-Length: 0\r\n\r\n");
        add("status line before a sound response", "", line, " OK\r\n" + headers + "\r\n" + final);
    }
    for (const auto name : brokenFieldNames()) {
        const auto line = std::string(name) + ": 1\r\n";
        add("first field", ok, line, fields + "\r\n" + body);
        add("last field", ok + fields, line, "\r\n" + body);
        add("head of an informational response", hints + "Link: <a>\r\n", line, "\r\n" + final);
        add("first field behind an informational response", hints + "Link: <a>\r\n\r\n" + ok, line,
            fields + "\r\n" + body);
        add("last field behind an informational response", hints + "\r\n" + ok + fields, line, "\r\n" + body);
        add("trailer", chunks, line, "\r\n");
        add("trailer behind another field", chunks + "X-Trailer: t\r\n", line, "\r\n");
    }
    // RFC 9110, section 15.2.2: only a request that asks for an upgrade gets one. What follows is not HTTP.
    const std::string upgrade = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n";
    add("upgrade", "", upgrade, final);
    add("upgrade behind an informational response", hints + "\r\n", upgrade, final);
    // Two parsers would find different ends of the body.
    for (const std::string name : { "Content-Length ", " Content-Length", "Content\1Length", "Content-Length\t" }) {
        const auto line = name + ": 3\r\n";
        add("length of the body", ok + headers, line, "\r\n" + body);
        add("second length of the body", ok + fields, line, "\r\n" + body);
        add("length of a body in chunks", ok + headers + "Transfer-Encoding: chunked\r\n", line,
            "\r\n3\r\none\r\n0\r\n\r\n");
    }
    for (const std::string name : { "Transfer-Encoding ", " Transfer-Encoding", "Transfer-Encoding\t" })
        add("coding of the body", ok + fields, name + ": chunked\r\n", "\r\n3\r\none\r\n0\r\n\r\n");
    // No length that a library can't hold may reach it.
    const auto beginning = ok + headers + "Transfer-Encoding: chunked\r\n\r\n";
    for (const auto length : oversizedLengths) {
        const std::string filling(length, 'x');
        for (const auto& line : { "X-Fault: " + filling + "\r\n", filling + ": 1\r\n" }) {
            add("long last field", ok + fields, line, "\r\n" + body);
            add("long field of an informational response", hints, line, "\r\n" + final);
            add("long trailer", chunks, line, "\r\n");
            add("long trailer behind another field", chunks + "X-Trailer: t\r\n", line, "\r\n");
        }
        add("long extension of a chunk", beginning + "3;", filling, "\r\none\r\n0\r\n\r\n");
        add("long extension of the last chunk", beginning + "3\r\none\r\n0;", filling, "\r\n\r\n");
    }
    std::string lines;
    while (lines.size() <= oversizedLengths.back())
        lines += "X-Fault: 1\r\n";
    add("many fields", ok + fields, lines, "\r\n" + body);
    add("many trailers", chunks, lines, "\r\n");
    return heads;
}

/** A sound response, and what a caller gets of it. */
struct SoundHead {
    std::string bytes;
    unsigned status = 200;
    std::string field; // A line of the head that is passed on as it is.
};

inline std::vector<SoundHead> soundHeads(const std::string& headers, const std::string& body = "one, two")
{
    const auto rest = headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::vector<SoundHead> heads;
    for (const auto* line : { "200 OK", "299 Miscellaneous", "400 Bad Request", "599 ", "404 \xc3\xa4\tb" })
        heads.push_back({ "HTTP/1.1 " + std::string(line) + "\r\n" + rest,
            static_cast<unsigned>(std::stoul(std::string(line).substr(0, 3))), "" });
    for (const std::string field : { "!#$%&'*+-.^_`|~09aZ: token", "X-Text: \xc3\xa4 \xff", "X-Spaces: a \t b",
             "X-Empty: ", "X: \"a: b\\\" c\"", "X-Line: HTTP/1.1 000 OK" })
        heads.push_back({ "HTTP/1.1 200 OK\r\n" + field + "\r\n" + rest, 200, field });
    heads.push_back(
        { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, 200,
            "" });
    heads.push_back({ "HTTP/1.1 200 OK\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n8;a=b\r\n" + body
            + "\r\n0\r\nX-Trailer: t\r\n\r\n",
        200, "" });
    const auto trailer = "X-Trailer: " + std::string(3'000, 't');
    heads.push_back({ "HTTP/1.1 200 OK\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n8\r\n" + body + "\r\n0\r\n"
            + trailer + "\r\n\r\n",
        200, trailer });
    return heads;
}

}
