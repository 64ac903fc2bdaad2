#include "entries.h"

#include "samphirebridge/core/errors.h"
#include "samphirebridge/storage/log.h"
#include "samphirebridge/storage/memorystorage.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace samphirebridge::storage;
using samphirebridge::storage::tests::entriesBetween;

namespace
{

using MemoryLog = Log<MemoryStorage>;

constexpr LogSettings SmallSegments{.segmentBytes = 200};

MemoryLog openLog(MemoryStorage &storage, LogSettings settings = {})
{
    auto log = MemoryLog::open(storage, settings);
    REQUIRE(log.ok());
    return *std::move(log);
}

// Writes entries and makes them durable.
void write(MemoryLog &log, uint64_t first, uint64_t last, uint64_t term = 1)
{
    REQUIRE(log.append(entriesBetween(first, last, term)).ok());
    REQUIRE(log.sync().ok());
}

void checkEntries(MemoryLog &log, uint64_t first, uint64_t last)
{
    const std::vector<proto::LogEntry> found = log.takeEntries();
    const std::vector<proto::LogEntry> expected = entriesBetween(first, last);
    REQUIRE(found.size() == expected.size());
    for (size_t place = 0; place < found.size(); ++place) {
        CHECK(found[place].SerializeAsString() == expected[place].SerializeAsString());
    }
}

std::vector<std::string> segmentNames(MemoryStorage &storage)
{
    return *storage.list();
}

} // namespace

TEST_CASE("entries are read back across segments, and many appends share one sync")
{
    MemoryStorage storage;
    MemoryLog log = openLog(storage);
    const uint64_t syncsBefore = storage.syncCount();
    for (uint64_t index = 1; index <= 50; ++index) {
        REQUIRE(log.append(entriesBetween(index, index)).ok());
    }
    REQUIRE(log.sync().ok());
    CHECK(storage.syncCount() == syncsBefore + 1);
    storage.crash();
    MemoryLog again = openLog(storage, SmallSegments);
    checkEntries(again, 1, 50);
    write(again, 51, 80);
    CHECK(segmentNames(storage).size() > 3);
    storage.crash();
    MemoryLog third = openLog(storage, SmallSegments);
    CHECK(third.lastIndex() == 80);
    checkEntries(third, 1, 80);
}

TEST_CASE("what was synced survives every crash and what was not is gone whole entry by entry")
{
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        MemoryStorage storage(seed);
        MemoryLog log = openLog(storage, SmallSegments);
        write(log, 1, 1 + seed % 9);
        const uint64_t durable = log.lastIndex();
        REQUIRE(log.append(entriesBetween(durable + 1, durable + 3)).ok());
        storage.crashTorn();
        MemoryLog again = openLog(storage, SmallSegments);
        INFO("seed " << seed);
        REQUIRE(again.lastIndex() >= durable);
        checkEntries(again, 1, again.lastIndex());
        write(again, again.lastIndex() + 1, again.lastIndex() + 5);
        const uint64_t last = again.lastIndex();
        storage.crash();
        MemoryLog third = openLog(storage, SmallSegments);
        CHECK(third.lastIndex() == last);
    }
}

TEST_CASE("a torn tail is cut by its checksum wherever it was torn")
{
    MemoryStorage whole;
    MemoryLog log = openLog(whole);
    write(log, 1, 3);
    const std::string name = segmentNames(whole).front();
    const uint64_t durableBytes = whole.read(name)->size();
    REQUIRE(log.append(entriesBetween(4, 4)).ok());
    const std::string bytes = *whole.read(name);
    for (uint64_t length = durableBytes; length < bytes.size(); ++length) {
        MemoryStorage storage;
        REQUIRE(storage.append(name, std::string_view(bytes).substr(0, length)).ok());
        MemoryLog again = openLog(storage);
        CHECK(again.lastIndex() == 3);
        CHECK(storage.read(name)->size() == durableBytes);
    }
}

TEST_CASE("an unsynced batch that reached the disk out of order counts as torn")
{
    MemoryStorage storage;
    MemoryLog log = openLog(storage);
    write(log, 1, 3);
    const std::string name = segmentNames(storage).front();
    const uint64_t durableBytes = storage.read(name)->size();
    REQUIRE(log.append(entriesBetween(4, 6)).ok());
    storage.damage(name, durableBytes + FrameHeaderBytes);
    MemoryLog again = openLog(storage);
    CHECK(again.lastIndex() == 3);
}

TEST_CASE("damage before the last batch is reported with file and offset, byte by byte")
{
    MemoryStorage storage;
    MemoryLog log = openLog(storage);
    write(log, 1, 3);
    const std::string name = segmentNames(storage).front();
    const uint64_t durableBytes = storage.read(name)->size();
    write(log, 4, 5);
    const std::string bytes = *storage.read(name);
    for (uint64_t offset = 0; offset < durableBytes; ++offset) {
        MemoryStorage damaged;
        REQUIRE(damaged.append(name, bytes).ok());
        damaged.damage(name, offset);
        const absl::Status status = MemoryLog::open(damaged, {}).status();
        INFO("offset " << offset);
        REQUIRE(core::errorCodeOf(status) == core::ErrorCode::StorageCorrupt);
        CHECK(core::messageOf(status).find(name) != std::string_view::npos);
        CHECK(core::messageOf(status).find("offset") != std::string_view::npos);
    }
}

TEST_CASE("damage in an earlier segment is reported though the segment ends there")
{
    MemoryStorage storage;
    MemoryLog log = openLog(storage, SmallSegments);
    write(log, 1, 20);
    const std::string first = segmentNames(storage).front();
    storage.damage(first, storage.read(first)->size() - 1);
    const absl::Status status = MemoryLog::open(storage, SmallSegments).status();
    CHECK(core::errorCodeOf(status) == core::ErrorCode::StorageCorrupt);
    CHECK(core::messageOf(status).find(first) != std::string_view::npos);
}

TEST_CASE("a hole between segments is reported")
{
    MemoryStorage storage;
    MemoryLog log = openLog(storage, SmallSegments);
    write(log, 1, 20);
    const std::string second = segmentNames(storage)[1];
    REQUIRE(storage.remove(second).ok());
    const absl::Status status = MemoryLog::open(storage, SmallSegments).status();
    CHECK(core::errorCodeOf(status) == core::ErrorCode::StorageCorrupt);
    CHECK(core::messageOf(status).find("hole") != std::string_view::npos);
}

TEST_CASE("what open returns is durable, though the process before it ended without a sync")
{
    MemoryStorage storage;
    MemoryLog log = openLog(storage);
    write(log, 1, 2);
    REQUIRE(log.append(entriesBetween(3, 4)).ok());
    MemoryLog again = openLog(storage);
    CHECK(again.lastIndex() == 4);
    storage.crash();
    MemoryLog third = openLog(storage);
    CHECK(third.lastIndex() == 4);
}

TEST_CASE("a truncated suffix stays gone and is replaced by later entries")
{
    for (uint64_t index = 1; index <= 20; ++index) {
        MemoryStorage storage;
        MemoryLog log = openLog(storage, SmallSegments);
        write(log, 1, 20);
        REQUIRE(log.truncateFrom(index).ok());
        storage.crash();
        MemoryLog again = openLog(storage, SmallSegments);
        REQUIRE(again.lastIndex() == index - 1);
        write(again, index, index + 4, 2);
        storage.crash();
        MemoryLog third = openLog(storage, SmallSegments);
        CHECK(third.lastIndex() == index + 4);
        CHECK(third.takeEntries().back().term() == 2);
    }
}

TEST_CASE("dropping a prefix keeps every entry from the given one on")
{
    MemoryStorage storage;
    MemoryLog log = openLog(storage, SmallSegments);
    write(log, 1, 40);
    REQUIRE(log.dropBefore(25).ok());
    CHECK(log.firstIndex() > 1);
    CHECK(log.firstIndex() <= 25);
    storage.crash();
    MemoryLog again = openLog(storage, SmallSegments);
    checkEntries(again, log.firstIndex(), 40);
    REQUIRE(again.reset(101).ok());
    storage.crash();
    MemoryLog third = openLog(storage, SmallSegments);
    CHECK(third.firstIndex() == 101);
    CHECK(third.lastIndex() == 100);
}

TEST_CASE("a refused sync is an error for ever, and nothing is claimed to be stored")
{
    MemoryStorage storage;
    MemoryLog log = openLog(storage);
    write(log, 1, 2);
    REQUIRE(log.append(entriesBetween(3, 4)).ok());
    storage.refuseSyncAfter(0);
    CHECK(core::errorCodeOf(log.sync()) == core::ErrorCode::SyncFailed);
    CHECK(core::errorCodeOf(log.sync()) == core::ErrorCode::SyncFailed);
    CHECK(core::errorCodeOf(log.append(entriesBetween(5, 5))) == core::ErrorCode::SyncFailed);
    storage.crash();
    MemoryLog again = openLog(storage);
    CHECK(again.lastIndex() == 2);
}

TEST_CASE("entries that do not follow the last one are refused")
{
    MemoryStorage storage;
    MemoryLog log = openLog(storage);
    write(log, 1, 2);
    CHECK(core::errorCodeOf(log.append(entriesBetween(4, 4))) == core::ErrorCode::Internal);
    CHECK(core::errorCodeOf(log.append(entriesBetween(2, 2))) == core::ErrorCode::Internal);
}
