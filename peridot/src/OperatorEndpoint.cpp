// POST /changes and /bootstrap, GET /configuration, /status and /explain/<request id>.

#include "OperatorEndpoint.h"

#include "base/JsonReader.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace peridot {

namespace {

    AnswerOperator answer(const OperatorRequest& request, std::uint16_t status, const nlohmann::json& body)
    {
        return { request.id, status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) };
    }

    AnswerOperator errorAnswer(
        const OperatorRequest& request, std::uint16_t status, const std::string& code, const std::string& message)
    {
        return answer(request, status, { { "code", code }, { "message", message } });
    }

    /** The operator's name goes into the change id, so that a conflict can say whose change won. */
    std::string changeIdOf(const OperatorRequest& request, const std::string& operatorName)
    {
        return operatorName.empty() ? request.id : operatorName + ":" + request.id;
    }

    Result<ChangeRequest> parseChanges(const OperatorRequest& request)
    {
        auto document = parseJsonWithComments(request.body, "request body");
        if (!document)
            return tl::make_unexpected(document.error());
        nlohmann::json changes = nlohmann::json::array();
        if (document->is_object() && document->contains("changes")) {
            changes = std::move((*document)["changes"]);
            document->erase("changes");
        }
        auto parsed = readSettings<ChangeRequest>(*document, "request body", [&](JsonReader& reader) {
            ChangeRequest result;
            result.baseVersion = static_cast<ConfigurationVersion>(reader.integer("base_version", 0, INT64_MAX, 0));
            result.id = changeIdOf(request, reader.string("operator", ""));
            return result;
        });
        if (!parsed)
            return parsed;
        if (!changes.is_array() || changes.empty()) {
            return makeError(ErrorCode::InvalidArgument, "read changes", "request body",
                "changes: expected an array with at least one change");
        }
        for (std::size_t i = 0; i < changes.size(); ++i) {
            auto change = changeFromJson(changes[i], "changes[" + std::to_string(i) + "]");
            if (!change)
                return tl::make_unexpected(change.error());
            parsed->changes.push_back(std::move(*change));
        }
        return parsed;
    }

}

OperatorEndpoint::OperatorEndpoint(
    const NodeSettings& settings, ControlPlane& control, const DecisionHistory& history, Statistics& statistics)
    : m_settings(settings)
    , m_control(control)
    , m_history(history)
    , m_statistics(statistics)
{
}

Actions OperatorEndpoint::handle(const OperatorRequest& request, TimePoint now)
{
    if (request.method == "POST" && request.path == "/changes")
        return change(request, now);
    if (request.method == "POST" && request.path == "/bootstrap")
        return m_control.bootstrap(request.id, request.body, now);
    if (request.method != "GET")
        return { errorAnswer(request, 405, "method_not_allowed", "use GET, or POST for /changes and /bootstrap") };
    if (request.path == "/configuration") {
        const auto configuration = m_control.view().load()->configuration;
        if (!configuration)
            return { errorAnswer(request, 503, "starting", "no configuration is in force yet") };
        return { AnswerOperator { request.id, 200, configuration->toJson() } };
    }
    if (request.path == "/status")
        return { AnswerOperator { request.id, 200, status(now) } };
    if (request.path.starts_with("/explain/"))
        return { explain(request) };
    return { errorAnswer(request, 404, "not_found", "no such operator resource") };
}

Actions OperatorEndpoint::change(const OperatorRequest& request, TimePoint now)
{
    auto parsed = parseChanges(request);
    if (!parsed)
        return { errorAnswer(request, 400, "invalid_change", parsed.error().message) };
    return m_control.submit(request.id, std::move(*parsed), now);
}

AnswerOperator OperatorEndpoint::explain(const OperatorRequest& request) const
{
    const RequestId id(request.path.substr(std::string("/explain/").size()));
    const auto lines = m_history.explain(id);
    if (lines.empty()) {
        return errorAnswer(request, 404, "unknown_request",
            "this instance has no decision on record for the request; its id starts with the name of its instance");
    }
    return answer(request, 200, { { "request", id.value() }, { "decisions", lines } });
}

std::string OperatorEndpoint::status(TimePoint now) const
{
    const auto view = m_control.view().load();
    const auto& membership = m_control.membership();
    nlohmann::json body { { "instance", m_settings.self.id.value() }, { "region", m_settings.self.region.value() },
        { "state", enumName(view->state) }, { "evidence", enumName(membership.evidence().kind(now)) },
        { "is_relay", membership.isRelay() },
        { "versions",
            { { "own", view->configuration ? view->configuration->version() : 0 },
                { "highest", membership.highest().version }, { "lowest", membership.lowestVersion() } } } };
    if (const auto time = membership.evidence().time())
        body["evidence_age_ms"] = toMilliseconds(now - *time);
    auto instances = nlohmann::json::array();
    membership.view().forEachLive([&](const MemberInfo& member) {
        instances.push_back({ { "name", member.id.value() }, { "region", member.region.value() },
            { "failure_domain", member.failureDomain.value() }, { "state", enumName(member.state) } });
    });
    body["instances"] = std::move(instances);
    for (const auto& region : m_settings.regions)
        body["ledgers"][region.value()] = m_control.ledgerHolder(region);
    if (view->configuration)
        body["served"] = m_statistics.describe(*view->configuration, now);
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}
