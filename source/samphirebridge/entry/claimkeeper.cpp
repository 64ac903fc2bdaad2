#include "samphirebridge/entry/claimkeeper.h"

#include "samphirebridge/core/errors.h"

#include <chrono>
#include <utility>

namespace samphirebridge::entry
{

namespace
{

// How long a claim may take before its caller is refused as not run.
constexpr core::Duration ClaimTimeout = std::chrono::seconds(3);

// How long one repetition of a claim may take after its caller was refused.
constexpr core::Duration UnansweredClaimTimeout = std::chrono::seconds(10);

// The Retry-After for a key whose request is still running.
constexpr core::Duration RunningRetryAfter = std::chrono::seconds(2);

// The Retry-After when the quorum did not answer.
constexpr core::Duration NoQuorumRetryAfter = std::chrono::seconds(5);

ClaimAnswer
makeRefusal(core::RefusalReason reason, core::Outcome executionOutcome, core::Duration retryAfter)
{
    ClaimAnswer answer;
    answer.reason = reason;
    answer.executionOutcome = executionOutcome;
    answer.retryAfter = retryAfter;
    return answer;
}

proto::Command makeClaimCommand(const ClaimRequest &request,
                                const core::HolderId &holder,
                                budget::ReservationId reservation)
{
    proto::Command command;
    proto::Claim *claim = command.mutable_claim();
    claim->mutable_holder()->set_instance(holder.instance.value);
    claim->mutable_holder()->set_incarnation(holder.incarnation);
    claim->set_reservation(reservation);
    claim->mutable_key()->set_organisation(request.key.organisation.value);
    claim->mutable_key()->set_key(request.key.key);
    claim->set_fingerprint(request.fingerprint);
    claim->set_budget(request.reservation.budget.value);
    claim->set_tokens(request.reservation.tokens.count);
    claim->set_repeat(request.repeat);
    claim->set_key_retention_s(request.keyRetentionSeconds);
    return command;
}

bool grantsDispatch(const proto::CommandResult &result)
{
    return result.error_code() == 0
           && (result.claim().verdict() == proto::CLAIMED
               || result.claim().verdict() == proto::TAKEN_OVER);
}

ClaimAnswer makeFinishedAnswer(const proto::StoredAnswer &stored)
{
    if (!stored.body_kept()) {
        const core::Outcome executionOutcome
            = stored.outcome() == proto::UNKNOWN ? core::Outcome::Unknown : core::Outcome::Ran;
        return makeRefusal(core::RefusalReason::KeyAnswerNotKept, executionOutcome, {});
    }
    ClaimAnswer answer;
    answer.outcome = ClaimOutcome::Finished;
    answer.executionOutcome = core::Outcome::Ran;
    answer.storedAnswer = stored;
    return answer;
}

// Returns the answer for a verdict that does not allow dispatch: the stored answer or a refusal.
ClaimAnswer makeAnswerWithoutDispatch(const proto::CommandResult &result)
{
    if (result.error_code() != 0) {
        return makeRefusal(
            core::RefusalReason::ClaimUnavailable, core::Outcome::NotRun, NoQuorumRetryAfter);
    }
    switch (result.claim().verdict()) {
    case proto::FINISHED:
        return makeFinishedAnswer(result.claim().answer());
    case proto::RUNNING:
        return makeRefusal(
            core::RefusalReason::KeyInProgress, core::Outcome::Unknown, RunningRetryAfter);
    case proto::BODY_MISMATCH:
        return makeRefusal(core::RefusalReason::KeyBodyMismatch, core::Outcome::NotRun, {});
    case proto::OUTCOME_UNKNOWN:
        return makeRefusal(core::RefusalReason::KeyOutcomeUnknown, core::Outcome::Unknown, {});
    default:
        return makeRefusal(
            core::RefusalReason::ClaimUnavailable, core::Outcome::NotRun, NoQuorumRetryAfter);
    }
}

} // namespace

ClaimKeeper::ClaimKeeper(EscrowKeeper &escrowKeeper,
                         control::LedgerClient &ledgerClient,
                         telemetry::Counters &processCounters)
    : escrow(escrowKeeper)
    , client(ledgerClient)
    , counters(processCounters)
{
}

void ClaimKeeper::claim(const ClaimRequest &request, core::TimePoint now, OnClaim onClaim)
{
    ReservationRequest reservation = request.reservation;
    reservation.recording = budget::Recording::Claim;
    this->escrow.reserve(
        reservation,
        now,
        [this, request, onClaim = std::move(onClaim)](const ReservationAnswer &answer) {
            if (!answer.reservation) {
                onClaim(makeRefusal(answer.reason, core::Outcome::NotRun, answer.retryAfter));
                return;
            }
            this->submit(request, *answer.reservation, onClaim);
        });
}

void ClaimKeeper::submit(const ClaimRequest &request,
                         budget::ReservationId reservation,
                         OnClaim onClaim)
{
    const proto::Command command = makeClaimCommand(request, this->escrow.holder(), reservation);
    this->client.submit(
        command,
        ClaimTimeout,
        [this, command, reservation, onClaim = std::move(onClaim)](const auto &result) {
            if (result.ok()) {
                this->onClaimResult(*result, reservation, onClaim);
                return;
            }
            this->releaseUnansweredClaim(command, reservation);
            onClaim(makeRefusal(
                core::RefusalReason::ClaimUnavailable, core::Outcome::NotRun, NoQuorumRetryAfter));
        });
}

void ClaimKeeper::onClaimResult(const proto::CommandResult &result,
                                budget::ReservationId reservation,
                                const OnClaim &onClaim)
{
    if (!grantsDispatch(result)) {
        this->escrow.release(reservation, this->clock.now());
        this->counters.count(telemetry::Event::ClaimsAnsweredFromLedger);
        onClaim(makeAnswerWithoutDispatch(result));
        return;
    }
    this->escrow.openClaimed(reservation);
    this->counters.count(telemetry::Event::ClaimsGranted);
    ClaimAnswer answer;
    answer.outcome = result.claim().verdict() == proto::TAKEN_OVER ? ClaimOutcome::TakenOver
                                                                   : ClaimOutcome::Claimed;
    answer.reservation = reservation;
    onClaim(answer);
}

void ClaimKeeper::releaseUnansweredClaim(const proto::Command &command,
                                         budget::ReservationId reservation)
{
    this->client.submit(
        command, UnansweredClaimTimeout, [this, command, reservation](const auto &result) {
            if (!result.ok()) {
                this->releaseUnansweredClaim(command, reservation);
                return;
            }
            if (grantsDispatch(*result)) {
                this->escrow.openClaimed(reservation);
            }
            this->escrow.release(reservation, this->clock.now());
        });
}

} // namespace samphirebridge::entry
