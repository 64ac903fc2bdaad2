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
        this->chosenWitness = witness;
    }
}

const core::HolderId &Isolation::witness() const
{
    return this->chosenWitness;
}

void Isolation::onBatchSent(const core::HolderId &sentWitness, core::TimePoint now)
{
    if (sentWitness != this->ledgerWitness) {
        // Until the batch is answered, the ledger may know either witness.
        this->ledgerWitness = {};
    }
    if (!this->unansweredSince) {
        this->unansweredSince = now;
    }
}

void Isolation::onBatchAnswered(const core::HolderId &recordedWitness)
{
    this->unansweredSince.reset();
    this->ledgerWitness = recordedWitness;
    if (this->mode == Mode::Notifying || this->mode == Mode::Isolated) {
        this->mode = Mode::Returning;
    }
}

std::optional<proto::IsolationNotice> Isolation::nextNotice(core::TimePoint now,
                                                            bool withinContactExposure)
{
    const bool outOfContact = this->isOutOfContact(now);
    const bool witnessKnown
        = !this->chosenWitness.instance.empty() && this->chosenWitness == this->ledgerWitness;
    switch (this->mode) {
    case Mode::Contact:
    case Mode::Withdrawing:
        if (outOfContact && witnessKnown) {
            this->mode = Mode::Notifying;
            return this->buildNotice(now, true, false);
        }
        if (this->mode == Mode::Withdrawing
            && now - this->noticeSentAt >= this->options.noticeRetryInterval) {
            return this->buildNotice(now, false, true);
        }
        return std::nullopt;
    case Mode::Notifying:
        if (now - this->noticeSentAt >= this->options.noticeRetryInterval) {
            return this->buildNotice(now, true, true);
        }
        return std::nullopt;
    case Mode::Isolated:
        return std::nullopt;
    case Mode::Returning:
        if (outOfContact) {
            // The earlier notice may not be in force: contact may have returned before it was
            // accepted.
            this->mode = Mode::Notifying;
            return this->buildNotice(now, true, false);
        }
        if (withinContactExposure) {
            this->mode = Mode::Withdrawing;
            return this->buildNotice(now, false, false);
        }
        return std::nullopt;
    }
    return std::nullopt;
}

void Isolation::onNoticeAnswered(uint64_t answeredNumber, bool accepted)
{
    if (answeredNumber != this->noticeNumber || !accepted) {
        return;
    }
    if (this->mode == Mode::Notifying) {
        this->mode = Mode::Isolated;
    } else if (this->mode == Mode::Withdrawing) {
        this->mode = Mode::Contact;
    }
}

bool Isolation::isIsolated() const
{
    return this->mode == Mode::Isolated;
}

std::optional<core::TimePoint> Isolation::oldestUnansweredSentAt() const
{
    return this->unansweredSince;
}

bool Isolation::isOutOfContact(core::TimePoint now) const
{
    return this->unansweredSince && now - *this->unansweredSince >= this->options.noticeAfter;
}

std::optional<proto::IsolationNotice>
Isolation::buildNotice(core::TimePoint now, bool isolated, bool repeated)
{
    this->noticeSentAt = now;
    this->noticeNumber += repeated ? 0 : 1;
    proto::IsolationNotice message;
    message.mutable_holder()->set_instance(this->holder.instance.value);
    message.mutable_holder()->set_incarnation(this->holder.incarnation);
    message.set_number(this->noticeNumber);
    message.set_isolated(isolated);
    return message;
}

} // namespace samphirebridge::budget
