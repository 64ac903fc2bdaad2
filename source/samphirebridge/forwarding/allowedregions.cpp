#include "samphirebridge/forwarding/allowedregions.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace samphirebridge::forwarding
{

namespace
{

std::vector<std::string> sortedUnique(std::vector<std::string> regions)
{
    std::sort(regions.begin(), regions.end());
    regions.erase(std::unique(regions.begin(), regions.end()), regions.end());
    return regions;
}

} // namespace

AllowedRegions allowedRegionsOf(const Route &route, const Organisation *organisation)
{
    const bool ofOrganisation = organisation != nullptr && !organisation->allowedRegions.empty();
    if (route.allowedRegions.empty() && !ofOrganisation) {
        return std::nullopt;
    }
    if (!ofOrganisation) {
        return sortedUnique(route.allowedRegions);
    }
    std::vector<std::string> second = sortedUnique(organisation->allowedRegions);
    if (route.allowedRegions.empty()) {
        return second;
    }
    const std::vector<std::string> first = sortedUnique(route.allowedRegions);
    std::vector<std::string> both;
    std::set_intersection(
        first.begin(), first.end(), second.begin(), second.end(), std::back_inserter(both));
    return both;
}

AllowedRegions
allowedRegionsIn(const RouteTable &table, const Route &route, const Organisation *organisation)
{
    const auto &routes = table.declaration().routes;
    const auto sameRoute = std::find_if(routes.begin(), routes.end(), [&route](const Route &other) {
        return other.name == route.name;
    });
    const Organisation *sameOrganisation = organisation;
    if (organisation != nullptr) {
        const auto &organisations = table.declaration().organisations;
        const auto found = std::find_if(
            organisations.begin(), organisations.end(), [organisation](const Organisation &other) {
                return other.id == organisation->id;
            });
        sameOrganisation = found == organisations.end() ? organisation : &*found;
    }
    return allowedRegionsOf(sameRoute == routes.end() ? route : *sameRoute, sameOrganisation);
}

bool restrictsRegions(const Declaration &declaration)
{
    const auto isRestricted = [](const auto &item) {
        return !item.allowedRegions.empty();
    };
    return std::any_of(declaration.routes.begin(), declaration.routes.end(), isRestricted)
           || std::any_of(
               declaration.organisations.begin(), declaration.organisations.end(), isRestricted);
}

} // namespace samphirebridge::forwarding
