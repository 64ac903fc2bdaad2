#include "samphirebridge/forwarding/declarationcheck.h"

#include "samphirebridge/core/errors.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>

using namespace samphirebridge;
using namespace std::chrono_literals;

namespace
{

forwarding::Declaration validDeclaration()
{
    forwarding::Declaration declaration;
    declaration.version = 1;
    declaration.services.push_back({.id = core::ServiceId("letters")});
    declaration.routes.push_back({.name = "r1",
                                  .host = "a.example",
                                  .pathPrefix = "/x/",
                                  .timeout = 1s,
                                  .services = {{core::ServiceId("letters"), 1}}});
    declaration.organisations.push_back({.id = core::OrganisationId("one"), .keys = {"k1", "k2"}});
    declaration.organisations.push_back({.id = core::OrganisationId("two"), .keys = {"k3"}});
    return declaration;
}

// Changes a valid declaration and returns the error message of its check.
std::string rejectionAfter(const std::function<void(forwarding::Declaration &)> &change)
{
    forwarding::Declaration declaration = validDeclaration();
    change(declaration);
    const absl::Status status = forwarding::checkDeclaration(declaration);
    CHECK(core::errorCodeOf(status) == core::ErrorCode::InvalidManifest);
    return std::string(core::messageOf(status));
}

} // namespace

TEST_CASE("a valid declaration is accepted")
{
    CHECK(forwarding::checkDeclaration(validDeclaration()).ok());
}

TEST_CASE("each fault is rejected with a message that quotes it, but no key")
{
    using forwarding::Declaration;
    CHECK(
        rejectionAfter([](Declaration &declaration) { declaration.version = 0; }).find("version 0")
        != std::string::npos);
    CHECK(rejectionAfter([](Declaration &declaration) {
              declaration.routes[0].services[0].service = core::ServiceId("gone");
          }).find("unknown service 'gone'")
          != std::string::npos);
    CHECK(rejectionAfter([](Declaration &declaration) {
              declaration.routes[0].services[0].weight = 0;
          }).find("add up to 0")
          != std::string::npos);
    CHECK(rejectionAfter([](Declaration &declaration) {
              declaration.routes[0].timeout = {};
          }).find("timeout")
          != std::string::npos);
    CHECK(rejectionAfter([](Declaration &declaration) {
              declaration.routes[0].pathPrefix = "/x";
          }).find("'/x'")
          != std::string::npos);
    CHECK(rejectionAfter([](Declaration &declaration) {
              declaration.routes.push_back(declaration.routes[0]);
          }).find("a second time")
          != std::string::npos);
    const std::string shared = rejectionAfter(
        [](Declaration &declaration) { declaration.organisations[1].keys.emplace_back("k1"); });
    CHECK(shared.find("'two'") != std::string::npos);
    CHECK(shared.find("k1") == std::string::npos);
}
