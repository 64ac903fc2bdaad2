// The places of a continuous batch.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <set>
#include <utility>

namespace samphirebridge::standins
{

// Hands out a fixed number of places, lowest priority number first, then first come. Usable from
// many threads.
class Slots
{
public:
    explicit Slots(int64_t capacity);

    // Waits for a place; false when `gaveUp`, asked every few milliseconds, turned true first.
    template <typename GaveUp>
    bool take(int64_t priority, GaveUp gaveUp)
    {
        std::unique_lock lock(this->mutex);
        const auto ticket = this->waiting.emplace(priority, this->nextTicket++).first;
        while (this->busy >= this->capacity || this->waiting.begin() != ticket) {
            this->changed.wait_for(lock, PollInterval);
            if (gaveUp()) {
                this->waiting.erase(ticket);
                this->changed.notify_all();
                return false;
            }
        }
        this->waiting.erase(ticket);
        ++this->busy;
        this->changed.notify_all();
        return true;
    }

    void giveBack();

    [[nodiscard]] int64_t running() const;
    [[nodiscard]] int64_t queued() const;

private:
    static constexpr std::chrono::milliseconds PollInterval{20};

    int64_t capacity;
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::set<std::pair<int64_t, uint64_t>> waiting;
    uint64_t nextTicket = 0;
    int64_t busy = 0;
};

} // namespace samphirebridge::standins
