// Decides whether a holder may spend more than the contact exposure without a record at the ledger.
//
// In contact with the ledger the exposure is small, so that few tokens are quarantined if the
// holder ends. Out of contact it may be larger, but only after the holder's witness, another holder
// that the ledger knows as such, has accepted an isolation notice: if the holder ends, the ledger
// asks the witness whether a notice was in force.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/time.h"

#include <ledger.pb.h>

#include <cstdint>
#include <optional>

namespace samphirebridge::budget
{

struct IsolationOptions {
    // Contact counts as lost when a batch has no answer for this long: many round trips to the
    // quorum, but shorter than callers wait.
    core::Duration noticeAfter = std::chrono::milliseconds(250);
    // The time after which a notice without an answer is sent again.
    core::Duration noticeRetryInterval = std::chrono::milliseconds(200);
};

// The isolation state of one holder. Does no I/O: the host sends the notices and reports batches
// and answers. Not thread-safe.
class Isolation
{
public:
    Isolation(core::HolderId holder, IsolationOptions options);

    // Chooses the witness. Ignored unless in contact, since a notice may be in force at the current
    // one.
    void setWitness(const core::HolderId &witness);

    // Returns the witness that batches must name; its instance is empty if there is none.
    [[nodiscard]] const core::HolderId &witness() const;

    // Notes that a batch that names this witness is sent or resent.
    void onBatchSent(const core::HolderId &sentWitness, core::TimePoint now);
    // Notes that the ledger answered a batch that named this witness.
    void onBatchAnswered(const core::HolderId &recordedWitness);

    // Returns the notice to send to the witness now, if any. A notice is withdrawn only if
    // `withinContactExposure`: no more than the contact exposure is open without a record, and the
    // ledger has confirmed all loans.
    std::optional<proto::IsolationNotice> nextNotice(core::TimePoint now,
                                                     bool withinContactExposure);
    // Applies the witness's answer; only that to the last notice counts.
    void onNoticeAnswered(uint64_t number, bool accepted);

    // Returns whether the holder is out of contact with a notice in force, and so may have more
    // than the contact exposure open without a record.
    [[nodiscard]] bool isIsolated() const;

    // Returns when the oldest unanswered batch was first sent, if there is one.
    [[nodiscard]] std::optional<core::TimePoint> oldestUnansweredSentAt() const;

private:
    enum class Mode : uint8_t {
        Contact, // No notice is in force.
        Notifying, // Out of contact; the notice is not accepted yet.
        Isolated, // Out of contact; the notice is in force.
        Returning, // In contact again; the notice is still in force.
        Withdrawing, // In contact; the notice may be in force or withdrawn.
    };

    [[nodiscard]] bool isOutOfContact(core::TimePoint now) const;
    std::optional<proto::IsolationNotice>
    buildNotice(core::TimePoint now, bool isolated, bool repeated);

    core::HolderId holder;
    IsolationOptions options;
    Mode mode = Mode::Contact;
    core::HolderId chosenWitness;
    core::HolderId ledgerWitness; // The one that the ledger surely knows; empty if unsure.
    std::optional<core::TimePoint> unansweredSince;
    core::TimePoint noticeSentAt;
    uint64_t noticeNumber = 0;
};

} // namespace samphirebridge::budget
