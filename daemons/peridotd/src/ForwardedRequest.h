// One caller's request on its way to a backend server and back.

#pragma once

#include "ActiveRequest.h"
#include "BackendClients.h"
#include "HeaderScreening.h"
#include "NodeDriver.h"
#include "RequestStatistics.h"
#include "Settings.h"

#include <cpprest/http_msg.h>
#include <cpprest/producerconsumerstream.h>

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace peridot {

/** What all requests of an endpoint share. */
struct ForwardingContext {
    NodeDriver& driver;
    BackendClients& clients;
    RequestStatistics& statistics;
    EventLog& log;
    RequestLimits limits;
};

/**
 * Invariants: the caller gets one response; success only after the end of the backend server's response was verified,
 * or, for a long response, with the connection broken off where the end is missing. Each dispatch is reported to the
 * node as finished once.
 */
class ForwardedRequest final : public ActiveRequest, public std::enable_shared_from_this<ForwardedRequest> {
public:
    ForwardedRequest(const ForwardingContext&, const web::http::http_request&, RequestHead, ScreenedRequest);

    /** Reads the body, as far as it is buffered, and hands the request to the node. */
    void start();

    void dispatch(const DispatchRequest&) override;
    void refuse(const Refusal&) override;
    void replay(const RecordedResponse&) override;
    bool expire(bool isLast) override;

private:
    using Bytes = std::vector<std::uint8_t>;
    using Pipe = concurrency::streams::producer_consumer_buffer<std::uint8_t>;

    enum class Stage {
        ReadingBody,
        Waiting, // For a decision of the node.
        Dispatched,
        Streaming, // The response's head is out; the end is not yet known.
        Answered,
    };

    /** The exchange with one backend server. */
    struct Attempt {
        BackendServerId backendServer;
        TimePoint start;
        pplx::cancellation_token_source cancellation;
        bool hasFreshConnection = false;
        BackendClients::Client client; // Kept until the response is complete.
        web::http::http_response response;
        std::optional<std::uint64_t> expectedBytes; // By Content-Length.
        std::uint64_t receivedBytes = 0;
        Bytes buffered;
        std::optional<Pipe> pipe; // Set once the response is streamed.
        bool isOver = false;
    };
    using AttemptPointer = std::shared_ptr<Attempt>;

    bool takeRequestPiece(const std::uint8_t* data, std::size_t size);
    void requestBodyEnded(const std::exception_ptr&);
    void begin();
    void refuseOversizeBody();

    void sendAttempt(const AttemptPointer&, const DispatchRequest&);
    web::http::http_request backendRequest(const DispatchRequest&);
    void headArrived(const AttemptPointer&, const web::http::http_response&);
    bool takeResponsePiece(const AttemptPointer&, const std::uint8_t* data, std::size_t size);
    void responseEnded(const AttemptPointer&, const std::exception_ptr&);
    void startStreaming(const AttemptPointer&);
    void completed(const AttemptPointer&);
    void failed(const AttemptPointer&, DispatchOutcomeKind, Duration retryAfter = Duration { 0 });
    DispatchOutcomeKind outcomeOf(const std::exception_ptr&);
    void logBroken(const char* message) const;
    web::http::http_response callerResponse(const Attempt&) const;
    void closeIfLeaving(web::http::http_response&) const;
    void callerHasGone();

    bool markAnswered();
    void logFinished(std::uint16_t status, const std::string& outcome, std::uint64_t responseBytes);

    const ForwardingContext m_context;
    const web::http::http_request m_request;
    RequestHead m_head;
    const ScreenedRequest m_screened;
    const TimePoint m_start;

    std::mutex m_mutex;
    Stage m_stage = Stage::ReadingBody;
    Bytes m_body; // Whole if there is no pipe; it can then be sent again.
    std::uint64_t m_bodyBytes = 0;
    std::optional<std::uint64_t> m_declaredBodyBytes;
    std::optional<Pipe> m_bodyPipe; // Set for a body that is longer than the buffer; it can be sent once.
    AttemptPointer m_attempt;
    std::uint32_t m_attempts = 0;
    bool m_isExpired = false;
    bool m_isCallerGone = false;
    bool m_isBodyTooLong = false;
    bool m_mayHaveRun = false; // An earlier attempt ended without certainty.
};

}
