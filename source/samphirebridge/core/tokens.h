// Amounts of tokens, the unit in which budgets are counted.
#pragma once

#include <compare>
#include <cstdint>

namespace samphirebridge::core
{

// A signed amount of tokens. Sums are not checked for overflow: single amounts are limited to
// MaximumPurchase, so that thousands of them fit into 64 bits.
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

// The largest amount of tokens that a manifest, a declaration or a top-up may name.
inline constexpr Tokens MaximumPurchase{1'000'000'000'000'000};

} // namespace samphirebridge::core
