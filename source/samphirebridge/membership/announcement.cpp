#include "samphirebridge/membership/announcement.h"

#include "samphirebridge/core/errors.h"
#include "samphirebridge/core/ids.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <cmath>
#include <string_view>

namespace samphirebridge::membership
{

namespace
{

// Upper bounds of a plausible load; larger figures are treated as a fault of the target.
constexpr uint32_t MaximumRequests = 1'000'000;
constexpr double MaximumTokensPerSecond = 1e9;

absl::Status invalidAnnouncement(std::string_view message)
{
    return core::makeError(core::ErrorCode::InvalidAnnouncement, message);
}

absl::Status checkField(std::string_view field, std::string_view name)
{
    const absl::Status status = core::checkName(name);
    if (status.ok()) {
        return absl::OkStatus();
    }
    return invalidAnnouncement(fmt::format("{}: {}", field, core::messageOf(status)));
}

bool isPort(std::string_view text)
{
    uint32_t port = 0;
    const bool allDigits = text.find_first_not_of("0123456789") == std::string_view::npos;
    return allDigits && absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &port)
           && port > 0 && port < 65536;
}

bool isHost(std::string_view host)
{
    constexpr std::string_view Accepted = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                          "0123456789.-_";
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        const std::string_view ipv6 = host.substr(1, host.size() - 2);
        return ipv6.find_first_not_of("0123456789abcdefABCDEF:.") == std::string_view::npos;
    }
    return !host.empty() && host.find_first_not_of(Accepted) == std::string_view::npos;
}

absl::Status checkAddress(std::string_view address)
{
    const size_t colon = address.rfind(':');
    const bool isSplittable = address.size() <= MaximumAddressLength && colon != address.npos;
    if (isSplittable && isHost(address.substr(0, colon)) && isPort(address.substr(colon + 1))) {
        return absl::OkStatus();
    }
    return invalidAnnouncement(
        fmt::format("address: found '{}'; accepted is host:port of at most {} bytes",
                    address.substr(0, MaximumAddressLength),
                    MaximumAddressLength));
}

absl::Status checkModels(const proto::TargetRecord &record)
{
    if (record.models_size() > MaximumModels) {
        return invalidAnnouncement(fmt::format(
            "models: found {}; accepted are at most {}", record.models_size(), MaximumModels));
    }
    for (const std::string &model : record.models()) {
        if (absl::Status status = checkField("models", model); !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

absl::Status checkLoad(const proto::TargetLoad &load)
{
    const uint32_t largest = std::max({load.running(), load.queued(), load.capacity()});
    if (largest > MaximumRequests) {
        return invalidAnnouncement(fmt::format(
            "load: found {} requests; accepted are at most {}", largest, MaximumRequests));
    }
    const double rate = load.tokens_per_s();
    if (!std::isfinite(rate) || rate < 0 || rate > MaximumTokensPerSecond) {
        return invalidAnnouncement(fmt::format(
            "load.tokens_per_s: found {}; accepted are 0 to {}", rate, MaximumTokensPerSecond));
    }
    return absl::OkStatus();
}

absl::Status checkNames(const proto::TargetRecord &record)
{
    if (absl::Status status = checkField("id", record.id()); !status.ok()) {
        return status;
    }
    if (absl::Status status = checkField("kind", record.kind()); !status.ok()) {
        return status;
    }
    if (record.data_centre().empty()) {
        return absl::OkStatus();
    }
    return checkField("data_centre", record.data_centre());
}

} // namespace

absl::Status checkRelayedTarget(const proto::TargetRecord &record)
{
    if (absl::Status status = checkNames(record); !status.ok()) {
        return status;
    }
    if (record.incarnation() == 0) {
        return invalidAnnouncement("incarnation: found 0; accepted are numbers from 1");
    }
    if (absl::Status status = checkAddress(record.address()); !status.ok()) {
        return status;
    }
    if (record.state() < proto::READY || record.state() > proto::GONE) {
        return invalidAnnouncement("state: found none; accepted are 'ready' and 'leaving'");
    }
    if (absl::Status status = checkModels(record); !status.ok()) {
        return status;
    }
    return checkLoad(record.load());
}

absl::Status checkTarget(const proto::TargetRecord &record)
{
    if (record.state() == proto::GONE) {
        return invalidAnnouncement("state: found 'gone'; accepted are 'ready' and 'leaving'");
    }
    return checkRelayedTarget(record);
}

} // namespace samphirebridge::membership
