// Header fields of HTTP messages.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::http
{

// One header field.
struct Header {
    std::string name;
    std::string value;
};

// Header fields in the order of insertion; names compare case-insensitively.
class Headers
{
public:
    Headers() = default;
    Headers(std::initializer_list<Header> fields);

    // Appends a field, also if there is one of that name already.
    void add(std::string_view name, std::string_view value);

    // Replaces all fields of that name by one, which is appended.
    void set(std::string_view name, std::string_view value);

    // Removes every field of that name.
    void remove(std::string_view name);

    // Returns the value of the first field of that name. The view is valid until the headers
    // change.
    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const;

    // Returns the number of fields of that name.
    [[nodiscard]] size_t count(std::string_view name) const;

    [[nodiscard]] const std::vector<Header> &fields() const
    {
        return this->entries;
    }

private:
    std::vector<Header> entries;
};

// Compares ASCII text case-insensitively.
bool equalIgnoringCase(std::string_view left, std::string_view right);

// Percent-encodes the characters that are not allowed in the path of a URL; '/' is kept.
std::string encodePath(std::string_view path);

} // namespace samphirebridge::http
