// Tests the commands that register a restarted instance as a holder.
#include "samphirebridge/entry/registration.h"
#include "samphirebridge/ledger/ledger.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;

namespace
{

const core::HolderId First{core::InstanceId("a"), 1};
const core::HolderId Second{core::InstanceId("a"), 2};

constexpr uint64_t MachineClock = 40;

constexpr uint64_t EpochMs = 1'700'000'000'000;

core::MachineTime machineAt(uint64_t ms)
{
    return {{MachineClock, ms}, EpochMs + ms};
}

} // namespace

TEST_CASE("all commands of one registration carry the time of the first")
{
    entry::Registration registration;
    const proto::Command first = registration.makeCommand(Second, machineAt(1'000));
    const proto::Command later = registration.makeCommand(Second, machineAt(1'700));
    CHECK(first.register_holder().sent_at().at_ms() == 1'000);
    CHECK(later.register_holder().sent_at().at_ms() == 1'000);
    CHECK(later.register_holder().holder().incarnation() == 2);
    registration.restart();
    const proto::Command renewed = registration.makeCommand(Second, machineAt(2'000));
    CHECK(renewed.register_holder().sent_at().at_ms() == 2'000);
}

TEST_CASE("after a kill of the whole fleet the time of the election does not count as isolation")
{
    ledger::Ledger ledger;
    entry::Registration predecessor;
    ledger.apply(predecessor.makeCommand(First, machineAt(10'000)), 1);
    // The process ends at 10,050 ms. Its successor sends its first command at 10,400 ms, and the
    // one that a leader receives 900 ms later.
    entry::Registration successor;
    successor.makeCommand(Second, machineAt(10'400));
    const proto::CommandResult result
        = ledger.apply(successor.makeCommand(Second, machineAt(11'300)), 2);
    REQUIRE(result.register_holder().evidence() == proto::MACHINE_CLOCK);
    CHECK(result.register_holder().isolated_at_most_ms() >= 400);
    CHECK(result.register_holder().isolated_at_most_ms() <= 420);
}
