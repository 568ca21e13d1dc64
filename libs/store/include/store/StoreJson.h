// JSON form of platform requests and results, as they travel between HttpStoreClient and the platform.
//
// Each document has a `type`. Values that are not plain ASCII travel as `value_base64` instead of `value`.

#pragma once

#include "base/JsonReader.h"
#include "store/StoreTypes.h"

#include <string>
#include <string_view>

namespace peridot {

std::string encodeStoreRequest(const StoreRequest&);
/** Fails with InvalidArgument; the message names path, value and expectation. */
Result<StoreRequest> decodeStoreRequest(std::string_view text);

std::string encodeStoreResult(const StoreResult&);
/** Returns ProtocolViolation if the text is no store result, otherwise the result or the error it holds. */
StoreResult decodeStoreResult(std::string_view text);

nlohmann::json encodePlatformInstance(const PlatformInstance&);
/** Reads the members of one instance; used for settings, requests and results. */
PlatformInstance readPlatformInstance(JsonReader&);

}
