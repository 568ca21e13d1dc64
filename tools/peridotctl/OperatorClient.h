// Requests to the operator endpoints of instances. Any instance will do; several addresses are tried in order.

#pragma once

#include "base/Error.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace peridot {

struct OperatorReply {
    std::uint16_t status = 0;
    nlohmann::json body;
};

class OperatorClient {
public:
    /** @p addresses are host:port or URLs. */
    OperatorClient(std::vector<std::string> addresses, std::string operatorKey, std::string certificateAuthorityFile);

    Result<OperatorReply> get(const std::string& path) const;
    /** Sends a change. @p changeId makes it harmless to send it to several instances. */
    Result<OperatorReply> post(const std::string& path, const nlohmann::json& body, const std::string& changeId) const;

private:
    Result<OperatorReply> send(
        const std::string& method, const std::string& path, const std::string& body, const std::string& changeId) const;
    Result<OperatorReply> sendTo(const std::string& address, const std::string& method, const std::string& path,
        const std::string& body, const std::string& changeId) const;

    const std::vector<std::string> m_addresses;
    const std::string m_operatorKey;
    const std::string m_certificateAuthorityFile;
};

}
