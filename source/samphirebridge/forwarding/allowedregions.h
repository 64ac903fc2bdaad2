// Computes in which regions a request may be served.
#pragma once

#include "samphirebridge/forwarding/declaration.h"
#include "samphirebridge/forwarding/routetable.h"

#include <optional>
#include <string>
#include <vector>

namespace samphirebridge::forwarding
{

// The regions whose targets may serve a request, each once and in ascending order; no value: all
// regions. An empty list allows no target.
using AllowedRegions = std::optional<std::vector<std::string>>;

// Returns the regions that both the route and the organisation allow; a list that is empty
// restricts nothing. The organisation may be null.
AllowedRegions allowedRegionsOf(const Route &route, const Organisation *organisation);

// Returns the regions that the table allows to a request that arrived for the given route and
// organisation, perhaps under an earlier declaration. What the table does not list keeps the
// restriction that it had at the arrival.
AllowedRegions
allowedRegionsIn(const RouteTable &table, const Route &route, const Organisation *organisation);

// Tells whether a route or an organisation of the declaration has allowed regions.
bool restrictsRegions(const Declaration &declaration);

} // namespace samphirebridge::forwarding
