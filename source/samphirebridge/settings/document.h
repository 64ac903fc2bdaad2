// YAML text as a plain tree with lines. Anchors, aliases, tags, several documents, deep nesting and
// whatever makes the parser read far ahead are refused while the text is read, so a small text
// cannot become a large tree.
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

// One value of the document. The children of a map carry their keys; keys may repeat.
struct DocumentNode {
    NodeKind kind = NodeKind::Null;
    bool quoted = false; // Only scalars.
    int line = 0;
    std::string key{};
    std::string value{}; // Only scalars.
    std::vector<DocumentNode> children{}; // Only lists and maps.
};

// The bounds of every document.
inline constexpr size_t MaximumDepth = 12;
inline constexpr size_t MaximumNodes = 1'000'000;
inline constexpr size_t MaximumLookahead = size_t{256} << 10; // Bytes without a value in between.

// The most problems that are kept of one text. One more says that there were others.
inline constexpr size_t MaximumProblems = 1000;

// Where in the document a value stands. A chain on the stack; spelled out only for a problem.
struct Place {
    const Place *parent = nullptr;
    std::string_view key{}; // Empty: an item of a list.
    size_t index = 0;

    // Returns the path, such as "peers[2].rpc".
    [[nodiscard]] std::string path() const;
};

// Collects the problems of one text.
class ProblemCollector
{
public:
    ProblemCollector(core::ErrorCode code, std::string_view fileName);

    void add(int line, const Place &place, std::string_view found, std::string_view accepted);

    // Adds a problem of the file as a whole, or of one of its lines.
    void
    addToFile(core::ErrorCode code, int line, std::string_view found, std::string_view accepted);

    [[nodiscard]] bool empty() const;

    // Whether further problems are dropped, so that nobody needs to look for them.
    [[nodiscard]] bool full() const;

    [[nodiscard]] std::vector<Problem> take();

private:
    void append(Problem problem);

    core::ErrorCode code;
    std::string fileName;
    std::vector<Problem> problems;
};

// Returns the text's one document; nothing, and one problem, if it is refused.
std::optional<DocumentNode>
readDocument(std::string_view text, size_t maximumBytes, ProblemCollector &problems);

} // namespace samphirebridge::settings
