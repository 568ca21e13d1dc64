// What a response means for the caller who sent the request.

#pragma once

#include "HttpClients.h"
#include "LoadSettings.h"
#include "LoadStatistics.h"

#include <string>

namespace peridot {

struct Judgement {
    Outcome outcome = Outcome::Completed; // RefusedInside stands for both kinds of refusal.
    std::string code;
};

/**
 * Judges a response to a request that carried @p echo. A response counts as completed only if it is whole and its own:
 * the checksum, the length and the echo must fit.
 */
Judgement judgeResponse(const HttpOutcome&, const RequestKind&, const std::string& echo);

}
