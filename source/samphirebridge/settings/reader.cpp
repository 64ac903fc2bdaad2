#include "samphirebridge/settings/reader.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/ids.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <set>

namespace samphirebridge::settings
{

namespace
{

constexpr size_t MaximumShownBytes = 80;
constexpr std::string_view AcceptedName = "a name of 1 to 128 letters, digits, '-', '_', '.', '/'";
constexpr std::string_view AcceptedDigest
    = "the 64 hexadecimal digits of a SHA-256, never the secret itself";

std::string joinKeys(std::span<const std::string_view> keys)
{
    return fmt::format("{}", fmt::join(keys, ", "));
}

// Cuts a long text off at a character boundary, so that the result stays valid UTF-8.
std::string truncateForMessage(std::string_view text)
{
    if (text.size() <= MaximumShownBytes) {
        return std::string(text);
    }
    size_t length = MaximumShownBytes;
    while (length > 0 && (static_cast<unsigned char>(text[length]) & 0xC0U) == 0x80U) {
        --length;
    }
    return std::string(text.substr(0, length)) + "...";
}

// Parses decimal digits without leading zeros, with an optional minus sign.
std::optional<int64_t> parseInteger(std::string_view text)
{
    const std::string_view digits = text.substr(text.starts_with('-') ? 1 : 0);
    if (digits.empty() || (digits.size() > 1 && digits.front() == '0')) {
        return std::nullopt;
    }
    int64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || rest != end) {
        return std::nullopt;
    }
    return value;
}

bool isSha256Hex(std::string_view text)
{
    return text.size() == 2 * core::Sha256Length
           && std::all_of(text.begin(), text.end(), [](char character) {
                  return absl::ascii_isxdigit(static_cast<unsigned char>(character));
              });
}

} // namespace

std::string describeValue(const DocumentNode &node)
{
    switch (node.kind) {
    case NodeKind::Null:
        return "nothing";
    case NodeKind::List:
        return "a list";
    case NodeKind::Map:
        return "a map";
    case NodeKind::Scalar:
        break;
    }
    return fmt::format("{0}{1}{0}", node.quoted ? "\"" : "'", truncateForMessage(node.value));
}

std::optional<int64_t> readInteger(const DocumentNode &node,
                                   const Place &place,
                                   IntegerRange range,
                                   ProblemCollector &problems)
{
    std::optional<int64_t> value;
    if (node.kind == NodeKind::Scalar && !node.quoted) {
        value = parseInteger(node.value);
    }
    if (!value || *value < range.least || *value > range.most) {
        problems.add(node.line,
                     place,
                     describeValue(node),
                     fmt::format("an integer from {} to {}", range.least, range.most));
        return std::nullopt;
    }
    return value;
}

std::optional<std::string>
readName(const DocumentNode &node, const Place &place, ProblemCollector &problems)
{
    if (node.kind != NodeKind::Scalar || !core::checkName(node.value).ok()) {
        problems.add(node.line, place, describeValue(node), AcceptedName);
        return std::nullopt;
    }
    return node.value;
}

std::optional<std::string>
readDigest(const DocumentNode &node, const Place &place, ProblemCollector &problems)
{
    if (node.kind != NodeKind::Scalar || !isSha256Hex(node.value)) {
        const std::string found = node.kind == NodeKind::Scalar
                                      ? fmt::format("a text of {} bytes", node.value.size())
                                      : describeValue(node);
        problems.add(node.line, place, found, AcceptedDigest);
        return std::nullopt;
    }
    return absl::HexStringToBytes(node.value);
}

std::optional<std::string> readText(const DocumentNode &node,
                                    const Place &place,
                                    size_t maximumBytes,
                                    ProblemCollector &problems)
{
    const bool accepted = node.kind == NodeKind::Scalar && !node.value.empty()
                          && node.value.size() <= maximumBytes
                          && std::none_of(node.value.begin(), node.value.end(), [](char character) {
                                 return static_cast<unsigned char>(character) < 0x20;
                             });
    if (!accepted) {
        problems.add(node.line,
                     place,
                     describeValue(node),
                     fmt::format("a text of 1 to {} bytes in one line", maximumBytes));
        return std::nullopt;
    }
    return node.value;
}

MapReader::MapReader(const DocumentNode &node,
                     const Place &place,
                     std::span<const std::string_view> keys,
                     ProblemCollector &problems)
    : node(node)
    , place(place)
    , keys(keys)
    , values(keys.size(), nullptr)
    , problems(problems)
{
    if (node.kind != NodeKind::Map) {
        problems.add(
            node.line, place, describeValue(node), fmt::format("a map of {}", joinKeys(keys)));
        return;
    }
    for (const DocumentNode &child : node.children) {
        const auto position = std::find(keys.begin(), keys.end(), child.key);
        if (position == keys.end()) {
            problems.add(child.line,
                         place,
                         fmt::format("the unknown key '{}'", truncateForMessage(child.key)),
                         joinKeys(keys));
            continue;
        }
        const DocumentNode *&value = this->values[static_cast<size_t>(position - keys.begin())];
        if (value != nullptr) {
            problems.add(child.line,
                         Place{.parent = &place, .key = child.key},
                         "the key a second time",
                         "each key once");
            continue;
        }
        value = &child;
    }
}

const DocumentNode *MapReader::find(std::string_view key) const
{
    const auto position = std::find(this->keys.begin(), this->keys.end(), key);
    if (position == this->keys.end()) {
        return nullptr;
    }
    return this->values[static_cast<size_t>(position - this->keys.begin())];
}

void MapReader::addMissing(std::string_view key, std::string_view accepted)
{
    if (this->node.kind == NodeKind::Map) {
        this->problems.add(this->node.line, this->placeOf(key), "nothing", accepted);
    }
}

const DocumentNode *MapReader::require(std::string_view key, std::string_view accepted)
{
    const DocumentNode *value = this->find(key);
    if (value == nullptr) {
        this->addMissing(key, accepted);
    }
    return value;
}

int64_t
MapReader::integer(std::string_view key, IntegerRange range, std::optional<int64_t> fallback)
{
    const DocumentNode *value = this->find(key);
    if (value != nullptr) {
        return readInteger(*value, this->placeOf(key), range, this->problems).value_or(range.least);
    }
    if (!fallback) {
        this->addMissing(key, fmt::format("an integer from {} to {}", range.least, range.most));
    }
    return fallback.value_or(range.least);
}

double MapReader::decimal(std::string_view key, DecimalRange range, double fallback)
{
    const DocumentNode *value = this->find(key);
    if (value == nullptr) {
        return fallback;
    }
    double number = 0;
    const char *end = value->value.data() + value->value.size();
    const auto parsed = std::from_chars(value->value.data(), end, number, std::chars_format::fixed);
    const bool unquotedScalar
        = value->kind == NodeKind::Scalar && !value->quoted && !value->value.empty();
    if (unquotedScalar && parsed.ec == std::errc() && parsed.ptr == end && number >= range.least
        && number <= range.most) {
        return number;
    }
    this->problems.add(value->line,
                       this->placeOf(key),
                       describeValue(*value),
                       fmt::format("a decimal number from {} to {}", range.least, range.most));
    return fallback;
}

bool MapReader::boolean(std::string_view key, bool fallback)
{
    const DocumentNode *value = this->find(key);
    if (value == nullptr) {
        return fallback;
    }
    const bool unquotedScalar = value->kind == NodeKind::Scalar && !value->quoted;
    if (unquotedScalar && (value->value == "true" || value->value == "false")) {
        return value->value == "true";
    }
    this->problems.add(value->line, this->placeOf(key), describeValue(*value), "true or false");
    return fallback;
}

std::string
MapReader::text(std::string_view key, size_t maximumBytes, std::optional<std::string_view> fallback)
{
    const DocumentNode *value = this->find(key);
    if (value != nullptr) {
        return readText(*value, this->placeOf(key), maximumBytes, this->problems).value_or("");
    }
    if (!fallback) {
        this->addMissing(key, fmt::format("a text of 1 to {} bytes", maximumBytes));
    }
    return std::string(fallback.value_or(""));
}

size_t MapReader::choice(std::string_view key,
                         std::span<const std::string_view> choices,
                         std::optional<size_t> fallback)
{
    const DocumentNode *value = this->find(key);
    if (value == nullptr) {
        if (!fallback) {
            this->addMissing(key, joinKeys(choices));
        }
        return fallback.value_or(0);
    }
    const auto found = std::find(choices.begin(), choices.end(), value->value);
    if (value->kind != NodeKind::Scalar || found == choices.end()) {
        this->problems.add(
            value->line, this->placeOf(key), describeValue(*value), joinKeys(choices));
        return fallback.value_or(0);
    }
    return static_cast<size_t>(found - choices.begin());
}

std::string MapReader::name(std::string_view key)
{
    const DocumentNode *value = this->require(key, AcceptedName);
    if (value == nullptr) {
        return {};
    }
    return readName(*value, this->placeOf(key), this->problems).value_or("");
}

std::string MapReader::digest(std::string_view key)
{
    const DocumentNode *value = this->require(key, AcceptedDigest);
    if (value == nullptr) {
        return {};
    }
    return readDigest(*value, this->placeOf(key), this->problems).value_or("");
}

std::span<const DocumentNode> MapReader::list(std::string_view key)
{
    const DocumentNode *value = this->find(key);
    if (value == nullptr) {
        return {};
    }
    if (value->kind != NodeKind::List) {
        this->problems.add(value->line, this->placeOf(key), describeValue(*value), "a list");
        return {};
    }
    return value->children;
}

std::vector<std::string> MapReader::names(std::string_view key)
{
    const std::span<const DocumentNode> items = this->list(key);
    const Place listPlace = this->placeOf(key);
    std::vector<std::string> names;
    std::set<std::string_view> seen;
    for (size_t index = 0; index < items.size(); ++index) {
        const Place itemPlace{.parent = &listPlace, .index = index};
        std::optional<std::string> item = readName(items[index], itemPlace, this->problems);
        if (!item) {
            continue;
        }
        if (!seen.insert(items[index].value).second) {
            this->problems.add(items[index].line,
                               itemPlace,
                               fmt::format("'{}' a second time", *item),
                               "each name once");
            continue;
        }
        names.push_back(std::move(*item));
    }
    return names;
}

Place MapReader::placeOf(std::string_view key) const
{
    return Place{.parent = &this->place, .key = key};
}

int MapReader::line() const
{
    return this->node.line;
}

} // namespace samphirebridge::settings
