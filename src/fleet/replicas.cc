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
    Replicas found;
    found.up = NodeDirectory::isServing(self) && self.instance().service() == service ? 1 : 0;
    for (const auto* node : directory.othersWith(service)) {
        const auto& record = node->record;
        if (NodeDirectory::isServing(record) && NodeDirectory::isReachable(*node)) {
            ++found.up;
            found.place += record.name() < self.name() ? 1 : 0;
        } else if (!isLeaving(record)) {
            ++found.away;
        }
    }
    return found;
}

}  // namespace dewcrank::fleet
