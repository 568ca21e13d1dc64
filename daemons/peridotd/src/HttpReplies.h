// Responses of the daemon's endpoints. Every one of them carries X-Request-Id.

#pragma once

#include "HeaderScreening.h"

#include "peridot/Actions.h"

#include <cpprest/http_msg.h>

#include <string>

namespace peridot {

HeaderList headerList(const web::http::http_headers&);

web::http::http_response makeResponse(std::uint16_t status, const RequestId&);
web::http::http_response makeJsonResponse(std::uint16_t status, const RequestId&, const std::string& body);
web::http::http_response makeRefusal(const Refusal&, const RequestId&);

/** Sends a response whose delivery needs no further attention. */
void send(const web::http::http_request&, const web::http::http_response&);

/** Reads what is left of the body and drops it. */
void discardBody(const web::http::http_request&);

/** Sends a refusal, drops the body and closes the connection, for input after which the rest of the connection cannot
 * be trusted. */
void sendLastRefusal(const web::http::http_request&, const Refusal&, const RequestId&);

/** Sum of the header lines' lengths. */
std::uint64_t headerBytes(const web::http::http_request&);

}
