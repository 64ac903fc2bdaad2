#include "samphirebridge/settings/document.h"

#include "samphirebridge/settings/utf8.h"

#include <fmt/format.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/mark.h>
#include <yaml-cpp/parser.h>

#include <algorithm>
#include <istream>
#include <streambuf>

namespace samphirebridge::settings
{

namespace
{

// The reason why a document is refused. It is thrown from the parser's callbacks, because the
// parser has no other way to stop.
struct Refusal {
    core::ErrorCode code = core::ErrorCode::None; // None: the code of the ProblemCollector.
    int line = 0;
    std::string found{};
    std::string accepted{};
};

// Marks the end of the document. Without it the parser accepts a quoted value that is cut off by
// the end of the text after a line feed.
constexpr std::string_view DocumentEnd = "\n...\n";

// Supplies the text and the document end marker to the parser in chunks. It signals the end of the
// stream early if the parser reads more than MaximumLookaheadBytes beyond the last value that it
// reported: for "[[[[" the parser would queue a token of some hundred bytes for each "[".
class BoundedLookaheadBuffer : public std::streambuf
{
public:
    explicit BoundedLookaheadBuffer(std::string_view text)
        : text(text)
    {
    }

    // Restarts the count of bytes read ahead; called whenever the parser reports a value.
    void resetLookahead()
    {
        this->lastValueOffset = this->offset;
    }

    [[nodiscard]] bool lookaheadExceeded() const
    {
        return this->limitExceeded;
    }

protected:
    int_type underflow() override
    {
        if (this->offset - this->lastValueOffset > MaximumLookaheadBytes) {
            this->limitExceeded = true;
            return traits_type::eof();
        }
        if (this->offset == this->text.size()) {
            return this->supplyEnd();
        }
        const size_t length = std::min(ChunkBytes, this->text.size() - this->offset);
        const std::string_view chunk = this->text.substr(this->offset, length);
        this->offset += length;
        return this->supply(chunk);
    }

private:
    static constexpr size_t ChunkBytes = 4096;

    int_type supplyEnd()
    {
        if (this->endSupplied) {
            return traits_type::eof();
        }
        this->endSupplied = true;
        return this->supply(DocumentEnd);
    }

    int_type supply(std::string_view chunk)
    {
        // The stream never writes to its get area; setg only lacks a const overload.
        char *begin = const_cast<char *>(chunk.data());
        this->setg(begin, begin, begin + chunk.size());
        return traits_type::to_int_type(*begin);
    }

    std::string_view text;
    size_t offset = 0;
    size_t lastValueOffset = 0;
    bool limitExceeded = false;
    bool endSupplied = false;
};

// Builds the document tree from the parser's events, and throws a Refusal for what is not
// accepted.
class TreeBuilder : public YAML::EventHandler
{
public:
    explicit TreeBuilder(BoundedLookaheadBuffer &buffer)
        : buffer(buffer)
    {
    }

    void OnDocumentStart(const YAML::Mark &mark) override
    {
        if (this->started) {
            throw Refusal{
                .line = mark.line + 1, .found = "a second document", .accepted = "one document"};
        }
        this->started = true;
    }

    void OnDocumentEnd() override
    {
    }

    void OnNull(const YAML::Mark &mark, YAML::anchor_t anchor) override
    {
        this->checkValue(mark, "", anchor);
        this->addValue(DocumentNode{.kind = NodeKind::Null, .line = mark.line + 1});
    }

    void OnAlias(const YAML::Mark &mark, YAML::anchor_t /*anchor*/) override
    {
        throw Refusal{.line = mark.line + 1,
                      .found = "an alias",
                      .accepted = "values written out, without anchors and aliases"};
    }

    void OnScalar(const YAML::Mark &mark,
                  const std::string &tag,
                  YAML::anchor_t anchor,
                  const std::string &value) override
    {
        this->checkValue(mark, tag, anchor);
        this->checkCharacters(mark, value);
        this->addValue(DocumentNode{
            .kind = NodeKind::Scalar, .quoted = tag == "!", .line = mark.line + 1, .value = value});
    }

    void OnSequenceStart(const YAML::Mark &mark,
                         const std::string &tag,
                         YAML::anchor_t anchor,
                         YAML::EmitterStyle::value /*style*/) override
    {
        this->beginCollection(NodeKind::List, mark, tag, anchor);
    }

    void OnSequenceEnd() override
    {
        this->endCollection();
    }

    void OnMapStart(const YAML::Mark &mark,
                    const std::string &tag,
                    YAML::anchor_t anchor,
                    YAML::EmitterStyle::value /*style*/) override
    {
        this->beginCollection(NodeKind::Map, mark, tag, anchor);
    }

    void OnMapEnd() override
    {
        this->endCollection();
    }

    DocumentNode takeRoot()
    {
        return std::move(this->root);
    }

private:
    // A list or map that is not closed yet. In a map, keys and values alternate; pendingKey is set
    // while the value of a key is awaited.
    struct Level {
        DocumentNode node{};
        std::optional<std::string> pendingKey{};
        int pendingLine = 0;
    };

    // Checks what every value must satisfy: no anchor, no explicit tag, at most MaximumNodes
    // values.
    void checkValue(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor)
    {
        this->buffer.resetLookahead();
        if (anchor != 0) {
            throw Refusal{.line = mark.line + 1,
                          .found = "an anchor",
                          .accepted = "values written out, without anchors and aliases"};
        }
        if (!tag.empty() && tag != "?" && tag != "!") {
            throw Refusal{
                .line = mark.line + 1, .found = "a tag", .accepted = "values without tags"};
        }
        ++this->nodeCount;
        if (this->nodeCount > MaximumNodes) {
            throw Refusal{.code = core::ErrorCode::TooLarge,
                          .line = mark.line + 1,
                          .found = fmt::format("more than {} values", MaximumNodes),
                          .accepted = fmt::format("at most {}", MaximumNodes)};
        }
    }

    // Checks the unescaped value: an escape such as "\\0" can produce a character that the text
    // itself must not contain.
    void checkCharacters(const YAML::Mark &mark, std::string_view value)
    {
        if (findMalformedText(value)) {
            throw Refusal{.line = mark.line + 1,
                          .found = "an escape for a character that is not accepted",
                          .accepted = "UTF-8 without control characters"};
        }
    }

    [[nodiscard]] bool awaitsKey() const
    {
        return !this->levels.empty() && this->levels.back().node.kind == NodeKind::Map
               && !this->levels.back().pendingKey;
    }

    void beginCollection(NodeKind kind,
                         const YAML::Mark &mark,
                         const std::string &tag,
                         YAML::anchor_t anchor)
    {
        this->checkValue(mark, tag, anchor);
        if (this->awaitsKey()) {
            throw Refusal{.line = mark.line + 1,
                          .found = "a list or map as a key",
                          .accepted = "texts as keys"};
        }
        if (this->levels.size() == MaximumDepth) {
            throw Refusal{.line = mark.line + 1,
                          .found = fmt::format("more than {} levels", MaximumDepth),
                          .accepted = fmt::format("at most {}", MaximumDepth)};
        }
        this->levels.push_back(Level{.node = DocumentNode{.kind = kind, .line = mark.line + 1}});
    }

    void endCollection()
    {
        DocumentNode node = std::move(this->levels.back().node);
        this->levels.pop_back();
        this->addValue(std::move(node));
    }

    // Adds a complete value to the list or map around it, or stores it as the pending key.
    void addValue(DocumentNode node)
    {
        if (this->levels.empty()) {
            this->root = std::move(node);
            return;
        }
        Level &level = this->levels.back();
        if (this->awaitsKey()) {
            level.pendingKey = std::move(node.value);
            level.pendingLine = node.line;
            return;
        }
        if (level.node.kind == NodeKind::Map) {
            node.key = std::move(*level.pendingKey);
            node.line = level.pendingLine;
            level.pendingKey.reset();
        }
        level.node.children.push_back(std::move(node));
    }

    BoundedLookaheadBuffer &buffer;
    bool started = false;
    size_t nodeCount = 0;
    std::vector<Level> levels;
    DocumentNode root;
};

int lineAt(std::string_view text, size_t offset)
{
    return 1 + static_cast<int>(std::count(text.begin(), text.begin() + offset, '\n'));
}

Refusal lookaheadRefusal()
{
    return Refusal{.code = core::ErrorCode::TooLarge,
                   .found
                   = fmt::format("more than {} bytes in one value, comment or bracketed list",
                                 MaximumLookaheadBytes),
                   .accepted = "shorter values, comments and bracketed lists"};
}

DocumentNode buildTree(std::string_view text)
{
    BoundedLookaheadBuffer buffer(text);
    std::istream stream(&buffer);
    TreeBuilder builder(buffer);
    try {
        YAML::Parser parser(stream);
        while (parser.HandleNextDocument(builder)) { }
    } catch (const Refusal &) {
        // The buffer cut the text short, so the parser's complaint does not apply to the text
        // itself.
        if (buffer.lookaheadExceeded()) {
            throw lookaheadRefusal();
        }
        throw;
    } catch (const YAML::Exception &error) {
        if (buffer.lookaheadExceeded()) {
            throw lookaheadRefusal();
        }
        throw Refusal{.line = error.mark.line + 1,
                      .found = fmt::format("invalid YAML ({})", error.msg),
                      .accepted = "a YAML document"};
    }
    if (buffer.lookaheadExceeded()) {
        throw lookaheadRefusal();
    }
    return builder.takeRoot();
}

} // namespace

std::string Place::path() const
{
    std::string path = this->parent == nullptr ? "" : this->parent->path();
    if (this->key.empty()) {
        return this->parent == nullptr ? path : fmt::format("{}[{}]", path, this->index);
    }
    return path.empty() ? std::string(this->key) : fmt::format("{}.{}", path, this->key);
}

ProblemCollector::ProblemCollector(core::ErrorCode code, std::string_view fileName)
    : code(code)
    , fileName(fileName)
{
}

void ProblemCollector::add(int line,
                           const Place &place,
                           std::string_view found,
                           std::string_view accepted)
{
    if (this->full()) {
        return;
    }
    this->append(Problem{.code = this->code,
                         .file = this->fileName,
                         .line = line,
                         .entry = place.path(),
                         .found = std::string(found),
                         .accepted = std::string(accepted)});
}

void ProblemCollector::addToFile(core::ErrorCode problemCode,
                                 int line,
                                 std::string_view found,
                                 std::string_view accepted)
{
    this->append(Problem{.code = problemCode == core::ErrorCode::None ? this->code : problemCode,
                         .file = this->fileName,
                         .line = line,
                         .found = std::string(found),
                         .accepted = std::string(accepted)});
}

void ProblemCollector::append(Problem problem)
{
    if (this->problems.size() == MaximumProblems) {
        problem.line = 0;
        problem.entry.clear();
        problem.found = fmt::format("more than {} problems", MaximumProblems);
        problem.accepted = "none";
    }
    if (!this->full()) {
        this->problems.push_back(std::move(problem));
    }
}

bool ProblemCollector::empty() const
{
    return this->problems.empty();
}

bool ProblemCollector::full() const
{
    return this->problems.size() > MaximumProblems;
}

std::vector<Problem> ProblemCollector::take()
{
    return std::move(this->problems);
}

std::optional<DocumentNode>
readDocument(std::string_view text, size_t maximumBytes, ProblemCollector &problems)
{
    if (text.size() > maximumBytes) {
        problems.addToFile(core::ErrorCode::TooLarge,
                           0,
                           fmt::format("{} bytes", text.size()),
                           fmt::format("at most {}", maximumBytes));
        return std::nullopt;
    }
    const std::optional<size_t> malformed = findMalformedText(text);
    if (malformed) {
        problems.addToFile(
            core::ErrorCode::None,
            lineAt(text, *malformed),
            fmt::format("the byte 0x{:02x}, which begins no accepted UTF-8 character",
                        static_cast<unsigned char>(text[*malformed])),
            "UTF-8 without control characters");
        return std::nullopt;
    }
    try {
        return buildTree(text);
    } catch (const Refusal &refusal) {
        problems.addToFile(refusal.code, refusal.line, refusal.found, refusal.accepted);
    }
    return std::nullopt;
}

} // namespace samphirebridge::settings
