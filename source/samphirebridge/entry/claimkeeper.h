// Claims request keys in the ledger before the requests are dispatched.
#pragma once

#include "samphirebridge/entry/escrowkeeper.h"

#include "ledger.pb.h"

#include <functional>
#include <optional>
#include <string>

namespace samphirebridge::entry
{

// A request with a key: its identity, its retry rule and the tokens that it needs.
struct ClaimRequest {
    core::RequestKey key;
    std::string fingerprint; // Digest of the request; core::FingerprintLength bytes.
    proto::RepeatRule repeat = proto::REPEATABLE;
    uint32_t keyRetentionSeconds = 0;
    ReservationRequest reservation;
};

enum class ClaimOutcome : uint8_t {
    Claimed, // The request may be dispatched.
    TakenOver, // The same, but the holder that claimed the key before has ended: the request may
               // already have run.
    Finished, // The request has run before; storedAnswer is set.
    Refused, // reason, executionOutcome and retryAfter are set.
};

struct ClaimAnswer {
    ClaimOutcome outcome = ClaimOutcome::Refused;
    budget::ReservationId reservation = 0; // Set when Claimed or TakenOver.
    core::RefusalReason reason = core::RefusalReason::ClaimUnavailable;
    core::Outcome executionOutcome = core::Outcome::NotRun; // Whether the request has run.
    core::Duration retryAfter{}; // Zero: the caller is not told to retry.
    proto::StoredAnswer storedAnswer;
};

using OnClaim = std::function<void(const ClaimAnswer &)>;

// Not thread-safe: used on the control thread only.
class ClaimKeeper
{
public:
    ClaimKeeper(EscrowKeeper &escrow, control::LedgerClient &client, telemetry::Counters &counters);

    // Reserves the tokens, then submits the claim to the ledger, and calls onClaim with the result.
    // The claim is refused as ClaimUnavailable if no leader answers in time. It may still be
    // committed later, so it is then repeated until its verdict is known, and released.
    void claim(const ClaimRequest &request, core::TimePoint now, OnClaim onClaim);

private:
    void submit(const ClaimRequest &request, budget::ReservationId reservation, OnClaim onClaim);
    void onClaimResult(const proto::CommandResult &result,
                       budget::ReservationId reservation,
                       const OnClaim &onClaim);
    // Repeats a claim without an answer until its verdict is known, and releases the reservation so
    // that the key is free again.
    void releaseUnansweredClaim(const proto::Command &command, budget::ReservationId reservation);

    EscrowKeeper &escrow;
    control::LedgerClient &client;
    telemetry::Counters &counters;
    core::SteadyClock clock;
};

} // namespace samphirebridge::entry
