// Looks up the route of a request, the organisation of a key and the services of a declaration.
#pragma once

#include "samphirebridge/forwarding/declaration.h"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <string_view>

namespace samphirebridge::forwarding
{

// Index over one declaration, immutable so that requests in flight can keep the table that they
// began with.
class RouteTable
{
public:
    RouteTable() = default;

    // Expects a declaration that checkDeclaration accepts.
    explicit RouteTable(Declaration declaration);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    // Returns the host's route with the longest path prefix that matches the path, or null. The
    // host's port and letter case are ignored, and so is the path's query.
    [[nodiscard]] const Route *findRoute(std::string_view host, std::string_view path) const;

    // Returns the organisation that has the key, or null.
    [[nodiscard]] const Organisation *findOrganisation(std::string_view key) const;

    [[nodiscard]] const Service *findService(const core::ServiceId &id) const;

    [[nodiscard]] const Declaration &declaration() const
    {
        return this->declared;
    }

private:
    Declaration declared;
    absl::flat_hash_map<std::string, const Route *> routesByHostAndPrefix; // See routeKey().
    absl::flat_hash_map<std::string, const Organisation *> organisationsByKey;
    absl::flat_hash_map<std::string, const Service *> servicesById;
};

// Chooses one of the route's services in proportion to their weights by a hash of the token, so
// that the same token always yields the same service. Empty if the weights add up to 0.
core::ServiceId chooseService(const Route &route, std::string_view token);

} // namespace samphirebridge::forwarding
