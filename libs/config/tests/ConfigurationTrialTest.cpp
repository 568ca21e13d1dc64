// Several operators race through several writers against a store that delays, loses answers after the write took effect
// and has outages. Guards against changes that are lost, applied twice or applied although refused, and against readers
// that go back.

#include "config/ConfigurationReader.h"
#include "config/ConfigurationWriter.h"

#include "Documents.h"
#include "store/MemoryStore.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <queue>
#include <random>

using namespace peridot;
using namespace peridot::testing;

namespace {

enum class Mutation {
    None,
    ForgetsRowVersion, // The store ignores the condition of commits.
    ResubmitsUnderNewId, // The operator's tool repeats an unknown change as a new one.
    ServesOldObjects, // A reader takes whatever version the store hands out.
};

class ConfigurationTrial {
public:
    ConfigurationTrial(std::uint64_t seed, Mutation mutation)
        : m_random(seed)
        , m_mutation(mutation)
    {
        for (std::size_t i = 0; i < s_writerCount; ++i) {
            m_writers.push_back(std::make_unique<ConfigurationWriter>(ConfigurationWriterSettings {},
                WritePermission { [this](TimePoint) { return m_random() % 8 != 0; },
                    [](ConfigurationVersion, TimePoint) { return true; } },
                m_log));
        }
        for (std::size_t i = 0; i < s_readerCount; ++i) {
            m_readers.push_back(std::make_unique<ConfigurationReader>(ConfigurationReaderSettings {}, m_log));
            m_highestSeen.push_back(0);
        }
    }

    /** Returns what is wrong; empty if nothing is. */
    std::string run()
    {
        handle(0, m_writers[0]->bootstrap("first", smallDocument(), m_now));
        for (; m_now < m_end; m_now += std::chrono::milliseconds { 10 }) {
            m_isStoreUp = m_now.time_since_epoch() % std::chrono::seconds { 20 } < std::chrono::seconds { 16 };
            if (m_now < m_lastSubmission && m_random() % 10 == 0)
                submitOne();
            for (std::size_t i = 0; i < s_writerCount; ++i)
                handle(i, m_writers[i]->tick(m_now));
            for (std::size_t i = 0; i < s_readerCount; ++i)
                handleReader(i, m_readers[i]->tick(true, {}, m_now));
            deliver();
        }
        check();
        return m_fault;
    }

private:
    static constexpr std::size_t s_writerCount = 3;
    static constexpr std::size_t s_readerCount = 4;

    struct Operation {
        ChangeRequest request;
        std::uint32_t value = 0; // Unique; the rate that the change sets.
        std::optional<ChangeResult> result;
        int submissions = 0;
    };

    struct Event {
        TimePoint time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator>(const Event& other) const { return std::tie(time, order) > std::tie(other.time, other.order); }
    };

    Duration delay() { return std::chrono::milliseconds { m_random() % 20 == 0 ? 2500 : 2 + m_random() % 150 }; }
    void schedule(Duration after, std::function<void()> action)
    {
        m_events.push({ m_now + after, m_order++, std::move(action) });
    }

    void deliver()
    {
        while (!m_events.empty() && m_events.top().time <= m_now) {
            const auto action = m_events.top().action;
            m_events.pop();
            action();
        }
    }

    void submitOne()
    {
        const auto number = static_cast<std::uint32_t>(m_operations.size()) + 1000;
        Operation operation;
        operation.value = number;
        // A fifth of the changes sets the rate of w1 and conflicts; the others add a workspace of their own.
        const auto* newest = m_readers[m_random() % s_readerCount]->inForce().get();
        operation.request.id = "op" + std::to_string(number);
        operation.request.baseVersion = newest ? newest->version() : 1;
        if (m_random() % 5 == 0)
            operation.request.changes = { SetRate { WorkspaceId("w1"), number, number } };
        else
            operation.request.changes = { AddWorkspace { { WorkspaceId("n" + std::to_string(number)), number, 1 } } };
        m_operations.push_back(operation);
        submit(m_operations.size() - 1);
    }

    void submit(std::size_t index)
    {
        auto& operation = m_operations[index];
        ++operation.submissions;
        const auto writer = m_random() % s_writerCount;
        handle(writer, m_writers[writer]->submit(operation.request, m_now));
    }

    void handle(std::size_t writer, const ConfigurationWriter::Output& output)
    {
        for (const auto& call : output.calls) {
            perform(call, [this, writer, id = call.id](const StoreResult& result) {
                handle(writer, m_writers[writer]->storeCompleted(id, result, m_now));
            });
        }
        for (const auto& outcome : output.outcomes)
            finished(outcome);
    }

    void handleReader(std::size_t reader, const ConfigurationReader::Output& output)
    {
        for (const auto& call : output.calls) {
            perform(call, [this, reader, id = call.id](const StoreResult& result) {
                handleReader(reader, m_readers[reader]->storeCompleted(id, result, m_now));
            });
        }
        auto version = m_readers[reader]->version();
        if (m_mutation == Mutation::ServesOldObjects && version > 20 && m_random() % 50 == 0)
            --version;
        if (version < m_highestSeen[reader])
            m_fault = "a reader went back";
        m_highestSeen[reader] = std::max(m_highestSeen[reader], version);
    }

    void perform(const ConfigurationStoreCall& call, std::function<void(const StoreResult&)> done)
    {
        const auto before = delay();
        const auto after = delay();
        const bool isAnswerLost = m_random() % 10 == 0;
        if (before + after > call.timeout || isAnswerLost) {
            schedule(call.timeout,
                [done] { done(makeError(ErrorCode::OutcomeUnknown, "call", "store", "no answer in time")); });
            schedule(before, [this, request = call.request] { apply(request); });
            return;
        }
        schedule(before, [this, request = call.request, after, done = std::move(done)] {
            auto result = apply(request);
            schedule(after, [result = std::move(result), done] { done(result); });
        });
    }

    StoreResult apply(StoreRequest request)
    {
        if (!m_isStoreUp)
            return makeError(ErrorCode::Unavailable, "call", "store", "down");
        if (auto* commit = std::get_if<TableCommit>(&request); commit && m_mutation == Mutation::ForgetsRowVersion)
            commit->conditions.clear();
        return m_store.apply(request);
    }

    void finished(const ChangeOutcome& outcome)
    {
        for (std::size_t i = 0; i < m_operations.size(); ++i) {
            auto& operation = m_operations[i];
            if (operation.request.id != outcome.id)
                continue;
            // "Unavailable" speaks of the last submission only.
            const bool isUnknown = std::holds_alternative<ChangeUnknown>(outcome.result)
                || (std::holds_alternative<ChangeUnavailable>(outcome.result) && operation.submissions > 1);
            // An operator repeats a change of unknown outcome under its id.
            if (isUnknown && m_now < m_lastRepeat) {
                if (m_mutation == Mutation::ResubmitsUnderNewId) {
                    operation.request.id += "x";
                    operation.request.baseVersion = 0;
                }
                schedule(std::chrono::milliseconds { 500 }, [this, i] { submit(i); });
            } else if (!isUnknown) {
                operation.result = outcome.result;
            }
            return;
        }
    }

    /** The value that each version set, from the objects that the head row went through. */
    void check()
    {
        const auto newest = m_readers[0]->inForce();
        if (!newest || newest->version() < 50) {
            m_fault = "too few changes took effect";
            return;
        }
        std::size_t applied = 0;
        for (const auto& operation : m_operations) {
            if (!operation.result)
                continue; // Unknown to the end.
            const bool isAccepted = std::holds_alternative<ChangeAccepted>(*operation.result);
            const auto& change = operation.request.changes.front();
            if (const auto* added = std::get_if<AddWorkspace>(&change)) {
                if ((newest->findWorkspace(added->workspace.id) != nullptr) != isAccepted)
                    m_fault = operation.request.id + (isAccepted ? " accepted but absent" : " refused but present");
            }
            applied += isAccepted ? 1 : 0;
        }
        const auto unresolved = static_cast<std::size_t>(std::count_if(
            m_operations.begin(), m_operations.end(), [](const auto& operation) { return !operation.result; }));
        // Each change makes one version, so a change applied twice shows as a version too many.
        if (newest->version() - 1 < applied || newest->version() - 1 > applied + unresolved)
            m_fault = "versions " + std::to_string(newest->version()) + " accepted " + std::to_string(applied)
                + " unresolved " + std::to_string(unresolved);
        for (const auto& reader : m_readers) {
            if (reader->version() != newest->version())
                m_fault = "readers differ at the end";
        }
    }

    std::mt19937_64 m_random;
    Mutation m_mutation;
    NullEventLog m_log;
    MemoryStore m_store;
    bool m_isStoreUp = true;
    TimePoint m_now { std::chrono::seconds { 1 } };
    const TimePoint m_lastSubmission { std::chrono::seconds { 100 } };
    const TimePoint m_lastRepeat { std::chrono::seconds { 120 } };
    // The store is up from 140 s on, so that readers can catch up with the last change.
    const TimePoint m_end { std::chrono::seconds { 155 } };
    std::vector<std::unique_ptr<ConfigurationWriter>> m_writers;
    std::vector<std::unique_ptr<ConfigurationReader>> m_readers;
    std::vector<ConfigurationVersion> m_highestSeen;
    std::vector<Operation> m_operations;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
    std::string m_fault;
};

}

class ConfigurationTrialTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigurationTrialTest);
    CPPUNIT_TEST(holdsUnderFaults);
    CPPUNIT_TEST(checksBite);
    CPPUNIT_TEST_SUITE_END();

public:
    void holdsUnderFaults()
    {
        for (std::uint64_t seed = 1; seed <= 12; ++seed) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                "seed " + std::to_string(seed), std::string(), ConfigurationTrial(seed, Mutation::None).run());
        }
    }

    void checksBite()
    {
        for (const auto mutation :
            { Mutation::ForgetsRowVersion, Mutation::ResubmitsUnderNewId, Mutation::ServesOldObjects }) {
            bool isFound = false;
            for (std::uint64_t seed = 1; seed <= 12 && !isFound; ++seed)
                isFound = !ConfigurationTrial(seed, mutation).run().empty();
            CPPUNIT_ASSERT_MESSAGE("mutation " + std::to_string(static_cast<int>(mutation)), isFound);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTrialTest);
