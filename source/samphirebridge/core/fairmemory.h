// Divides a memory of the process between many users, such as the answers that wait in it, or the
// bodies of requests.
#pragma once

#include <cstddef>

namespace samphirebridge::core
{

// A user may take no more than it leaves free for all others, so a few large or endless ones never
// take all of it, and a small one doesn't depend on what others hold.
class FairMemory
{
public:
    // Every user may take so much, in bytes, whatever others hold.
    static constexpr size_t GuaranteedBytes = size_t{16} * 1024;

    explicit FairMemory(size_t capacityBytes);

    // Tells whether a user that holds `held` bytes may hold `more` in addition, while so many bytes
    // that are accounted elsewhere are queued.
    [[nodiscard]] bool mayHold(size_t held, size_t more, size_t queued) const;

    // Accounts for bytes that a user holds from now on, or no longer.
    void add(size_t bytes);
    void remove(size_t bytes);

    // Returns the bytes that all users hold, without those that are queued.
    [[nodiscard]] size_t heldBytes() const;

private:
    size_t capacity;
    size_t total = 0;
};

} // namespace samphirebridge::core
