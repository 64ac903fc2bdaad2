#include "samphirebridge/delta/contentdelta.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/delta/deflate.h"

#include <absl/container/flat_hash_map.h>
#include <fmt/format.h>

#include <algorithm>

namespace samphirebridge::delta
{

namespace
{

// The size of the blocks by which the base is indexed. In the part of the target between the common
// prefix and suffix, shorter matches are not found.
constexpr size_t BlockBytes = 32;

size_t commonPrefix(std::string_view left, std::string_view right)
{
    return std::mismatch(left.begin(), left.end(), right.begin(), right.end()).first - left.begin();
}

size_t commonSuffix(std::string_view left, std::string_view right)
{
    return std::mismatch(left.rbegin(), left.rend(), right.rbegin(), right.rend()).first
           - left.rbegin();
}

// Builds a delta step by step. Adjacent inserts are merged, and so are copies of contiguous ranges
// of the base.
class DeltaWriter
{
public:
    // Appends bytes that are not in the base to the target.
    void insert(std::string_view bytes)
    {
        if (bytes.empty()) {
            return;
        }
        if (this->delta.steps_size() == 0 || this->lastStep().copy_bytes() > 0) {
            this->delta.add_steps();
        }
        this->lastStep().set_insert_bytes(this->lastStep().insert_bytes() + bytes.size());
        this->inserted.append(bytes);
    }

    // Appends a range of the base to the target.
    void copy(size_t offset, size_t bytes)
    {
        if (bytes == 0) {
            return;
        }
        if (this->delta.steps_size() > 0) {
            proto::ContentDelta::Step &step = this->lastStep();
            if (step.copy_bytes() > 0 && step.copy_offset() + step.copy_bytes() == offset) {
                step.set_copy_bytes(step.copy_bytes() + bytes);
                return;
            }
        }
        if (this->delta.steps_size() == 0 || this->lastStep().copy_bytes() > 0) {
            this->delta.add_steps();
        }
        this->lastStep().set_copy_offset(offset);
        this->lastStep().set_copy_bytes(bytes);
    }

    // Returns the delta with the checksums of base and target and the compressed inserted bytes.
    proto::ContentDelta takeDelta(std::string_view base, std::string_view target)
    {
        this->delta.set_base_checksum(core::checksumOf(base));
        this->delta.set_checksum(core::checksumOf(target));
        this->delta.set_inserted_bytes(this->inserted.size());
        if (!this->inserted.empty()) {
            this->delta.set_inserted(deflate(this->inserted));
        }
        return std::move(this->delta);
    }

private:
    proto::ContentDelta::Step &lastStep()
    {
        return *this->delta.mutable_steps(this->delta.steps_size() - 1);
    }

    proto::ContentDelta delta;
    std::string inserted;
};

// Returns the offset of each distinct block of the base, the first one where a block repeats.
absl::flat_hash_map<std::string_view, size_t> indexBlocks(std::string_view base)
{
    absl::flat_hash_map<std::string_view, size_t> blocks;
    blocks.reserve(base.size() / BlockBytes);
    for (size_t offset = 0; offset + BlockBytes <= base.size(); offset += BlockBytes) {
        blocks.try_emplace(base.substr(offset, BlockBytes), offset);
    }
    return blocks;
}

// Writes the steps for the part of the target between the common prefix and suffix: copies where a
// block of the base matches, extended in both directions, and inserts elsewhere.
void writeDifference(std::string_view base, std::string_view middle, DeltaWriter &writer)
{
    const auto blocks = indexBlocks(base);
    size_t pending = 0; // Start of the bytes that no step has written yet.
    size_t position = 0;
    while (position + BlockBytes <= middle.size()) {
        const auto match = blocks.find(middle.substr(position, BlockBytes));
        if (match == blocks.end()) {
            ++position;
            continue;
        }
        const size_t backward = commonSuffix(base.substr(0, match->second),
                                             middle.substr(pending, position - pending));
        const size_t from = match->second - backward;
        const size_t length
            = backward + commonPrefix(base.substr(match->second), middle.substr(position));
        writer.insert(middle.substr(pending, position - backward - pending));
        writer.copy(from, length);
        position = position - backward + length;
        pending = position;
    }
    writer.insert(middle.substr(pending));
}

absl::Status corruptDelta(std::string_view problem)
{
    return core::makeError(
        core::ErrorCode::StorageCorrupt,
        fmt::format("found a delta {}; accepted is one that is consistent with its base", problem));
}

} // namespace

proto::ContentDelta makeDelta(std::string_view base, std::string_view target)
{
    DeltaWriter writer;
    const size_t prefix = commonPrefix(base, target);
    const size_t suffix = commonSuffix(base.substr(prefix), target.substr(prefix));
    writer.copy(0, prefix);
    writeDifference(base, target.substr(prefix, target.size() - prefix - suffix), writer);
    writer.copy(base.size() - suffix, suffix);
    return writer.takeDelta(base, target);
}

absl::StatusOr<std::string> applyDelta(std::string_view base, const proto::ContentDelta &delta)
{
    if (core::checksumOf(base) != delta.base_checksum()) {
        return core::makeError(
            core::ErrorCode::VersionConflict,
            "found a delta for another base; accepted is one for the present content");
    }
    uint64_t targetBytes = 0;
    uint64_t insertedBytes = 0;
    for (const auto &step : delta.steps()) {
        if (step.copy_offset() > base.size() || step.copy_bytes() > base.size() - step.copy_offset()
            || step.insert_bytes() > MaximumContentBytes) {
            return corruptDelta("with a step out of range");
        }
        targetBytes += step.copy_bytes() + step.insert_bytes();
        insertedBytes += step.insert_bytes();
        if (targetBytes > MaximumContentBytes) {
            return corruptDelta("whose target exceeds the size limit");
        }
    }
    if (insertedBytes != delta.inserted_bytes()) {
        return corruptDelta("whose steps insert another number of bytes than it declares");
    }
    std::string inserted;
    if (insertedBytes > 0) {
        auto bytes = inflate(delta.inserted(), insertedBytes);
        if (!bytes.ok()) {
            return bytes.status();
        }
        inserted = *std::move(bytes);
    }
    std::string target;
    target.reserve(targetBytes);
    size_t insertedOffset = 0;
    for (const auto &step : delta.steps()) {
        target.append(inserted, insertedOffset, step.insert_bytes());
        insertedOffset += step.insert_bytes();
        target.append(base.substr(step.copy_offset(), step.copy_bytes()));
    }
    if (core::checksumOf(target) != delta.checksum()) {
        return corruptDelta("whose target does not match its checksum");
    }
    return target;
}

} // namespace samphirebridge::delta
