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

std::vector<std::string> linesOf(int count, uint64_t seed)
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

std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += line;
    }
    return text;
}

} // namespace

TEST_CASE("a delta gives the target back, whatever was changed")
{
    std::mt19937_64 random(7);
    for (uint64_t seed = 0; seed < 100; ++seed) {
        std::vector<std::string> lines = linesOf(60, seed);
        const std::string base = joined(lines);
        for (int change = 0; change < 6; ++change) {
            const size_t at = random() % lines.size();
            switch (random() % 4) {
            case 0:
                lines.erase(lines.begin() + static_cast<int64_t>(at));
                break;
            case 1:
                lines.insert(lines.begin() + static_cast<int64_t>(at), "added");
                break;
            case 2:
                std::swap(lines[at], lines[random() % lines.size()]);
                break;
            default:
                lines[at][random() % lines[at].size()] = '#';
            }
        }
        const std::string target = joined(lines);
        const auto applied = delta::applyDelta(base, delta::makeDelta(base, target));
        REQUIRE(applied.ok());
        CHECK(*applied == target);
    }
}

TEST_CASE("empty contents, equal ones and those without anything in common have deltas too")
{
    const std::vector<std::string> contents{"", "a", std::string(100, 'x'), joined(linesOf(9, 3))};
    for (const std::string &base : contents) {
        for (const std::string &target : contents) {
            const auto applied = delta::applyDelta(base, delta::makeDelta(base, target));
            REQUIRE(applied.ok());
            CHECK(*applied == target);
        }
    }
}

// Guards against changes that cost as much as the whole.
TEST_CASE("a delta grows with what differs")
{
    std::vector<std::string> lines = linesOf(1600, 1);
    const std::string base = joined(lines);
    lines.front() = "{\"Version\":2},";
    lines[500] = "changed";
    lines.erase(lines.begin() + 900);
    lines.insert(lines.begin() + 1200, "added");
    CHECK(delta::makeDelta(base, joined(lines)).ByteSizeLong() < 300);
}

TEST_CASE("a delta for another base is refused as such")
{
    const auto delta = delta::makeDelta("one content", "another content");
    const auto applied = delta::applyDelta("a third content", delta);
    CHECK(core::errorCodeOf(applied.status()) == core::ErrorCode::VersionConflict);
}

TEST_CASE("a damaged delta is refused and never gives other bytes")
{
    const std::string base = joined(linesOf(20, 1));
    const std::string target = joined(linesOf(20, 1)) + "end";
    const std::string bytes = delta::makeDelta(base, target).SerializeAsString();
    for (size_t at = 0; at < bytes.size(); ++at) {
        std::string damaged = bytes;
        damaged[at] = static_cast<char>(damaged[at] ^ 0x15);
        proto::ContentDelta delta;
        if (!delta.ParseFromString(damaged)) {
            continue;
        }
        const auto applied = delta::applyDelta(base, delta);
        CHECK((!applied.ok() || *applied == target));
    }
}

TEST_CASE("compressed bytes of another length than expected are refused")
{
    const std::string compressed = delta::deflate(std::string(1000, 'a'));
    CHECK(delta::inflate(compressed, 1000).ok());
    CHECK_FALSE(delta::inflate(compressed, 999).ok());
    CHECK_FALSE(delta::inflate(compressed, 1001).ok());
    CHECK_FALSE(delta::inflate("no zlib stream", 10).ok());
}
