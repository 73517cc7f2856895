/// @file A request that another host has relayed, as its caller sent it.
#pragma once

#include "http/exchange.h"

#include <memory>
#include <string_view>

namespace snipeshore::apps {

/// Path prefix of relayed requests on the control address.
inline constexpr std::string_view relay_prefix = "/fleet/relay";

/// Header of a relayed request: version of the configuration at the host that relays it.
inline constexpr std::string_view relay_config_header = "snipeshore-relay-config";

/// Header of the response to a relayed request that this host did not take.
inline constexpr std::string_view relay_refused_header = "snipeshore-relay-refused";

/// Only this host itself refuses to relay: `relay_refused_header` in a target's response is
/// dropped, as the other host would send the request once more.
class relayed_exchange final : public http::exchange {
public:
    explicit relayed_exchange(std::shared_ptr<http::exchange> inner);

    const http::request_head& head() const override;
    std::string_view body() const override;
    const std::string& peer_address() const override;
    base::time_point received_at() const override;
    bool is_caller_connected() const override;
    void respond(http::response_head head, std::string body) override;
    void start_response(http::response_head head) override;
    void write(std::string chunk) override;
    void finish() override;
    void abort() override;
    void on_writable(std::function<void()> callback) override;
    void on_closed(std::function<void()> callback) override;

private:
    std::shared_ptr<http::exchange> m_inner;
    http::request_head m_head; ///< Without `relay_prefix` and `relay_config_header`.
};

} // namespace snipeshore::apps
