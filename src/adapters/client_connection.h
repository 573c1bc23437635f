/// @file
/// One connection of an HTTP client: carries one request at a time.
#pragma once

#include <functional>
#include <string>

#include "src/adapters/http_client.h"
#include "src/adapters/socket_stream.h"

namespace dewcrank::adapters {

/// A stream to one address, with the answer that is being read from it.
class ClientConnection : private SocketStream::Listener {
public:
    /// What the user of a connection is told.
    class Listener {
    public:
        virtual ~Listener() = default;
        virtual void onConnected() = 0;
        virtual void onResponse(HttpAnswer response) = 0;
        /// The connection has ended or is of no more use.
        virtual void onFailed(const std::string& reason) = 0;
    };

    ClientConnection(HttpClient& client, std::string address);
    ~ClientConnection() override;
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    /// @return false if the address is none or no socket is to be had.
    bool connect();
    [[nodiscard]] const std::string& address() const { return address_; }
    [[nodiscard]] bool isConnected() const { return is_connected_; }
    /// Events go to `listener`; to the client's pool while it is null.
    void setListener(Listener* listener) { listener_ = listener; }
    void write(const HttpRequest& request);
    /// True if another request may be sent, now that the answer is here.
    [[nodiscard]] bool isReusable() const;
    void markIdle(TimePoint now) { idle_since_ = now; }
    [[nodiscard]] bool isWithinIdleTime(TimePoint now) const { return now - idle_since_ < max_idle_time_; }

private:
    void onConnected() override;
    std::size_t onBytes(std::string_view bytes) override;
    void onClosed(CloseReason reason) override;
    void completeResponse();
    [[nodiscard]] bool belongsToEarlierRequest(const HttpAnswer& response) const;
    void fail(const std::string& reason);

    HttpClient& client_;
    std::string address_;
    SocketStream stream_;
    HttpMessageParser parser_;
    Listener* listener_ = nullptr;
    bool is_connected_ = false;
    bool has_failed_ = false;
    bool keep_alive_ = false;
    bool has_unexpected_data_ = false;  ///< Answers that belong to no open request have come.
    bool expects_no_body_ = false;
    std::string expected_echo_;
    TimePoint idle_since_{};
    Duration max_idle_time_{};
};

}  // namespace dewcrank::adapters
