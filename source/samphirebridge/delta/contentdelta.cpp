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

// The base is indexed by blocks of so many bytes; nothing shorter is copied.
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

// Collects the steps of one delta. Adjacent inserts, and copies that continue each other, merge.
class DeltaWriter
{
public:
    void insert(std::string_view bytes)
    {
        if (bytes.empty()) {
            return;
        }
        if (this->delta.steps_size() == 0 || this->last().copy_bytes() > 0) {
            this->delta.add_steps();
        }
        this->last().set_insert_bytes(this->last().insert_bytes() + bytes.size());
        this->inserted.append(bytes);
    }

    void copy(size_t offset, size_t bytes)
    {
        if (bytes == 0) {
            return;
        }
        if (this->delta.steps_size() > 0) {
            proto::ContentDelta::Step &step = this->last();
            if (step.copy_bytes() > 0 && step.copy_offset() + step.copy_bytes() == offset) {
                step.set_copy_bytes(step.copy_bytes() + bytes);
                return;
            }
        }
        if (this->delta.steps_size() == 0 || this->last().copy_bytes() > 0) {
            this->delta.add_steps();
        }
        this->last().set_copy_offset(offset);
        this->last().set_copy_bytes(bytes);
    }

    proto::ContentDelta finish(std::string_view base, std::string_view target)
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
    proto::ContentDelta::Step &last()
    {
        return *this->delta.mutable_steps(this->delta.steps_size() - 1);
    }

    proto::ContentDelta delta;
    std::string inserted;
};

absl::flat_hash_map<std::string_view, size_t> indexBlocks(std::string_view base)
{
    absl::flat_hash_map<std::string_view, size_t> blocks;
    blocks.reserve(base.size() / BlockBytes);
    for (size_t offset = 0; offset + BlockBytes <= base.size(); offset += BlockBytes) {
        blocks.try_emplace(base.substr(offset, BlockBytes), offset);
    }
    return blocks;
}

// Writes the part of the target between what it has in common with the base at both ends.
void writeMiddle(std::string_view base, std::string_view middle, DeltaWriter &writer)
{
    const auto blocks = indexBlocks(base);
    size_t pending = 0; // Start of what no block has matched.
    size_t at = 0;
    while (at + BlockBytes <= middle.size()) {
        const auto found = blocks.find(middle.substr(at, BlockBytes));
        if (found == blocks.end()) {
            ++at;
            continue;
        }
        const size_t back
            = commonSuffix(base.substr(0, found->second), middle.substr(pending, at - pending));
        const size_t from = found->second - back;
        const size_t length = back + commonPrefix(base.substr(found->second), middle.substr(at));
        writer.insert(middle.substr(pending, at - back - pending));
        writer.copy(from, length);
        at = at - back + length;
        pending = at;
    }
    writer.insert(middle.substr(pending));
}

absl::Status corrupt(std::string_view what)
{
    return core::makeError(
        core::ErrorCode::StorageCorrupt,
        fmt::format("found a delta {}; accepted is one that fits its base", what));
}

} // namespace

proto::ContentDelta makeDelta(std::string_view base, std::string_view target)
{
    DeltaWriter writer;
    const size_t prefix = commonPrefix(base, target);
    const size_t suffix = commonSuffix(base.substr(prefix), target.substr(prefix));
    writer.copy(0, prefix);
    writeMiddle(base, target.substr(prefix, target.size() - prefix - suffix), writer);
    writer.copy(base.size() - suffix, suffix);
    return writer.finish(base, target);
}

absl::StatusOr<std::string> applyDelta(std::string_view base, const proto::ContentDelta &delta)
{
    if (core::checksumOf(base) != delta.base_checksum()) {
        return core::makeError(core::ErrorCode::VersionConflict,
                               "found a delta for another base; accepted is one for this content");
    }
    uint64_t total = 0;
    uint64_t insertedTotal = 0;
    for (const auto &step : delta.steps()) {
        if (step.copy_offset() > base.size() || step.copy_bytes() > base.size() - step.copy_offset()
            || step.insert_bytes() > MaximumContentBytes) {
            return corrupt("with a step beyond its base");
        }
        total += step.copy_bytes() + step.insert_bytes();
        insertedTotal += step.insert_bytes();
        if (total > MaximumContentBytes) {
            return corrupt("that gives too much");
        }
    }
    if (insertedTotal != delta.inserted_bytes()) {
        return corrupt("whose steps insert more or less than it holds");
    }
    std::string inserted;
    if (insertedTotal > 0) {
        auto bytes = inflate(delta.inserted(), insertedTotal);
        if (!bytes.ok()) {
            return bytes.status();
        }
        inserted = *std::move(bytes);
    }
    std::string target;
    target.reserve(total);
    size_t used = 0;
    for (const auto &step : delta.steps()) {
        target.append(inserted, used, step.insert_bytes());
        used += step.insert_bytes();
        target.append(base.substr(step.copy_offset(), step.copy_bytes()));
    }
    if (core::checksumOf(target) != delta.checksum()) {
        return corrupt("that gives other bytes than it was made for");
    }
    return target;
}

} // namespace samphirebridge::delta
