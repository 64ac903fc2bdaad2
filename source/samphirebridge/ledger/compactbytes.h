// A string of fixed length in one allocation and 16 bytes, for records that are held by the
// million.
#pragma once

#include <cstdint>
#include <cstring>
#include <memory>
#include <string_view>

namespace samphirebridge::ledger
{

class CompactBytes
{
public:
    CompactBytes() = default;

    explicit CompactBytes(std::string_view bytes)
        : length(static_cast<uint32_t>(bytes.size()))
    {
        if (!bytes.empty()) {
            this->data.reset(new char[bytes.size()]);
            std::memcpy(this->data.get(), bytes.data(), bytes.size());
        }
    }

    [[nodiscard]] std::string_view view() const
    {
        return {this->data.get(), this->length};
    }

private:
    std::unique_ptr<char[]> data;
    uint32_t length = 0;
};

} // namespace samphirebridge::ledger
