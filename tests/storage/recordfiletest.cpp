#include "samphirebridge/core/errors.h"
#include "samphirebridge/storage/hardstatestore.h"
#include "samphirebridge/storage/memberidentity.h"
#include "samphirebridge/storage/memorystorage.h"
#include "samphirebridge/storage/snapshotstore.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace samphirebridge::storage;

namespace
{

proto::HardState hardState(uint64_t term, const std::string &vote)
{
    proto::HardState state;
    state.set_term(term);
    state.set_voted_for(vote);
    return state;
}

} // namespace

TEST_CASE("a hard state is durable when save returns, and a crash during save leaves the old or "
          "the new one")
{
    for (uint64_t seed = 1; seed <= 100; ++seed) {
        MemoryStorage storage(seed);
        HardStateStore<MemoryStorage> store(storage);
        REQUIRE(store.save(hardState(1, "a/0")).ok());
        storage.crash();
        REQUIRE(store.load()->term() == 1);
        storage.refuseSyncAfter(seed % 2);
        REQUIRE(core::errorCodeOf(store.save(hardState(2, "b/0"))) == core::ErrorCode::SyncFailed);
        storage.crashTorn();
        const auto loaded = store.load();
        REQUIRE(loaded.ok());
        CHECK(((loaded->term() == 1 && loaded->voted_for() == "a/0")
               || (loaded->term() == 2 && loaded->voted_for() == "b/0")));
    }
}

TEST_CASE("a damaged hard state is an error and is never read as an empty one")
{
    MemoryStorage storage;
    HardStateStore<MemoryStorage> store(storage);
    CHECK(store.load()->term() == 0);
    REQUIRE(store.save(hardState(7, "a/0")).ok());
    const uint64_t length = storage.read(store.FileName)->size();
    for (uint64_t offset = 0; offset < length; ++offset) {
        MemoryStorage damaged = storage;
        damaged.damage(store.FileName, offset);
        const auto loaded = HardStateStore<MemoryStorage>(damaged).load();
        CHECK(core::errorCodeOf(loaded.status()) == core::ErrorCode::StorageCorrupt);
    }
    REQUIRE(storage.truncate(store.FileName, 0).ok());
    CHECK(core::errorCodeOf(store.load().status()) == core::ErrorCode::StorageCorrupt);
}

TEST_CASE("a crash while a snapshot is replaced leaves the old or the new one")
{
    for (uint64_t seed = 1; seed <= 100; ++seed) {
        MemoryStorage storage(seed);
        SnapshotStore<MemoryStorage> store(storage);
        CHECK_FALSE(store.load()->has_value());
        proto::SnapshotMeta meta;
        meta.set_index(5);
        REQUIRE(store.save(meta, "old state").ok());
        meta.set_index(9);
        storage.refuseSyncAfter(seed % 2);
        REQUIRE_FALSE(store.save(meta, "new state").ok());
        storage.crashTorn();
        const auto loaded = store.load();
        REQUIRE(loaded.ok());
        REQUIRE(loaded->has_value());
        CHECK((*loaded)->data == ((*loaded)->meta.index() == 5 ? "old state" : "new state"));
    }
}

TEST_CASE("a snapshot in several parts is read completely or is an error")
{
    proto::SnapshotMeta meta;
    meta.set_index(5);
    const std::string data = "a state of several parts";
    const std::string bytes = *buildSnapshotFile(meta, data, 7);
    const auto parsed = parseSnapshotFile("snapshot", bytes);
    REQUIRE(parsed.ok());
    CHECK((*parsed)->data == data);
    CHECK((*parsed)->meta.index() == 5);
    for (size_t length = 0; length < bytes.size(); ++length) {
        const auto truncated
            = parseSnapshotFile("snapshot", std::string_view(bytes).substr(0, length));
        CHECK(core::errorCodeOf(truncated.status()) == core::ErrorCode::StorageCorrupt);
    }
}

TEST_CASE("the member name of a folder never changes")
{
    MemoryStorage storage;
    MemberIdentity<MemoryStorage> identity(storage);
    CHECK_FALSE(identity.load()->has_value());
    REQUIRE(identity.save(memberName("quito-1", 0)).ok());
    storage.crash();
    CHECK(**identity.load() == "quito-1/0");
    CHECK(identity.save("quito-1/0").ok());
    CHECK(core::errorCodeOf(identity.save("quito-1/1")) == core::ErrorCode::StorageCorrupt);
    CHECK(core::errorCodeOf(identity.save("a b")) == core::ErrorCode::InvalidName);
    CHECK(instanceOf("ec/quito-1/12") == "ec/quito-1");
    CHECK(instanceOf("quito-1") == "quito-1");
}

// A temporary file that stays would take the room that the disk still has.
TEST_CASE("a full disk leaves the old hard state and no temporary file")
{
    MemoryStorage storage;
    HardStateStore<MemoryStorage> store(storage);
    REQUIRE(store.save(hardState(1, "a/0")).ok());
    storage.fillAfter(0);
    CHECK(core::errorCodeOf(store.save(hardState(2, "b/0"))) == core::ErrorCode::StorageFull);
    CHECK(storage.list()->size() == 1);
    CHECK(store.load()->term() == 1);
    storage.makeRoom();
    REQUIRE(store.save(hardState(2, "b/0")).ok());
    CHECK(store.load()->term() == 2);
}
