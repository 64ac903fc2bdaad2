// Keeps the isolation notices that an instance has received as the witness of other holders.
#pragma once

#include "samphirebridge/core/ids.h"

#include <absl/container/btree_map.h>
#include <ledger.pb.h>

#include <cstdint>

namespace samphirebridge::budget
{

// Kept in memory only: the ledger knows a witness by its incarnation, and a restarted instance does
// not answer for an earlier one.
class WitnessBook
{
public:
    // Stores a holder's notice. Returns false, and the holder must not rely on the notice, if
    // closeHolder() was called for the holder or if a newer notice arrived before.
    bool acceptNotice(const proto::IsolationNotice &notice);

    // Returns whether an isolation notice of the holder is in force, and refuses its notices from
    // now on.
    bool closeHolder(const core::HolderId &holder);

private:
    struct Entry {
        uint64_t number = 0; // The number of the newest notice.
        bool isolated = false;
        bool closed = false;
    };

    absl::btree_map<core::HolderId, Entry> entries;
};

} // namespace samphirebridge::budget
