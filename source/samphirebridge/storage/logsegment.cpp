#include "samphirebridge/storage/logsegment.h"

#include <fmt/format.h>

#include <charconv>

namespace samphirebridge::storage
{

namespace
{

constexpr std::string_view FileNamePrefix = "log-";
constexpr std::string_view FileNameSuffix = ".segment";

} // namespace

std::optional<uint64_t> firstIndexOfSegment(std::string_view fileName)
{
    if (!fileName.starts_with(FileNamePrefix) || !fileName.ends_with(FileNameSuffix)
        || fileName.size() <= FileNamePrefix.size() + FileNameSuffix.size()) {
        return std::nullopt;
    }
    const std::string_view digits = fileName.substr(
        FileNamePrefix.size(), fileName.size() - FileNamePrefix.size() - FileNameSuffix.size());
    uint64_t index = 0;
    const char *const end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, index);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return index;
}

LogSegment LogSegment::startingAt(uint64_t firstIndex)
{
    LogSegment segment;
    segment.firstIndex = firstIndex;
    segment.name = fmt::format("{}{:020}{}", FileNamePrefix, firstIndex, FileNameSuffix);
    return segment;
}

absl::Status
LogSegment::parse(std::string_view content, TailRule rule, std::vector<proto::LogEntry> &entries)
{
    const absl::StatusOr<ScannedFile> scanned = scanFrames(this->name, content, rule);
    if (!scanned.ok()) {
        return scanned.status();
    }
    for (const FramedRecord &record : scanned->records) {
        proto::LogEntry entry;
        const int length = static_cast<int>(record.payload.size());
        if (!entry.ParseFromArray(record.payload.data(), length)) {
            return corruptFileError(
                this->name, record.offset, "a record that cannot be parsed as a log entry");
        }
        if (entry.index() != this->nextIndex()) {
            return corruptFileError(
                this->name,
                record.offset,
                fmt::format("a gap: entry {} in place of {}", entry.index(), this->nextIndex()));
        }
        this->offsets.push_back(record.offset);
        entries.push_back(std::move(entry));
    }
    this->bytes = scanned->validBytes;
    this->syncedBytes = scanned->validBytes;
    return absl::OkStatus();
}

absl::Status LogSegment::add(const proto::LogEntry &entry, std::string &out)
{
    const size_t before = out.size();
    absl::Status status = appendFrame(out, entry.SerializeAsString(), this->syncedBytes);
    if (!status.ok()) {
        return status;
    }
    this->offsets.push_back(this->bytes);
    this->bytes += out.size() - before;
    return status;
}

uint64_t LogSegment::bytesBefore(uint64_t index) const
{
    if (index >= this->nextIndex()) {
        return this->bytes;
    }
    return this->offsets[index > this->firstIndex ? index - this->firstIndex : 0];
}

void LogSegment::truncateFrom(uint64_t index)
{
    if (index >= this->nextIndex()) {
        return;
    }
    this->bytes = this->bytesBefore(index);
    this->offsets.resize(index > this->firstIndex ? index - this->firstIndex : 0);
    this->syncedBytes = this->bytes;
}

} // namespace samphirebridge::storage
