#include "samphirebridge/routing/targetsubset.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace samphirebridge;
using routing::TargetSubset;

namespace
{

std::string nameOf(int target)
{
    return "t" + std::to_string(target);
}

void addTargets(TargetSubset &subset, int count)
{
    for (int target = 0; target < count; ++target) {
        subset.add(nameOf(target), target % 3 == 0 ? "here" : "there");
    }
}

routing::SubsetOptions optionsForHere()
{
    routing::SubsetOptions options;
    options.dataCentre = "here";
    return options;
}

} // namespace

TEST_CASE("a subset is bounded, prefers the own data centre and includes some targets of others")
{
    const routing::SubsetOptions options = optionsForHere();
    TargetSubset subset(core::InstanceId("a"), "letters", options);
    addTargets(subset, 6600);
    CHECK(subset.refresh());
    CHECK_FALSE(subset.refresh());
    REQUIRE(subset.chosen().size() == 64);
    const auto local
        = std::count_if(subset.chosen().begin(), subset.chosen().end(), [](const auto &id) {
              return std::stoi(id.substr(1)) % 3 == 0;
          });
    CHECK(local == 56);
}

TEST_CASE("the removal of one target of a subset changes only that one")
{
    const routing::SubsetOptions options = optionsForHere();
    TargetSubset subset(core::InstanceId("a"), "letters", options);
    addTargets(subset, 1000);
    subset.refresh();
    const auto before = subset.chosen();
    subset.remove(before.front());
    subset.refresh();
    std::vector<std::string> kept;
    std::set_intersection(before.begin(),
                          before.end(),
                          subset.chosen().begin(),
                          subset.chosen().end(),
                          std::back_inserter(kept));
    CHECK(kept.size() == 63);
    CHECK(subset.chosen().size() == 64);
}

TEST_CASE("all of few targets are chosen, and the subsets of many instances cover all targets")
{
    const routing::SubsetOptions options = optionsForHere();
    TargetSubset few(core::InstanceId("a"), "letters", options);
    addTargets(few, 10);
    few.refresh();
    CHECK(few.chosen().size() == 10);
    const routing::SubsetOptions withoutDataCentre;
    std::set<std::string> covered;
    for (int instance = 0; instance < 100; ++instance) {
        TargetSubset subset(
            core::InstanceId("i" + std::to_string(instance)), "letters", withoutDataCentre);
        addTargets(subset, 300);
        subset.refresh();
        covered.insert(subset.chosen().begin(), subset.chosen().end());
    }
    CHECK(covered.size() == 300);
}
