#include "samphirebridge/entry/claimkeeper.h"

#include "samphirebridge/core/errors.h"

#include <chrono>
#include <utility>

namespace samphirebridge::entry
{

namespace
{

// The time that a caller waits for its claim before it is refused as not run.
constexpr core::Duration ClaimTimeout = std::chrono::seconds(3);

// The time of one further try of a claim whose caller was refused.
constexpr core::Duration FollowUpTimeout = std::chrono::seconds(10);

// When a caller should ask again for a key that is being worked on.
constexpr core::Duration RetryWhileRunning = std::chrono::seconds(2);

// When a caller should ask again after the quorum did not answer.
constexpr core::Duration RetryWithoutQuorum = std::chrono::seconds(5);

ClaimAnswer refusal(core::RefusalReason reason, core::Outcome ran, core::Duration retryAfter)
{
    ClaimAnswer answer;
    answer.reason = reason;
    answer.ran = ran;
    answer.retryAfter = retryAfter;
    return answer;
}

proto::Command commandOf(const ClaimRequest &request,
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

ClaimAnswer finishedAnswer(const proto::StoredAnswer &stored)
{
    if (!stored.body_kept()) {
        const core::Outcome ran
            = stored.outcome() == proto::UNKNOWN ? core::Outcome::Unknown : core::Outcome::Ran;
        return refusal(core::RefusalReason::KeyAnswerNotKept, ran, {});
    }
    ClaimAnswer answer;
    answer.outcome = ClaimOutcome::Finished;
    answer.ran = core::Outcome::Ran;
    answer.answer = stored;
    return answer;
}

// Explains a verdict that does not allow dispatch.
ClaimAnswer withoutDispatch(const proto::CommandResult &result)
{
    if (result.error_code() != 0) {
        return refusal(
            core::RefusalReason::ClaimUnavailable, core::Outcome::NotRun, RetryWithoutQuorum);
    }
    switch (result.claim().verdict()) {
    case proto::FINISHED:
        return finishedAnswer(result.claim().answer());
    case proto::RUNNING:
        return refusal(
            core::RefusalReason::KeyInProgress, core::Outcome::Unknown, RetryWhileRunning);
    case proto::BODY_MISMATCH:
        return refusal(core::RefusalReason::KeyBodyMismatch, core::Outcome::NotRun, {});
    case proto::OUTCOME_UNKNOWN:
        return refusal(core::RefusalReason::KeyOutcomeUnknown, core::Outcome::Unknown, {});
    default:
        return refusal(
            core::RefusalReason::ClaimUnavailable, core::Outcome::NotRun, RetryWithoutQuorum);
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
                onClaim(refusal(answer.reason, core::Outcome::NotRun, answer.retryAfter));
                return;
            }
            this->submit(request, *answer.reservation, onClaim);
        });
}

void ClaimKeeper::submit(const ClaimRequest &request,
                         budget::ReservationId reservation,
                         OnClaim onClaim)
{
    const proto::Command command = commandOf(request, this->escrow.holder(), reservation);
    this->client.submit(
        command,
        ClaimTimeout,
        [this, command, reservation, onClaim = std::move(onClaim)](const auto &result) {
            if (result.ok()) {
                this->onResult(*result, reservation, onClaim);
                return;
            }
            this->followUp(command, reservation);
            onClaim(refusal(
                core::RefusalReason::ClaimUnavailable, core::Outcome::NotRun, RetryWithoutQuorum));
        });
}

void ClaimKeeper::onResult(const proto::CommandResult &result,
                           budget::ReservationId reservation,
                           const OnClaim &onClaim)
{
    if (!grantsDispatch(result)) {
        this->escrow.release(reservation, this->clock.now());
        this->counters.count(telemetry::Event::ClaimsAnsweredFromLedger);
        onClaim(withoutDispatch(result));
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

void ClaimKeeper::followUp(const proto::Command &command, budget::ReservationId reservation)
{
    this->client.submit(command, FollowUpTimeout, [this, command, reservation](const auto &result) {
        if (!result.ok()) {
            this->followUp(command, reservation);
            return;
        }
        if (grantsDispatch(*result)) {
            this->escrow.openClaimed(reservation);
        }
        this->escrow.release(reservation, this->clock.now());
    });
}

} // namespace samphirebridge::entry
