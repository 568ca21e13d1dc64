// A request crashes each target that begins to run it and comes again and again. The deployment has three targets,
// which start again under their ids. The instances must stop sending it.

#include "../common-2/StandIns.h"

#include <iostream>

namespace {

using namespace review;

constexpr Milliseconds crashDelay { 20 };
constexpr Milliseconds downTime { 3'000 }; // "back after some seconds"
constexpr Milliseconds stableWindow { 4'000 };
constexpr int bearableRetries = 3; // The rule is broken by more.
constexpr int repeats = 20;
constexpr Milliseconds repeatInterval { 1'500 };

struct Crash {
    std::int64_t at = 0;
    std::string target;
};

int play(Record& record)
{
    const TemporaryFolder folder;
    Store store;
    auto config = configurationOf("00000001");
    config["hosts"][0]["paths"][0]["attempts"] = 3;
    store.put("op", "config", config.dump());
    std::mutex mutex;
    std::vector<std::int64_t> arrivals; // Of the crashing request, at any target.
    std::vector<Crash> crashes;
    std::vector<std::unique_ptr<Target>> targets;
    std::vector<std::thread> restarts;
    const auto crash = [&](std::size_t index) {
        auto& target = *targets[index];
        record.write("crash target=" + target.id());
        target.listener().close();
        sleepFor(downTime);
        target.restart(0);
        record.write("restart target=" + target.id());
    };
    for (std::size_t i = 0; i < 3; ++i) {
        const auto id = "i-desk-" + std::to_string(i + 1);
        targets.push_back(std::make_unique<Target>(store, record, id, "desk", i == 2 ? "east-b" : "east-a", 8,
            [&, i, id](const Message& request, Connection& connection) {
                if (!hasTrouble() || request.target() != "/look/poison") {
                    sleepFor(Milliseconds { 20 });
                    return connection.send(soundAnswer(id, request, "done"));
                }
                sleepFor(crashDelay);
                const std::lock_guard lock(mutex);
                arrivals.push_back(record.milliseconds() - crashDelay.count());
                crashes.push_back({ record.milliseconds(), id });
                restarts.emplace_back(crash, i);
                return false;
            }));
    }
    Entry entry(record, "front-east-a-1", "east-a", store.port(), folder.path());
    Entry other(record, "front-east-b-1", "east-b", store.port(), folder.path());
    const std::vector<Entry*> entries { &entry, &other };
    for (auto* it : entries) {
        if (!it->awaitReady(Milliseconds { 15'000 }))
            return couldNotRunCode;
    }
    sleepFor(stableWindow + Milliseconds { 1'000 }); // The machines are in touch.
    int served = 0;
    for (int i = 0; i < repeats; ++i) {
        const auto number = std::to_string(i + 1);
        if (const auto connection = connectTo(entries[static_cast<std::size_t>(i) % 2]->port())) {
            connection->send(requestHead("GET", "/look/poison", "poison-" + number) + "\r\n");
            const auto answer = connection->read(Milliseconds { 3'000 });
            record.write("client id=poison-" + number + " status=" + std::to_string(answer.status()) + " "
                + answer.body.substr(0, answer.body.find('\n')));
            served += answer.status() == 200 ? 1 : 0;
        }
        sleepFor(repeatInterval);
    }
    for (auto& it : restarts)
        it.join();
    const std::lock_guard lock(mutex);
    const auto late = crashes.size() < 3 ? 0 : std::count_if(arrivals.begin(), arrivals.end(), [&](std::int64_t at) {
        return at > crashes[2].at + stableWindow.count();
    });
    record.write("crashes: " + std::to_string(crashes.size())
        + "; the request reached targets later than 4 s after the third crash: " + std::to_string(late));
    if (!hasTrouble() && served < repeats)
        return couldNotRunCode;
    return late > bearableRetries ? brokenCode : heldCode;
}

}

int main()
{
    try {
        Record record("review/8/record.txt");
        const auto result = play(record);
        record.write("result " + std::to_string(result));
        return result;
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return couldNotRunCode;
    }
}
