// The store is away for a moment and comes back from a copy some seconds old, between two changes of the
// configuration. The second change moves a route to another service and takes a key away.

#include "../common/Harness.h"

#include <iostream>

using namespace review;
using std::chrono::seconds;

namespace {

constexpr int holdsExitCode = 0;
constexpr int brokenExitCode = 1;
constexpr int cannotRunExitCode = 2;

// Since the entry processes were ready.
constexpr milliseconds copyTime { 4'000 };
constexpr milliseconds firstChange { 8'000 };
constexpr milliseconds awayTime { 9'500 };
constexpr milliseconds returnTime { 10'500 };
constexpr milliseconds secondChange { 11'500 };
constexpr milliseconds endTime { 40'000 };
// The pages' bounds of a small deployment.
constexpr milliseconds configApply { 2'500 };
constexpr milliseconds stretchMax { 6'000 };
constexpr milliseconds beat { 1'500 };
constexpr milliseconds answerLimit { 2'500 };
constexpr milliseconds requestInterval { 100 };
constexpr int serversPerService = 8;

const std::map<std::string, std::string> zones { { "north-a", "north" }, { "south-a", "south" } };

std::string orderRequest(const std::string& id, const std::string& key)
{
    return "POST /order/" + id + " HTTP/1.1\r\nHost: service.example\r\nX-Attempt-Id: " + id
        + "\r\nX-Deadline-Ms: 2500\r\nApi-Key: " + key + "\r\nContent-Length: 5\r\n\r\norder";
}

struct Sent {
    milliseconds at {};
    std::string entry;
    std::string key;
};

}

int main(int argc, char** argv)
{
    limitRun(seconds { 100 });
    Record record(argc > 1 ? argv[1] : "record.txt");
    Store store;
    Ledger ledger(record);
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<Server*> all;
    for (int i = 0; i < serversPerService; ++i) {
        for (const std::string service : { "desk", "board" }) {
            servers.push_back(std::make_unique<Server>(store, ledger,
                ServerOptions { "127.0.8." + std::to_string(servers.size() + 1),
                    "i-" + service + "-" + std::to_string(i), service, i % 2 == 0 ? "north-a" : "south-a" }));
            all.push_back(servers.back().get());
        }
    }
    Heartbeats heartbeats(all, beat);
    const std::vector<std::string> services { "desk", "board" };
    const std::map<std::string, std::string> bothKeys { { "key-one", "tenant-one" }, { "key-two", "tenant-two" } };
    const std::map<std::string, std::string> oneKey { { "key-one", "tenant-one" } };
    const auto putConfiguration = [&](const std::string& text, const std::string& what) {
        const auto version = store.put("op", "config", text);
        record.line(what + " acknowledged, row version " + std::to_string(version));
    };
    const RouteOptions look { "/look/", "safe", "board" };
    const RouteOptions orderAtDesk { "/order/", "unsafe", "desk" };
    const auto second = configuration(2, services, bothKeys, { look, orderAtDesk, { "/new/", "safe", "board" } });
    putConfiguration(configuration(1, services, bothKeys, { look, orderAtDesk }), "version 1");

    std::vector<std::unique_ptr<Entry>> entries;
    std::vector<Entry*> started;
    for (const auto& place : std::vector<Place> { { "front-1", "127.0.7.1", "north-a" },
             { "front-2", "127.0.7.2", "north-a" }, { "front-3", "127.0.7.3", "south-a" } }) {
        entries.push_back(std::make_unique<Entry>(place, zones, store.address(), temporaryDirectory()));
        started.push_back(entries.back().get());
        if (!started.back()->start())
            return cannotRunExitCode;
    }
    if (!waitForReady(started, seconds { 10 }))
        return cannotRunExitCode;

    std::atomic<bool> isEnded { false };
    std::mutex mutex;
    std::map<std::string, Sent> sent;
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < started.size(); ++i) {
        for (const std::string key : { "key-one", "key-two" }) {
            clients.emplace_back([&, i, key] {
                for (int n = 0; !isEnded; ++n) {
                    const auto id = "front-" + std::to_string(i + 1) + "-" + key + "-" + std::to_string(n);
                    {
                        const std::scoped_lock lock(mutex);
                        sent[id] = { elapsed(), "front-" + std::to_string(i + 1), key };
                    }
                    const auto answer = exchange(started[i]->clientAddress(), orderRequest(id, key), answerLimit);
                    record.line("answer " + id + ": " + (answer ? answer->startLine : "none"));
                    std::this_thread::sleep_for(requestInterval);
                }
            });
        }
    }

    const auto begin = elapsed();
    sleepUntil(begin + copyTime);
    store.takeCopy();
    record.line("copy of the store taken, version " + std::to_string(store.version()));
    sleepUntil(begin + firstChange);
    putConfiguration(second, "version 2");
    sleepUntil(begin + awayTime);
    if (hasTrouble()) {
        record.line("store away, version " + std::to_string(store.version()));
        store.setAway(true);
        sleepUntil(begin + returnTime);
        store.restoreCopy();
        store.setAway(false);
        record.line("store back from the copy, version " + std::to_string(store.version()));
        // What the operator and the servers wrote is written again.
        putConfiguration(second, "version 2 again");
        for (auto* server : all)
            server->beat();
    }
    sleepUntil(begin + secondChange);
    const auto acknowledged = elapsed();
    putConfiguration(
        configuration(3, services, oneKey, { look, { "/order/", "unsafe", "board" }, { "/new/", "safe", "board" } }),
        "version 3 (route /order/ to board, key-two taken away)");
    sleepUntil(begin + endTime);
    isEnded = true;
    for (auto& client : clients)
        client.join();

    std::map<std::string, std::pair<int, int>> broken; // Runs at the old service and with the dropped key.
    int checked = 0;
    for (const auto& run : ledger.runs()) {
        const auto& request = sent[run.id];
        if (request.at < acknowledged + configApply + stretchMax)
            continue;
        ++checked;
        if (run.service == "desk")
            ++broken[request.entry].first;
        if (request.key == "key-two")
            ++broken[request.entry].second;
    }
    std::cout << checked << " runs of requests sent later than config_apply and stretch_max after version 3\n";
    for (const auto& [entry, counts] : broken)
        std::cout << entry << ": " << counts.first << " ran at the old service, " << counts.second
                  << " with the key that was taken away\n";
    if (checked == 0)
        return cannotRunExitCode;
    return broken.empty() ? holdsExitCode : brokenExitCode;
}
