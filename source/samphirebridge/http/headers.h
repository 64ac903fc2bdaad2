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

// Header fields in the order of their arrival; names compare without regard to case.
class Headers
{
public:
    Headers() = default;
    Headers(std::initializer_list<Header> fields);

    // Appends a field, also if one of that name is there already.
    void add(std::string_view name, std::string_view value);

    // Replaces every field of that name by one.
    void set(std::string_view name, std::string_view value);

    // Removes every field of that name.
    void remove(std::string_view name);

    // Returns the first field's value. The view lives as long as the field.
    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const;

    // Returns how many fields carry that name.
    [[nodiscard]] size_t count(std::string_view name) const;

    [[nodiscard]] const std::vector<Header> &fields() const
    {
        return this->entries;
    }

private:
    std::vector<Header> entries;
};

// Compares ASCII text without regard to case.
bool equalIgnoringCase(std::string_view left, std::string_view right);

// Percent-encodes what may not stand in the path of a URL; '/' stays.
std::string encodePath(std::string_view path);

} // namespace samphirebridge::http
