// Following a table: its rows, the changes after a version, and the messages by which instances hand changes to each
// other, so that reads of the store don't grow with the number of instances.

#pragma once

#include "base/Error.h"
#include "base/Time.h"
#include "store/LargeValue.h"
#include "store/StorePosition.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace peridot {

/** A row, or the removal of one. */
struct StoreRow {
    std::string key;
    std::string value;
    StorePosition position; // Of its newest change.
    bool isRemoved = false;
    bool isNews = true; // False if a reader found that only its version and the like have changed. Not on the wire.
    // Names the value if it is large. The row of a peer then holds no value, which has to be fetched.
    std::optional<ValueId> largeValue {};
};

struct StoreRows {
    std::vector<StoreRow> rows;
    StorePosition position; // Newest one of the store at the time of the answer.
    bool hasMore = false;
};

/** A store whose tables can be read in whole and followed. Each call ends with exactly one call of its handler. */
class TableStore {
public:
    using RowsHandler = std::function<void(Result<StoreRows>)>;

    virtual ~TableStore() = default;

    /** Reads rows of @p table from key @p from on. */
    virtual void read(const std::string& table, const std::string& from, RowsHandler) = 0;
    /** Reads the changes after @p position, waiting up to @p wait for one. NotFound: the history no longer reaches back
     *  so far, or the store has come back without it. The rows are those of the era of the answer, which may be another
     *  one than that of @p position. */
    virtual void changes(const std::string& table, const StorePosition& position, Duration wait, RowsHandler) = 0;
    /** When bytes of a response about the table came last: a long response is not overdue as long as it comes in. */
    virtual TimePoint lastProgress(const std::string& /*table*/) const { return {}; }
};

/** Asks a peer for the changes of a table after a position. */
struct TablePull {
    std::uint64_t sequence = 0;
    std::string table;
    StorePosition position; // Without an era if the peer runs an earlier build, or the store states none.
    Duration wait { 0 }; // The answer may be held this long until there is a change.
    // The position was not told by the asked peer and may hold a state that it never saw. The answer has to name every
    // row that has changed since, whether it was news to the peer or not.
    bool wantsAll = false;
    std::optional<StoreEra> newestEra {}; // That the peer knows of. The position may be one of an earlier era.
    bool takesLargeValues = false; // The peer fetches large values, unlike one of an earlier build.
};

struct TableChanges {
    std::uint64_t sequence = 0; // Of the pull.
    bool isKnown = false; // The peer reads the table itself, has contact and knows all changes since.
    StorePosition position; // Without an era as in TablePull; the rows are of the same era.
    Duration age { 0 }; // Since the peer's newest read of the store began.
    Duration held { 0 }; // How long the peer has waited for a change.
    std::vector<StoreRow> rows;
    bool isWhole = false; // The rows are all of the table. Only for peers that state an era.
};

}
