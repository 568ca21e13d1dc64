// Reads the requests of the operator endpoint. What it needs of the node comes through the constructor.

#pragma once

#include "ControlPlane.h"
#include "DecisionHistory.h"
#include "Statistics.h"
#include "peridot/Actions.h"

namespace peridot {

/** Called under the control lock. */
class OperatorEndpoint {
public:
    OperatorEndpoint(const NodeSettings&, ControlPlane&, const DecisionHistory&, Statistics&);

    Actions handle(const OperatorRequest&, TimePoint now);
    std::string status(TimePoint now) const;

private:
    Actions change(const OperatorRequest&, TimePoint now);
    AnswerOperator explain(const OperatorRequest&) const;

    const NodeSettings& m_settings;
    ControlPlane& m_control;
    const DecisionHistory& m_history;
    Statistics& m_statistics;
};

}
