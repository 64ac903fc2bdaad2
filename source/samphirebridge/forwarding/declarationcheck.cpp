#include "samphirebridge/forwarding/declarationcheck.h"

#include "samphirebridge/core/errors.h"

#include <fmt/format.h>

#include <set>
#include <utility>

namespace samphirebridge::forwarding
{

namespace
{

absl::Status invalidDeclaration(std::string_view message)
{
    return core::makeError(core::ErrorCode::InvalidManifest, message);
}

bool isPathPrefix(const std::string &prefix)
{
    return !prefix.empty() && prefix.front() == '/' && prefix.back() == '/';
}

absl::Status checkRoute(const Route &route, const std::set<core::ServiceId> &services)
{
    if (!isPathPrefix(route.pathPrefix)) {
        return invalidDeclaration(
            fmt::format("route '{}': found path prefix '{}'; accepted is one that "
                        "begins and ends with a slash",
                        route.name,
                        route.pathPrefix));
    }
    if (route.timeout <= core::Duration::zero()) {
        return invalidDeclaration(
            fmt::format("route '{}': found no timeout; accepted is more than 0 ms", route.name));
    }
    uint64_t weights = 0;
    for (const ServiceShare &share : route.services) {
        weights += share.weight;
        if (!services.contains(share.service)) {
            return invalidDeclaration(
                fmt::format("route '{}': found the unknown service '{}'; accepted is "
                            "one of the services of the same declaration",
                            route.name,
                            share.service.value));
        }
    }
    if (weights == 0) {
        return invalidDeclaration(
            fmt::format("route '{}': found weights that add up to 0; accepted is a sum of 1 or "
                        "more",
                        route.name));
    }
    return absl::OkStatus();
}

absl::Status checkOrganisations(const Declaration &declaration)
{
    std::set<std::string> keys;
    std::set<core::OrganisationId> ids;
    for (const Organisation &organisation : declaration.organisations) {
        if (!ids.insert(organisation.id).second) {
            return invalidDeclaration(fmt::format("found organisation '{}' twice; accepted is once",
                                                  organisation.id.value));
        }
        for (const std::string &key : organisation.keys) {
            // The key itself is a secret and stays out of the message.
            if (!keys.insert(key).second) {
                return invalidDeclaration(
                    fmt::format("organisation '{}': found a key a second time; "
                                "accepted is a key of one organisation",
                                organisation.id.value));
            }
        }
    }
    return absl::OkStatus();
}

} // namespace

absl::Status checkDeclaration(const Declaration &declaration)
{
    if (declaration.version == 0) {
        return invalidDeclaration("found version 0; accepted is 1 or more");
    }
    std::set<core::ServiceId> services;
    for (const Service &service : declaration.services) {
        if (!services.insert(service.id).second) {
            return invalidDeclaration(
                fmt::format("found service '{}' twice; accepted is once", service.id.value));
        }
    }
    std::set<std::pair<std::string, std::string>> hostsAndPrefixes;
    for (const Route &route : declaration.routes) {
        if (absl::Status status = checkRoute(route, services); !status.ok()) {
            return status;
        }
        if (!hostsAndPrefixes.emplace(route.host, route.pathPrefix).second) {
            return invalidDeclaration(
                fmt::format("route '{}': found host '{}' and path prefix '{}' a second "
                            "time; accepted is once",
                            route.name,
                            route.host,
                            route.pathPrefix));
        }
    }
    return checkOrganisations(declaration);
}

} // namespace samphirebridge::forwarding
