// Keeps the configuration in force at one instance: polls the head row where this instance is a reader, fetches newer
// versions from peers or the store, and never goes back.

#pragma once

#include "base/EventLog.h"
#include "config/Configuration.h"
#include "config/ConfigurationStoreCall.h"
#include "config/HeadRow.h"
#include "config/Messages.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace peridot {

struct ConfigurationReaderSettings {
    Duration pollInterval = std::chrono::milliseconds { 500 };
    Duration callTimeout = std::chrono::seconds { 2 };
    Duration peerTimeout = std::chrono::milliseconds { 400 }; // Before the next peer is asked.
    std::uint32_t peerAttempts = 3; // Before the store is asked.
};

/** A successful read of the head row: all changes accepted before `start` have versions of at most `version`. */
struct HeadRead {
    ConfigurationVersion version = 0;
    TimePoint start;
};

struct ConfigurationPeerPull {
    InstanceId to;
    ConfigurationPull message;
};

class ConfigurationReader {
public:
    struct Output {
        std::vector<ConfigurationStoreCall> calls;
        std::vector<ConfigurationPeerPull> pulls;
        std::optional<HeadRead> read; // Evidence; pass it to Evidence::confirmed.
        bool isNewVersion = false; // inForce() has changed.
    };

    ConfigurationReader(ConfigurationReaderSettings, EventLog&);

    /**
     * Runs polls and fetches. @p polls says whether this instance has to poll the head row now; @p peers are asked in
     * turn for a newer version.
     */
    Output tick(bool polls, const std::vector<InstanceId>& peers, TimePoint now);
    Output storeCompleted(std::uint64_t callId, const StoreResult&, TimePoint now);
    Output receive(const ConfigurationObject&, TimePoint now);
    /** Answers a peer; the body is empty if there is nothing newer. */
    ConfigurationObject answer(const ConfigurationPull&) const;

    /** A version that exists according to evidence or a peer. It is fetched if it is newer than the one in force. */
    void heard(ConfigurationVersion) noexcept;
    /** Takes a version that this instance wrote itself. True if it is newer than the one in force. */
    bool adopt(std::shared_ptr<const Configuration>);

    /** Null until the first version has been fetched. */
    std::shared_ptr<const Configuration> inForce() const noexcept { return m_inForce; }
    ConfigurationVersion version() const noexcept { return m_inForce ? m_inForce->version() : 0; }
    ConfigurationVersion highestHeard() const noexcept { return m_highestHeard; }

private:
    struct OpenCall {
        TimePoint start;
        bool isHeadRead = true;
        HeadRow head; // Of an object fetch.
    };

    void readHead(TimePoint now, Output&);
    void headArrived(const TableRows&, const OpenCall&, TimePoint now, Output&);
    void fetchObject(const HeadRow&, TimePoint now, Output&);
    void fetchNewer(const std::vector<InstanceId>& peers, TimePoint now, Output&);
    void dropOverdueCalls(TimePoint now);
    void objectArrived(const ObjectValue&, const OpenCall&, Output&);
    bool take(std::string_view body, ConfigurationVersion expected, const std::string& source);

    ConfigurationReaderSettings m_settings;
    EventLog& m_log;
    std::uint64_t m_nextCall = 1;
    std::uint64_t m_nextPull = 1;
    std::map<std::uint64_t, OpenCall> m_calls;
    std::shared_ptr<const Configuration> m_inForce;
    std::string m_body; // The text of m_inForce, for peers.
    ConfigurationVersion m_highestHeard = 0;
    std::optional<TimePoint> m_lastPoll;
    std::optional<TimePoint> m_lastAttempt; // Of a fetch of a newer version.
    std::uint32_t m_attempts = 0; // Since the last version arrived.
    std::uint64_t m_openPull = 0; // Sequence of the newest pull; only its answer is taken.
    std::optional<TimePoint> m_objectCallStart; // Set while an object is being fetched from the store.
};

}
