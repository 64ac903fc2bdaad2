// Host and port pairs, as the settings file writes them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace samphirebridge::settings
{

// A host name or IP address, and a port. An IPv6 host stands in brackets in the file and is stored
// without them here.
struct Address {
    std::string host;
    uint16_t port = 0;

    friend bool operator==(const Address &, const Address &) = default;
};

// Parses "host:port" with a port from 1 to 65535. Returns nothing if the text is not of that form.
std::optional<Address> parseAddress(std::string_view text);

// Returns "host:port", with an IPv6 host in brackets.
std::string formatAddress(const Address &address);

} // namespace samphirebridge::settings
