#include "tests/soak/fault_proxy.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <deque>
#include <utility>

namespace dewcrank::soak {

namespace {

constexpr int kBacklog = 128;
/// Bytes read from a side while its direction is blocked, before TCP flow control stops the sender.
constexpr std::size_t kMaxReadAhead = std::size_t{64} * 1024;

sockaddr_in toSockaddr(const adapters::SocketAddress& address) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/// Makes a later close of the socket send a TCP RST.
void resetOnClose(bufferevent* stream) {
    const linger reset{1, 0};
    const auto descriptor = bufferevent_getfd(stream);
    if (descriptor >= 0) {
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
}

}  // namespace

/// One connection through the proxy: the accepted one and the one to the target.
class FaultProxy::Link {
public:
    Link(FaultProxy& proxy, evutil_socket_t accepted) : proxy_(proxy) {
        to_target_.owner = this;
        from_target_.owner = this;
        to_target_.source = bufferevent_socket_new(proxy.loop_.base(), accepted, BEV_OPT_CLOSE_ON_FREE);
        to_target_.destination = bufferevent_socket_new(proxy.loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        from_target_.source = to_target_.destination;
        from_target_.destination = to_target_.source;
        attach(&to_target_);
        attach(&from_target_);
        const auto target = toSockaddr(proxy.target_);
        bufferevent_socket_connect(to_target_.destination, reinterpret_cast<const sockaddr*>(&target), sizeof target);
        applyFaults();
    }
    ~Link() {
        bufferevent_free(to_target_.source);
        bufferevent_free(to_target_.destination);
    }
    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;

    /// Applies the proxy's current faults: forwards what is no longer blocked.
    void applyFaults() {
        forwardOrDelay(&to_target_);
        forwardOrDelay(&from_target_);
    }
    void silence() { is_silent_ = true; }
    void reset() {
        resetOnClose(to_target_.source);
        resetOnClose(to_target_.destination);
        proxy_.release(this);
    }

private:
    /// One direction of the connection.
    struct Direction {
        Link* owner = nullptr;
        bufferevent* source = nullptr;
        bufferevent* destination = nullptr;
        TimerHandle timer;           ///< Set while bytes are delayed.
        bool source_closed = false;  ///< `source` has closed; bytes read from it are still forwarded.
        bool is_reset = false;
    };

    static void attach(Direction* direction) {
        bufferevent_setcb(direction->source, &Link::onRead, nullptr, &Link::onEvent, direction);
        bufferevent_setwatermark(direction->source, EV_READ, 0, kMaxReadAhead);
        bufferevent_enable(direction->source, EV_READ | EV_WRITE);
    }
    [[nodiscard]] bool isBlocked(const Direction& direction) const {
        return &direction == &to_target_ ? proxy_.faults_.blocks_to_target : proxy_.faults_.blocks_from_target;
    }
    static void onRead(bufferevent*, void* direction) {
        auto* read = static_cast<Direction*>(direction);
        read->owner->forwardOrDelay(read);
    }
    static void onEvent(bufferevent*, short what, void* direction) {
        auto* ended = static_cast<Direction*>(direction);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
            return;
        }
        ended->source_closed = true;
        ended->is_reset = (what & BEV_EVENT_ERROR) != 0;
        ended->owner->forwardOrDelay(ended);
    }

    /// Forwards the bytes read so far, at once or after the delay. Does nothing while the direction is blocked.
    void forwardOrDelay(Direction* direction) {
        if (is_silent_) {
            discard(direction);
            return;
        }
        if (isBlocked(*direction) || direction->timer) {
            return;
        }
        if (proxy_.faults_.delay > Duration::zero()) {
            direction->timer = proxy_.loop_.startTimer(proxy_.faults_.delay, [this, direction] {
                direction->timer.reset();
                forward(direction);
            });
            return;
        }
        forward(direction);
    }
    void forward(Direction* direction) {
        if (is_silent_) {
            discard(direction);
            return;
        }
        if (isBlocked(*direction)) {
            return;
        }
        evbuffer_add_buffer(bufferevent_get_output(direction->destination), bufferevent_get_input(direction->source));
        if (direction->source_closed) {
            closeDestination(direction);
        }
    }
    void discard(Direction* direction) {
        auto* input = bufferevent_get_input(direction->source);
        evbuffer_drain(input, evbuffer_get_length(input));
        if (direction->source_closed) {
            proxy_.release(this);
        }
    }
    /// Closes the destination after pending bytes are sent, or resets it at once if the source was reset.
    void closeDestination(Direction* direction) {
        if (direction->is_reset) {
            reset();
            return;
        }
        if (evbuffer_get_length(bufferevent_get_output(direction->destination)) == 0) {
            proxy_.release(this);
            return;
        }
        bufferevent_setcb(
            direction->destination, nullptr,
            [](bufferevent*, void* link) { static_cast<Link*>(link)->proxy_.release(static_cast<Link*>(link)); },
            [](bufferevent*, short, void* link) { static_cast<Link*>(link)->proxy_.release(static_cast<Link*>(link)); },
            this);
    }

    FaultProxy& proxy_;
    bool is_silent_ = false;
    Direction to_target_;
    Direction from_target_;
};

FaultProxy::FaultProxy(adapters::EventLoop& loop, adapters::SocketAddress target)
    : loop_(loop), target_(std::move(target)) {}

FaultProxy::~FaultProxy() {
    if (listener_ != nullptr) {
        evconnlistener_free(listener_);
    }
}

Result<adapters::SocketAddress> FaultProxy::listen(const adapters::SocketAddress& address) {
    auto bound = toSockaddr(address);
    listener_ = evconnlistener_new_bind(
        loop_.base(),
        [](evconnlistener*, evutil_socket_t accepted, sockaddr*, int, void* self) {
            auto* proxy = static_cast<FaultProxy*>(self);
            auto link = std::make_unique<Link>(*proxy, accepted);
            proxy->links_[link.get()] = std::move(link);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, kBacklog, reinterpret_cast<sockaddr*>(&bound), sizeof bound);
    if (listener_ == nullptr) {
        return stepError("proxy.listen", address.text(), std::strerror(errno));
    }
    socklen_t length = sizeof bound;
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&bound), &length);
    return adapters::SocketAddress{address.ip, ntohs(bound.sin_port)};
}

void FaultProxy::setFaults(const LinkFaults& faults) {
    faults_ = faults;
    std::vector<Link*> links;
    for (const auto& [link, owned] : links_) {
        links.push_back(link);
    }
    for (auto* link : links) {
        if (links_.contains(link)) {
            link->applyFaults();
        }
    }
}

void FaultProxy::resetAll() {
    std::vector<Link*> links;
    for (const auto& [link, owned] : links_) {
        links.push_back(link);
    }
    for (auto* link : links) {
        link->reset();
    }
}

void FaultProxy::silenceAll() {
    for (const auto& [link, owned] : links_) {
        link->silence();
    }
}

void FaultProxy::release(Link* link) {
    auto ended = links_.extract(link);
    if (ended.empty()) {
        return;
    }
    closed_links_.push_back(std::move(ended.mapped()));
    if (closed_links_.size() == 1) {
        cleanup_timer_ = loop_.startTimer(Duration::zero(), [this] { closed_links_.clear(); });
    }
}

}  // namespace dewcrank::soak
