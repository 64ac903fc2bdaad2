#include "samphirebridge/entry/registration.h"

#include "samphirebridge/ledger/clockreadings.h"
#include "samphirebridge/ledger/isolationramps.h"

#include <algorithm>

namespace samphirebridge::entry
{

proto::Command Registration::makeCommand(const core::HolderId &holder, const core::MachineTime &now)
{
    if (!this->firstSentAt) {
        this->firstSentAt = now;
    }
    proto::Command command;
    proto::RegisterHolder &registration = *command.mutable_register_holder();
    registration.mutable_holder()->set_instance(holder.instance.value);
    registration.mutable_holder()->set_incarnation(holder.incarnation);
    registration.set_ramp(ledger::protoOf(HolderRampShape));
    *registration.mutable_sent_at() = ledger::protoOf(*this->firstSentAt);
    const core::ClockReading &first = this->firstSentAt->sinceBoot;
    if (now.sinceBoot.clock == first.clock) {
        registration.set_age_ms(now.sinceBoot.atMs - std::min(now.sinceBoot.atMs, first.atMs));
    }
    return command;
}

void Registration::restart()
{
    this->firstSentAt.reset();
}

} // namespace samphirebridge::entry
