#include "tests/soak/open_connections.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

#include "platform/header_names.h"
#include "src/base/http_status.h"

namespace dewcrank::soak {

namespace {

constexpr const char* kHost = "fleet.example";
constexpr const char* kRoute = "/work/";
constexpr Duration kTick = 10ms;
constexpr Duration kReopenDelay = 100ms;
constexpr Duration kMinSendInterval = 100ms;
constexpr Duration kMaxSendInterval = 300ms;
constexpr Duration kDeadline = 2s;
/// Pace at which a large response is read: two seconds for its whole.
constexpr double kBytesPerSecond = static_cast<double>(standins::kLargeBodyBytes) / 2;
constexpr int kReceiveBuffer = 64 * 1024;

}  // namespace

OpenConnection::OpenConnection(adapters::EventLoop& loop, Fleet& fleet, adapters::SeededRandom& random,
                               std::string name, std::size_t node, ConnectionUse use)
    : loop_(loop),
      fleet_(fleet),
      random_(random),
      name_(std::move(name)),
      node_(node),
      use_(use),
      names_(platform::headerNames()),
      parser_(adapters::HttpMessageParser::Kind::kResponse, adapters::HttpLimits{}) {
    tick();
}

OpenConnection::~OpenConnection() {
    if (descriptor_ >= 0) {
        ::close(descriptor_);
    }
}

void OpenConnection::tick() {
    timer_ = loop_.startTimer(kTick, [this] { tick(); });
    if (descriptor_ < 0 && !is_stopped_ && loop_.now() >= next_send_ && fleet_.isInRotation(node_)) {
        open();
    }
    const bool may_overlap = use_ == ConnectionUse::kOverlapping || waiting_.empty();
    if (descriptor_ >= 0 && !is_stopped_ && may_overlap && loop_.now() >= next_send_) {
        send();
    }
    if (descriptor_ >= 0) {
        read();
    }
}

void OpenConnection::open() {
    descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (use_ == ConnectionUse::kSlowReading) {
        setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer, sizeof kReceiveBuffer);
    }
    const auto& callers = fleet_.node(node_).callers;
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(callers.port);
    inet_pton(AF_INET, callers.ip.c_str(), &target.sin_addr);
    if (::connect(descriptor_, reinterpret_cast<sockaddr*>(&target), sizeof target) != 0) {
        close();
        return;
    }
    fcntl(descriptor_, F_SETFL, O_NONBLOCK);
    parser_.reset();
}

void OpenConnection::send() {
    const auto range = static_cast<std::uint64_t>((kMaxSendInterval - kMinSendInterval).count());
    next_send_ = loop_.now() + kMinSendInterval + Duration(static_cast<std::int64_t>(random_.below(range)));
    const bool is_large = use_ == ConnectionUse::kSlowReading;
    CallerRequest request;
    request.id = name_ + "-" + std::to_string(++last_number_);
    request.route = kRoute;
    request.path = std::string(kRoute) + std::string(is_large ? standins::kLargeBodyMarker : standins::kLongWorkMarker);
    request.entry = node_;
    request.sent = loop_.now();
    request.deadline = kDeadline + (is_large ? kDeadline : Duration::zero());
    request.key = fleet_.currentKey();
    request.is_behind_another = !waiting_.empty();
    HttpRequest message;
    message.headers.set("Host", kHost);
    message.headers.set(names_.request_id, request.id);
    message.headers.set(names_.deadline_ms, std::to_string(toMilliseconds(kDeadline)));
    if (!request.key.empty()) {
        message.headers.set("Authorization", names_.auth_scheme + " " + request.key);
    }
    const auto bytes = adapters::writeHead("GET " + request.path + " HTTP/1.1", message.headers, {});
    const auto sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    request.was_sent = sent == static_cast<ssize_t>(bytes.size());
    waiting_.push_back(&fleet_.observations().addRequest(std::move(request)));
    reading_since_ = loop_.now();
    bytes_read_ = 0;
}

bool OpenConnection::mayRead() const {
    const double allowed = toSeconds(loop_.now() - reading_since_) * kBytesPerSecond;
    return use_ == ConnectionUse::kOverlapping || static_cast<double>(bytes_read_) < allowed;
}

void OpenConnection::read() {
    std::array<char, 16384> buffer;
    while (descriptor_ >= 0 && mayRead()) {
        const auto count = recv(descriptor_, buffer.data(), buffer.size(), 0);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (count <= 0) {
            close();
            return;
        }
        bytes_read_ += static_cast<std::size_t>(count);
        parse({buffer.data(), static_cast<std::size_t>(count)});
    }
}

void OpenConnection::parse(std::string_view bytes) {
    std::size_t consumed = 0;
    while (descriptor_ >= 0 && consumed < bytes.size()) {
        std::size_t count = 0;
        const auto state = parser_.feed(bytes.data() + consumed, bytes.size() - consumed, &count);
        consumed += count;
        if (state == adapters::HttpMessageParser::State::kIncomplete) {
            return;
        }
        const bool is_expected = state == adapters::HttpMessageParser::State::kComplete && !waiting_.empty();
        if (!is_expected) {
            close();
            return;
        }
        const bool closes = !parser_.shouldKeepAlive();
        const auto response = parser_.takeResponse();
        parser_.reset();
        onResponse(response, closes);
    }
}

/// What was sent behind a response that closes the connection counts as not read.
void OpenConnection::onResponse(const HttpResponse& response, bool closes) {
    auto* request = waiting_.front();
    waiting_.pop_front();
    request->ended = loop_.now();
    fleet_.observations().recordResponse(response, request);
    const bool is_large = use_ == ConnectionUse::kSlowReading;
    request->is_complete = response.headers.has(names_.server_stamp) && response.body.starts_with(request->id + " ") &&
                           (!is_large || response.body.size() >= standins::kLargeBodyBytes);
    fleet_.observations().onPassedResponse(node_, response);
    if (closes) {
        for (auto* behind : waiting_) {
            behind->was_sent = false;
        }
        close();
    }
}

void OpenConnection::close() {
    ::close(descriptor_);
    descriptor_ = -1;
    next_send_ = loop_.now() + kReopenDelay;
    for (auto* request : waiting_) {
        request->ended = loop_.now();
    }
    waiting_.clear();
}

void OpenConnections::start() {
    for (std::size_t node = 0; node < fleet_.size(); ++node) {
        for (const auto use : {ConnectionUse::kOverlapping, ConnectionUse::kSlowReading}) {
            const auto name = "o" + std::to_string(connections_.size());
            connections_.push_back(std::make_unique<OpenConnection>(loop_, fleet_, random_, name, node, use));
        }
    }
}

void OpenConnections::stop() {
    for (const auto& connection : connections_) {
        connection->stop();
    }
}

}  // namespace dewcrank::soak
