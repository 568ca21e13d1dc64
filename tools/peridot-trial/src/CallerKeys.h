// The keys that callers and operators know. Secrets follow from the id, so that no table of secrets is needed.

#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace peridot::trial {

/** Returns the key to present for a key id. */
inline std::string presentedKey(const std::string& keyId) { return keyId + ".secret-of-" + keyId; }

/** The key that callers of each workspace use now. Operators replace it when they withdraw one. */
class CallerKeys {
public:
    explicit CallerKeys(std::size_t workspaces)
        : m_current(workspaces)
    {
    }

    const std::string& current(std::size_t workspace) const { return m_current[workspace]; }
    void setCurrent(std::size_t workspace, std::string keyId) { m_current[workspace] = std::move(keyId); }

private:
    std::vector<std::string> m_current;
};

}
