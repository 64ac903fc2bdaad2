// Collects the answer that is sent to a caller, so that it can be stored for the request's key.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace samphirebridge::requests
{

// Collects bytes up to a limit. An answer that exceeds the limit is dropped entirely.
class KeptAnswer
{
public:
    explicit KeptAnswer(size_t maximumBytes)
        : maximumBytes(maximumBytes)
    {
    }

    void append(std::string_view more)
    {
        this->overflowed
            = this->overflowed || this->bytes.size() + more.size() > this->maximumBytes;
        if (this->overflowed) {
            this->bytes.clear();
            return;
        }
        this->bytes += more;
    }

    // Returns all appended bytes followed by `ending`; nothing if that exceeds the limit.
    [[nodiscard]] std::optional<std::string> withEnding(std::string_view ending) const
    {
        if (this->overflowed || this->bytes.size() + ending.size() > this->maximumBytes) {
            return std::nullopt;
        }
        return this->bytes + std::string(ending);
    }

private:
    size_t maximumBytes;
    std::string bytes;
    bool overflowed = false;
};

} // namespace samphirebridge::requests
