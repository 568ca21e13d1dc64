// Passes large values of rows between instances in small parts, so that the time until the last instance has a value
// grows with the logarithm of their number, and no other message waits behind more than a few parts.

#pragma once

#include "base/EventLog.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "entry/Timers.h"
#include "store/LargeValue.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridot {

/** An instance that others may ask. */
struct PeerInstance {
    InstanceId id;
    std::string address; // At which it receives messages of its peers.

    bool operator==(const PeerInstance&) const = default;
};

/**
 * Returns the instances that @p self asks for a value, in this order: its parent in a tree of all @p instances, then
 * the root, which is the instance that has told of the value. Each instance has up to two children, so that none sends
 * a value more than twice unless others fail. Instances that know the same members see the same tree.
 */
std::vector<PeerInstance> valueSources(
    const InstanceId& self, const PeerInstance& root, std::vector<PeerInstance> instances);

struct ValueExchangeOptions {
    std::size_t partBytes = 16'384; // Bounds how long another message waits for the link.
    std::size_t openParts = 2; // Parts that a fetch asks for at the same time.
    // Of the parts sent to all peers together. The rest of the link is for requests and small messages.
    double bytesPerSecond = 625'000;
    // A source from which nothing new has come for so long is replaced by the next one.
    Duration stallTime = std::chrono::milliseconds { 400 };
    // A pull of bytes that are not here yet waits so long for them.
    Duration holdTime = std::chrono::milliseconds { 200 };
    // Values that are kept for peers. The newest ones are kept whatever their size.
    std::size_t keptBytes = 16'777'216;
    std::size_t keptValues = 2;
    std::size_t maximumWaitingPulls = 10'000;
};

/** Not thread-safe. */
class ValueExchange {
public:
    struct Ports {
        std::function<void(const std::string& address, ValuePull)> sendPull;
        std::function<void(const std::string& address, ValuePart)> sendPart;
    };
    using Value = std::shared_ptr<const std::string>;
    /** Receives the value, or null if no source could provide it. */
    using Handler = std::function<void(const Value&)>;
    using FetchId = std::uint64_t;

    ValueExchange(Timers&, ValueExchangeOptions, Ports, EventLog&);
    ~ValueExchange();
    ValueExchange(const ValueExchange&) = delete;
    ValueExchange& operator=(const ValueExchange&) = delete;

    /** Keeps a value for peers. */
    ValueId add(const std::string& value);
    /** Returns null if the value is not kept. */
    Value find(const ValueId&) const;
    /** Fetches a value from the sources, in their order. The handler is called once, later, unless the fetch is
     *  cancelled. @p base is a similar value that this instance may have. */
    FetchId fetch(const ValueId&, const std::optional<ValueId>& base, std::vector<PeerInstance> sources, Handler);
    void cancel(FetchId);

    void receive(const std::string& senderAddress, const ValuePull&);
    void receive(const std::string& senderAddress, const ValuePart&);
    /** Has to be called every 50 to 100 ms. */
    void tick();

    std::uint64_t sentBytes() const noexcept { return m_sentBytes; }
    std::uint64_t receivedBytes() const noexcept { return m_receivedBytes; }

private:
    /** What an encoded value is: the parts of equal streams fit each other. */
    struct Stream {
        bool usesBase = false;
        std::uint64_t bytes = 0;
        std::uint64_t hash = 0;

        bool operator==(const Stream&) const = default;
    };

    struct Encoded {
        Stream stream;
        std::string bytes;
    };

    struct Kept {
        Value value;
        std::uint64_t lastUse = 0;
        std::map<std::optional<ValueId>, Encoded> encoded {}; // By the base.
    };

    /** Invariants: bytes is the start of the stream; parts up to the offset `asked` have been asked for. */
    struct Fetch {
        FetchId id = 0;
        std::optional<ValueId> base;
        Value baseValue; // Kept until the fetch ends. Null if this instance doesn't have it.
        std::vector<PeerInstance> sources;
        std::size_t source = 0; // Index of the one that is asked.
        std::optional<Stream> stream {};
        std::string bytes {};
        std::size_t asked = 0;
        TimePoint start {};
        TimePoint lastProgress {};
        std::vector<std::pair<FetchId, Handler>> handlers {};
    };

    struct WaitingPull {
        std::string address;
        ValuePull pull;
        TimePoint received;
    };

    using Fetches = std::map<ValueId, Fetch>;

    void keep(const ValueId&, Value);
    const Encoded& encodedFor(const ValueId&, Kept&, const std::optional<ValueId>& base);
    /** Asks the current source for the next parts. */
    void ask(const ValueId&, Fetch&);
    void askNextSource(Fetches::iterator, const char* reason);
    void complete(Fetches::iterator);
    void end(Fetches::iterator, const Value&);
    /** Sends the parts that the rate allows. */
    void serve();
    /** Returns what can be sent in response to the pull now, or nothing. */
    std::optional<ValuePart> partFor(const ValuePull&);
    ValuePart cut(const ValuePull&, const Stream&, const std::string& available) const;

    Timers& m_timers;
    const ValueExchangeOptions m_options;
    const Ports m_ports;
    EventLog& m_log;
    const std::unique_ptr<Timer> m_timer; // Runs while a part waits for its turn.
    std::map<ValueId, Kept> m_kept;
    Fetches m_fetches;
    std::deque<WaitingPull> m_waiting; // In the order of arrival.
    TimePoint m_nextPart {}; // Earliest time at which a part is sent.
    FetchId m_lastFetch = 0;
    std::uint64_t m_uses = 0;
    std::uint64_t m_sentBytes = 0;
    std::uint64_t m_receivedBytes = 0;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}
