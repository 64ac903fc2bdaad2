// Serves the declaration that the own voter has applied to other instances, in parts.
#pragma once

#include "instance.pb.h"
#include "samphirebridge/ledger/ledger.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace samphirebridge::control
{

// Keeps no state for each requester: every request names the revision that the requester holds, the
// transfer's checksum and the offset reached. Recent transfers are kept, so that a slow requester
// can finish the one that it has begun although newer revisions were applied meanwhile.
class DeclarationSource
{
public:
    // Returns the part at the requested offset of the change from the requester's revision to the
    // ledger's. If the transfer that the request continues is no longer kept, returns the first
    // part of a transfer to the newest revision; if the requester is up to date, the revision
    // alone.
    proto::FetchDeclarationReply answer(const proto::FetchDeclarationRequest &request,
                                        const ledger::Ledger &ledger);

private:
    // A serialised proto::DeclarationChange between two revisions.
    struct Transfer {
        uint64_t baseRevision = 0; // The requester's; the change may still be a full copy.
        uint64_t revision = 0;
        uint64_t checksum = 0;
        std::string bytes;
    };

    // Returns the transfer that the request continues, else the one from the requester's revision
    // to the newest, which is created if needed.
    const Transfer &findOrCreate(const proto::FetchDeclarationRequest &request,
                                 const ledger::Ledger &ledger);

    std::deque<Transfer> transfers; // Newest last.
    size_t totalBytes = 0;
};

} // namespace samphirebridge::control
