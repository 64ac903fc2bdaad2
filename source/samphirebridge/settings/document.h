// Parses YAML text into a tree whose nodes carry line numbers. Anchors, aliases, tags, several
// documents, deep nesting and text that makes the parser read far ahead are refused during parsing,
// so that a small text cannot expand into a large tree.
#pragma once

#include "samphirebridge/settings/problem.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::settings
{

enum class NodeKind : uint8_t {
    Null,
    Scalar,
    List,
    Map,
};

// One value of the document. Each child of a map carries its key; a key may occur several times.
struct DocumentNode {
    NodeKind kind = NodeKind::Null;
    bool quoted = false; // Scalars only.
    int line = 0; // From 1; for a child of a map, the line of its key.
    std::string key{}; // Children of maps only.
    std::string value{}; // Scalars only.
    std::vector<DocumentNode> children{}; // Lists and maps only.
};

// The limits of every document; one that exceeds them is refused.
inline constexpr size_t MaximumDepth = 12;
inline constexpr size_t MaximumNodes = 1'000'000;
inline constexpr size_t MaximumLookaheadBytes = size_t{256} << 10; // Read between two values.

// The most problems that are kept for one text. One further problem then says that there are more.
inline constexpr size_t MaximumProblems = 1000;

// The position of a value in the document, linked to the position of the list or map around it.
// Parents must outlive their children; the path is only formatted when a problem is reported.
struct Place {
    const Place *parent = nullptr;
    std::string_view key{}; // Empty for the root and for an item of a list.
    size_t index = 0; // Of a list's item, from 0.

    // Returns the path, such as "peers[2].rpc".
    [[nodiscard]] std::string path() const;
};

// Collects the problems found in one text, up to MaximumProblems.
class ProblemCollector
{
public:
    ProblemCollector(core::ErrorCode code, std::string_view fileName);

    // Adds a problem of the entry at the place, with the collector's error code.
    void add(int line, const Place &place, std::string_view found, std::string_view accepted);

    // Adds a problem of the file as a whole (line 0) or of one of its lines, without an entry. The
    // code None stands for the collector's own.
    void
    addToFile(core::ErrorCode code, int line, std::string_view found, std::string_view accepted);

    [[nodiscard]] bool empty() const;

    // Returns whether further problems are dropped; callers may then stop checking.
    [[nodiscard]] bool full() const;

    // Moves the collected problems out.
    [[nodiscard]] std::vector<Problem> take();

private:
    void append(Problem problem);

    core::ErrorCode code;
    std::string fileName;
    std::vector<Problem> problems;
};

// Parses the text as one YAML document. If it is refused, adds one problem and returns nothing.
std::optional<DocumentNode>
readDocument(std::string_view text, size_t maximumBytes, ProblemCollector &problems);

} // namespace samphirebridge::settings
