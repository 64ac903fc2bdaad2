#include "samphirebridge/budget/witnessbook.h"

namespace samphirebridge::budget
{

bool WitnessBook::acceptNotice(const proto::IsolationNotice &notice)
{
    const core::HolderId holder{core::InstanceId(notice.holder().instance()),
                                notice.holder().incarnation()};
    Entry &entry = this->entries[holder];
    if (entry.closed) {
        return false;
    }
    if (notice.number() > entry.number) {
        entry.number = notice.number();
        entry.isolated = notice.isolated();
    }
    // The sender must not rely on a notice that arrives after a newer one.
    return notice.number() >= entry.number;
}

bool WitnessBook::closeHolder(const core::HolderId &holder)
{
    Entry &entry = this->entries[holder];
    entry.closed = true;
    return entry.isolated;
}

} // namespace samphirebridge::budget
