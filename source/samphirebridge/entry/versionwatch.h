// Decides when an entry instance asks which control instance for the newest committed declaration
// version, so that it learns of a version without depending on a notice. A version here is a
// revision of the declaration and the evacuations.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/time.h"

#include <cstddef>
#include <optional>
#include <span>

namespace samphirebridge::entry
{

// An answer confirms that the instance knows every version that was committed before some moment.
// When the last confirmation is too old, control instances are asked one after the other until one
// confirms: one that is cut off from the leader, frozen or behind costs one interval, not more. Not
// thread-safe; does no I/O: the host sends the questions.
class VersionWatch
{
public:
    // The control instances are asked in turn, starting with the one of this index (modulo their
    // number), which spreads the instances of a fleet over them.
    explicit VersionWatch(size_t firstControlIndex);

    // Returns the control instance to ask now, if a question is due, and counts it as asked.
    std::optional<core::InstanceId> nextQuestion(std::span<const core::InstanceId> controlInstances,
                                                 core::TimePoint now);

    // Notes that the instance knows all versions that were committed before `asOf`, by the answer
    // of `source`, which is asked first the next time. Returns whether it was the first such answer
    // for long, so that the instance may have been out of contact.
    bool onConfirmed(const core::InstanceId &source, core::TimePoint asOf);

private:
    size_t nextControlIndex;
    core::InstanceId lastSource; // Gave the last confirmation; empty: none did.
    core::TimePoint lastConfirmed;
    core::TimePoint nextQuestionAt;
    size_t askedCount = 0; // Questions since the last confirmation.
};

} // namespace samphirebridge::entry
