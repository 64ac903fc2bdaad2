#include "tests/ledger/testledger.h"

#include "samphirebridge/core/digest.h"

#include <catch2/catch.hpp>

namespace samphirebridge::tests
{

namespace
{

void setHolder(proto::Holder &holder, const std::string &instance, uint64_t incarnation)
{
    holder.set_instance(instance);
    holder.set_incarnation(incarnation);
}

} // namespace

TestLedger::TestLedger()
{
    this->declare(0, 1'000, "first");
}

proto::CommandResult TestLedger::apply(proto::Command command)
{
    command.set_proposed_at_ms(this->nowMs);
    command.mutable_proposed_at()->set_clock(this->proposerClock);
    command.mutable_proposed_at()->set_at_ms(this->nowMs);
    proto::CommandResult result = this->ledger.apply(command, ++this->index);
    const absl::Status status = this->ledger.checkInvariant();
    INFO(core::messageOf(status));
    REQUIRE(status.ok());
    REQUIRE(codeOf(result) != core::ErrorCode::Internal);
    return result;
}

void TestLedger::setMachineTime(proto::ClockReading &reading) const
{
    reading.set_clock(this->machineClock);
    reading.set_at_ms(this->nowMs + static_cast<uint64_t>(this->machineClockAheadMs));
    reading.set_time_of_day_ms(this->nowMs);
}

proto::CommandResult TestLedger::registerHolder(const std::string &instance, uint64_t incarnation)
{
    proto::Command command;
    setHolder(*command.mutable_register_holder()->mutable_holder(), instance, incarnation);
    this->setMachineTime(*command.mutable_register_holder()->mutable_sent_at());
    return this->apply(command);
}

proto::CommandResult
TestLedger::retire(const std::string &instance, uint64_t incarnation, const std::string &change)
{
    proto::Command command;
    setHolder(*command.mutable_retire_holder()->mutable_holder(), instance, incarnation);
    command.mutable_retire_holder()->set_change_id(change);
    return this->apply(command);
}

proto::CommandResult TestLedger::send(proto::HolderBatch &batch)
{
    const uint64_t sequence = batch.sequence() + 1;
    proto::CommandResult result = this->sendAs(batch, sequence);
    const proto::Holder holder = batch.holder();
    batch.Clear();
    *batch.mutable_holder() = holder;
    batch.set_sequence(sequence);
    return result;
}

proto::CommandResult TestLedger::sendAs(const proto::HolderBatch &batch, uint64_t sequence)
{
    proto::Command command;
    *command.mutable_holder_batch() = batch;
    command.mutable_holder_batch()->set_sequence(sequence);
    this->setMachineTime(*command.mutable_holder_batch()->mutable_sent_at());
    return this->apply(command);
}

proto::CommandResult TestLedger::claim(const std::string &instance,
                                       uint64_t incarnation,
                                       uint64_t reservation,
                                       const std::string &key,
                                       int64_t tokens,
                                       proto::RepeatRule repeat,
                                       const std::string &body)
{
    proto::Command command;
    proto::Claim *claim = command.mutable_claim();
    setHolder(*claim->mutable_holder(), instance, incarnation);
    claim->set_reservation(reservation);
    claim->mutable_key()->set_organisation("school");
    claim->mutable_key()->set_key(key);
    claim->set_fingerprint(core::fingerprintOf({body}));
    claim->set_budget("letters");
    claim->set_tokens(tokens);
    claim->set_repeat(repeat);
    claim->set_key_retention_s(60);
    return this->apply(command);
}

proto::CommandResult
TestLedger::resolve(const std::string &key, bool ran, const std::string &change)
{
    proto::Command command;
    command.mutable_resolve_claim()->mutable_key()->set_organisation("school");
    command.mutable_resolve_claim()->mutable_key()->set_key(key);
    command.mutable_resolve_claim()->set_ran(ran);
    command.mutable_resolve_claim()->set_change_id(change);
    return this->apply(command);
}

proto::CommandResult
TestLedger::topUp(const std::string &budget, int64_t tokens, const std::string &change)
{
    proto::Command command;
    command.mutable_top_up()->set_budget(budget);
    command.mutable_top_up()->set_tokens(tokens);
    command.mutable_top_up()->set_change_id(change);
    return this->apply(command);
}

proto::CommandResult
TestLedger::release(int64_t billed, int64_t returned, const std::string &change)
{
    proto::Command command;
    command.mutable_release_quarantine()->set_budget("letters");
    command.mutable_release_quarantine()->set_billed_tokens(billed);
    command.mutable_release_quarantine()->set_returned_tokens(returned);
    command.mutable_release_quarantine()->set_change_id(change);
    return this->apply(command);
}

proto::CommandResult TestLedger::declare(uint64_t expected,
                                         int64_t tokens,
                                         const std::string &change,
                                         const std::string &budget)
{
    proto::Command command;
    proto::ApplyManifest *manifest = command.mutable_apply_manifest();
    manifest->set_expected_version(expected);
    manifest->set_change_id(change);
    manifest->mutable_delta()->add_upserts()->mutable_budget()->set_id(budget);
    manifest->mutable_delta()->mutable_upserts(0)->mutable_budget()->set_tokens(tokens);
    return this->apply(command);
}

proto::CommandResult
TestLedger::remove(uint64_t expected, const std::string &budget, const std::string &change)
{
    proto::Command command;
    proto::ApplyManifest *manifest = command.mutable_apply_manifest();
    manifest->set_expected_version(expected);
    manifest->set_change_id(change);
    manifest->mutable_delta()->add_removals()->set_id(budget);
    manifest->mutable_delta()->mutable_removals(0)->set_kind(proto::BUDGET);
    return this->apply(command);
}

proto::BudgetState TestLedger::budget() const
{
    return this->ledger.budgets().at(0);
}

core::ErrorCode codeOf(const proto::CommandResult &result)
{
    return static_cast<core::ErrorCode>(result.error_code());
}

proto::HolderBatch batchOf(const std::string &instance, uint64_t incarnation)
{
    proto::HolderBatch batch;
    setHolder(*batch.mutable_holder(), instance, incarnation);
    return batch;
}

void addOpening(proto::HolderBatch &batch, uint64_t reservation, int64_t tokens)
{
    proto::Opening *opening = batch.add_openings();
    opening->set_reservation(reservation);
    opening->set_budget("letters");
    opening->set_tokens(tokens);
}

proto::Settlement &
addSettlement(proto::HolderBatch &batch, uint64_t reservation, int64_t reserved, int64_t used)
{
    proto::Settlement *settlement = batch.add_settlements();
    settlement->set_reservation(reservation);
    settlement->set_budget("letters");
    settlement->set_reserved_tokens(reserved);
    settlement->set_used_tokens(used);
    return *settlement;
}

void addRequest(proto::HolderBatch &batch, int64_t wanted, int64_t minimum)
{
    proto::EscrowRequest *request = batch.add_requests();
    request->set_budget("letters");
    request->set_wanted_tokens(wanted);
    request->set_minimum_tokens(minimum);
}

void addReturn(proto::HolderBatch &batch, int64_t tokens)
{
    proto::EscrowReturn *returned = batch.add_returns();
    returned->set_budget("letters");
    returned->set_tokens(tokens);
}

} // namespace samphirebridge::tests
