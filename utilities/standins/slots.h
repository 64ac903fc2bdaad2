// The slots of an inference engine's continuous batch.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <set>
#include <utility>

namespace samphirebridge::standins
{

// A fixed number of slots, granted by lowest priority number, then in order of arrival.
// Thread-safe.
class Slots
{
public:
    explicit Slots(int64_t capacity);

    // Waits for a slot. Returns false without one if `isCancelled`, polled while it waits,
    // returns true.
    template <typename IsCancelled>
    bool acquire(int64_t priority, IsCancelled isCancelled)
    {
        std::unique_lock lock(this->mutex);
        const auto ticket = this->waitingTickets.emplace(priority, this->nextTicket++).first;
        while (this->busy >= this->capacity || this->waitingTickets.begin() != ticket) {
            this->queueChanged.wait_for(lock, PollInterval);
            if (isCancelled()) {
                this->waitingTickets.erase(ticket);
                this->queueChanged.notify_all();
                return false;
            }
        }
        this->waitingTickets.erase(ticket);
        ++this->busy;
        this->queueChanged.notify_all();
        return true;
    }

    // Frees a slot that acquire() granted.
    void release();

    [[nodiscard]] int64_t running() const; // Slots in use.
    [[nodiscard]] int64_t queued() const; // Callers that wait for a slot.

private:
    static constexpr std::chrono::milliseconds PollInterval{20};

    int64_t capacity;
    mutable std::mutex mutex;
    std::condition_variable queueChanged;
    std::set<std::pair<int64_t, uint64_t>> waitingTickets; // Priority and ticket.
    uint64_t nextTicket = 0;
    int64_t busy = 0;
};

} // namespace samphirebridge::standins
