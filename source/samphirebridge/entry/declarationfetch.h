// Decides what to ask of whom to get the newest declaration, and puts the answers together.
#pragma once

#include "instance.pb.h"
#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/time.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace samphirebridge::entry
{

// One question to one instance.
struct FetchStep {
    core::InstanceId to;
    proto::FetchDeclarationRequest request;
};

// Has at most one question under way. What was received of a transfer is kept while the instances
// that are asked change. Not thread-safe; does no I/O.
class DeclarationFetch
{
public:
    // The instances that nobody is preferred of are asked in turn, beginning at the one of that
    // number, so that a fleet that starts spreads its questions.
    explicit DeclarationFetch(size_t firstTurn);

    // An instance told that it has applied the version.
    void onNotice(const core::InstanceId &from, uint64_t version);

    // The quorum told that the version is committed.
    void onCommitted(uint64_t version);

    // Notes the version in force here. Until the pause after it is over nothing is asked, so that
    // changes in quick succession cost little more than the last.
    void onHeld(uint64_t version, core::TimePoint now);

    // Returns the question to ask now, if one is due. The control instances are asked when nobody
    // told of a version.
    std::optional<FetchStep> next(std::span<const core::InstanceId> control, core::TimePoint now);

    // Takes the answer to the question under way. Returns the change once it is whole; an error
    // names what was wrong with the answer.
    absl::StatusOr<std::optional<proto::DeclarationChange>>
    onReply(const absl::StatusOr<proto::FetchDeclarationReply> &reply, core::TimePoint now);

    // Starts anew with the whole: what was received did not fit what is in force.
    void restart(core::TimePoint now);

private:
    struct Transfer {
        uint64_t checksum = 0;
        std::string bytes;
    };

    core::InstanceId chooseSource(std::span<const core::InstanceId> control);
    void fail(core::TimePoint now);
    // Appends a part. False: it does not fit.
    bool receive(const proto::FetchDeclarationReply &reply);

    size_t turn;
    core::InstanceId teller; // The last to tell of a version that is wanted.
    uint64_t wanted = 0; // The highest version known to be committed.
    uint64_t held = 0;
    bool needsWhole = false;
    core::TimePoint notBefore;
    core::InstanceId asked; // Empty: no question is under way.
    Transfer transfer;
};

} // namespace samphirebridge::entry
