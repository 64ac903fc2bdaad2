#include "samphirebridge/settings/document.h"

#include <catch2/catch.hpp>

#include <string>

using namespace samphirebridge::settings;
using samphirebridge::core::ErrorCode;

namespace
{

constexpr size_t MaximumBytes = 10'000'000;

// Checks that the text is refused with exactly one problem, and returns that problem.
Problem refusalOf(const std::string &text)
{
    ProblemCollector problems(ErrorCode::InvalidManifest, "file.yaml");
    REQUIRE_FALSE(readDocument(text, MaximumBytes, problems));
    const std::vector<Problem> taken = problems.take();
    REQUIRE(taken.size() == 1);
    CHECK(taken.front().file == "file.yaml");
    return taken.front();
}

std::string repeated(std::string_view piece, size_t count)
{
    std::string text;
    for (size_t index = 0; index < count; ++index) {
        text += piece;
    }
    return text;
}

} // namespace

TEST_CASE("a document is parsed into a tree with line numbers")
{
    ProblemCollector problems(ErrorCode::InvalidManifest, "file.yaml");
    const auto root = readDocument("a: 1\nb:\n  - x\n  - \"1\"\nc:\n", MaximumBytes, problems);
    REQUIRE(root);
    REQUIRE(root->children.size() == 3);
    CHECK(root->children[0].key == "a");
    CHECK(root->children[1].line == 2);
    CHECK(root->children[1].children[0].line == 3);
    CHECK(root->children[1].children[1].quoted);
    CHECK(root->children[2].kind == NodeKind::Null);
}

TEST_CASE("nested aliases that expand exponentially are refused at the first anchor")
{
    std::string text = "a: &a [x, x, x, x]\n";
    for (char level = 'b'; level < 'z'; ++level) {
        const char last = static_cast<char>(level - 1);
        text += std::string(1, level) + ": &" + level + " [*" + last + ", *" + last + "]\n";
    }
    const Problem problem = refusalOf(text);
    CHECK(problem.found == "an anchor");
    CHECK(problem.line == 1);
}

TEST_CASE("deep nesting is refused in block and in flow notation")
{
    CHECK(refusalOf(repeated("[", 2000) + repeated("]", 2000)).found == "more than 12 levels");
    CHECK(refusalOf(repeated("- ", 100'000)).found == "more than 12 levels");
    CHECK(refusalOf(repeated("? ", 100'000)).code == ErrorCode::InvalidManifest);
    CHECK(refusalOf(repeated("{a: ", 100'000)).code != ErrorCode::None);
}

TEST_CASE("a list or value that makes the parser read too far ahead is refused")
{
    CHECK(refusalOf(repeated("[", MaximumBytes)).code == ErrorCode::TooLarge);
    CHECK(refusalOf("a: [" + repeated("x,", MaximumBytes / 2 - 10) + "]").code
          == ErrorCode::TooLarge);
    CHECK(refusalOf("a: \"" + repeated("x", MaximumBytes - 10) + "\"").code == ErrorCode::TooLarge);
}

TEST_CASE("a document with more values than the limit is refused")
{
    CHECK(refusalOf(repeated("- x\n", MaximumNodes + 1)).code == ErrorCode::TooLarge);
}

TEST_CASE("tags, second documents, maps as keys and invalid YAML are refused with their line")
{
    CHECK(refusalOf("a: 1\nb: !!binary aGk=\n").line == 2);
    CHECK(refusalOf("a: 1\n---\nb: 1\n").found == "a second document");
    CHECK(refusalOf("? {a: 1}\n: 2\n").found == "a list or map as a key");
    CHECK(refusalOf("a: 1\nb: [1\n").found.starts_with("invalid YAML"));
    CHECK(refusalOf("a: 1\nb: \"\xFF\"\n").line == 2);
    CHECK(refusalOf(std::string(MaximumBytes + 1, ' ')).code == ErrorCode::TooLarge);
}

TEST_CASE("an escape for a character that the text itself must not contain is refused")
{
    for (const std::string_view escape : {"\\0", "\\N", "\\L", "\\x07", "\\x85", "\\u2028"}) {
        const Problem problem = refusalOf("a: 1\nb: \"x" + std::string(escape) + "y\"\n");
        CHECK(problem.line == 2);
        CHECK(problem.found.starts_with("an escape"));
    }
    CHECK(refusalOf("\"a\\0\": 1\n").line == 1);
}

TEST_CASE("a quoted value that is cut off by the end of the text is refused")
{
    for (const std::string_view end : {"", "\n", "\n\n", "  \n", " # b\n"}) {
        CHECK(refusalOf("a: \"b" + std::string(end)).found.starts_with("invalid YAML"));
        CHECK(refusalOf("a: 'b" + std::string(end)).found.starts_with("invalid YAML"));
    }
}

TEST_CASE("problems beyond the maximum are dropped, and one further problem says so")
{
    ProblemCollector problems(ErrorCode::InvalidSettings, "file.yaml");
    for (size_t index = 0; index < 3 * MaximumProblems; ++index) {
        problems.add(1, Place{}, "a", "b");
    }
    const std::vector<Problem> taken = problems.take();
    REQUIRE(taken.size() == MaximumProblems + 1);
    CHECK(taken.back().found == "more than 1000 problems");
    const absl::Status status = statusOf(taken);
    CHECK(samphirebridge::core::messageOf(status).ends_with("and 951 more"));
}
