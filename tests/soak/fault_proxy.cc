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
/// A side that is held reads no more than this ahead.
constexpr std::size_t kReadAhead = std::size_t{64} * 1024;

sockaddr_in toSockaddr(const adapters::SocketAddress& address) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/// Closing with this set sends a reset.
void makeCloseReset(bufferevent* stream) {
    const linger reset{1, 0};
    const auto descriptor = bufferevent_getfd(stream);
    if (descriptor >= 0) {
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
}

}  // namespace

/// One connection through the proxy.
class FaultProxy::Link {
public:
    Link(FaultProxy& proxy, evutil_socket_t accepted) : proxy_(proxy) {
        to_target_.owner = this;
        from_target_.owner = this;
        to_target_.from = bufferevent_socket_new(proxy.loop_.base(), accepted, BEV_OPT_CLOSE_ON_FREE);
        to_target_.to = bufferevent_socket_new(proxy.loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        from_target_.from = to_target_.to;
        from_target_.to = to_target_.from;
        watch(&to_target_);
        watch(&from_target_);
        const auto target = toSockaddr(proxy.target_);
        bufferevent_socket_connect(to_target_.to, reinterpret_cast<const sockaddr*>(&target), sizeof target);
        apply();
    }
    ~Link() {
        bufferevent_free(to_target_.from);
        bufferevent_free(to_target_.to);
    }
    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;

    /// Takes the proxy's faults as they are now.
    void apply() {
        move(&to_target_);
        move(&from_target_);
    }
    void reset() {
        makeCloseReset(to_target_.from);
        makeCloseReset(to_target_.to);
        proxy_.forget(this);
    }

private:
    /// One way of the connection.
    struct Way {
        Link* owner = nullptr;
        bufferevent* from = nullptr;
        bufferevent* to = nullptr;
        TimerHandle timer;       ///< Runs while bytes are delayed.
        bool has_ended = false;  ///< `from` has closed; what it sent is still passed on.
        bool is_reset = false;
    };

    static void watch(Way* way) {
        bufferevent_setcb(way->from, &Link::onRead, nullptr, &Link::onEvent, way);
        bufferevent_setwatermark(way->from, EV_READ, 0, kReadAhead);
        bufferevent_enable(way->from, EV_READ | EV_WRITE);
    }
    [[nodiscard]] bool isHeld(const Way& way) const {
        return &way == &to_target_ ? proxy_.faults_.holds_to_target : proxy_.faults_.holds_from_target;
    }
    static void onRead(bufferevent*, void* way) {
        auto* read = static_cast<Way*>(way);
        read->owner->move(read);
    }
    static void onEvent(bufferevent*, short what, void* way) {
        auto* ended = static_cast<Way*>(way);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
            return;
        }
        ended->has_ended = true;
        ended->is_reset = (what & BEV_EVENT_ERROR) != 0;
        ended->owner->move(ended);
    }

    /// Passes on what has come, now or after the delay; nothing while the way is held.
    void move(Way* way) {
        if (isHeld(*way) || way->timer) {
            return;
        }
        if (proxy_.faults_.delay > Duration::zero()) {
            way->timer = proxy_.loop_.startTimer(proxy_.faults_.delay, [this, way] {
                way->timer.reset();
                pass(way);
            });
            return;
        }
        pass(way);
    }
    void pass(Way* way) {
        if (isHeld(*way)) {
            return;
        }
        evbuffer_add_buffer(bufferevent_get_output(way->to), bufferevent_get_input(way->from));
        if (way->has_ended) {
            finish(way);
        }
    }
    /// One side has closed or was reset: so is the other, after what was sent.
    void finish(Way* way) {
        if (way->is_reset) {
            reset();
            return;
        }
        if (evbuffer_get_length(bufferevent_get_output(way->to)) == 0) {
            proxy_.forget(this);
            return;
        }
        bufferevent_setcb(
            way->to, nullptr,
            [](bufferevent*, void* link) { static_cast<Link*>(link)->proxy_.forget(static_cast<Link*>(link)); },
            [](bufferevent*, short, void* link) { static_cast<Link*>(link)->proxy_.forget(static_cast<Link*>(link)); },
            this);
    }

    FaultProxy& proxy_;
    Way to_target_;
    Way from_target_;
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
            link->apply();
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

void FaultProxy::forget(Link* link) {
    auto ended = links_.extract(link);
    if (ended.empty()) {
        return;
    }
    ended_.push_back(std::move(ended.mapped()));
    if (ended_.size() == 1) {
        ended_timer_ = loop_.startTimer(Duration::zero(), [this] { ended_.clear(); });
    }
}

}  // namespace dewcrank::soak
