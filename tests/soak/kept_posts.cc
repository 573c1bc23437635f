#include "tests/soak/kept_posts.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>

#include "platform/header_names.h"

namespace dewcrank::soak {

namespace {

constexpr const char* kHost = "fleet.example";
constexpr Duration kTick = 5ms;
constexpr Duration kReopenDelay = 50ms;
/// Connections of all nodes together, and at least at each node: enough to fill the slots of a small fleet.
constexpr std::size_t kConnections = 54;
constexpr std::size_t kMinConnectionsPerNode = 2;
/// Time between a response and the next request.
constexpr std::uint64_t kMaxPauseMs = 150;
/// Work in milliseconds: 180 on average, with a tail that takes up to just under the timeout of the route.
constexpr std::uint64_t kMinWorkMs = 60;
constexpr std::uint64_t kWorkSpreadMs = 240;
constexpr double kTailShare = 0.03;
constexpr std::uint64_t kMinTailMs = 900;
constexpr std::uint64_t kTailSpreadMs = 500;
/// Shares of requests by route, of chains with a third service, and of deadlines other than the usual one.
constexpr double kChainShare = 0.4;
constexpr double kThirdServiceShare = 0.6;
constexpr double kOtherDeadlineShare = 0.3;
constexpr std::int64_t kDeadlineMs = 2000;
constexpr std::uint64_t kMinOtherDeadlineMs = 700;
constexpr std::uint64_t kOtherDeadlineSpreadMs = 1200;
/// Sizes of request bodies: most are small, some fill several packets.
constexpr std::uint64_t kMaxSmallBody = 2048;
constexpr std::uint64_t kMaxBody = 7168;
constexpr double kLargeBodyShare = 0.3;
constexpr double kTwoSegmentsShare = 0.3;
constexpr double kChunkedShare = 0.3;
constexpr std::uint64_t kMaxSegmentDelayMs = 30;
constexpr std::size_t kChunks = 3;
/// Slow callers read this many bytes in each tick: a response in about 200 ms.
constexpr double kSlowShare = 0.1;
constexpr std::size_t kSlowBytes = 16;

std::string chunkOf(const std::string& bytes) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

}  // namespace

KeptPost::KeptPost(adapters::EventLoop& loop, Fleet& fleet, adapters::SeededRandom& random, std::string name,
                   std::size_t node)
    : loop_(loop),
      fleet_(fleet),
      random_(random),
      name_(std::move(name)),
      node_(node),
      names_(platform::headerNames()),
      parser_(adapters::HttpMessageParser::Kind::kResponse, adapters::HttpLimits{}) {}

KeptPost::~KeptPost() {
    if (descriptor_ >= 0) {
        ::close(descriptor_);
    }
}

void KeptPost::advance(bool may_send) {
    if (descriptor_ >= 0) {
        read();
    }
    const bool is_due = may_send && request_ == nullptr && loop_.now() >= next_send_;
    if (descriptor_ < 0 && is_due && fleet_.isInRotation(node_)) {
        open();
    }
    if (descriptor_ >= 0 && is_due) {
        sendRequest();
    }
    if (descriptor_ >= 0) {
        sendSegments();
    }
}

void KeptPost::open() {
    descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
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

std::string KeptPost::drawPath() {
    const auto draw_work = [this] {
        const bool is_tail = random_.unit() < kTailShare;
        const auto work =
            is_tail ? kMinTailMs + random_.below(kTailSpreadMs) : kMinWorkMs + random_.below(kWorkSpreadMs);
        return std::string(standins::kTimedWorkMarker) + std::to_string(work);
    };
    if (random_.unit() >= kChainShare) {
        return kTimedRoute + draw_work();
    }
    const auto path = kTimedChainRoute + draw_work() + "/" + draw_work();
    return random_.unit() < kThirdServiceShare ? path + "/" + draw_work() : path;
}

void KeptPost::sendRequest() {
    CallerRequest request;
    request.id = name_ + "-" + std::to_string(++last_number_);
    request.path = drawPath();
    request.route = request.path.substr(0, request.path.find('/', 1) + 1);
    request.is_idempotent = false;
    request.entry = node_;
    request.sent = loop_.now();
    const bool has_other_deadline = random_.unit() < kOtherDeadlineShare;
    request.deadline = std::chrono::milliseconds(
        has_other_deadline ? static_cast<std::int64_t>(kMinOtherDeadlineMs + random_.below(kOtherDeadlineSpreadMs))
                           : kDeadlineMs);
    reads_slowly_ = random_.unit() < kSlowShare;
    request_ = &fleet_.observations().addRequest(std::move(request));
    planSegments(*request_);
}

void KeptPost::planSegments(const CallerRequest& request) {
    const auto max_body = random_.unit() < kLargeBodyShare ? kMaxBody : kMaxSmallBody;
    const std::string body(random_.below(max_body), 'b');
    Headers headers;
    headers.set("Host", kHost);
    headers.set(names_.request_id, request.id);
    headers.set(names_.deadline_ms, std::to_string(toMilliseconds(request.deadline)));
    const auto delay = [this] {
        return std::chrono::milliseconds(static_cast<std::int64_t>(random_.below(kMaxSegmentDelayMs)));
    };
    const auto line = "POST " + request.path + " HTTP/1.1";
    auto due = loop_.now();
    if (random_.unit() < kChunkedShare) {
        auto head = adapters::writeHead(line, headers, {});
        head.insert(head.size() - 2, "Transfer-Encoding: chunked\r\n");
        segments_.push_back({due, head});
        const auto step = body.size() / kChunks + 1;
        for (std::size_t from = 0; from < body.size(); from += step) {
            due += delay();
            segments_.push_back({due, chunkOf(body.substr(from, step))});
        }
        segments_.push_back({due, chunkOf("")});
        return;
    }
    const auto message = adapters::writeHead(line, headers, {static_cast<long long>(body.size()), false, {}}) + body;
    const auto split = random_.unit() < kTwoSegmentsShare ? 1 + random_.below(message.size() - 1) : message.size();
    segments_.push_back({due, message.substr(0, split)});
    if (split < message.size()) {
        segments_.push_back({due + delay(), message.substr(split)});
    }
}

void KeptPost::sendSegments() {
    while (!segments_.empty() && segments_.front().due <= loop_.now()) {
        const auto bytes = std::move(segments_.front().bytes);
        segments_.pop_front();
        const auto sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent != static_cast<ssize_t>(bytes.size())) {
            request_->was_sent = false;
            close();
            return;
        }
    }
}

void KeptPost::read() {
    std::array<char, 16384> buffer;
    const auto limit = reads_slowly_ ? kSlowBytes : buffer.size();
    const auto count = recv(descriptor_, buffer.data(), limit, 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    std::size_t consumed = 0;
    const auto state = count > 0 && request_ != nullptr
                           ? parser_.feed(buffer.data(), static_cast<std::size_t>(count), &consumed)
                           : adapters::HttpMessageParser::State::kMalformed;
    if (state == adapters::HttpMessageParser::State::kComplete) {
        onResponse(!parser_.shouldKeepAlive() || consumed != static_cast<std::size_t>(count));
    } else if (state != adapters::HttpMessageParser::State::kIncomplete) {
        close();
    }
}

void KeptPost::onResponse(bool closes) {
    const auto response = parser_.takeResponse();
    parser_.reset();
    request_->ended = loop_.now();
    fleet_.observations().recordResponse(response, request_);
    request_->is_complete = response.headers.has(names_.server_stamp) && response.body.starts_with(request_->id + " ");
    fleet_.observations().onPassedResponse(node_, response);
    request_ = nullptr;
    next_send_ = loop_.now() + std::chrono::milliseconds(static_cast<std::int64_t>(random_.below(kMaxPauseMs)));
    // The node has answered before it read the whole request.
    if (closes || !segments_.empty()) {
        close();
    }
}

void KeptPost::close() {
    ::close(descriptor_);
    descriptor_ = -1;
    segments_.clear();
    next_send_ = std::max(next_send_, loop_.now() + kReopenDelay);
    if (request_ != nullptr) {
        request_->ended = loop_.now();
        request_ = nullptr;
    }
}

void KeptPosts::start() {
    const auto per_node = std::max(kMinConnectionsPerNode, kConnections / fleet_.size());
    for (std::size_t node = 0; node < fleet_.size(); ++node) {
        for (std::size_t count = 0; count < per_node; ++count) {
            const auto name = "k" + std::to_string(callers_.size());
            callers_.push_back(std::make_unique<KeptPost>(loop_, fleet_, random_, name, node));
        }
    }
    tick();
}

void KeptPosts::tick() {
    timer_ = loop_.startTimer(kTick, [this] { tick(); });
    for (const auto& caller : callers_) {
        caller->advance(!is_stopped_);
    }
}

}  // namespace dewcrank::soak
