#include "samphirebridge/settings/address.h"

#include <absl/strings/ascii.h>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace samphirebridge::settings
{

namespace
{

constexpr size_t MaximumHostBytes = 253; // The longest DNS name in text form.

bool isHostCharacter(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return absl::ascii_isalnum(byte) || byte == '-' || byte == '.' || byte == '_';
}

bool isIpv6Character(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return absl::ascii_isxdigit(byte) || byte == ':' || byte == '.';
}

bool isHost(std::string_view host, bool bracketed)
{
    if (host.empty() || host.size() > MaximumHostBytes) {
        return false;
    }
    return std::all_of(host.begin(), host.end(), bracketed ? isIpv6Character : isHostCharacter);
}

std::optional<uint16_t> parsePort(std::string_view text)
{
    uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, port);
    if (error != std::errc() || rest != end || port == 0 || text.front() == '0') {
        return std::nullopt;
    }
    return port;
}

} // namespace

std::optional<Address> parseAddress(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    const std::optional<uint16_t> port = parsePort(text.substr(colon + 1));
    if (!port || !isHost(host, bracketed)) {
        return std::nullopt;
    }
    return Address{.host = std::string(host), .port = *port};
}

std::string formatAddress(const Address &address)
{
    if (address.host.find(':') != std::string::npos) {
        return fmt::format("[{}]:{}", address.host, address.port);
    }
    return fmt::format("{}:{}", address.host, address.port);
}

} // namespace samphirebridge::settings
