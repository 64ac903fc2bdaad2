// Amounts of tokens, the unit of every budget.
#pragma once

#include <compare>
#include <cstdint>

namespace samphirebridge::core
{

// A signed amount of tokens. Sums stay far below the range of 64 bits: the largest purchase that a
// manifest or a top-up may name is MaximumPurchase.
struct Tokens {
    int64_t count = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the zero in <=> for a pointer.
    friend constexpr auto operator<=>(Tokens, Tokens) = default;

    friend constexpr Tokens operator+(Tokens left, Tokens right)
    {
        return Tokens{left.count + right.count};
    }

    friend constexpr Tokens operator-(Tokens left, Tokens right)
    {
        return Tokens{left.count - right.count};
    }

    constexpr Tokens &operator+=(Tokens other)
    {
        this->count += other.count;
        return *this;
    }

    constexpr Tokens &operator-=(Tokens other)
    {
        this->count -= other.count;
        return *this;
    }
};

// The largest amount that one declaration or top-up may name.
inline constexpr Tokens MaximumPurchase{1'000'000'000'000'000};

} // namespace samphirebridge::core
