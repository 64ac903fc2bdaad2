#include "samphirebridge/http/headers.h"
#include "samphirebridge/http/request.h"

#include <algorithm>

namespace samphirebridge::http
{

namespace
{

char lowerCase(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool isPathCharacter(char letter)
{
    constexpr std::string_view Symbols = "-._~/!$&'()*+,;=:@";
    const bool isAlphanumeric = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z')
                                || (letter >= '0' && letter <= '9');
    return isAlphanumeric || Symbols.find(letter) != std::string_view::npos;
}

} // namespace

Headers::Headers(std::initializer_list<Header> fields)
    : entries(fields)
{
}

void Headers::add(std::string_view name, std::string_view value)
{
    this->entries.push_back(Header{std::string(name), std::string(value)});
}

void Headers::set(std::string_view name, std::string_view value)
{
    this->remove(name);
    this->add(name, value);
}

void Headers::remove(std::string_view name)
{
    std::erase_if(this->entries,
                  [name](const Header &field) { return equalIgnoringCase(field.name, name); });
}

std::optional<std::string_view> Headers::find(std::string_view name) const
{
    for (const Header &field : this->entries) {
        if (equalIgnoringCase(field.name, name)) {
            return field.value;
        }
    }
    return std::nullopt;
}

size_t Headers::count(std::string_view name) const
{
    const auto found
        = std::count_if(this->entries.begin(), this->entries.end(), [name](const Header &field) {
              return equalIgnoringCase(field.name, name);
          });
    return static_cast<size_t>(found);
}

bool equalIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return lowerCase(a) == lowerCase(b);
    });
}

std::string encodePath(std::string_view path)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    constexpr unsigned HalfByteBits = 4;
    constexpr unsigned HalfByteMask = 15;
    std::string encoded;
    for (const char letter : path) {
        if (isPathCharacter(letter)) {
            encoded += letter;
            continue;
        }
        const unsigned value = static_cast<unsigned char>(letter);
        encoded += '%';
        encoded += Digits[value >> HalfByteBits];
        encoded += Digits[value & HalfByteMask];
    }
    return encoded;
}

std::string_view bearerToken(const Request &request)
{
    constexpr std::string_view Scheme = "Bearer ";
    const std::string_view value = request.headers.find("Authorization").value_or("");
    if (!equalIgnoringCase(value.substr(0, Scheme.size()), Scheme)) {
        return {};
    }
    return value.substr(Scheme.size());
}

} // namespace samphirebridge::http
