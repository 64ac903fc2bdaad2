#include "samphirebridge/consensus/snapshotassembly.h"

#include <utility>

namespace samphirebridge::consensus
{

std::optional<Snapshot> SnapshotAssembly::addChunk(const std::string &from,
                                                   const proto::InstallSnapshot &chunk)
{
    if (!this->belongsToCurrent(from, chunk)) {
        this->sender = from;
        this->meta = chunk.meta();
        this->data.clear();
    }
    if (chunk.offset() != this->data.size()) {
        return std::nullopt;
    }
    this->data.append(chunk.data());
    if (!chunk.last()) {
        return std::nullopt;
    }
    Snapshot snapshot;
    snapshot.meta = std::exchange(this->meta, {});
    snapshot.data = std::make_shared<const std::string>(std::exchange(this->data, {}));
    return snapshot;
}

uint64_t SnapshotAssembly::receivedBytes() const
{
    return this->data.size();
}

bool SnapshotAssembly::belongsToCurrent(const std::string &from,
                                        const proto::InstallSnapshot &chunk) const
{
    return this->sender == from && this->meta.index() == chunk.meta().index()
           && this->meta.term() == chunk.meta().term();
}

} // namespace samphirebridge::consensus
