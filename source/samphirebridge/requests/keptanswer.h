// The bytes that went to a caller, as far as they may be stored for its key.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace samphirebridge::requests
{

// Collects bytes up to a bound; once it is passed, nothing is kept.
class KeptAnswer
{
public:
    explicit KeptAnswer(size_t maximumBytes)
        : maximumBytes(maximumBytes)
    {
    }

    void append(std::string_view more)
    {
        this->outgrown = this->outgrown || this->bytes.size() + more.size() > this->maximumBytes;
        if (this->outgrown) {
            this->bytes.clear();
            return;
        }
        this->bytes += more;
    }

    // Returns everything appended and `ending`; nothing if that is more than the bound.
    [[nodiscard]] std::optional<std::string> with(std::string_view ending) const
    {
        if (this->outgrown || this->bytes.size() + ending.size() > this->maximumBytes) {
            return std::nullopt;
        }
        return this->bytes + std::string(ending);
    }

private:
    size_t maximumBytes;
    std::string bytes;
    bool outgrown = false;
};

} // namespace samphirebridge::requests
