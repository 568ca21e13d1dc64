// JSON form of the faults, see docs/stand-ins.md.

#include "PlatformFaults.h"

namespace peridot {

PlatformFaults readPlatformFaults(JsonReader& reader)
{
    constexpr Duration longest = std::chrono::hours { 1 };
    PlatformFaults faults;
    faults.isDown = reader.boolean("down", false);
    faults.isHanging = reader.boolean("hang", false);
    faults.delay = reader.milliseconds("slow_ms", Duration { 0 }, longest, Duration { 0 });
    faults.lostAnswerProbability = reader.number("lost_answer_probability", 0, 1, 0);
    for (auto& caller : reader.strings("unreachable_callers"))
        faults.unreachableCallers.insert(std::move(caller));
    faults.listLag = reader.milliseconds("list_lag_ms", Duration { 0 }, longest, Duration { 0 });
    faults.isListFrozen = reader.boolean("list_frozen", false);
    return faults;
}

nlohmann::json encodePlatformFaults(const PlatformFaults& faults)
{
    return { { "down", faults.isDown }, { "hang", faults.isHanging }, { "slow_ms", toMilliseconds(faults.delay) },
        { "lost_answer_probability", faults.lostAnswerProbability },
        { "unreachable_callers", faults.unreachableCallers }, { "list_lag_ms", toMilliseconds(faults.listLag) },
        { "list_frozen", faults.isListFrozen } };
}

}
