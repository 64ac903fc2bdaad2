// A ledger with one declared budget, "letters", of 1,000 tokens, and helpers that build and apply
// commands.
#pragma once

#include "samphirebridge/core/errors.h"
#include "samphirebridge/ledger/ledger.h"

#include <string>

namespace samphirebridge::tests
{

// Claims and keys belong to organisation "school". Helpers without a budget parameter use
// "letters".
class TestLedger
{
public:
    TestLedger();

    // Applies the command, proposed at `nowMs`, and checks the ledger's invariant.
    proto::CommandResult apply(proto::Command command);

    proto::CommandResult registerHolder(const std::string &instance, uint64_t incarnation);
    proto::CommandResult
    retire(const std::string &instance, uint64_t incarnation, const std::string &change);

    // Sends the batch as the holder's next one, then clears it except for its holder and sequence.
    proto::CommandResult send(proto::HolderBatch &batch);

    // Sends the batch under the given sequence number.
    proto::CommandResult sendAs(const proto::HolderBatch &batch, uint64_t sequence);

    proto::CommandResult claim(const std::string &instance,
                               uint64_t incarnation,
                               uint64_t reservation,
                               const std::string &key,
                               int64_t tokens,
                               proto::RepeatRule repeat = proto::NEVER,
                               const std::string &body = "body");
    proto::CommandResult resolve(const std::string &key, bool ran, const std::string &change);
    proto::CommandResult
    topUp(const std::string &budget, int64_t tokens, const std::string &change);
    proto::CommandResult release(int64_t billed, int64_t returned, const std::string &change);
    proto::CommandResult declare(uint64_t expected,
                                 int64_t tokens,
                                 const std::string &change,
                                 const std::string &budget = "letters");
    proto::CommandResult
    remove(uint64_t expected, const std::string &budget, const std::string &change);

    [[nodiscard]] proto::BudgetState budget() const;

    // Sets the reading to the present time by the clocks of the holder's instance.
    void setMachineTime(proto::ClockReading &reading) const;

    ledger::Ledger ledger;
    uint64_t nowMs = 1'000'000;
    uint64_t index = 0; // Log index of the last command.
    uint64_t proposerClock = 0; // Clock id of the commands' proposal times; 0 means no clock.
    int64_t machineClockAheadMs = 0; // How far the clock since boot is ahead of the time of day.
    uint64_t machineClock = 0; // Clock id of the holders' sending times; 0 means no clock.
};

core::ErrorCode codeOf(const proto::CommandResult &result);

// Returns an empty batch of the holder with sequence 0.
proto::HolderBatch batchOf(const std::string &instance, uint64_t incarnation);

// The following functions add an entry for budget "letters" to the batch.
void addOpening(proto::HolderBatch &batch, uint64_t reservation, int64_t tokens);
proto::Settlement &
addSettlement(proto::HolderBatch &batch, uint64_t reservation, int64_t reserved, int64_t used);
void addRequest(proto::HolderBatch &batch, int64_t wanted, int64_t minimum);
void addReturn(proto::HolderBatch &batch, int64_t tokens);

} // namespace samphirebridge::tests
