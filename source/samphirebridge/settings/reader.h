// Reads typed values from a document. For a wrong value a reader adds a problem to the collector
// and returns nothing or a stand-in, so that one pass finds every problem.
#pragma once

#include "samphirebridge/settings/document.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::settings
{

// The accepted values of an integer, both ends included.
struct IntegerRange {
    int64_t least = 0;
    int64_t most = 0;
};

// The accepted values of a decimal number, both ends included.
struct DecimalRange {
    double least = 0;
    double most = 0;
};

// Returns the value as messages show it: the kind of a list or map, or a scalar's text in quotes,
// cut off if it is long.
std::string describeValue(const DocumentNode &node);

// Each of these reads one scalar; for any other value it adds a problem and returns nothing.
// readInteger accepts an unquoted integer within the range, readName a name that core::checkName
// accepts, readText one non-empty line. readDigest accepts 64 hexadecimal digits and returns the 32
// bytes of the SHA-256; its problem never shows the text, which may be the secret itself.
std::optional<int64_t> readInteger(const DocumentNode &node,
                                   const Place &place,
                                   IntegerRange range,
                                   ProblemCollector &problems);
std::optional<std::string>
readName(const DocumentNode &node, const Place &place, ProblemCollector &problems);
std::optional<std::string>
readDigest(const DocumentNode &node, const Place &place, ProblemCollector &problems);
std::optional<std::string> readText(const DocumentNode &node,
                                    const Place &place,
                                    size_t maximumBytes,
                                    ProblemCollector &problems);

// Reads a map with a fixed set of keys. Adds a problem for each unknown or repeated key.
class MapReader
{
public:
    // Adds a problem if the node is no map; every key is then absent. The arguments must outlive
    // the reader.
    MapReader(const DocumentNode &node,
              const Place &place,
              std::span<const std::string_view> keys,
              ProblemCollector &problems);

    // Returns the key's value, or null if the key is absent.
    [[nodiscard]] const DocumentNode *find(std::string_view key) const;

    // Returns the key's value. If the key is absent, adds a problem that says what is accepted and
    // returns null.
    const DocumentNode *require(std::string_view key, std::string_view accepted);

    // Return the key's value, or the fallback if the key is absent; without a fallback, an absent
    // key is a problem. A wrong value is a problem too; the result is then a stand-in.
    int64_t integer(std::string_view key, IntegerRange range, std::optional<int64_t> fallback);
    double decimal(std::string_view key, DecimalRange range, double fallback);
    bool boolean(std::string_view key, bool fallback);
    std::string
    text(std::string_view key, size_t maximumBytes, std::optional<std::string_view> fallback);

    // Returns the index of the key's value in the choices. Absent and wrong values as above.
    size_t choice(std::string_view key,
                  std::span<const std::string_view> choices,
                  std::optional<size_t> fallback);

    // Return a required name or digest; empty, with a problem, if it is absent or wrong.
    std::string name(std::string_view key);
    std::string digest(std::string_view key);

    // Returns the items of the key's list; none if the key is absent.
    std::span<const DocumentNode> list(std::string_view key);

    // Returns the names in the key's list; none if the key is absent. Repeated names are problems
    // and left out.
    std::vector<std::string> names(std::string_view key);

    // Returns the place of the key's value.
    [[nodiscard]] Place placeOf(std::string_view key) const;

    // Returns the line of the map.
    [[nodiscard]] int line() const;

private:
    // Adds a problem for a required key that is absent, unless the node is no map at all.
    void addMissing(std::string_view key, std::string_view accepted);

    const DocumentNode &node;
    const Place &place;
    std::span<const std::string_view> keys;
    std::vector<const DocumentNode *> values; // Parallel to keys; null if absent.
    ProblemCollector &problems;
};

} // namespace samphirebridge::settings
