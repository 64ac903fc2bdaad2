// An immutable byte string that takes 16 bytes, plus one allocation if it is longer than 12 bytes.
// Used in records of which there are millions.
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
        char *destination = this->storage.data();
        if (!this->isInline()) {
            destination = new char[bytes.size()];
            std::memcpy(this->storage.data(), &destination, sizeof(destination));
        }
        if (!bytes.empty()) {
            std::memcpy(destination, bytes.data(), bytes.size());
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
            delete[] this->allocated();
        }
    }

    [[nodiscard]] std::string_view view() const
    {
        return {this->isInline() ? this->storage.data() : this->allocated(), this->length};
    }

private:
    [[nodiscard]] bool isInline() const
    {
        return this->length <= this->storage.size();
    }

    [[nodiscard]] char *allocated() const
    {
        char *pointer = nullptr;
        std::memcpy(&pointer, this->storage.data(), sizeof(pointer));
        return pointer;
    }

    void swap(CompactBytes &other)
    {
        std::swap(this->length, other.length);
        std::swap(this->storage, other.storage);
    }

    uint32_t length = 0;
    std::array<char, 12> storage{}; // The bytes, or the address of the allocated ones.
};

} // namespace samphirebridge::ledger
