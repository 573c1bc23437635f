#include "src/fleet/replicas.h"

namespace dewcrank::fleet {

namespace {

bool isLeaving(const wire::NodeRecord& record) {
    const auto state = record.instance().state();
    return state == wire::INSTANCE_DRAINING || state == wire::INSTANCE_GONE;
}

}  // namespace

Replicas replicasOf(const NodeDirectory& directory, const std::string& service) {
    const auto& self = directory.self();
    Replicas replicas;
    replicas.up = NodeDirectory::isServing(self) && self.instance().service() == service ? 1 : 0;
    for (const auto* node : directory.othersWithService(service)) {
        const auto& record = node->record;
        if (NodeDirectory::isServing(record) && NodeDirectory::isReachable(*node)) {
            ++replicas.up;
            replicas.position += record.name() < self.name() ? 1 : 0;
        } else if (!isLeaving(record)) {
            ++replicas.unavailable;
        }
    }
    return replicas;
}

}  // namespace dewcrank::fleet
