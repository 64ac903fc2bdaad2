#include "samphirebridge/forwarding/routetable.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace samphirebridge;
using forwarding::RouteTable;

namespace
{

forwarding::Declaration declaration()
{
    forwarding::Declaration made;
    made.version = 3;
    made.routes.push_back({.name = "short", .host = "A.example", .pathPrefix = "/x/"});
    made.routes.push_back({.name = "long", .host = "a.example", .pathPrefix = "/x/y/"});
    made.routes.push_back({.name = "all", .host = "b.example", .pathPrefix = "/"});
    made.organisations.push_back({.id = core::OrganisationId("one"), .keys = {"k1"}});
    return made;
}

std::string routeOf(const RouteTable &table, std::string_view host, std::string_view path)
{
    const forwarding::Route *route = table.route(host, path);
    return route == nullptr ? "" : route->name;
}

} // namespace

TEST_CASE("the longest prefix of the host wins")
{
    const RouteTable table(declaration());
    CHECK(routeOf(table, "a.example", "/x/1") == "short");
    CHECK(routeOf(table, "a.example", "/x/y/1") == "long");
    CHECK(routeOf(table, "a.example", "/x/y/") == "long");
    CHECK(routeOf(table, "a.example", "/x/y") == "short");
    CHECK(routeOf(table, "a.example:8080", "/x/1?y=/x/y/") == "short");
    CHECK(routeOf(table, "A.EXAMPLE", "/x/1") == "short");
    CHECK(routeOf(table, "b.example", "/anything") == "all");
}

TEST_CASE("no route is found for another host or path")
{
    const RouteTable table(declaration());
    CHECK(routeOf(table, "c.example", "/x/1").empty());
    CHECK(routeOf(table, "a.example", "/").empty());
    CHECK(routeOf(table, "a.example", "/xy/1").empty());
    CHECK(routeOf(table, "a.example", "*").empty());
    CHECK(table.organisation("k1") != nullptr);
    CHECK(table.organisation("k2") == nullptr);
    CHECK(table.organisation("") == nullptr);
}

TEST_CASE("requests are divided by the weights, and one of weight 0 gets none")
{
    forwarding::Route route;
    route.services = {
        {core::ServiceId("most"), 90}, {core::ServiceId("few"), 10}, {core::ServiceId("none"), 0}};
    std::map<std::string, int> counts;
    for (int request = 0; request < 10'000; ++request) {
        ++counts[forwarding::serviceFor(route, std::to_string(request)).value];
    }
    CHECK(counts["none"] == 0);
    CHECK(counts["few"] > 800);
    CHECK(counts["few"] < 1'200);
    CHECK(forwarding::serviceFor(route, "7") == forwarding::serviceFor(route, "7"));
}
