#include "samphirebridge/delta/contentdelta.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/delta/deflate.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <random>
#include <vector>

using namespace samphirebridge;

namespace
{

std::vector<std::string> randomLines(int count, uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<std::string> lines;
    lines.reserve(count);
    for (int index = 0; index < count; ++index) {
        lines.push_back(fmt::format(R"({{"Name":"r-{:016x}","Kind":"streaming","TimeoutMs":{}}},)",
                                    random(),
                                    1000 + index));
    }
    return lines;
}

std::string join(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += line;
    }
    return text;
}

} // namespace

TEST_CASE("applying a delta yields the target after random changes")
{
    std::mt19937_64 random(7);
    for (uint64_t seed = 0; seed < 100; ++seed) {
        std::vector<std::string> lines = randomLines(60, seed);
        const std::string base = join(lines);
        for (int change = 0; change < 6; ++change) {
            const size_t position = random() % lines.size();
            switch (random() % 4) {
            case 0:
                lines.erase(lines.begin() + static_cast<int64_t>(position));
                break;
            case 1:
                lines.insert(lines.begin() + static_cast<int64_t>(position), "added");
                break;
            case 2:
                std::swap(lines[position], lines[random() % lines.size()]);
                break;
            default:
                lines[position][random() % lines[position].size()] = '#';
            }
        }
        const std::string target = join(lines);
        const auto applied = delta::applyDelta(base, delta::makeDelta(base, target));
        REQUIRE(applied.ok());
        CHECK(*applied == target);
    }
}

TEST_CASE("contents that are empty, equal or without common parts have deltas")
{
    const std::vector<std::string> contents{
        "", "a", std::string(100, 'x'), join(randomLines(9, 3))};
    for (const std::string &base : contents) {
        for (const std::string &target : contents) {
            const auto applied = delta::applyDelta(base, delta::makeDelta(base, target));
            REQUIRE(applied.ok());
            CHECK(*applied == target);
        }
    }
}

// Guards against deltas that are as large as the whole content although little has changed.
TEST_CASE("the size of a delta depends on the differences, not on the content")
{
    std::vector<std::string> lines = randomLines(1600, 1);
    const std::string base = join(lines);
    lines.front() = "{\"Version\":2},";
    lines[500] = "changed";
    lines.erase(lines.begin() + 900);
    lines.insert(lines.begin() + 1200, "added");
    CHECK(delta::makeDelta(base, join(lines)).ByteSizeLong() < 300);
}

TEST_CASE("a delta for another base is refused as a version conflict")
{
    const auto delta = delta::makeDelta("one content", "another content");
    const auto applied = delta::applyDelta("a third content", delta);
    CHECK(core::errorCodeOf(applied.status()) == core::ErrorCode::VersionConflict);
}

TEST_CASE("a damaged delta is refused or still yields the target")
{
    const std::string base = join(randomLines(20, 1));
    const std::string target = join(randomLines(20, 1)) + "end";
    const std::string bytes = delta::makeDelta(base, target).SerializeAsString();
    for (size_t position = 0; position < bytes.size(); ++position) {
        std::string damaged = bytes;
        damaged[position] = static_cast<char>(damaged[position] ^ 0x15);
        proto::ContentDelta delta;
        if (!delta.ParseFromString(damaged)) {
            continue;
        }
        const auto applied = delta::applyDelta(base, delta);
        CHECK((!applied.ok() || *applied == target));
    }
}

TEST_CASE("damaged compressed bytes, and those of another length than expected, are refused")
{
    const std::string compressed = delta::deflate(std::string(1000, 'a'));
    CHECK(delta::inflate(compressed, 1000).ok());
    CHECK_FALSE(delta::inflate(compressed, 999).ok());
    CHECK_FALSE(delta::inflate(compressed, 1001).ok());
    CHECK_FALSE(delta::inflate("no zlib stream", 10).ok());
}
