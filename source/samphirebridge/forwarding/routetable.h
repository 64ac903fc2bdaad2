// Finds the route of a request and the organisation of a key.
#pragma once

#include "samphirebridge/forwarding/declaration.h"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <string_view>

namespace samphirebridge::forwarding
{

// Immutable; requests under way keep the table that they began with.
class RouteTable
{
public:
    RouteTable() = default;

    // Takes a declaration that checkDeclaration accepts.
    explicit RouteTable(Declaration declaration);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    // Returns the route of the host with the longest prefix that begins the path, or null. The
    // host's port and case don't matter.
    [[nodiscard]] const Route *route(std::string_view host, std::string_view path) const;

    // Returns the organisation that has the key, or null.
    [[nodiscard]] const Organisation *organisation(std::string_view key) const;

    [[nodiscard]] const Service *service(const core::ServiceId &id) const;

    [[nodiscard]] const Declaration &declaration() const
    {
        return this->content;
    }

private:
    Declaration content;
    absl::flat_hash_map<std::string, const Route *> byPlace; // Keyed by host, a space, prefix.
    absl::flat_hash_map<std::string, const Organisation *> byKey;
    absl::flat_hash_map<std::string, const Service *> byService;
};

// Returns the service that a request goes to: by the route's weights, the same for the same token.
core::ServiceId serviceFor(const Route &route, std::string_view token);

} // namespace samphirebridge::forwarding
