#include "lab.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <sstream>
#include <thread>

namespace lab {

namespace {

constexpr std::size_t kPiece = std::size_t{64} * 1024;
constexpr double kIdleS = 60;
constexpr int kMetricsPort = 9102;  ///< Fixed by the settings' template.
constexpr int kHeartbeatMs = 1500;
constexpr int kConflict = 409;

const auto kStart = std::chrono::steady_clock::now();

/// Nodes that run, so that finish() can end them.
std::mutex& processMutex() {
    static std::mutex mutex;
    return mutex;
}
std::set<pid_t>& processes() {
    static std::set<pid_t> all;
    return all;
}

sockaddr_in addressOf(const std::string& ip, int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// @return a bound socket, or -1. @param port 0: any free one.
int bindTo(const std::string& ip, int port) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = addressOf(ip, port);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

int portOf(int descriptor) {
    sockaddr_in address{};
    socklen_t length = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
}

bool sameName(const std::string& left, const std::string& right) {
    return left.size() == right.size() && strcasecmp(left.c_str(), right.c_str()) == 0;
}

std::string reply(int status, const std::string& headers, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void replaceAll(std::string* text, const std::string& from, const std::string& to) {
    for (auto at = text->find(from); at != std::string::npos; at = text->find(from, at + to.size())) {
        text->replace(at, from.size(), to);
    }
}

std::string readFile(const std::string& name) {
    std::ifstream file(name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

}  // namespace

double now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - kStart).count();
}

void sleepFor(double seconds) {
    std::this_thread::sleep_for(std::chrono::duration<double>(std::max(0.0, seconds)));
}

// Record ---------------------------------------------------------------------

Record::Record(const std::string& file) : file_(file) {}

void Record::line(const std::string& text) {
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f ", now());
    const std::lock_guard lock(mutex_);
    file_ << time << text << std::endl;
}

// Connection -----------------------------------------------------------------

std::string Message::get(const std::string& name) const {
    for (const auto& [key, value] : headers) {
        if (sameName(key, name)) {
            return value;
        }
    }
    return "";
}

Connection::Connection(int descriptor) : descriptor_(descriptor) {
    const int on = 1;
    setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection() {
    close(descriptor_);
}

std::unique_ptr<Connection> Connection::open(const std::string& ip, int port, double timeout_s) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto connection = std::make_unique<Connection>(descriptor);
    connection->setTimeout(timeout_s);
    const auto address = addressOf(ip, port);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        return nullptr;
    }
    return connection;
}

void Connection::setTimeout(double seconds) const {
    timeval value{};
    value.tv_sec = static_cast<time_t>(seconds);
    value.tv_usec = static_cast<suseconds_t>((seconds - static_cast<double>(value.tv_sec)) * 1e6);
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
    setsockopt(descriptor_, SOL_SOCKET, SO_SNDTIMEO, &value, sizeof value);
}

bool Connection::write(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Connection::fill() {
    char piece[kPiece];
    const auto count = recv(descriptor_, piece, sizeof piece, 0);
    if (count <= 0) {
        return false;
    }
    has_part_ = true;
    buffer_.append(piece, static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> Connection::readLine() {
    auto end = buffer_.find("\r\n");
    while (end == std::string::npos) {
        if (!fill()) {
            return std::nullopt;
        }
        end = buffer_.find("\r\n");
    }
    auto line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return line;
}

bool Connection::readBytes(std::size_t size, std::string* body, const std::function<void(std::size_t)>& onPiece,
                           bool drops) {
    while (size > 0) {
        if (buffer_.empty() && !fill()) {
            return false;
        }
        const auto count = std::min(size, buffer_.size());
        if (!drops) {
            body->append(buffer_, 0, count);
        }
        buffer_.erase(0, count);
        size -= count;
        if (onPiece) {
            onPiece(count);
        }
    }
    return true;
}

std::optional<Message> Connection::read(bool is_response, bool has_body,
                                        const std::function<void(std::size_t)>& onPiece, bool drops_body) {
    has_part_ = !buffer_.empty();
    const auto start = readLine();
    if (!start) {
        return std::nullopt;
    }
    Message message;
    std::istringstream words(*start);
    std::string version;
    if (is_response) {
        words >> version >> message.status;
    } else {
        words >> message.method >> message.path >> version;
    }
    while (true) {
        const auto line = readLine();
        if (!line) {
            return std::nullopt;
        }
        if (line->empty()) {
            break;
        }
        const auto colon = line->find(':');
        const auto value = line->find_first_not_of(" \t", colon + 1);
        message.headers.emplace_back(line->substr(0, colon), value == std::string::npos ? "" : line->substr(value));
    }
    const auto length = message.get("Content-Length");
    if (has_body && !length.empty() && !readBytes(std::stoull(length), &message.body, onPiece, drops_body)) {
        return std::nullopt;
    }
    has_part_ = false;
    return message;
}

Listener::Listener(const std::string& ip, int port, Serve serve)
    : descriptor_(bindTo(ip, port)), serve_(std::move(serve)) {
    if (descriptor_ < 0 || listen(descriptor_, SOMAXCONN) != 0) {
        std::fprintf(stderr, "a stand-in can't listen at %s:%d\n", ip.c_str(), port);
        finish(kCannotRun);
    }
    std::thread([this] {
        while (true) {
            const int accepted = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            std::thread([this, accepted] {
                Connection connection(accepted);
                connection.setTimeout(kIdleS);
                serve_(connection);
            }).detach();
        }
    }).detach();
}

// Store ----------------------------------------------------------------------

Store::Store(const std::string& ip, int port)
    : listener_(std::make_unique<Listener>(ip, port, [this](Connection& connection) { serve(connection); })) {}

double Store::put(const std::string& kind, const std::string& name, const Json& spec) {
    const std::lock_guard lock(mutex_);
    write(kind, name, Json{{"Metadata", {{"Name", name}}}, {"Spec", spec}});
    return now();
}

Json Store::write(const std::string& kind, const std::string& name, Json object) {
    object["Metadata"]["Name"] = name;
    object["Metadata"]["Revision"] = ++revision_;
    objects_[kind][name] = object;
    changes_.push_back({revision_, kind, object, false});
    changed_.notify_all();
    return object;
}

void Store::serve(Connection& connection) {
    while (const auto request = connection.read(false)) {
        const auto [status, body] = answer(*request);
        if (!connection.write(reply(status, "Content-Type: application/json\r\n", body.dump()))) {
            return;
        }
    }
}

std::pair<int, Json> Store::answer(const Message& request) {
    const std::string prefix = "/dewcrank/objects/";
    const auto query_at = request.path.find('?');
    const auto path = request.path.substr(0, query_at);
    std::map<std::string, std::string> query;
    std::istringstream items(query_at == std::string::npos ? "" : request.path.substr(query_at + 1));
    for (std::string item; std::getline(items, item, '&');) {
        const auto equals = item.find('=');
        query[item.substr(0, equals)] = equals == std::string::npos ? "" : item.substr(equals + 1);
    }
    const auto rest = path.substr(std::min(path.size(), prefix.size()));
    const auto slash = rest.find('/');
    const auto kind = rest.substr(0, slash);
    const auto name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    std::unique_lock lock(mutex_);
    if (request.method == "GET" && query.contains("Watch")) {
        const auto after = std::stoull(query["Watch"]);
        Json events = Json::array();
        const auto collect = [&] {
            for (const auto& change : changes_) {
                if (change.revision > after && change.kind == kind) {
                    events.push_back({{"Gone", change.is_gone}, {"Object", change.object}});
                }
            }
            return !events.empty();
        };
        changed_.wait_for(lock, std::chrono::milliseconds(std::stoull(query["WaitMs"])), collect);
        return {200, {{"events", events}, {"At", revision_}}};
    }
    auto& objects = objects_[kind];
    if (request.method == "GET" && name.empty()) {
        Json list = Json::array();
        for (const auto& [key, object] : objects) {
            list.push_back(object);
        }
        return {200, {{"items", list}, {"More", false}, {"At", revision_}}};
    }
    const auto body = Json::parse(request.body, nullptr, false);
    const auto key = request.method == "POST" ? body["Metadata"].value("Name", "") : name;
    const auto found = objects.find(key);
    if (request.method == "POST") {
        return found != objects.end() ? std::pair{kConflict, found->second} : std::pair{200, write(kind, key, body)};
    }
    if (found == objects.end()) {
        return {404, Json::object()};
    }
    if (request.method == "GET") {
        return {200, found->second};
    }
    const auto& current = found->second["Metadata"]["Revision"];
    const auto wanted = body.is_object() ? body["Metadata"].value("Revision", Json()) : Json();
    if (!wanted.is_null() && wanted != current) {
        return {kConflict, found->second};
    }
    if (request.method == "DELETE") {
        changes_.push_back({++revision_, kind, found->second, true});
        objects.erase(found);
        changed_.notify_all();
        return {200, Json::object()};
    }
    return {200, write(kind, key, body)};
}

// Machines -------------------------------------------------------------------

int freePort() {
    const int descriptor = bindTo("127.0.0.1", 0);
    const int port = portOf(descriptor);
    close(descriptor);
    return port;
}

std::vector<Machine> makeMachines(const std::vector<std::string>& services) {
    std::random_device random;
    const std::string network =
        "127." + std::to_string(64 + random() % 128) + "." + std::to_string(1 + random() % 250) + ".";
    std::vector<Machine> machines;
    std::vector<int> held;
    const auto reserve = [&held](const std::string& ip, int port) {
        const int descriptor = bindTo(ip, port);
        held.push_back(descriptor);
        return descriptor < 0 ? 0 : portOf(descriptor);
    };
    for (const auto& service : services) {
        Machine machine;
        machine.name = "sidecar-z1-" + std::to_string(machines.size() + 1);
        machine.zone = "z1";
        machine.service = service;
        machine.ip = network + std::to_string(10 + machines.size());
        machine.callers = reserve(machine.ip, 0);
        machine.nodes = reserve(machine.ip, 0);
        machine.heartbeats = reserve(machine.ip, 0);
        machine.readiness = reserve(machine.ip, 0);
        machine.instance = reserve(machine.ip, 0);
        if (reserve(machine.ip, kMetricsPort) == 0 || machine.callers == 0) {
            std::fprintf(stderr, "no free ports at %s\n", machine.ip.c_str());
            finish(kCannotRun);
        }
        machines.push_back(machine);
    }
    for (const int descriptor : held) {
        close(descriptor);
    }
    return machines;
}

// Instances ------------------------------------------------------------------

Instance::Instance(Machine machine, Options options, Record& record)
    : machine_(std::move(machine)), options_(options), record_(record), id_("i-" + machine_.name) {
    listener_ = std::make_unique<Listener>(machine_.ip, machine_.instance,
                                           [this](Connection& connection) { serve(connection); });
    std::thread([this] { beat(); }).detach();
}

std::vector<Run> Instance::runs() {
    const std::lock_guard lock(mutex_);
    return runs_;
}

void Instance::serve(Connection& connection) {
    while (true) {
        std::size_t bytes = 0;
        double started = 0;
        const auto slowly = [&](std::size_t count) {
            const double rate = options_.read_bytes_per_s;
            started = bytes == 0 ? now() : started;
            bytes += count;
            if (rate > 0) {
                sleepFor(started + static_cast<double>(bytes) / rate - now());
            }
        };
        const auto request = connection.read(false, true, slowly, true);
        if (!request) {
            return;
        }
        if (request->path == "/health") {
            if (!connection.write(reply(is_leaving_ ? 503 : 200, "Dewcrank-Instance-Id: " + id_ + "\r\n", ""))) {
                return;
            }
            continue;
        }
        const auto id = request->get("Dewcrank-Request-Id");
        if (request->get("Dewcrank-Expect-Instance") != id_) {
            if (!connection.write(reply(421, "Dewcrank-Instance-Id: " + id_ + "\r\n", ""))) {
                return;
            }
            continue;
        }
        {
            const std::lock_guard lock(mutex_);
            runs_.push_back({now(), id, request->path, bytes});
        }
        record_.line("run " + id + " at " + machine_.name + " (" + machine_.service + ") " + request->method + " " +
                     request->path + ", body " + std::to_string(bytes) + " bytes");
        sleepFor(options_.work_s);
        const auto headers = "Dewcrank-Request-Id: " + id + "\r\nDewcrank-Server-Stamp: stamp-" + id_ + "\r\n";
        if (!connection.write(reply(200, headers, "done " + id))) {
            return;
        }
    }
}

std::string Instance::nextHeartbeat() {
    const std::lock_guard lock(mutex_);
    const Json beat = {
        {"Address", machine_.ip + ":" + std::to_string(machine_.instance)},
        {"Info",
         {{"Service", machine_.service}, {"Version", "v1"}, {"Zone", machine_.zone}, {"Slots", options_.slots}}},
        {"Status", {{"State", "ready"}, {"CallSeq", ++sequence_}, {"ColdLeftMs", 0}}}};
    return beat.dump();
}

int Instance::sendHeartbeat(const std::string& body) {
    return post("/dewcrank/Instances.Heartbeat/" + id_, body);
}

int Instance::leave() {
    is_leaving_ = true;
    return post("/dewcrank/Instances.Leave/" + id_, "{}");
}

/// An acknowledgement counts if it comes within a second.
int Instance::post(const std::string& path, const std::string& body) {
    const auto connection = Connection::open(machine_.ip, machine_.heartbeats, 1);
    if (connection == nullptr) {
        return 0;
    }
    connection->write("POST " + path + " HTTP/1.1\r\nHost: " + machine_.ip +
                      "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
                      "\r\n\r\n" + body);
    const auto response = connection->read(true);
    return response ? response->status : 0;
}

void Instance::beat() {
    while (beats_) {
        sendHeartbeat(nextHeartbeat());
        sleepFor(kHeartbeatMs / 1000.0);
    }
}

// Nodes ----------------------------------------------------------------------

Node::Node(Machine machine, const std::string& store, std::string folder)
    : machine_(std::move(machine)),
      settings_(folder + "/" + machine_.name + ".toml"),
      log_(folder + "/" + machine_.name + ".log") {
    const auto at = [this](int port) { return machine_.ip + ":" + std::to_string(port); };
    auto text = readFile("deploy/node.toml");
    // Deployments of this size don't set RevokeStrict.
    const std::string begin = "{{#Bounds.RevokeStrict}}";
    const std::string end = "{{/Bounds.RevokeStrict}}";
    if (const auto from = text.find(begin); from != std::string::npos) {
        text.erase(from, text.find(end) + end.size() - from);
    }
    const std::map<std::string, std::string> gaps = {{"NodeName", machine_.name},
                                                     {"Zone", machine_.zone},
                                                     {"Service", machine_.service},
                                                     {"Listen.Outbound", at(machine_.callers)},
                                                     {"Listen.Inbound", at(machine_.nodes)},
                                                     {"Listen.Control", at(machine_.heartbeats)},
                                                     {"Listen.Ready", at(machine_.readiness)},
                                                     {"Ip", machine_.ip},
                                                     {"AppAddr", at(machine_.instance)},
                                                     {"HeartbeatMs", std::to_string(kHeartbeatMs)},
                                                     {"Platform.Address", store},
                                                     {"SeedNodes", ""},
                                                     {"Bounds.RetryBudgetRatio", "0.2"},
                                                     {"Bounds.BudgetSlack", "55"},
                                                     {"Bounds.BudgetWindowS", "10"},
                                                     {"Bounds.GracePeriodS", "6"},
                                                     {"FaultTolerance.Zones", "0"}};
    for (const auto& [name, value] : gaps) {
        replaceAll(&text, "{{" + name + "}}", value);
    }
    std::ofstream(settings_) << text;
}

Node::~Node() {
    kill();
}

void Node::start() {
    const auto parent = getpid();
    const auto process = fork();
    if (process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(kCannotRun);
        }
        const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execl("target/bin/dewcrank-sidecar", "target/bin/dewcrank-sidecar", "--settings", settings_.c_str(), nullptr);
        _exit(kCannotRun);
    }
    process_ = process;
    const std::lock_guard lock(processMutex());
    processes().insert(process);
}

void Node::kill() {
    if (process_ <= 0) {
        return;
    }
    ::kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
    const std::lock_guard lock(processMutex());
    processes().erase(std::exchange(process_, 0));
}

bool Node::hasEnded() {
    if (process_ <= 0 || waitpid(process_, nullptr, WNOHANG) != process_) {
        return process_ <= 0;
    }
    const std::lock_guard lock(processMutex());
    processes().erase(std::exchange(process_, 0));
    return true;
}

bool Node::isReady() const {
    const auto connection = Connection::open(machine_.ip, machine_.readiness, 1);
    if (connection == nullptr || !connection->write("GET /dewcrank/readiness HTTP/1.1\r\nHost: node\r\n\r\n")) {
        return false;
    }
    const auto response = connection->read(true);
    return response && response->status == 200;
}

std::size_t Node::memory() const {
    std::ifstream status("/proc/" + std::to_string(process_) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("RssAnon:")) {
            return std::strtoull(line.c_str() + std::string("RssAnon:").size(), nullptr, 10) * 1024;
        }
    }
    return 0;
}

bool awaitReady(const std::vector<std::unique_ptr<Node>>& nodes, double limit_s) {
    const double end = now() + limit_s;
    while (now() < end) {
        if (std::all_of(nodes.begin(), nodes.end(), [](const auto& node) { return node->isReady(); })) {
            return true;
        }
        sleepFor(0.1);
    }
    return false;
}

// Clients --------------------------------------------------------------------

Answer call(const Machine& entry, Connection* connection, const std::string& method, const std::string& host,
            const std::string& path, const std::string& id, const std::string& body, int deadline_ms) {
    Answer answer;
    std::unique_ptr<Connection> own;
    if (connection == nullptr) {
        own = Connection::open(entry.ip, entry.callers, 1);
        connection = own.get();
    }
    answer.sent = now();
    answer.ended = answer.sent;
    if (connection == nullptr) {
        return answer;
    }
    connection->setTimeout(deadline_ms / 1000.0 + 1);
    auto head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nDewcrank-Request-Id: " + id +
                "\r\nDewcrank-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
    if (method != "GET") {
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    connection->write(head + "\r\n");
    connection->write(body);
    const auto response = connection->read(true, method != "HEAD");
    answer.ended = now();
    if (response) {
        answer.status = response->status;
        answer.has_stamp = !response->get("Dewcrank-Server-Stamp").empty();
        answer.is_connection_kept = !sameName(response->get("Connection"), "close");
        answer.body = response->body;
    }
    return answer;
}

Json makeRoute(const std::string& prefix, const std::string& kind, const std::string& service, int timeout_ms) {
    return {{"Host", "shop.example"},  {"PathPrefix", prefix}, {"Kind", kind},  {"TimeoutMs", timeout_ms},
            {"TargetLatencyMs", 1500}, {"Service", service},   {"Priority", 0}, {"MaxAttempts", 2}};
}

Json makeConfig(const std::vector<std::string>& services, std::uint64_t max_body_bytes) {
    Json config = {{"Version", "00000007"},
                   {"Routes", Json::object()},
                   {"Services", Json::object()},
                   {"Limits",
                    {{"MaxHeaderBytes", 16384},
                     {"MaxBodyBytes", max_body_bytes},
                     {"HeaderTimeoutMs", 3000},
                     {"IdleTimeoutMs", 15000}}}};
    for (const auto& service : services) {
        config["Services"][service] = {{"HealthPath", "/health"}, {"MaxConnections", 952}};
    }
    return config;
}

bool hasTrouble() {
    const auto* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void finish(int code) {
    {
        const std::lock_guard lock(processMutex());
        for (const auto process : processes()) {
            ::kill(process, SIGKILL);
            waitpid(process, nullptr, 0);
        }
    }
    std::fflush(nullptr);
    _exit(code);
}

}  // namespace lab
