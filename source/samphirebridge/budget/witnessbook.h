// What an instance knows, as a witness, of holders that spend out of contact with the ledger.
#pragma once

#include "samphirebridge/core/ids.h"

#include <absl/container/btree_map.h>
#include <ledger.pb.h>

#include <cstdint>

namespace samphirebridge::budget
{

// Kept in memory only: a witness that is over answers nothing, and the ledger knows its life.
class WitnessBook
{
public:
    // Takes a holder's notice. False if the holder was declared over before: it must not rely on
    // it.
    bool take(const proto::IsolationNotice &notice);

    // Tells whether a notice of the holder was in force, and takes no more of its notices.
    bool close(const core::HolderId &holder);

private:
    struct Entry {
        uint64_t number = 0; // Of the newest notice.
        bool isolated = false;
        bool closed = false;
    };

    absl::btree_map<core::HolderId, Entry> entries;
};

} // namespace samphirebridge::budget
