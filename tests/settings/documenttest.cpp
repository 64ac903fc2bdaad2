#include "samphirebridge/settings/document.h"

#include <catch2/catch.hpp>

#include <string>

using namespace samphirebridge::settings;
using samphirebridge::core::ErrorCode;

namespace
{

constexpr size_t Limit = 10'000'000;

// Returns the one problem of a text that must be refused.
Problem refusalOf(const std::string &text)
{
    ProblemCollector problems(ErrorCode::InvalidManifest, "file.yaml");
    REQUIRE_FALSE(readDocument(text, Limit, problems));
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

TEST_CASE("a document becomes a tree with lines")
{
    ProblemCollector problems(ErrorCode::InvalidManifest, "file.yaml");
    const auto root = readDocument("a: 1\nb:\n  - x\n  - \"1\"\nc:\n", Limit, problems);
    REQUIRE(root);
    REQUIRE(root->children.size() == 3);
    CHECK(root->children[0].key == "a");
    CHECK(root->children[1].line == 2);
    CHECK(root->children[1].children[0].line == 3);
    CHECK(root->children[1].children[1].quoted);
    CHECK(root->children[2].kind == NodeKind::Null);
}

TEST_CASE("an alias bomb is refused at its first anchor")
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

TEST_CASE("deep nesting is refused in every notation")
{
    CHECK(refusalOf(repeated("[", 2000) + repeated("]", 2000)).found == "more than 12 levels");
    CHECK(refusalOf(repeated("- ", 100'000)).found == "more than 12 levels");
    CHECK(refusalOf(repeated("? ", 100'000)).code == ErrorCode::InvalidManifest);
    CHECK(refusalOf(repeated("{a: ", 100'000)).code != ErrorCode::None);
}

TEST_CASE("ten million brackets are refused before the parser has queued them")
{
    CHECK(refusalOf(repeated("[", Limit)).code == ErrorCode::TooLarge);
    CHECK(refusalOf("a: [" + repeated("x,", Limit / 2 - 10) + "]").code == ErrorCode::TooLarge);
    CHECK(refusalOf("a: \"" + repeated("x", Limit - 10) + "\"").code == ErrorCode::TooLarge);
}

TEST_CASE("more values than a document may have are refused")
{
    CHECK(refusalOf(repeated("- x\n", MaximumNodes + 1)).code == ErrorCode::TooLarge);
}

TEST_CASE("tags, second documents, keys that are maps and broken YAML are refused with their line")
{
    CHECK(refusalOf("a: 1\nb: !!binary aGk=\n").line == 2);
    CHECK(refusalOf("a: 1\n---\nb: 1\n").found == "a second document");
    CHECK(refusalOf("? {a: 1}\n: 2\n").found == "a list or map as a key");
    CHECK(refusalOf("a: 1\nb: [1\n").found.starts_with("no YAML"));
    CHECK(refusalOf("a: 1\nb: \"\xFF\"\n").line == 2);
    CHECK(refusalOf(std::string(Limit + 1, ' ')).code == ErrorCode::TooLarge);
}

TEST_CASE("an escape for a character that the text itself must not hold is refused")
{
    for (const std::string_view escape : {"\\0", "\\N", "\\L", "\\x07", "\\x85", "\\u2028"}) {
        const Problem problem = refusalOf("a: 1\nb: \"x" + std::string(escape) + "y\"\n");
        CHECK(problem.line == 2);
        CHECK(problem.found.starts_with("an escape"));
    }
    CHECK(refusalOf("\"a\\0\": 1\n").line == 1);
}

TEST_CASE("a quoted value that the end of the text cuts off is refused")
{
    for (const std::string_view end : {"", "\n", "\n\n", "  \n", " # b\n"}) {
        CHECK(refusalOf("a: \"b" + std::string(end)).found.starts_with("no YAML"));
        CHECK(refusalOf("a: 'b" + std::string(end)).found.starts_with("no YAML"));
    }
}

TEST_CASE("no more than the stated number of problems is kept")
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
