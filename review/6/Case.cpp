// One answer of a faulty target has a trailer field of 66,000 bytes. The instance must refuse that answer and go on.

#include "../common-2/StandIns.h"

#include <future>
#include <iostream>

namespace {

using namespace review;

constexpr std::size_t trailerBytes = 66'000;
constexpr int clients = 8; // Each has one request at a sound target while the faulty one answers.
constexpr int bearableCuts = 3; // The rule is broken by more.
constexpr Milliseconds workTime { 900 };
constexpr Milliseconds answerLimit { 4'000 };

json configuration()
{
    auto config = configurationOf("00000001");
    auto service = config["services"][0];
    service["name"] = "archive";
    config["services"].push_back(service);
    auto route = config["hosts"][0]["paths"][0];
    route["name"] = "old";
    route["path_prefix"] = "/old/";
    route["service"] = "archive";
    config["hosts"][0]["paths"].push_back(route);
    return config;
}

/** Uses a kept connection twice. Returns whether the connection ended without an answer to the second request. */
bool isSecondRequestCut(std::uint16_t port, const std::string& id, Record& record)
{
    const auto connection = connectTo(port);
    if (!connection)
        throw std::runtime_error("cannot connect");
    connection->send(requestHead("GET", "/look/first", id + "-first") + "\r\n");
    const auto first = connection->read(answerLimit);
    if (!first.isWhole || first.status() != 200)
        throw std::runtime_error("the first request on a connection was not served");
    connection->send(requestHead("GET", "/look/second", id) + "\r\n");
    const auto second = connection->read(answerLimit);
    const bool isCut = !second.isWhole && connection->hasEnded();
    record.write("client id=" + id + " status=" + std::to_string(second.status()) + (isCut ? " cut" : ""));
    return isCut;
}

int play(Record& record)
{
    const TemporaryFolder folder;
    Store store;
    store.put("op", "config", configuration().dump());
    std::vector<std::unique_ptr<Target>> targets;
    const auto addSound = [&](const std::string& id, const std::string& zone) {
        targets.push_back(std::make_unique<Target>(
            store, record, id, "desk", zone, 8, [id](const Message& request, Connection& connection) {
                sleepFor(request.target() == "/look/second" ? workTime : Milliseconds { 20 });
                return connection.send(soundAnswer(id, request, "sound"));
            }));
    };
    addSound("i-sound-1", "east-a");
    addSound("i-sound-2", "east-b");
    Target faulty(
        store, record, "i-faulty", "archive", "east-a", 8, [&](const Message& request, Connection& connection) {
            const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
                + "\r\nX-Server-Seal: seal-i-faulty\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n";
            record.write("faulty answer trailer_bytes=" + std::to_string(hasTrouble() ? trailerBytes : 0));
            return connection.send(
                head + (hasTrouble() ? "X-Note: " + std::string(trailerBytes, 'x') + "\r\n" : "") + "\r\n");
        });
    Entry entry(record, "front-east-a-1", "east-a", store.port(), folder.path());
    Entry other(record, "front-west-a-1", "west-a", store.port(), folder.path());
    if (!entry.awaitReady(Milliseconds { 15'000 }) || !other.awaitReady(Milliseconds { 15'000 }))
        return couldNotRunCode;
    sleepFor(Milliseconds { 5'000 }); // More than stable_window: the machines are in touch.

    std::vector<std::future<bool>> seconds;
    seconds.reserve(clients);
    for (int i = 0; i < clients; ++i)
        seconds.push_back(std::async(std::launch::async,
            [&, id = "kept-" + std::to_string(i)] { return isSecondRequestCut(entry.port(), id, record); }));
    sleepFor(Milliseconds { 400 });
    const auto reader = connectTo(entry.port());
    reader->send(requestHead("GET", "/old/page", "page-1") + "\r\n");
    const auto page = reader->read(answerLimit);
    record.write("client id=page-1 status=" + std::to_string(page.status()));
    const auto cuts = std::count_if(seconds.begin(), seconds.end(), [](auto& it) { return it.get(); });
    const bool isRunning = entry.isRunning();
    record.write("requests cut at sound targets: " + std::to_string(cuts) + " of " + std::to_string(clients)
        + "; the instance " + (isRunning ? "runs" : "has ended by itself"));
    if (!hasTrouble() && page.status() != 200)
        return couldNotRunCode;
    return cuts > bearableCuts || !isRunning ? brokenCode : heldCode;
}

}

int main()
{
    try {
        Record record("review/6/record.txt");
        const auto result = play(record);
        record.write("result " + std::to_string(result));
        return result;
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return couldNotRunCode;
    }
}
