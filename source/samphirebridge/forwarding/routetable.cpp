#include "samphirebridge/forwarding/routetable.h"

#include "samphirebridge/core/digest.h"

#include <absl/strings/ascii.h>

#include <utility>

namespace samphirebridge::forwarding
{

namespace
{

std::string normalHost(std::string_view host)
{
    const size_t colon = host.rfind(':');
    const bool hasPort = colon != std::string_view::npos && host.find(']', colon) == host.npos;
    std::string name(host.substr(0, hasPort ? colon : host.size()));
    absl::AsciiStrToLower(&name);
    return name;
}

std::string placeOf(const std::string &host, std::string_view prefix)
{
    std::string place = host;
    place += ' ';
    place += prefix;
    return place;
}

} // namespace

RouteTable::RouteTable(Declaration declaration)
    : content(std::move(declaration))
{
    for (const Route &route : this->content.routes) {
        this->byPlace.emplace(placeOf(normalHost(route.host), route.pathPrefix), &route);
    }
    for (const Organisation &organisation : this->content.organisations) {
        for (const std::string &key : organisation.keys) {
            this->byKey.emplace(key, &organisation);
        }
    }
    for (const Service &service : this->content.services) {
        this->byService.emplace(service.id.value, &service);
    }
}

const Route *RouteTable::route(std::string_view host, std::string_view path) const
{
    const std::string name = normalHost(host);
    std::string_view prefix = path.substr(0, path.find('?'));
    // A prefix ends with a slash, so only the path's beginnings up to a slash can be one.
    while (!prefix.empty()) {
        const size_t slash = prefix.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        const auto found = this->byPlace.find(placeOf(name, prefix.substr(0, slash + 1)));
        if (found != this->byPlace.end()) {
            return found->second;
        }
        prefix = prefix.substr(0, slash);
    }
    return nullptr;
}

const Organisation *RouteTable::organisation(std::string_view key) const
{
    const auto found = this->byKey.find(std::string(key));
    return found == this->byKey.end() ? nullptr : found->second;
}

const Service *RouteTable::service(const core::ServiceId &id) const
{
    const auto found = this->byService.find(id.value);
    return found == this->byService.end() ? nullptr : found->second;
}

core::ServiceId serviceFor(const Route &route, std::string_view token)
{
    uint64_t sum = 0;
    for (const ServiceShare &share : route.services) {
        sum += share.weight;
    }
    if (sum == 0) {
        return {};
    }
    uint64_t drawn = core::checksumOf(token) % sum;
    for (const ServiceShare &share : route.services) {
        if (drawn < share.weight) {
            return share.service;
        }
        drawn -= share.weight;
    }
    return {};
}

} // namespace samphirebridge::forwarding
