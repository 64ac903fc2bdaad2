// Measures the ledger and the escrow book: `ledgerbench
// applies|memory|snapshot|refusals|exposure`.
#include "tests/budget/fleetsimulation.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/ledger/ledger.h"

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

using namespace samphirebridge;

namespace
{

constexpr int Budgets = 55'000;

std::string budgetName(int index)
{
    return fmt::format("organisation-{:03}/budget-{:05}", index % 400, index);
}

double secondsSince(core::TimePoint start)
{
    return std::chrono::duration<double>(core::SteadyClock().now() - start).count();
}

size_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

void declareBudgets(ledger::Ledger &ledger, int count, int64_t tokens)
{
    proto::Command command;
    command.mutable_apply_manifest()->set_change_id("budgets");
    for (int index = 0; index < count; ++index) {
        proto::Budget *budget
            = command.mutable_apply_manifest()->mutable_delta()->add_upserts()->mutable_budget();
        budget->set_id(budgetName(index));
        budget->set_organisation(fmt::format("organisation-{:03}", index % 400));
        budget->set_tokens(tokens);
    }
    ledger.apply(command, 0);
}

proto::Holder holderOf(int index)
{
    proto::Holder holder;
    holder.set_instance(fmt::format("instance-{}", index));
    holder.set_incarnation(1'700'000'000'000ULL + static_cast<uint64_t>(index));
    return holder;
}

void registerHolders(ledger::Ledger &ledger, int count)
{
    for (int index = 0; index < count; ++index) {
        proto::Command command;
        *command.mutable_register_holder()->mutable_holder() = holderOf(index);
        ledger.apply(command, 0);
    }
}

// Grants every holder a share of each budget.
void grantShares(ledger::Ledger &ledger, int holders, int budgets, uint64_t sequence)
{
    for (int holder = 0; holder < holders; ++holder) {
        proto::Command command;
        proto::HolderBatch *batch = command.mutable_holder_batch();
        *batch->mutable_holder() = holderOf(holder);
        batch->set_sequence(sequence);
        for (int index = 0; index < budgets; ++index) {
            proto::EscrowRequest *request = batch->add_requests();
            request->set_budget(budgetName(index));
            request->set_wanted_tokens(10'000);
        }
        ledger.apply(command, 0);
    }
}

std::string keyName(uint64_t index)
{
    return fmt::format("{}-key", core::toHex(core::fingerprintOf({std::to_string(index)})));
}

void claim(ledger::Ledger &ledger, uint64_t index)
{
    proto::Command command;
    proto::Claim *message = command.mutable_claim();
    *message->mutable_holder() = holderOf(0);
    message->set_reservation(index);
    message->mutable_key()->set_organisation("organisation-001");
    message->mutable_key()->set_key(keyName(index));
    message->set_fingerprint(core::fingerprintOf({"body"}));
    message->set_budget(budgetName(0));
    message->set_tokens(1);
    message->set_key_retention_s(900);
    ledger.apply(command, 0);
}

void measureApplies()
{
    constexpr int Holders = 8;
    constexpr int Batches = 20'000;
    constexpr int Records = 8;
    ledger::Ledger ledger;
    declareBudgets(ledger, Budgets, 1'000'000'000);
    registerHolders(ledger, Holders);
    grantShares(ledger, Holders, 1'000, 1);
    std::vector<proto::Command> commands;
    for (int index = 0; index < Batches; ++index) {
        proto::HolderBatch *batch = commands.emplace_back().mutable_holder_batch();
        *batch->mutable_holder() = holderOf(index % Holders);
        batch->set_sequence(static_cast<uint64_t>(index / Holders) + 2);
        for (int record = 0; record < Records; ++record) {
            const uint64_t reservation = static_cast<uint64_t>(index) * Records + record;
            proto::Opening *opening = batch->add_openings();
            opening->set_reservation(reservation);
            opening->set_budget(budgetName((index + record) % 1'000));
            opening->set_tokens(1);
            if (index < Holders) {
                continue;
            }
            proto::Settlement *settlement = batch->add_settlements();
            settlement->set_reservation(reservation - static_cast<uint64_t>(Holders) * Records);
            settlement->set_budget(budgetName((index - Holders + record) % 1'000));
            settlement->set_reserved_tokens(1);
            settlement->set_used_tokens(1);
        }
    }
    const core::TimePoint start = core::SteadyClock().now();
    for (const proto::Command &command : commands) {
        if (ledger.apply(command, 0).error_code() != 0) {
            fmt::print("a batch was refused\n");
        }
    }
    const double seconds = secondsSince(start);
    fmt::print("batches: {} with {} openings and {} settlements each, {:.0f} applies/s, {} bytes\n",
               Batches,
               Records,
               Records,
               Batches / seconds,
               commands.back().ByteSizeLong());
    constexpr uint64_t Claims = 200'000;
    const core::TimePoint claimStart = core::SteadyClock().now();
    for (uint64_t index = 0; index < Claims; ++index) {
        claim(ledger, 10'000'000 + index);
    }
    fmt::print("claims: {:.0f} applies/s, messages built included\n",
               Claims / secondsSince(claimStart));
}

void measureMemory()
{
    ledger::Ledger ledger;
    const size_t atStart = heapBytes();
    declareBudgets(ledger, Budgets, 1'000'000'000);
    const size_t withBudgets = heapBytes();
    constexpr int Holders = 8;
    registerHolders(ledger, Holders);
    grantShares(ledger, Holders, Budgets, 1);
    const size_t withShares = heapBytes();
    constexpr int Claims = 500'000;
    proto::Command grant;
    *grant.mutable_holder_batch()->mutable_holder() = holderOf(0);
    grant.mutable_holder_batch()->set_sequence(2);
    proto::EscrowRequest *request = grant.mutable_holder_batch()->add_requests();
    request->set_budget(budgetName(0));
    request->set_minimum_tokens(Claims);
    ledger.apply(grant, 0);
    grant.Clear();
    const size_t beforeClaims = heapBytes();
    uint64_t sequence = 3;
    for (uint64_t index = 1; index <= Claims; ++index) {
        claim(ledger, index);
        proto::Settlement *settlement = grant.mutable_holder_batch()->add_settlements();
        settlement->set_reservation(index);
        settlement->set_budget(budgetName(0));
        settlement->set_reserved_tokens(1);
        settlement->mutable_key()->set_organisation("organisation-001");
        settlement->mutable_key()->set_key(keyName(index));
        settlement->mutable_answer()->set_outcome(proto::RAN);
        settlement->mutable_answer()->set_http_status(200);
        if (grant.holder_batch().settlements_size() == 1'000) {
            *grant.mutable_holder_batch()->mutable_holder() = holderOf(0);
            grant.mutable_holder_batch()->set_sequence(sequence++);
            ledger.apply(grant, 0);
            grant.Clear();
        }
    }
    const size_t finished = heapBytes();
    for (uint64_t index = 1; index <= Claims; ++index) {
        claim(ledger, Claims + index);
    }
    const size_t withClaims = heapBytes();
    fmt::print("{} budgets: {} bytes each, the manifest's entity and the recent delta included\n",
               Budgets,
               (withBudgets - atStart) / Budgets);
    fmt::print("a holder's share of a budget: {} bytes\n",
               (withShares - withBudgets) / (static_cast<size_t>(Budgets) * Holders));
    fmt::print("a running claim with a key of 36 bytes: {} bytes, its open reservation included\n",
               (withClaims - finished) / Claims);
    fmt::print("a finished claim without a stored answer: {} bytes\n",
               (finished - beforeClaims) / Claims);
}

void measureSnapshot()
{
    constexpr int Holders = 8;
    ledger::Ledger ledger;
    declareBudgets(ledger, Budgets, 1'000'000'000);
    registerHolders(ledger, Holders);
    grantShares(ledger, Holders, Budgets, 1);
    core::TimePoint start = core::SteadyClock().now();
    const proto::LedgerSnapshot snapshot = ledger.snapshot();
    const double taken = secondsSince(start);
    start = core::SteadyClock().now();
    const std::string bytes = snapshot.SerializeAsString();
    const double written = secondsSince(start);
    ledger::Ledger restored;
    start = core::SteadyClock().now();
    const bool whole = restored.restore(snapshot).ok();
    fmt::print("{} budgets with {} shares each: snapshot {:.3f} s, serialised in {:.3f} s to {} "
               "bytes, restored {} in {:.3f} s\n",
               Budgets,
               Holders,
               taken,
               written,
               bytes.size(),
               whole,
               secondsSince(start));
}

// Weighs a record before dispatch (exposure 0) against windows of unrecorded openings.
void measureExposure()
{
    for (const int64_t exposure : {0, 1'000, 10'000, 100'000}) {
        tests::FleetOptions options;
        options.seed = 7;
        options.nodes = 8;
        options.budgets = 1;
        options.declaredTokens = 100'000'000;
        options.exposureTokens = std::max<int64_t>(exposure, 1);
        options.maximumBound = 4'000;
        options.maximumDurationMs = 48'000;
        options.arrivalMs = 40;
        options.runMs = 60'000;
        options.faults = false;
        options.killEveryMs = 3'000;
        options.keyedPercent = 0;
        tests::FleetSimulation simulation(options);
        const std::string failure = simulation.run();
        const tests::FleetTotals &totals = simulation.totals();
        fmt::print("exposure {}: {} requests waited {:.1f} ms on average; {} kills quarantined {} "
                   "tokens each by reservation and {} as unrecorded; {:.0f} bytes of batches a "
                   "request {}\n",
                   exposure,
                   totals.dispatched,
                   static_cast<double>(totals.waitedMs) / static_cast<double>(totals.dispatched),
                   totals.kills,
                   totals.quarantinedOpen / totals.kills,
                   totals.quarantinedUnrecorded / totals.kills,
                   static_cast<double>(totals.batchBytes) / static_cast<double>(totals.dispatched),
                   failure);
    }
}

double percent(const tests::CoveredRequests &covered)
{
    const int64_t all = std::max<int64_t>(covered.served + covered.refused, 1);
    return 100.0 * static_cast<double>(covered.refused) / static_cast<double>(all);
}

void measureRefusals()
{
    struct Load {
        int64_t declared;
        int arrivalMs;
        int runMs;
    };
    const std::vector<Load> loads{{400'000, 40, 20'000},
                                  {4'000'000, 40, 60'000},
                                  {400'000, 800, 120'000},
                                  {4'000'000, 800, 600'000}};
    for (const Load &load : loads) {
        const int64_t declared = load.declared;
        tests::FleetTotals sums;
        for (uint64_t seed = 1; seed <= 20; ++seed) {
            tests::FleetOptions options;
            options.seed = seed;
            options.nodes = 8;
            options.budgets = 1;
            options.declaredTokens = declared;
            options.exposureTokens = 100'000;
            options.maximumBound = 4'000;
            options.arrivalMs = load.arrivalMs;
            options.runMs = load.runMs;
            options.faults = false;
            options.keyedPercent = 0;
            tests::FleetSimulation simulation(options);
            const std::string failure = simulation.run();
            if (!failure.empty()) {
                fmt::print("{}\n", failure);
            }
            const tests::FleetTotals &totals = simulation.totals();
            sums.beforeLast.served += totals.beforeLast.served;
            sums.beforeLast.refused += totals.beforeLast.refused;
            sums.lastPart.served += totals.lastPart.served;
            sums.lastPart.refused += totals.lastPart.refused;
            sums.exhausted += totals.exhausted;
            sums.expired += totals.expired;
            sums.unconfirmed += totals.unconfirmed;
            sums.billed += totals.billed;
            sums.purchased += totals.purchased;
        }
        fmt::print(
            "{} tokens, 8 holders, 20 seeds: refused though covered {} of {} ({:.3f} %) above "
            "the last 2 %, {} of {} ({:.3f} %) in it; exhausted {}, waited to the deadline "
            "{}, unconfirmed {}; billed {:.3f} % of what was purchased\n",
            declared,
            sums.beforeLast.refused,
            sums.beforeLast.refused + sums.beforeLast.served,
            percent(sums.beforeLast),
            sums.lastPart.refused,
            sums.lastPart.refused + sums.lastPart.served,
            percent(sums.lastPart),
            sums.exhausted,
            sums.expired,
            sums.unconfirmed,
            100.0 * static_cast<double>(sums.billed) / static_cast<double>(sums.purchased));
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::string_view what = argc > 1 ? argv[1] : "";
    if (what == "applies") {
        measureApplies();
    } else if (what == "memory") {
        measureMemory();
    } else if (what == "snapshot") {
        measureSnapshot();
    } else if (what == "refusals") {
        measureRefusals();
    } else if (what == "exposure") {
        measureExposure();
    } else {
        fmt::print("usage: ledgerbench applies|memory|snapshot|refusals|exposure\n");
        return 1;
    }
    return 0;
}
