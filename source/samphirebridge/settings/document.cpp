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

// Leaves the parser, which knows no other way to stop.
struct Refusal {
    core::ErrorCode code = core::ErrorCode::None; // None: the collector's own.
    int line = 0;
    std::string found{};
    std::string accepted{};
};

// Closes the document. Without it the parser takes a quoted value that the end of the text cuts off
// after a line feed for a whole one.
constexpr std::string_view DocumentEnd = "\n...\n";

// Hands the text and the mark of its end to the parser in pieces, and ends it where the parser
// reads too far ahead of the values that it reports: it queues a token of some hundred bytes for
// each "[" of "[[[[".
class MeteredBuffer : public std::streambuf
{
public:
    explicit MeteredBuffer(std::string_view text)
        : text(text)
    {
    }

    // The parser reported a value.
    void noteProgress()
    {
        this->progress = this->offset;
    }

    [[nodiscard]] bool exceeded() const
    {
        return this->tooFar;
    }

protected:
    int_type underflow() override
    {
        if (this->offset - this->progress > MaximumLookahead) {
            this->tooFar = true;
            return traits_type::eof();
        }
        if (this->offset == this->text.size()) {
            return this->handOutEnd();
        }
        const size_t length = std::min(PieceLength, this->text.size() - this->offset);
        const std::string_view piece = this->text.substr(this->offset, length);
        this->offset += length;
        return this->handOut(piece);
    }

private:
    static constexpr size_t PieceLength = 4096;

    int_type handOutEnd()
    {
        if (this->ended) {
            return traits_type::eof();
        }
        this->ended = true;
        return this->handOut(DocumentEnd);
    }

    int_type handOut(std::string_view piece)
    {
        // A get area is not written through; the interface merely has no const form.
        char *begin = const_cast<char *>(piece.data());
        this->setg(begin, begin, begin + piece.size());
        return traits_type::to_int_type(*begin);
    }

    std::string_view text;
    size_t offset = 0;
    size_t progress = 0;
    bool tooFar = false;
    bool ended = false;
};

// Builds the tree out of the parser's events.
class TreeBuilder : public YAML::EventHandler
{
public:
    explicit TreeBuilder(MeteredBuffer &buffer)
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
        this->finish(DocumentNode{.kind = NodeKind::Null, .line = mark.line + 1});
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
        this->checkText(mark, value);
        this->finish(DocumentNode{
            .kind = NodeKind::Scalar, .quoted = tag == "!", .line = mark.line + 1, .value = value});
    }

    void OnSequenceStart(const YAML::Mark &mark,
                         const std::string &tag,
                         YAML::anchor_t anchor,
                         YAML::EmitterStyle::value /*style*/) override
    {
        this->open(NodeKind::List, mark, tag, anchor);
    }

    void OnSequenceEnd() override
    {
        this->close();
    }

    void OnMapStart(const YAML::Mark &mark,
                    const std::string &tag,
                    YAML::anchor_t anchor,
                    YAML::EmitterStyle::value /*style*/) override
    {
        this->open(NodeKind::Map, mark, tag, anchor);
    }

    void OnMapEnd() override
    {
        this->close();
    }

    DocumentNode takeRoot()
    {
        return std::move(this->root);
    }

private:
    // A list or map that is not yet closed; a map alternates between keys and values.
    struct Level {
        DocumentNode node{};
        std::optional<std::string> pendingKey{};
        int pendingLine = 0;
    };

    void checkValue(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor)
    {
        this->buffer.noteProgress();
        if (anchor != 0) {
            throw Refusal{.line = mark.line + 1,
                          .found = "an anchor",
                          .accepted = "values written out, without anchors and aliases"};
        }
        if (!tag.empty() && tag != "?" && tag != "!") {
            throw Refusal{
                .line = mark.line + 1, .found = "a tag", .accepted = "values without tags"};
        }
        ++this->nodes;
        if (this->nodes > MaximumNodes) {
            throw Refusal{.code = core::ErrorCode::TooLarge,
                          .line = mark.line + 1,
                          .found = fmt::format("more than {} values", MaximumNodes),
                          .accepted = fmt::format("at most {}", MaximumNodes)};
        }
    }

    // An escape may stand for what the text itself must not hold, such as "\\0".
    void checkText(const YAML::Mark &mark, std::string_view value)
    {
        if (findMalformedText(value)) {
            throw Refusal{.line = mark.line + 1,
                          .found = "an escape for a character that is not accepted",
                          .accepted = "UTF-8 without control characters"};
        }
    }

    [[nodiscard]] bool expectsKey() const
    {
        return !this->levels.empty() && this->levels.back().node.kind == NodeKind::Map
               && !this->levels.back().pendingKey;
    }

    void open(NodeKind kind, const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor)
    {
        this->checkValue(mark, tag, anchor);
        if (this->expectsKey()) {
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

    void close()
    {
        DocumentNode node = std::move(this->levels.back().node);
        this->levels.pop_back();
        this->finish(std::move(node));
    }

    void finish(DocumentNode node)
    {
        if (this->levels.empty()) {
            this->root = std::move(node);
            return;
        }
        Level &level = this->levels.back();
        if (this->expectsKey()) {
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

    MeteredBuffer &buffer;
    bool started = false;
    size_t nodes = 0;
    std::vector<Level> levels;
    DocumentNode root;
};

int lineOf(std::string_view text, size_t offset)
{
    return 1 + static_cast<int>(std::count(text.begin(), text.begin() + offset, '\n'));
}

Refusal lookaheadRefusal()
{
    return Refusal{.code = core::ErrorCode::TooLarge,
                   .found = fmt::format("more than {} bytes in one piece", MaximumLookahead),
                   .accepted = "values, comments and lists in brackets below that"};
}

DocumentNode buildTree(std::string_view text)
{
    MeteredBuffer buffer(text);
    std::istream stream(&buffer);
    TreeBuilder builder(buffer);
    try {
        YAML::Parser parser(stream);
        while (parser.HandleNextDocument(builder)) { }
    } catch (const Refusal &) {
        // What the parser made of a text cut short says nothing about the text.
        if (buffer.exceeded()) {
            throw lookaheadRefusal();
        }
        throw;
    } catch (const YAML::Exception &error) {
        if (buffer.exceeded()) {
            throw lookaheadRefusal();
        }
        throw Refusal{.line = error.mark.line + 1,
                      .found = fmt::format("no YAML ({})", error.msg),
                      .accepted = "a YAML document"};
    }
    if (buffer.exceeded()) {
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
        problems.addToFile(core::ErrorCode::None,
                           lineOf(text, *malformed),
                           fmt::format("the byte 0x{:02x} in no place of UTF-8 text",
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
