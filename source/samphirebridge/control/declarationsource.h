// Serves the declaration in force to other instances, part by part.
#pragma once

#include "instance.pb.h"
#include "samphirebridge/ledger/ledger.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace samphirebridge::control
{

// Keeps nothing of those who ask: each request says what is known and how far the transfer has
// come. A transfer that has begun can be ended while newer versions come, so that one who is slow
// gets ahead at all.
class DeclarationSource
{
public:
    // Returns the next part of a transfer from the version that the asker holds.
    proto::FetchDeclarationReply answer(const proto::FetchDeclarationRequest &request,
                                        const ledger::Ledger &ledger);

private:
    // A serialised proto::DeclarationChange.
    struct Transfer {
        uint64_t baseVersion = 0; // That the asker holds; the change may be the whole all the same.
        uint64_t version = 0;
        uint64_t checksum = 0;
        std::string bytes;
    };

    const Transfer &find(const proto::FetchDeclarationRequest &request,
                         const ledger::Ledger &ledger);

    std::deque<Transfer> transfers; // Newest last.
    size_t totalBytes = 0;
};

} // namespace samphirebridge::control
