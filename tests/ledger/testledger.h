// A ledger with one budget of 1,000 tokens and short ways to command it.
#pragma once

#include "samphirebridge/core/errors.h"
#include "samphirebridge/ledger/ledger.h"

#include <string>

namespace samphirebridge::tests
{

class TestLedger
{
public:
    TestLedger();

    // Applies the command at the present time; every apply ends with a full check.
    proto::CommandResult apply(proto::Command command);

    proto::CommandResult registerHolder(const std::string &instance, uint64_t incarnation);
    proto::CommandResult
    retire(const std::string &instance, uint64_t incarnation, const std::string &change);

    // Sends the holder's next batch and empties it for the one after.
    proto::CommandResult send(proto::HolderBatch &batch);
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

    // Sets what the holder's machine says of the time now.
    void stamp(proto::ClockReading &reading) const;

    ledger::Ledger ledger;
    uint64_t nowMs = 1'000'000;
    uint64_t index = 0; // Of the last command.
    uint64_t proposerClock = 0; // That commands are stamped with; 0: none.
    int64_t machineClockAheadMs = 0; // Of the time of day.
    uint64_t machineClock = 0; // That holders' messages are stamped with; 0: none.
};

core::ErrorCode codeOf(const proto::CommandResult &result);

// A batch of the holder with no content and sequence 0.
proto::HolderBatch batchOf(const std::string &instance, uint64_t incarnation);
void addOpening(proto::HolderBatch &batch, uint64_t reservation, int64_t tokens);
proto::Settlement &
addSettlement(proto::HolderBatch &batch, uint64_t reservation, int64_t reserved, int64_t used);
void addRequest(proto::HolderBatch &batch, int64_t wanted, int64_t minimum);
void addReturn(proto::HolderBatch &batch, int64_t tokens);

} // namespace samphirebridge::tests
