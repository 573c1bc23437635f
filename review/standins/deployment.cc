#include "review/standins/deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <sstream>
#include <stdexcept>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr const char* kTemplate = "deploy/node.toml";
constexpr const char* kProgram = "target/bin/dewcrank-sidecar";
const std::string kObjects = "/dewcrank/objects/";
constexpr std::size_t kStoppedPollMs = 20;

Message responseOf(int status, const std::string& body, const std::string& type = "application/json") {
    Message response;
    response.start_line = "HTTP/1.1 " + std::to_string(status) + " Status";
    response.headers.emplace_back("Content-Type", type);
    response.body = body;
    return response;
}

std::string readFile(const std::string& file) {
    const std::ifstream stream(file);
    std::stringstream text;
    text << stream.rdbuf();
    return text.str();
}

/// Fills the gaps `{{NAME}}` of a template; those without a value, and sections without a value, stand for nothing.
std::string fill(std::string text, const std::map<std::string, std::string>& values) {
    for (auto begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{", begin)) {
        const auto end = text.find("}}", begin);
        const auto name = text.substr(begin + 2, end - begin - 2);
        if (name.starts_with("#")) {
            const auto close = "{{/" + name.substr(1) + "}}";
            text.erase(begin, text.find(close, end) + close.size() - begin);
            continue;
        }
        const auto found = values.find(name);
        text.replace(begin, end + 2 - begin, found == values.end() ? "" : found->second);
    }
    return text;
}

std::map<std::string, std::string> queryOf(const std::string& path) {
    std::map<std::string, std::string> query;
    const auto mark = path.find('?');
    std::stringstream items(mark == std::string::npos ? "" : path.substr(mark + 1));
    for (std::string item; std::getline(items, item, '&');) {
        const auto equals = item.find('=');
        query[item.substr(0, equals)] = equals == std::string::npos ? "" : item.substr(equals + 1);
    }
    return query;
}

}  // namespace

// Record -------------------------------------------------------------------------

Record::Record(const std::string& file) : file_(file) {
    if (!file_) {
        throw std::runtime_error("cannot write " + file);
    }
}

double Record::seconds(Clock::time_point at) const {
    return std::chrono::duration<double>(at - start_).count();
}

void Record::write(const std::string& line) {
    std::array<char, 32> time{};
    const std::lock_guard lock(mutex_);
    std::snprintf(time.data(), time.size(), "%8.3f  ", seconds());
    file_ << time.data() << line << std::endl;
}

// Store --------------------------------------------------------------------------

Store::Store(const Address& address)
    : server_(std::make_unique<Server>(address, [this](Connection& connection) { serve(connection); })) {}

Store::~Store() {
    is_stopping_ = true;
    changed_.notify_all();
    server_->stop();
}

void Store::put(const std::string& kind, const std::string& name, const Json& spec) {
    const std::lock_guard lock(mutex_);
    change(kind, name, spec, false);
}

Json Store::change(const std::string& kind, const std::string& name, const Json& spec, bool is_gone) {
    auto& objects = objects_[kind];
    const auto found = objects.find(name);
    if (!is_gone && found != objects.end() && found->second.at("Spec") == spec) {
        return found->second;
    }
    const Json object = {
        {"Metadata",
         {{"Name", name}, {"Revision", ++revision_}, {"Made", 1}, {"Finalizers", Json::array()}, {"Deleting", false}}},
        {"Spec", spec},
        {"Status", nullptr}};
    if (is_gone) {
        objects.erase(name);
    } else {
        objects[name] = object;
    }
    history_.push_back({revision_, kind, object, is_gone});
    changed_.notify_all();
    return object;
}

void Store::serve(Connection& connection) {
    Message request;
    while (connection.read(&request, Clock::now() + std::chrono::seconds(60)) == ReadEnd::kComplete) {
        const auto reply = answer(request);
        if (is_stopping_ || !connection.write(responseOf(reply.status, reply.body.dump()).bytes())) {
            return;
        }
    }
}

Store::Reply Store::answer(const Message& request) {
    const auto path = request.path();
    if (!path.starts_with(kObjects)) {
        return {404, {}};
    }
    auto kind = path.substr(kObjects.size(), path.find('?') - kObjects.size());
    const auto slash = kind.find('/');
    const auto name = slash == std::string::npos ? "" : kind.substr(slash + 1);
    kind = kind.substr(0, slash);
    auto query = queryOf(path);
    if (request.method() == "GET" && query.contains("Watch")) {
        return watch(kind, std::stoull(query["Watch"]), Milliseconds(std::stoll(query["WaitMs"])));
    }
    if (request.method() == "GET") {
        return read(kind, name, query);
    }
    return write(request.method(), kind, name, Json::parse(request.body, nullptr, false));
}

Store::Reply Store::read(const std::string& kind, const std::string& name,
                         const std::map<std::string, std::string>& query) {
    const std::lock_guard lock(mutex_);
    const auto& objects = objects_[kind];
    if (!name.empty()) {
        const auto found = objects.find(name);
        return found == objects.end() ? Reply{404, {}} : Reply{200, found->second};
    }
    Json items = Json::array();
    const auto after = query.find("after");
    for (const auto& [object_name, object] : objects) {
        if (after == query.end() || object_name > after->second) {
            items.push_back(object);
        }
    }
    return {200, {{"items", items}, {"More", false}, {"At", revision_}}};
}

Store::Reply Store::watch(const std::string& kind, std::uint64_t revision, Milliseconds wait) {
    std::unique_lock lock(mutex_);
    Json events = Json::array();
    const auto collect = [&] {
        for (const auto& change : history_) {
            if (change.kind == kind && change.revision > revision) {
                events.push_back({{"Gone", change.is_gone}, {"Object", change.object}});
            }
        }
        return !events.empty() || is_stopping_;
    };
    changed_.wait_for(lock, wait, collect);
    return {200, {{"events", events}, {"At", revision_}}};
}

Store::Reply Store::write(const std::string& method, const std::string& kind, std::string name, Json object) {
    const std::lock_guard lock(mutex_);
    auto& objects = objects_[kind];
    const auto metadata = object.is_object() ? object.value("Metadata", Json::object()) : Json::object();
    name = name.empty() ? metadata.value("Name", "") : name;
    const auto found = objects.find(name);
    if (method == "POST") {
        return found != objects.end() ? Reply{409, found->second}
                                      : Reply{200, change(kind, name, object.value("Spec", Json()), false)};
    }
    if (found == objects.end()) {
        return {404, {}};
    }
    const auto expected = metadata.value("Revision", std::uint64_t{0});
    if (expected != 0 && expected != found->second.at("Metadata").at("Revision").get<std::uint64_t>()) {
        return {409, found->second};
    }
    const bool is_gone = method == "DELETE";
    return {200, change(kind, name, is_gone ? Json() : object.value("Spec", Json()), is_gone)};
}

// Process ------------------------------------------------------------------------

Process::Process(Machine machine, const Address& store, const std::string& seeds, std::string folder)
    : machine_(std::move(machine)), folder_(std::move(folder)) {
    const std::map<std::string, std::string> values = {
        {"NodeName", machine_.name},
        {"Zone", machine_.zone},
        {"Service", machine_.service},
        {"Ip", machine_.ip},
        {"Listen.Outbound", machine_.outbound().text()},
        {"Listen.Inbound", machine_.inbound().text()},
        {"Listen.Control", machine_.control().text()},
        {"Listen.Ready", machine_.ready().text()},
        {"AppAddr", machine_.instance().text()},
        {"HeartbeatMs", std::to_string(kHeartbeat.count())},
        {"Platform.Address", store.text()},
        {"SeedNodes", seeds},
        {"Bounds.RetryBudgetRatio", "0.2"},
        {"Bounds.BudgetSlack", "55"},
        {"Bounds.BudgetWindowS", "10"},
        {"Bounds.GracePeriodS", std::to_string(kGracePeriod.count() / 1000)},
        {"FaultTolerance.Zones", "0"},
    };
    std::ofstream(folder_ + "/" + machine_.name + ".toml") << fill(readFile(kTemplate), values);
}

Process::~Process() {
    if (isRunning()) {
        signal(SIGKILL);
        awaitEnd(Clock::now() + std::chrono::seconds(5));
    }
}

void Process::start() {
    const auto settings = folder_ + "/" + machine_.name + ".toml";
    const auto log = folder_ + "/" + machine_.name + ".log";
    process_ = ::fork();
    if (process_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // Ends with the driver, however that ends.
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execl(kProgram, kProgram, "--settings", settings.c_str(), nullptr);
        ::_exit(127);
    }
}

void Process::signal(int number) const {
    if (process_ > 1) {
        ::kill(process_, number);
    }
}

bool Process::isRunning() {
    if (process_ > 1 && ::waitpid(process_, nullptr, WNOHANG) == process_) {
        process_ = -1;
    }
    return process_ > 1;
}

bool Process::awaitEnd(Clock::time_point deadline) {
    while (isRunning()) {
        if (Clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(Milliseconds(kStoppedPollMs));
    }
    return true;
}

bool Process::isReady() const {
    const Message request{"GET /dewcrank/readiness HTTP/1.1", {{"Host", machine_.ready().text()}}, ""};
    const auto response = exchange(machine_.ready(), request, Milliseconds(900));
    return response && response->status() == 200;
}

bool awaitReady(const std::vector<Process*>& processes, Milliseconds timeout) {
    const auto deadline = Clock::now() + timeout;
    while (!std::all_of(processes.begin(), processes.end(), [](const auto* process) { return process->isReady(); })) {
        if (Clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(Milliseconds(100));
    }
    return true;
}

// Instance -----------------------------------------------------------------------

Instance::Instance(Machine machine, std::string id, std::uint32_t slots, Handler handler)
    : machine_(std::move(machine)),
      id_(std::move(id)),
      slots_(slots),
      handler_(std::move(handler)),
      server_(std::make_unique<Server>(machine_.instance(), [this](Connection& connection) { serve(connection); })) {
    heartbeats_ = std::thread([this] { sendHeartbeats(); });
}

Instance::~Instance() {
    end();
}

void Instance::end() {
    if (is_ended_.exchange(true)) {
        return;
    }
    server_->stop();
    heartbeats_.join();
}

void Instance::serve(Connection& connection) {
    Message request;
    while (connection.read(&request, Clock::now() + std::chrono::seconds(10)) == ReadEnd::kComplete) {
        const auto expected = request.header("Dewcrank-Expect-Instance");
        bool is_open = false;
        if (!expected.empty() && expected != id_) {
            auto misdirected = responseOf(421, "", "text/plain");
            misdirected.headers.emplace_back("Dewcrank-Instance-Id", id_);
            is_open = connection.write(misdirected.bytes());
        } else if (request.path() == "/health") {
            auto healthy = responseOf(200, "", "text/plain");
            healthy.headers.emplace_back("Dewcrank-Instance-Id", id_);
            is_open = connection.write(healthy.bytes());
        } else {
            is_open = handler_(connection, request);
        }
        if (!is_open) {
            return;
        }
    }
}

Message Instance::nextHeartbeat() {
    const Json body = {
        {"Address", machine_.instance().text()},
        {"Info", {{"Service", machine_.service}, {"Version", "v1"}, {"Zone", machine_.zone}, {"Slots", slots_}}},
        {"Status", {{"State", "ready"}, {"CallSeq", ++calls_}, {"ColdLeftMs", 0}}}};
    return {"POST /dewcrank/Instances.Heartbeat/" + id_ + " HTTP/1.1",
            {{"Host", machine_.control().text()}, {"Content-Type", "application/json"}},
            body.dump()};
}

Message Instance::leaveMessage() const {
    return {"POST /dewcrank/Instances.Leave/" + id_ + " HTTP/1.1",
            {{"Host", machine_.control().text()}, {"Content-Type", "application/json"}},
            ""};
}

bool Instance::send(const Message& message) const {
    const auto response = exchange(machine_.control(), message, Milliseconds(1000));
    return response && response->status() / 100 == 2;
}

void Instance::sendHeartbeats() {
    auto due = Clock::now();
    while (!is_ended_) {
        if (sends_heartbeats_ && Clock::now() >= due) {
            const bool is_acknowledged = send(nextHeartbeat());
            due = Clock::now() + (is_acknowledged ? kHeartbeat : Milliseconds(200));
        }
        std::this_thread::sleep_for(Milliseconds(kStoppedPollMs));
    }
}

Message answerOf(const Message& request, const std::string& instance, std::string body) {
    auto answer = responseOf(200, std::move(body), "application/octet-stream");
    answer.headers.emplace_back("Dewcrank-Request-Id", request.header("Dewcrank-Request-Id"));
    answer.headers.emplace_back("Dewcrank-Server-Stamp", "stamp-" + instance);
    return answer;
}

// Configuration ------------------------------------------------------------------

std::string loopbackIp(std::size_t number) {
    constexpr int kFirst = 20;
    constexpr int kSpread = 200;
    const int process = ::getpid();
    return "127." + std::to_string(kFirst + process % kSpread) + "." + std::to_string(process / kSpread % kSpread) +
           "." + std::to_string(number + 1);
}

Json routeOf(const std::string& host, const std::string& prefix, const std::string& kind, const std::string& service,
             int timeout_ms) {
    return {{"Host", host},       {"PathPrefix", prefix},    {"Kind", kind},
            {"Service", service}, {"TimeoutMs", timeout_ms}, {"TargetLatencyMs", 1500},
            {"Priority", 0},      {"MaxAttempts", 2}};
}

Json configOf(int version, const Json& routes, const std::vector<std::string>& services) {
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%08x", version);
    Json rows = Json::object();
    for (const auto& service : services) {
        rows[service] = {{"HealthPath", "/health"}, {"MaxConnections", 952}, {"Protocol", "h1"}, {"Tls", false}};
    }
    return {
        {"Version", text.data()},
        {"Routes", routes},
        {"Services", rows},
        {"Limits",
         {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 67108864}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}}};
}

}  // namespace review
