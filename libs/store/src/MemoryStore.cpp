// Dispatch of requests to the table, the object store and the list of instances.

#include "store/MemoryStore.h"

#include <utility>

namespace peridot {

namespace {

    template <typename T> StoreResult toStoreResult(Result<T> result)
    {
        if (!result)
            return tl::make_unexpected(std::move(result.error()));
        return StoreValue { std::move(*result) };
    }

    template <typename... Visitors> struct Overloaded : Visitors... {
        using Visitors::operator()...;
    };
    template <typename... Visitors> Overloaded(Visitors...) -> Overloaded<Visitors...>;

}

StoreResult MemoryStore::apply(const StoreRequest& request)
{
    return std::visit(Overloaded {
                          [this](const TableRead& read) { return toStoreResult(m_table.read(read)); },
                          [this](const TableScan& scan) { return toStoreResult(m_table.scan(scan)); },
                          [this](const TableCommit& commit) { return toStoreResult(m_table.commit(commit)); },
                          [this](const ObjectPut& put) -> StoreResult {
                              if (put.key.empty())
                                  return makeError(ErrorCode::InvalidArgument, "put object", "", "the key is empty");
                              m_objects[put.key] = put.value;
                              return StoreValue { ObjectStored {} };
                          },
                          [this](const ObjectGet& get) -> StoreResult {
                              ObjectValue found;
                              if (auto it = m_objects.find(get.key); it != m_objects.end())
                                  found.value = it->second;
                              return StoreValue { std::move(found) };
                          },
                          [this](const ListInstances&) -> StoreResult { return StoreValue { instances() }; },
                      },
        request);
}

void MemoryStore::putInstance(PlatformInstance instance)
{
    auto name = instance.name;
    m_instances.insert_or_assign(std::move(name), std::move(instance));
}

bool MemoryStore::removeInstance(const std::string& name) { return m_instances.erase(name) > 0; }

bool MemoryStore::setInstanceState(const std::string& name, PlatformInstanceState state)
{
    auto it = m_instances.find(name);
    if (it == m_instances.end())
        return false;
    it->second.state = state;
    return true;
}

InstanceList MemoryStore::instances() const
{
    InstanceList list;
    for (const auto& [name, instance] : m_instances)
        list.instances.push_back(instance);
    return list;
}

}
