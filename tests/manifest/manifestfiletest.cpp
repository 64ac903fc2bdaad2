#include "samphirebridge/manifest/manifestfile.h"

#include "samphirebridge/core/errors.h"
#include "samphirebridge/manifest/manifestdelta.h"
#include "tests/manifest/samples.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace samphirebridge;
using namespace samphirebridge::manifest;

namespace
{

// Returns the text of the example manifest with the first occurrence of the piece replaced.
std::string exampleWith(std::string_view piece, std::string_view replacement)
{
    std::string text = samples::exampleText();
    const size_t position = text.find(piece);
    REQUIRE(position != std::string::npos);
    return text.replace(position, piece.size(), replacement);
}

// Checks that the text has exactly one problem, which is an InvalidManifest with a line; returns it
// as "entry: found".
std::string problemOf(const std::string &text)
{
    const CheckedManifest checked = checkManifest(text, "m.yaml");
    INFO(core::messageOf(settings::statusOf(checked.problems)));
    REQUIRE(checked.problems.size() == 1);
    CHECK(checked.problems.front().code == core::ErrorCode::InvalidManifest);
    CHECK(checked.problems.front().line > 0);
    return checked.problems.front().entry + ": " + checked.problems.front().found;
}

} // namespace

TEST_CASE("the example manifest is valid and is read in the order of kind and id")
{
    const proto::Manifest manifest = samples::exampleManifest(0);
    CHECK(manifest.entities_size() == 12);
    CHECK(std::is_sorted(manifest.entities().begin(),
                         manifest.entities().end(),
                         [](const proto::Entity &left, const proto::Entity &right) {
                             return nameOf(left) < nameOf(right);
                         }));
}

TEST_CASE("a rendered manifest parses back to the same manifest")
{
    std::mt19937 generator(3);
    std::vector<proto::Manifest> manifests{samples::exampleManifest(0), proto::Manifest()};
    for (int round = 0; round < 100; ++round) {
        manifests.push_back(samples::randomManifest(generator, 0));
    }
    for (const proto::Manifest &manifest : manifests) {
        const std::string text = renderManifest(manifest);
        INFO(text);
        const auto parsed = parseManifest(text, "rendered");
        INFO(core::messageOf(parsed.status()));
        REQUIRE(parsed.ok());
        REQUIRE(parsed->SerializeAsString() == manifest.SerializeAsString());
        REQUIRE(renderManifest(*parsed) == text);
    }
}

TEST_CASE("unknown, repeated and missing keys are refused")
{
    CHECK(problemOf(exampleWith("weight: 2", "wieght: 2"))
          == "organisations[0]: the unknown key 'wieght'");
    CHECK(problemOf(exampleWith("weight: 2", "weight: 2\n    weight: 3"))
          == "organisations[0].weight: the key a second time");
    CHECK(problemOf(exampleWith("    tokens: 50000\n", "")) == "budgets[1].tokens: nothing");
    CHECK(problemOf(exampleWith(", repeat: never", "")) == "services[1].routes[0].repeat: nothing");
    CHECK(problemOf("budget: []\n") == ": the unknown key 'budget'");
    CHECK(problemOf("- a\n") == ": a list");
    CHECK(problemOf("# nothing\n{}\n---\n{}\n") == ": a second document");
}

TEST_CASE("numbers outside their range are refused")
{
    CHECK(problemOf(exampleWith("tokens: 50000", "tokens: -1")) == "budgets[1].tokens: '-1'");
    CHECK(problemOf(exampleWith("tokens: 50000", "tokens: 1000000000000001"))
          == "budgets[1].tokens: '1000000000000001'");
    CHECK(problemOf(exampleWith("tokens: 50000", "tokens: 99999999999999999999"))
          == "budgets[1].tokens: '99999999999999999999'");
    CHECK(problemOf(exampleWith("tokens: 50000", "tokens: 1e3")) == "budgets[1].tokens: '1e3'");
    CHECK(problemOf(exampleWith("min_targets: 1", "min_targets: 5")) == "models[0].min_targets: 5");
    CHECK(problemOf(exampleWith("deadline_ms: 120000", "deadline_ms: 4000"))
          == "services[0].stall_timeout_ms: 5000");
    CHECK(checkManifest(exampleWith("tokens: 50000", "tokens: 1000000000000000"), "m")
              .problems.empty());
}

TEST_CASE("references to undeclared ids and ids declared twice are refused")
{
    CHECK(problemOf(exampleWith("budget: prestamar-trial", "budget: gone"))
          == "caller_keys[1].budget: 'gone', which is not declared");
    CHECK(problemOf(exampleWith("budget: prestamar-trial", "budget: cuotabierta-2026"))
          == "caller_keys[1].budget: 'cuotabierta-2026' of organisation 'cuotabierta'");
    CHECK(problemOf(exampleWith("models: [letters]", "models: [numbers]"))
          == "organisations[1].models: 'numbers', which is not declared");
    CHECK(problemOf(
              exampleWith("id: letters\n    service: chat", "id: letters\n    service: payments"))
          == "models[0].service: 'payments', a plain service");
    CHECK(problemOf(exampleWith("[chat, payments]", "[chat, chat]"))
          == "organisations[0].services[1]: 'chat' a second time");
    CHECK(problemOf(exampleWith("target_kinds:\n  - id: engine", "target_kinds:\n  - id: payments"))
          == "target_kinds[1].id: 'payments' a second time");
}

TEST_CASE("a digest declared twice is refused, and a key in clear text is not shown")
{
    CHECK(problemOf(exampleWith("d9ac7631ada741dcfc4b59392980617b80ca853433a835ca1baa8a484a35e893",
                                "F15424e984f66fb993b9d8e6444ade02adcc714a58b3b50106e98750e4244bfe"))
          == "caller_keys[1].sha256: a digest that another caller key or target kind has");
    CHECK(problemOf(exampleWith("d9ac7631ada741dcfc4b59392980617b80ca853433a835ca1baa8a484a35e893",
                                "demo-key-b"))
          == "caller_keys[1].sha256: a text of 10 bytes");
}

TEST_CASE("routes are refused where they are ambiguous, reserved or not plain paths")
{
    CHECK(
        problemOf(exampleWith("GET, path_prefix: /v1/payments/", "POST, path_prefix: /v1/payments"))
        == "services[1].routes: 'POST /v1/payments' a second time");
    for (const std::string path : {"v1",
                                   "/a//b",
                                   "/a/../b",
                                   "/a/.",
                                   "/a%2f",
                                   "/a?b",
                                   "/v1/budgets/x",
                                   "/metrics",
                                   "/health/"}) {
        CHECK(problemOf(exampleWith("/v1/payments/", "\"" + path + "\""))
              == "services[1].routes[1].path_prefix: \"" + path + "\"");
    }
    CHECK(problemOf(exampleWith("method: POST", "method: post"))
          == "services[1].routes[0].method: 'post'");
    CHECK(problemOf(exampleWith("    max_output_tokens: 1024", "    price_tokens: 1"))
          == "services[0].price_tokens: '1'");
}

TEST_CASE("invalid ids, names with line breaks and invalid UTF-8 are refused")
{
    CHECK(problemOf(exampleWith("id: prestamar-app", "id: prestamar app"))
          == "caller_keys[1].id: 'prestamar app'");
    CHECK(problemOf(exampleWith("name: Cuotabierta", "name: \"a\\nb\""))
          == "organisations[0].name: \"a\nb\"");
    CHECK(problemOf(exampleWith("name: Cuotabierta", "name: \"\xC3\""))
              .starts_with(": the byte 0xc3"));
}

TEST_CASE("a text over the size limit is refused with TooLarge")
{
    const std::string text(MaximumManifestBytes + 1, '#');
    CHECK(core::errorCodeOf(parseManifest(text, "m").status()) == core::ErrorCode::TooLarge);
}
