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

// Appends entries and syncs them.
void appendAndSync(MemoryLog &log, uint64_t first, uint64_t last, uint64_t term = 1)
{
    REQUIRE(log.append(entriesBetween(first, last, term)).ok());
    REQUIRE(log.sync().ok());
}

void checkEntries(MemoryLog &log, uint64_t first, uint64_t last)
{
    const std::vector<proto::LogEntry> found = log.takeEntries();
    const std::vector<proto::LogEntry> expected = entriesBetween(first, last);
    REQUIRE(found.size() == expected.size());
    for (size_t position = 0; position < found.size(); ++position) {
        CHECK(found[position].SerializeAsString() == expected[position].SerializeAsString());
    }
}

std::vector<std::string> segmentNames(MemoryStorage &storage)
{
    return *storage.list();
}

} // namespace

TEST_CASE("entries are read back across segments, and one sync covers many appends")
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
    MemoryLog reopened = openLog(storage, SmallSegments);
    checkEntries(reopened, 1, 50);
    appendAndSync(reopened, 51, 80);
    CHECK(segmentNames(storage).size() > 3);
    storage.crash();
    MemoryLog reopenedAgain = openLog(storage, SmallSegments);
    CHECK(reopenedAgain.lastIndex() == 80);
    checkEntries(reopenedAgain, 1, 80);
}

TEST_CASE("synced entries survive every crash, and of unsynced ones only intact entries remain")
{
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        MemoryStorage storage(seed);
        MemoryLog log = openLog(storage, SmallSegments);
        appendAndSync(log, 1, 1 + seed % 9);
        const uint64_t durable = log.lastIndex();
        REQUIRE(log.append(entriesBetween(durable + 1, durable + 3)).ok());
        storage.crashTorn();
        MemoryLog reopened = openLog(storage, SmallSegments);
        INFO("seed " << seed);
        REQUIRE(reopened.lastIndex() >= durable);
        checkEntries(reopened, 1, reopened.lastIndex());
        appendAndSync(reopened, reopened.lastIndex() + 1, reopened.lastIndex() + 5);
        const uint64_t last = reopened.lastIndex();
        storage.crash();
        MemoryLog reopenedAgain = openLog(storage, SmallSegments);
        CHECK(reopenedAgain.lastIndex() == last);
    }
}

TEST_CASE("a write torn at any byte is detected by its checksum and removed")
{
    MemoryStorage original;
    MemoryLog log = openLog(original);
    appendAndSync(log, 1, 3);
    const std::string name = segmentNames(original).front();
    const uint64_t durableBytes = original.read(name)->size();
    REQUIRE(log.append(entriesBetween(4, 4)).ok());
    const std::string bytes = *original.read(name);
    for (uint64_t length = durableBytes; length < bytes.size(); ++length) {
        MemoryStorage storage;
        REQUIRE(storage.append(name, std::string_view(bytes).substr(0, length)).ok());
        MemoryLog reopened = openLog(storage);
        CHECK(reopened.lastIndex() == 3);
        CHECK(storage.read(name)->size() == durableBytes);
    }
}

TEST_CASE("an unsynced batch that reached the disk out of order is removed as torn")
{
    MemoryStorage storage;
    MemoryLog log = openLog(storage);
    appendAndSync(log, 1, 3);
    const std::string name = segmentNames(storage).front();
    const uint64_t durableBytes = storage.read(name)->size();
    REQUIRE(log.append(entriesBetween(4, 6)).ok());
    storage.damage(name, durableBytes + FrameHeaderBytes);
    MemoryLog reopened = openLog(storage);
    CHECK(reopened.lastIndex() == 3);
}

TEST_CASE("damage to any byte before the last batch is reported with file and offset")
{
    MemoryStorage storage;
    MemoryLog log = openLog(storage);
    appendAndSync(log, 1, 3);
    const std::string name = segmentNames(storage).front();
    const uint64_t durableBytes = storage.read(name)->size();
    appendAndSync(log, 4, 5);
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

TEST_CASE("damage at the end of an earlier segment is reported")
{
    MemoryStorage storage;
    MemoryLog log = openLog(storage, SmallSegments);
    appendAndSync(log, 1, 20);
    const std::string first = segmentNames(storage).front();
    storage.damage(first, storage.read(first)->size() - 1);
    const absl::Status status = MemoryLog::open(storage, SmallSegments).status();
    CHECK(core::errorCodeOf(status) == core::ErrorCode::StorageCorrupt);
    CHECK(core::messageOf(status).find(first) != std::string_view::npos);
}

TEST_CASE("a gap between segments is reported")
{
    MemoryStorage storage;
    MemoryLog log = openLog(storage, SmallSegments);
    appendAndSync(log, 1, 20);
    const std::string second = segmentNames(storage)[1];
    REQUIRE(storage.remove(second).ok());
    const absl::Status status = MemoryLog::open(storage, SmallSegments).status();
    CHECK(core::errorCodeOf(status) == core::ErrorCode::StorageCorrupt);
    CHECK(core::messageOf(status).find("gap") != std::string_view::npos);
}

TEST_CASE("entries that open returns are durable even if the previous process did not sync them")
{
    MemoryStorage storage;
    MemoryLog log = openLog(storage);
    appendAndSync(log, 1, 2);
    REQUIRE(log.append(entriesBetween(3, 4)).ok());
    MemoryLog reopened = openLog(storage);
    CHECK(reopened.lastIndex() == 4);
    storage.crash();
    MemoryLog reopenedAgain = openLog(storage);
    CHECK(reopenedAgain.lastIndex() == 4);
}

TEST_CASE("truncated entries do not come back and are replaced by later ones")
{
    for (uint64_t index = 1; index <= 20; ++index) {
        MemoryStorage storage;
        MemoryLog log = openLog(storage, SmallSegments);
        appendAndSync(log, 1, 20);
        REQUIRE(log.truncateFrom(index).ok());
        storage.crash();
        MemoryLog reopened = openLog(storage, SmallSegments);
        REQUIRE(reopened.lastIndex() == index - 1);
        appendAndSync(reopened, index, index + 4, 2);
        storage.crash();
        MemoryLog reopenedAgain = openLog(storage, SmallSegments);
        CHECK(reopenedAgain.lastIndex() == index + 4);
        CHECK(reopenedAgain.takeEntries().back().term() == 2);
    }
}

TEST_CASE("dropBefore keeps every entry from the given index on")
{
    MemoryStorage storage;
    MemoryLog log = openLog(storage, SmallSegments);
    appendAndSync(log, 1, 40);
    REQUIRE(log.dropBefore(25).ok());
    CHECK(log.firstIndex() > 1);
    CHECK(log.firstIndex() <= 25);
    storage.crash();
    MemoryLog reopened = openLog(storage, SmallSegments);
    checkEntries(reopened, log.firstIndex(), 40);
    REQUIRE(reopened.reset(101).ok());
    storage.crash();
    MemoryLog reopenedAgain = openLog(storage, SmallSegments);
    CHECK(reopenedAgain.firstIndex() == 101);
    CHECK(reopenedAgain.lastIndex() == 100);
}

TEST_CASE("after a failed sync every change fails, and the unsynced entries are not stored")
{
    MemoryStorage storage;
    MemoryLog log = openLog(storage);
    appendAndSync(log, 1, 2);
    REQUIRE(log.append(entriesBetween(3, 4)).ok());
    storage.refuseSyncAfter(0);
    CHECK(core::errorCodeOf(log.sync()) == core::ErrorCode::SyncFailed);
    CHECK(core::errorCodeOf(log.sync()) == core::ErrorCode::SyncFailed);
    CHECK(core::errorCodeOf(log.append(entriesBetween(5, 5))) == core::ErrorCode::SyncFailed);
    storage.crash();
    MemoryLog reopened = openLog(storage);
    CHECK(reopened.lastIndex() == 2);
}

TEST_CASE("entries that do not continue the indices of the log are refused")
{
    MemoryStorage storage;
    MemoryLog log = openLog(storage);
    appendAndSync(log, 1, 2);
    CHECK(core::errorCodeOf(log.append(entriesBetween(4, 4))) == core::ErrorCode::Internal);
    CHECK(core::errorCodeOf(log.append(entriesBetween(2, 2))) == core::ErrorCode::Internal);
}

// A refused append leaves a part of a record, and a repeated one would follow it.
TEST_CASE("entries that a full disk refused are appended once it has room")
{
    for (uint64_t seed = 1; seed <= 100; ++seed) {
        MemoryStorage storage(seed);
        MemoryLog log = openLog(storage, SmallSegments);
        appendAndSync(log, 1, 1 + seed % 5);
        const uint64_t next = log.lastIndex() + 1;
        const uint64_t last = next + seed % 20;
        storage.fillAfter(0);
        for (unsigned attempt = 0; attempt < 2 + seed % 2; ++attempt) {
            absl::Status status = log.truncateFrom(next);
            if (status.ok()) {
                status = log.append(entriesBetween(next, last));
            }
            REQUIRE(core::errorCodeOf(status) == core::ErrorCode::StorageFull);
        }
        storage.makeRoom();
        REQUIRE(log.truncateFrom(next).ok());
        REQUIRE(log.lastIndex() + 1 == next);
        appendAndSync(log, next, last);
        storage.crash();
        MemoryLog reopened = openLog(storage, SmallSegments);
        checkEntries(reopened, 1, last);
    }
}

// A batch that fills a segment is written in several parts, each of which may be the last that the
// disk has room for.
TEST_CASE("a batch of which a full disk took the first segments is appended once it has room")
{
    for (uint64_t writes = 0; writes < 12; ++writes) {
        MemoryStorage storage(writes);
        MemoryLog log = openLog(storage, SmallSegments);
        appendAndSync(log, 1, 3);
        storage.fillAfter(writes);
        REQUIRE(core::errorCodeOf(log.append(entriesBetween(4, 60)))
                == core::ErrorCode::StorageFull);
        storage.makeRoom();
        REQUIRE(log.truncateFrom(4).ok());
        appendAndSync(log, 4, 60);
        storage.crash();
        MemoryLog reopened = openLog(storage, SmallSegments);
        checkEntries(reopened, 1, 60);
    }
}
