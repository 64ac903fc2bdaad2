#include "samphirebridge/forwarding/routetable.h"

#include "samphirebridge/core/digest.h"

#include <absl/strings/ascii.h>

#include <utility>

namespace samphirebridge::forwarding
{

namespace
{

// Strips the port and converts to lower case.
std::string normaliseHost(std::string_view host)
{
    const size_t colon = host.rfind(':');
    const bool hasPort = colon != std::string_view::npos && host.find(']', colon) == host.npos;
    std::string name(host.substr(0, hasPort ? colon : host.size()));
    absl::AsciiStrToLower(&name);
    return name;
}

// Returns the key of a route in the table: host, a space, path prefix.
std::string routeKey(const std::string &host, std::string_view prefix)
{
    std::string key = host;
    key += ' ';
    key += prefix;
    return key;
}

} // namespace

RouteTable::RouteTable(Declaration declaration)
    : declared(std::move(declaration))
{
    for (const Route &route : this->declared.routes) {
        this->routesByHostAndPrefix.emplace(routeKey(normaliseHost(route.host), route.pathPrefix),
                                            &route);
    }
    for (const Organisation &organisation : this->declared.organisations) {
        for (const std::string &key : organisation.keys) {
            this->organisationsByKey.emplace(key, &organisation);
        }
    }
    for (const Service &service : this->declared.services) {
        this->servicesById.emplace(service.id.value, &service);
    }
}

const Route *RouteTable::findRoute(std::string_view host, std::string_view path) const
{
    const std::string name = normaliseHost(host);
    std::string_view prefix = path.substr(0, path.find('?'));
    // Path prefixes end with a slash: try the path up to each of its slashes, longest first.
    while (!prefix.empty()) {
        const size_t slash = prefix.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        const auto found
            = this->routesByHostAndPrefix.find(routeKey(name, prefix.substr(0, slash + 1)));
        if (found != this->routesByHostAndPrefix.end()) {
            return found->second;
        }
        prefix = prefix.substr(0, slash);
    }
    return nullptr;
}

const Organisation *RouteTable::findOrganisation(std::string_view key) const
{
    const auto found = this->organisationsByKey.find(std::string(key));
    return found == this->organisationsByKey.end() ? nullptr : found->second;
}

const Service *RouteTable::findService(const core::ServiceId &id) const
{
    const auto found = this->servicesById.find(id.value);
    return found == this->servicesById.end() ? nullptr : found->second;
}

core::ServiceId chooseService(const Route &route, std::string_view token)
{
    uint64_t sum = 0;
    for (const ServiceShare &share : route.services) {
        sum += share.weight;
    }
    if (sum == 0) {
        return {};
    }
    uint64_t remainder = core::checksumOf(token) % sum;
    for (const ServiceShare &share : route.services) {
        if (remainder < share.weight) {
            return share.service;
        }
        remainder -= share.weight;
    }
    return {};
}

} // namespace samphirebridge::forwarding
