#include "samphirebridge/budget/isolation.h"

#include <utility>

namespace samphirebridge::budget
{

Isolation::Isolation(core::HolderId isolatedHolder, IsolationOptions isolationOptions)
    : holder(std::move(isolatedHolder))
    , options(isolationOptions)
{
}

void Isolation::setWitness(const core::HolderId &witness)
{
    if (this->mode == Mode::Contact) {
        this->named = witness;
    }
}

const core::HolderId &Isolation::witness() const
{
    return this->named;
}

void Isolation::onBatchSent(const core::HolderId &sentWitness, core::TimePoint now)
{
    if (sentWitness != this->recorded) {
        // Until the answer, the ledger may know the one or the other.
        this->recorded = {};
    }
    if (!this->unansweredSince) {
        this->unansweredSince = now;
    }
}

void Isolation::onBatchAnswered(const core::HolderId &recordedWitness)
{
    this->unansweredSince.reset();
    this->recorded = recordedWitness;
    if (this->mode == Mode::Asking || this->mode == Mode::Isolated) {
        this->mode = Mode::Returning;
    }
}

std::optional<proto::IsolationNotice> Isolation::next(core::TimePoint now, bool isRecorded)
{
    const bool cutOff = this->isCutOff(now);
    const bool witnessed = !this->named.instance.empty() && this->named == this->recorded;
    switch (this->mode) {
    case Mode::Contact:
    case Mode::Withdrawing:
        if (cutOff && witnessed) {
            this->mode = Mode::Asking;
            return this->notice(now, true, false);
        }
        if (this->mode == Mode::Withdrawing
            && now - this->noticeSentAt >= this->options.noticeAgain) {
            return this->notice(now, false, true);
        }
        return std::nullopt;
    case Mode::Asking:
        if (now - this->noticeSentAt >= this->options.noticeAgain) {
            return this->notice(now, true, true);
        }
        return std::nullopt;
    case Mode::Isolated:
        return std::nullopt;
    case Mode::Returning:
        if (cutOff) {
            // A notice that was only asked for may not be in force.
            this->mode = Mode::Asking;
            return this->notice(now, true, false);
        }
        if (isRecorded) {
            this->mode = Mode::Withdrawing;
            return this->notice(now, false, false);
        }
        return std::nullopt;
    }
    return std::nullopt;
}

void Isolation::onNoticeAnswered(uint64_t answeredNumber, bool accepted)
{
    if (answeredNumber != this->number || !accepted) {
        return;
    }
    if (this->mode == Mode::Asking) {
        this->mode = Mode::Isolated;
    } else if (this->mode == Mode::Withdrawing) {
        this->mode = Mode::Contact;
    }
}

bool Isolation::isIsolated() const
{
    return this->mode == Mode::Isolated;
}

std::optional<core::TimePoint> Isolation::silentSince() const
{
    return this->unansweredSince;
}

bool Isolation::isCutOff(core::TimePoint now) const
{
    return this->unansweredSince && now - *this->unansweredSince >= this->options.noticeAfter;
}

std::optional<proto::IsolationNotice>
Isolation::notice(core::TimePoint now, bool isolated, bool again)
{
    this->noticeSentAt = now;
    this->number += again ? 0 : 1;
    proto::IsolationNotice message;
    message.mutable_holder()->set_instance(this->holder.instance.value);
    message.mutable_holder()->set_incarnation(this->holder.incarnation);
    message.set_number(this->number);
    message.set_isolated(isolated);
    return message;
}

} // namespace samphirebridge::budget
