// Divides the memory for the answers that wait in the process: those that are held until they are
// complete, and those that are queued for callers who read slowly.
#pragma once

#include <cstddef>

namespace samphirebridge::forwarding
{

// An answer may take no more than it leaves free for all others, so a few large or endless ones
// never take all of it, and a small answer doesn't depend on what others hold.
class AnswerMemory
{
public:
    // Every answer may take so much, in bytes, whatever others hold.
    static constexpr size_t GuaranteedBytes = size_t{16} * 1024;

    explicit AnswerMemory(size_t capacityBytes);

    // Tells whether an answer that holds `held` bytes may hold `more` in addition, while that many
    // bytes of answers are queued for callers.
    [[nodiscard]] bool mayHold(size_t held, size_t more, size_t queued) const;

    // Accounts for bytes that an answer holds from now on, or no longer.
    void add(size_t bytes);
    void remove(size_t bytes);

    // Returns the bytes that all answers hold, without those that are queued.
    [[nodiscard]] size_t heldBytes() const;

private:
    size_t capacity;
    size_t total = 0;
};

} // namespace samphirebridge::forwarding
