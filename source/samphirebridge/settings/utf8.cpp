#include "samphirebridge/settings/utf8.h"

#include <cstdint>

namespace samphirebridge::settings
{

namespace
{

struct CodePoint {
    uint32_t value = 0;
    size_t length = 0; // 0: not well-formed.
};

unsigned char byteAt(std::string_view text, size_t offset)
{
    return static_cast<unsigned char>(text[offset]);
}

size_t lengthOf(unsigned char lead)
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

// Whether a sequence of this length may carry the value: no overlong forms, nothing above U+10FFFF.
bool fits(uint32_t value, size_t length)
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
    const size_t length = lengthOf(lead);
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
    if (!fits(value, length)) {
        return {};
    }
    return {value, length};
}

bool isAccepted(uint32_t value)
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
        if (point.length == 0 || !isAccepted(point.value)) {
            return offset;
        }
        offset += point.length;
    }
    return std::nullopt;
}

} // namespace samphirebridge::settings
