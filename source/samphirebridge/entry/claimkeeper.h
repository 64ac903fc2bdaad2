// Claims request keys at the quorum before dispatch.
#pragma once

#include "samphirebridge/entry/escrowkeeper.h"

#include "ledger.pb.h"

#include <functional>
#include <optional>
#include <string>

namespace samphirebridge::entry
{

// What identifies a keyed request and what it needs.
struct ClaimRequest {
    core::RequestKey key;
    std::string fingerprint; // core::FingerprintLength bytes.
    proto::RepeatRule repeat = proto::REPEATABLE;
    uint32_t keyRetentionSeconds = 0;
    ReservationRequest reservation;
};

enum class ClaimOutcome : uint8_t {
    Claimed,
    TakenOver, // Claimed after its first holder was over: it may have run before.
    Finished, // The stored answer is set.
    Refused, // The reason is set.
};

struct ClaimAnswer {
    ClaimOutcome outcome = ClaimOutcome::Refused;
    budget::ReservationId reservation = 0;
    core::RefusalReason reason = core::RefusalReason::ClaimUnavailable;
    core::Outcome ran = core::Outcome::NotRun;
    core::Duration retryAfter{};
    proto::StoredAnswer answer;
};

using OnClaim = std::function<void(const ClaimAnswer &)>;

// Lives on the control thread.
class ClaimKeeper
{
public:
    ClaimKeeper(EscrowKeeper &escrow, control::LedgerClient &client, telemetry::Counters &counters);

    // Sets the tokens aside, then claims the key. Refused as ClaimUnavailable if no leader answers
    // in time; the claim is then followed up and given back, so that the key is free again.
    void claim(const ClaimRequest &request, core::TimePoint now, OnClaim onClaim);

private:
    void submit(const ClaimRequest &request, budget::ReservationId reservation, OnClaim onClaim);
    void onResult(const proto::CommandResult &result,
                  budget::ReservationId reservation,
                  const OnClaim &onClaim);
    // Repeats a claim whose answer was lost until its verdict is known, and gives it back.
    void followUp(const proto::Command &command, budget::ReservationId reservation);

    EscrowKeeper &escrow;
    control::LedgerClient &client;
    telemetry::Counters &counters;
    core::SteadyClock clock;
};

} // namespace samphirebridge::entry
