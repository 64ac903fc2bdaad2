#include "samphirebridge/control/declarationsource.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/ledger/revision.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace samphirebridge::control
{

namespace
{

// The size of the part in one reply. Heartbeats and reports to the ledger share the connection, and
// a larger part would delay them on a slow link.
constexpr size_t PartBytes = size_t{16} * 1024;

// Limits of the transfers that are kept, in number and in bytes; the oldest are dropped first.
constexpr size_t MaximumTransfers = 32;
constexpr size_t MaximumTotalBytes = size_t{4} * 1024 * 1024;

} // namespace

proto::FetchDeclarationReply
DeclarationSource::answer(const proto::FetchDeclarationRequest &request,
                          const ledger::Ledger &ledger)
{
    proto::FetchDeclarationReply reply;
    const uint64_t newest = ledger::revisionOf(ledger.declaration());
    if (request.known_version() >= newest) {
        reply.set_version(newest);
        return reply;
    }
    const Transfer &transfer = this->findOrCreate(request, ledger);
    const bool isContinued
        = transfer.checksum == request.checksum() && request.offset() < transfer.bytes.size();
    const size_t offset = isContinued ? request.offset() : 0;
    const std::string_view part = std::string_view(transfer.bytes).substr(offset, PartBytes);
    reply.set_version(transfer.revision);
    reply.set_checksum(transfer.checksum);
    reply.set_total_bytes(transfer.bytes.size());
    reply.set_offset(offset);
    reply.set_part(part.data(), part.size());
    return reply;
}

const DeclarationSource::Transfer &
DeclarationSource::findOrCreate(const proto::FetchDeclarationRequest &request,
                                const ledger::Ledger &ledger)
{
    const uint64_t newest = ledger::revisionOf(ledger.declaration());
    const auto existing = std::find_if(
        this->transfers.begin(), this->transfers.end(), [&](const Transfer &transfer) {
            const bool isSameTransfer
                = request.offset() > 0 && transfer.checksum == request.checksum();
            return transfer.baseRevision == request.known_version()
                   && (isSameTransfer || transfer.revision == newest);
        });
    if (existing != this->transfers.end()) {
        return *existing;
    }
    Transfer transfer;
    transfer.baseRevision = request.known_version();
    transfer.revision = newest;
    transfer.bytes = ledger.declarationSince(request.known_version()).SerializeAsString();
    transfer.checksum = core::checksumOf(transfer.bytes);
    this->totalBytes += transfer.bytes.size();
    this->transfers.push_back(std::move(transfer));
    while (this->transfers.size() > 1
           && (this->transfers.size() > MaximumTransfers || this->totalBytes > MaximumTotalBytes)) {
        this->totalBytes -= this->transfers.front().bytes.size();
        this->transfers.pop_front();
    }
    return this->transfers.back();
}

} // namespace samphirebridge::control
