#include "samphirebridge/settings/utf8.h"

#include <cstdint>

namespace samphirebridge::settings
{

namespace
{

struct CodePoint {
    uint32_t value = 0;
    size_t length = 0; // In bytes; 0 if the text is not well-formed.
};

unsigned char byteAt(std::string_view text, size_t offset)
{
    return static_cast<unsigned char>(text[offset]);
}

// Returns the number of bytes of the sequence that starts with this byte; 0 if none does.
size_t sequenceLength(unsigned char lead)
{
    if (lead < 0x80) {
        return 1;
    }
    if (lead >= 0xC2 && lead < 0xE0) {
        return 2;
    }
    if (lead >= 0xE0 && lead < 0xF0) {
        return 3;
    }
    return lead >= 0xF0 && lead < 0xF5 ? 4 : 0;
}

// Returns whether a sequence of this length may encode the value: overlong forms and values above
// U+10FFFF are not well-formed.
bool isValidForLength(uint32_t value, size_t length)
{
    if (length == 3) {
        return value >= 0x800;
    }
    if (length == 4) {
        return value >= 0x10000 && value <= 0x10FFFF;
    }
    return true;
}

CodePoint decode(std::string_view text, size_t offset)
{
    const unsigned char lead = byteAt(text, offset);
    const size_t length = sequenceLength(lead);
    if (length == 0 || offset + length > text.size()) {
        return {};
    }
    uint32_t value = length == 1 ? lead : lead & (0x7FU >> length);
    for (size_t index = 1; index < length; ++index) {
        const unsigned char next = byteAt(text, offset + index);
        if ((next & 0xC0U) != 0x80U) {
            return {};
        }
        value = value << 6U | (next & 0x3FU);
    }
    if (!isValidForLength(value, length)) {
        return {};
    }
    return {value, length};
}

bool isAcceptedCodePoint(uint32_t value)
{
    if (value < 0x20) {
        return value == '\t' || value == '\n' || value == '\r';
    }
    if (value >= 0x7F && value < 0xA0) {
        return false;
    }
    if (value >= 0xD800 && value < 0xE000) {
        return false;
    }
    if (value == 0x2028 || value == 0x2029 || (value >= 0xFDD0 && value <= 0xFDEF)) {
        return false;
    }
    return (value & 0xFFFEU) != 0xFFFEU;
}

} // namespace

std::optional<size_t> findMalformedText(std::string_view text)
{
    size_t offset = 0;
    while (offset < text.size()) {
        const CodePoint point = decode(text, offset);
        if (point.length == 0 || !isAcceptedCodePoint(point.value)) {
            return offset;
        }
        offset += point.length;
    }
    return std::nullopt;
}

} // namespace samphirebridge::settings
