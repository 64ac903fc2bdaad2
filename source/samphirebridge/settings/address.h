// Where a process listens or is reached.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace samphirebridge::settings
{

// A host name or IP address (IPv6 in brackets in the file, without them here) and a port.
struct Address {
    std::string host;
    uint16_t port = 0;

    friend bool operator==(const Address &, const Address &) = default;
};

// Reads "host:port" with a port from 1 to 65535; nothing for anything else.
std::optional<Address> parseAddress(std::string_view text);

// Returns "host:port", an IPv6 host in brackets.
std::string formatAddress(const Address &address);

} // namespace samphirebridge::settings
