#include "samphirebridge/budget/witnessbook.h"

namespace samphirebridge::budget
{

bool WitnessBook::take(const proto::IsolationNotice &notice)
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
    // A notice that a newer one has overtaken is of no use to its sender any more.
    return notice.number() >= entry.number;
}

bool WitnessBook::close(const core::HolderId &holder)
{
    Entry &entry = this->entries[holder];
    entry.closed = true;
    return entry.isolated;
}

} // namespace samphirebridge::budget
