#include "tests/standins/object_store.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "src/base/http_status.h"

namespace dewcrank::standins {

namespace {

using Json = nlohmann::json;

constexpr Duration kCallerTimeout = 60s;
constexpr std::string_view kPrefix = "/dewcrank/objects/";

std::string nameOf(const Json& object) {
    return object.at("Metadata").at("Name").get<std::string>();
}

std::map<std::string, std::string> queryOf(const std::string& text) {
    std::map<std::string, std::string> query;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const auto end = std::min(text.find('&', begin), text.size());
        const auto item = text.substr(begin, end - begin);
        const auto equals = std::min(item.find('='), item.size());
        query[item.substr(0, equals)] = equals < item.size() ? item.substr(equals + 1) : "";
        begin = end + 1;
    }
    return query;
}

std::uint64_t numberOf(const std::map<std::string, std::string>& query, const std::string& name) {
    const auto found = query.find(name);
    return found == query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

}  // namespace

ObjectStore::ObjectStore(adapters::EventLoop& loop, RandomSource& random)
    : loop_(loop),
      random_(random),
      server_(loop, adapters::HttpLimits{}, kCallerTimeout,
              [this](const HttpRequest& request, const Exchange& exchange) { onRequest(request, exchange); }) {}

ObjectStore::Target ObjectStore::targetOf(const std::string& path) {
    Target target;
    const auto question = std::min(path.find('?'), path.size());
    if (question < path.size()) {
        target.query = queryOf(path.substr(question + 1));
    }
    const auto rest = path.substr(kPrefix.size(), question - kPrefix.size());
    const auto slash = std::min(rest.find('/'), rest.size());
    target.kind = rest.substr(0, slash);
    target.name = slash < rest.size() ? rest.substr(slash + 1) : "";
    return target;
}

// Requests ---------------------------------------------------------------------

void ObjectStore::onRequest(const HttpRequest& request, const Exchange& exchange) {
    ++calls_;
    if (faults_.never_responds) {
        stalled_.push_back(exchange);
        return;
    }
    if (faults_.error_status != 0) {
        respond(exchange, faults_.error_status, {{"Error", "refused"}});
        return;
    }
    if (faults_.delay == Duration::zero()) {
        serve(request, exchange);
        return;
    }
    const auto number = ++last_number_;
    delayed_[number] = loop_.startTimer(faults_.delay, [this, number, request, exchange] {
        const auto timer = delayed_.extract(number);
        serve(request, exchange);
    });
}

void ObjectStore::serve(const HttpRequest& request, const Exchange& exchange) {
    if (!request.path.starts_with(kPrefix)) {
        respond(exchange, kHttpNotFound, {{"Error", "no such page"}});
        return;
    }
    const auto target = targetOf(request.path);
    if (request.method == "DELETE") {
        remove(target, exchange);
        return;
    }
    if (request.method != "GET") {
        write(request.method, target, Json::parse(request.body, nullptr, false), exchange);
        return;
    }
    if (target.query.contains("Watch")) {
        watch(target, exchange);
    } else {
        list(target, exchange);
    }
}

void ObjectStore::list(const Target& target, const Exchange& exchange) {
    const auto& objects = objects_[target.kind];
    if (!target.name.empty()) {
        const auto found = objects.find(target.name);
        const bool exists = found != objects.end();
        respond(exchange, exists ? kHttpOk : kHttpNotFound, exists ? found->second : Json{{"Error", "none"}});
        return;
    }
    Json items = Json::array();
    for (const auto& [name, object] : objects) {
        items.push_back(object);
    }
    respond(exchange, kHttpOk, {{"items", items}, {"More", false}, {"At", revision_}});
}

void ObjectStore::write(const std::string& method, const Target& target, const Json& body, const Exchange& exchange) {
    if (!body.is_object() || !body.contains("Metadata") || !body.contains("Spec")) {
        respond(exchange, kHttpBadRequest, {{"Error", "Metadata and Spec are expected"}});
        return;
    }
    auto& objects = objects_[target.kind];
    const auto name = target.name.empty() ? nameOf(body) : target.name;
    const auto found = objects.find(name);
    const bool is_new = method == "POST";
    if (is_new && found != objects.end()) {
        respond(exchange, kHttpConflict, found->second);
        return;
    }
    if (!is_new && found == objects.end()) {
        respond(exchange, kHttpNotFound, {{"Error", "no such object"}});
        return;
    }
    const auto expected = body.at("Metadata").value("Revision", std::uint64_t{0});
    if (!is_new && expected != 0 && expected != found->second.at("Metadata").at("Revision")) {
        respond(exchange, kHttpConflict, found->second);
        return;
    }
    store(target.kind, name, body.at("Spec"));
    acknowledge(exchange, objects.at(name));
}

void ObjectStore::remove(const Target& target, const Exchange& exchange) {
    auto& objects = objects_[target.kind];
    const auto found = objects.find(target.name);
    if (found == objects.end()) {
        respond(exchange, kHttpNotFound, {{"Error", "no such object"}});
        return;
    }
    Change change{++revision_, target.kind, found->second, true};
    objects.erase(found);
    onChanged(change);
    acknowledge(exchange, Json::object());
}

void ObjectStore::acknowledge(const Exchange& exchange, const Json& body) {
    if (random_.unit() < faults_.lost_responses) {
        exchange->abort();
        return;
    }
    respond(exchange, kHttpOk, body);
}

void ObjectStore::respond(const Exchange& exchange, int status, const Json& body) {
    auto message = makeResponse(status, "application/json", body.dump());
    message.headers.set("Store-Era", std::to_string(era_));
    exchange->reply(std::move(message));
}

// Objects and watches ------------------------------------------------------------

void ObjectStore::put(const std::string& kind, const std::string& name, const Json& spec) {
    store(kind, name, spec);
}

void ObjectStore::saveCopy() {
    copy_ = {revision_, objects_, history_};
}

void ObjectStore::restoreFromBackup() {
    ++era_;
    revision_ = copy_.revision;
    objects_ = copy_.objects;
    history_ = copy_.history;
    for (auto& [number, it] : std::exchange(watches_, {})) {
        it.exchange->abort();
    }
}

Json ObjectStore::get(const std::string& kind, const std::string& name) const {
    const auto objects = objects_.find(kind);
    if (objects == objects_.end() || !objects->second.contains(name)) {
        return nullptr;
    }
    return objects->second.at(name).at("Spec");
}

void ObjectStore::store(const std::string& kind, const std::string& name, const Json& spec) {
    ++revision_;
    auto& object = objects_[kind][name];
    object = {{"Metadata", {{"Name", name}, {"Revision", revision_}}}, {"Spec", spec}, {"Status", nullptr}};
    onChanged({revision_, kind, object, false});
}

void ObjectStore::onChanged(const Change& change) {
    history_.push_back(change);
    std::vector<std::uint64_t> changed_watches;
    for (const auto& [number, it] : watches_) {
        if (it.kind == change.kind) {
            changed_watches.push_back(number);
        }
    }
    for (const auto number : changed_watches) {
        endWatch(number);
    }
}

Json ObjectStore::changesSince(const std::string& kind, std::uint64_t revision) const {
    Json events = Json::array();
    for (const auto& it : history_) {
        if (it.kind == kind && it.revision > revision) {
            events.push_back({{"Gone", it.is_deleted}, {"Object", it.object}});
        }
    }
    return events;
}

void ObjectStore::watch(const Target& target, const Exchange& exchange) {
    const auto revision = numberOf(target.query, "Watch");
    oldest_revision_ = faults_.expires_history ? revision_ : oldest_revision_;
    if (revision < oldest_revision_ || revision > revision_) {
        respond(exchange, kHttpGone, {{"Error", "that history is gone"}});
        return;
    }
    const auto number = ++last_number_;
    auto& it = watches_[number];
    it.number = number;
    it.kind = target.kind;
    it.revision = revision;
    it.exchange = exchange;
    exchange->onClientDisconnected([this, number] { watches_.erase(number); });
    if (!changesSince(target.kind, revision).empty()) {
        endWatch(number);
        return;
    }
    const auto wait = std::chrono::milliseconds(numberOf(target.query, "WaitMs"));
    it.timer = loop_.startTimer(wait, [this, number] { endWatch(number); });
}

void ObjectStore::endWatch(std::uint64_t number) {
    const auto ended = watches_.extract(number);
    if (!ended.empty()) {
        const auto& it = ended.mapped();
        respond(it.exchange, kHttpOk, {{"events", changesSince(it.kind, it.revision)}, {"At", revision_}});
    }
}

}  // namespace dewcrank::standins
