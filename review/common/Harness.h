// Stand-ins for the cases of the review: the platform's store, backend servers, clients, and the start of entry
// processes with the command of the deploy file. Everything listens on loopback addresses with free ports.

#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace review {

using Clock = std::chrono::steady_clock;
using nlohmann::json;
using std::chrono::milliseconds;

/** Time since the program began. */
milliseconds elapsed();
void sleepUntil(milliseconds sinceBegin);
/** False if the environment has TROUBLE=0: the case then runs without its disruption. */
bool hasTrouble();
/** Ends the program and all entry processes after a time limit, with the exit code of a case that couldn't run. */
void limitRun(std::chrono::seconds);

/** Writes record.txt. */
class Record {
public:
    explicit Record(const std::string& path);
    void line(const std::string& text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

struct Message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers; // Names in lower case.
    std::string body;

    std::string header(const std::string& name) const;
    int status() const; // Of a response; 0 if the start line has none.
};

/** A TCP connection with blocking calls. */
class Stream {
public:
    explicit Stream(int descriptor = -1)
        : m_descriptor(descriptor)
    {
    }
    ~Stream() { close(); }
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    bool connectTo(const std::string& address);
    bool write(const std::string& bytes);
    /** Reads one HTTP message. Empty if the connection ends, or nothing arrives for @p limit. */
    std::optional<Message> read(milliseconds limit, bool isResponse);
    bool isOpen() const { return m_descriptor >= 0; }
    /** Lets a read of another thread end. */
    void shutDown() const;
    void close();

private:
    bool fill(Clock::time_point end);
    std::optional<std::string> lineBefore(Clock::time_point end);
    bool readBody(Message&, bool isResponse, Clock::time_point end);

    int m_descriptor;
    std::string m_buffer;
};

/** Accepts connections and gives each a thread. */
class Listener {
public:
    using Handler = std::function<void(Stream&)>;

    Listener(const std::string& ip, Handler);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    const std::string& address() const { return m_address; }
    void closeConnections();
    /** Accepts no more, and closes what is open. */
    void stop();

private:
    struct Connection {
        std::shared_ptr<Stream> stream;
        std::shared_ptr<std::atomic<bool>> isDone;
        std::thread thread;
    };

    void accept();
    void serve(Stream&, std::atomic<bool>& isDone);
    /** Joins the threads of connections that have ended. */
    void reap();

    Handler m_handler;
    int m_descriptor = -1;
    std::string m_address;
    std::mutex m_mutex;
    std::vector<Connection> m_connections;
    std::atomic<bool> m_isClosing { false };
    std::thread m_thread;
};

/** The platform's store: rows of one part, their feed, and a restore from a copy. */
class Store {
public:
    Store();
    ~Store();
    const std::string& address() const { return m_listener->address(); }
    std::uint64_t put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    std::uint64_t version();
    /** While it is away, connections end and new ones are reset. */
    void setAway(bool);
    /** Keeps a copy of all rows and of the version. */
    void takeCopy();
    /** Returns to the copy. What was acknowledged since is gone, and its versions are given out again. */
    void restoreCopy();

private:
    struct Row {
        std::string value;
        std::uint64_t version = 0;
        bool isRemoved = false;
    };
    struct Change {
        std::string table;
        std::string key;
        Row row;
    };
    struct State {
        std::map<std::string, std::map<std::string, Row>> tables;
        std::deque<Change> history;
        std::uint64_t version = 100;
    };

    void serve(Stream&);
    std::string respond(const Message& request);
    std::string feed(const std::string& table, std::uint64_t after, milliseconds wait);
    std::uint64_t change(const std::string& table, const std::string& key, Row);
    std::string response(int status, json body) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    State m_state;
    State m_copy;
    int m_era = 1;
    bool m_isAway = false;
    bool m_isClosing = false;
    std::unique_ptr<Listener> m_listener;
};

/** What a server ran, as the checks read it. */
struct Run {
    std::string id;
    std::string server;
    std::string service;
    std::string method;
    std::string target;
    std::string workspace;
    std::string body;
    milliseconds at {};
};

/** All servers' runs. */
class Ledger {
public:
    explicit Ledger(Record& record)
        : m_record(record)
    {
    }
    void ran(Run);
    std::vector<Run> runs();

private:
    Record& m_record;
    std::mutex m_mutex;
    std::vector<Run> m_runs;
};

struct ServerOptions {
    std::string ip;
    std::string id;
    std::string service;
    std::string zone;
    int slots = 8;
    milliseconds work { 20 };
    /** Writes the whole response itself if it returns true. */
    std::function<bool(const Message& request, Stream&)> respond {};
};

/** A target: registers itself, beats and runs requests. */
class Server {
public:
    Server(Store&, Ledger&, ServerOptions);
    /** Writes its entry with the next sequence number, unless it has ended. */
    void beat();
    /** Reports that it is draining, and serves on. Returns the version of the row. */
    std::uint64_t leave();
    /** Removes its entry and closes all connections. */
    void end();

private:
    void serve(Stream&);
    std::uint64_t writeEntry();

    Store& m_store;
    Ledger& m_ledger;
    const ServerOptions m_options;
    std::atomic<bool> m_isLeaving { false };
    std::atomic<bool> m_hasEnded { false };
    std::atomic<std::uint64_t> m_sequence { 0 };
    std::atomic<int> m_running { 0 };
    Listener m_listener;
};

/** Lets all servers beat, evenly spread, until it is destroyed. */
class Heartbeats {
public:
    Heartbeats(std::vector<Server*>, milliseconds interval);
    ~Heartbeats();
    Heartbeats(const Heartbeats&) = delete;
    Heartbeats& operator=(const Heartbeats&) = delete;

private:
    std::atomic<bool> m_isClosing { false };
    std::thread m_thread;
};

struct Place {
    std::string name;
    std::string ip;
    std::string zone;
};

/** One entry process with the settings of a machine. */
class Entry {
public:
    Entry(const Place&, const std::map<std::string, std::string>& zones, const std::string& store,
        const std::filesystem::path& directory);
    ~Entry();
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

    bool start();
    void signal(int number) const;
    bool isRunning();
    /** Memory in use, in bytes; 0 if the process is gone. */
    std::uint64_t memory() const;
    const std::string& clientAddress() const { return m_clientAddress; }
    bool isReady() const;

private:
    std::string m_name;
    std::string m_clientAddress;
    std::string m_readyAddress;
    std::filesystem::path m_settingsPath;
    std::filesystem::path m_logPath;
    pid_t m_process = 0;
};

/** What the platform does with the process of a machine: kills it if it uses more memory than its settings allow, and
 *  starts it again after it has ended. */
class MemoryWatch {
public:
    MemoryWatch(Entry&, std::string name, Record&);
    ~MemoryWatch();
    MemoryWatch(const MemoryWatch&) = delete;
    MemoryWatch& operator=(const MemoryWatch&) = delete;

    int ends() const { return m_ends; }
    std::uint64_t peak() const { return m_peak; }

private:
    void watch();

    Entry& m_entry;
    const std::string m_name;
    Record& m_record;
    std::atomic<bool> m_isClosing { false };
    std::atomic<int> m_ends { 0 };
    std::atomic<std::uint64_t> m_peak { 0 };
    std::thread m_thread;
};

struct RouteOptions {
    std::string prefix;
    std::string kind;
    std::string service;
    std::string timeout = "2000ms";
};

/** A configuration with one host, "service.example". @p keys holds the tenant of each key. */
std::string configuration(unsigned version, const std::vector<std::string>& services,
    const std::map<std::string, std::string>& keys, const std::vector<RouteOptions>& routes);

/** Waits until all are ready for clients; false if they aren't in time. */
bool waitForReady(const std::vector<Entry*>&, std::chrono::seconds limit);
/** Sends one request on a new connection. */
std::optional<Message> exchange(const std::string& address, const std::string& bytes, milliseconds limit);
std::string lowerCase(std::string text);
std::string toBase64(const std::string& bytes);
/** A new directory for settings and logs. It is removed at the end of the run. */
std::filesystem::path temporaryDirectory();

}
