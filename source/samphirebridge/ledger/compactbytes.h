// A string of fixed length in 16 bytes, and one allocation where it is longer than 12, for records
// that are held by the million.
#pragma once

#include <array>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <utility>

namespace samphirebridge::ledger
{

class CompactBytes
{
public:
    CompactBytes() = default;

    explicit CompactBytes(std::string_view bytes)
        : length(static_cast<uint32_t>(bytes.size()))
    {
        char *target = this->place.data();
        if (!this->isInline()) {
            target = new char[bytes.size()];
            std::memcpy(this->place.data(), &target, sizeof(target));
        }
        if (!bytes.empty()) {
            std::memcpy(target, bytes.data(), bytes.size());
        }
    }

    CompactBytes(const CompactBytes &) = delete;
    CompactBytes &operator=(const CompactBytes &) = delete;

    CompactBytes(CompactBytes &&other) noexcept
    {
        this->swap(other);
    }

    CompactBytes &operator=(CompactBytes &&other) noexcept
    {
        CompactBytes moved(std::move(other));
        this->swap(moved);
        return *this;
    }

    ~CompactBytes()
    {
        if (!this->isInline()) {
            delete[] this->outside();
        }
    }

    [[nodiscard]] std::string_view view() const
    {
        return {this->isInline() ? this->place.data() : this->outside(), this->length};
    }

private:
    [[nodiscard]] bool isInline() const
    {
        return this->length <= this->place.size();
    }

    [[nodiscard]] char *outside() const
    {
        char *pointer = nullptr;
        std::memcpy(&pointer, this->place.data(), sizeof(pointer));
        return pointer;
    }

    void swap(CompactBytes &other)
    {
        std::swap(this->length, other.length);
        std::swap(this->place, other.place);
    }

    uint32_t length = 0;
    std::array<char, 12> place{}; // The bytes, or the address of those outside.
};

} // namespace samphirebridge::ledger
