// Decides how much a holder may spend without a record at the ledger.
//
// In contact it is little, so that little is lost with the holder. Out of contact it may be more,
// and the more the longer, but only once a witness, whom the ledger knows by name, has a notice of
// that: should the holder end, the ledger asks the witness what to believe.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/time.h"

#include <ledger.pb.h>

#include <cstdint>
#include <optional>

namespace samphirebridge::budget
{

struct IsolationOptions {
    // A batch without an answer for this long counts as lost contact: many round trips to the
    // quorum, and less than a caller's patience.
    core::Duration noticeAfter = std::chrono::milliseconds(250);
    // The pause before a notice without an answer is sent again.
    core::Duration noticeAgain = std::chrono::milliseconds(200);
};

class Isolation
{
public:
    Isolation(core::HolderId holder, IsolationOptions options);

    // Names the witness; takes effect while nothing is in force at another one.
    void setWitness(const core::HolderId &witness);

    // Returns the witness that batches must name; of no instance: none.
    [[nodiscard]] const core::HolderId &witness() const;

    // A batch that names the witness leaves, for the first time or again.
    void onBatchSent(const core::HolderId &sentWitness, core::TimePoint now);
    // The ledger answered a batch that named this witness.
    void onBatchAnswered(const core::HolderId &recordedWitness);

    // Returns the notice to send now, if any. Recorded: no more than the contact exposure is open
    // without a record.
    std::optional<proto::IsolationNotice> next(core::TimePoint now, bool recorded);
    void onNoticeAnswered(uint64_t number, bool accepted);

    // Tells whether a notice is in force out of contact: more than the contact exposure may be open
    // without a record.
    [[nodiscard]] bool isIsolated() const;

    // Returns when the oldest batch without an answer was sent, if there is one.
    [[nodiscard]] std::optional<core::TimePoint> silentSince() const;

private:
    enum class Mode : uint8_t {
        Contact,
        Asking, // A notice is on its way.
        Isolated,
        Returning, // In contact again; the notice is still in force.
        Withdrawing, // It may be in force or not.
    };

    [[nodiscard]] bool isCutOff(core::TimePoint now) const;
    std::optional<proto::IsolationNotice> notice(core::TimePoint now, bool isolated, bool again);

    core::HolderId holder;
    IsolationOptions options;
    Mode mode = Mode::Contact;
    core::HolderId named;
    core::HolderId recorded; // The witness that the ledger knows.
    std::optional<core::TimePoint> unansweredSince;
    core::TimePoint noticeSentAt;
    uint64_t number = 0;
};

} // namespace samphirebridge::budget
