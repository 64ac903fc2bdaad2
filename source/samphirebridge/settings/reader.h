// Typed reading of a document's values. A reader returns something harmless where a value is wrong
// and leaves a problem with the collector, so that one pass finds every problem.
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

// Returns the value as messages show it: its kind, and a scalar's text if it is short enough.
std::string describeValue(const DocumentNode &node);

// Reads one scalar as an integer, a name of core::checkName, or the 64 hexadecimal digits of a
// SHA-256. A digest's text is never shown in a problem: it may be the secret itself.
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

// Reads one map whose keys are known. Unknown and repeated keys are problems.
class MapReader
{
public:
    // The keys must outlive the reader.
    MapReader(const DocumentNode &node,
              const Place &place,
              std::span<const std::string_view> keys,
              ProblemCollector &problems);

    // Returns the key's value, or null.
    [[nodiscard]] const DocumentNode *find(std::string_view key) const;

    // Returns the key's value; without one, null and a problem that tells what is accepted.
    const DocumentNode *require(std::string_view key, std::string_view accepted);

    // The key's value; without one, the fallback, or a problem if there is no fallback either.
    int64_t integer(std::string_view key, IntegerRange range, std::optional<int64_t> fallback);
    double decimal(std::string_view key, DecimalRange range, double fallback);
    bool boolean(std::string_view key, bool fallback);
    std::string
    text(std::string_view key, size_t maximumBytes, std::optional<std::string_view> fallback);

    // Returns the position of the key's value among the choices.
    size_t choice(std::string_view key,
                  std::span<const std::string_view> choices,
                  std::optional<size_t> fallback);

    // A name or digest that must be there.
    std::string name(std::string_view key);
    std::string digest(std::string_view key);

    // Returns the items of the key's list; none without the key.
    std::span<const DocumentNode> list(std::string_view key);

    // Returns the names in the key's list; none without the key. Repeated names are problems.
    std::vector<std::string> names(std::string_view key);

    // Returns where the key stands.
    [[nodiscard]] Place placeOf(std::string_view key) const;

    [[nodiscard]] int line() const;

private:
    void missing(std::string_view key, std::string_view accepted);

    const DocumentNode &node;
    const Place &place;
    std::span<const std::string_view> keys;
    std::vector<const DocumentNode *> values; // One for each key.
    ProblemCollector &problems;
};

} // namespace samphirebridge::settings
