#include "samphirebridge/storage/spool.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/storage/memorystorage.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace samphirebridge::storage;

namespace
{

using MemorySpool = Spool<MemoryStorage>;
using Records = std::vector<std::string>;

MemorySpool openSpool(MemoryStorage &storage)
{
    auto spool = MemorySpool::open(storage, "spool");
    REQUIRE(spool.ok());
    return *std::move(spool);
}

} // namespace

TEST_CASE("synced records are read in order until they are cleared")
{
    MemoryStorage storage;
    MemorySpool spool = openSpool(storage);
    CHECK(spool.readAll()->empty());
    REQUIRE(spool.append("one").ok());
    REQUIRE(spool.append("").ok());
    REQUIRE(spool.append("three").ok());
    REQUIRE(spool.sync().ok());
    storage.crash();
    MemorySpool reopened = openSpool(storage);
    CHECK(*reopened.readAll() == Records{"one", "", "three"});
    CHECK(reopened.bytes() > 0);
    REQUIRE(reopened.clear().ok());
    CHECK(reopened.bytes() == 0);
    storage.crash();
    MemorySpool reopenedAgain = openSpool(storage);
    CHECK(reopenedAgain.readAll()->empty());
    REQUIRE(reopenedAgain.append("four").ok());
    CHECK(*reopenedAgain.readAll() == Records{"four"});
}

TEST_CASE("a spool keeps its synced records through every crash and removes a torn one")
{
    for (uint64_t seed = 1; seed <= 100; ++seed) {
        MemoryStorage storage(seed);
        MemorySpool spool = openSpool(storage);
        REQUIRE(spool.append("kept").ok());
        REQUIRE(spool.sync().ok());
        REQUIRE(spool.append("perhaps").ok());
        storage.crashTorn();
        MemorySpool reopened = openSpool(storage);
        const Records records = *reopened.readAll();
        CHECK((records == Records{"kept"} || records == Records{"kept", "perhaps"}));
        REQUIRE(reopened.append("later").ok());
        REQUIRE(reopened.sync().ok());
        CHECK(reopened.readAll()->back() == "later");
    }
}

TEST_CASE("damage before the last synced record of a spool is reported")
{
    MemoryStorage storage;
    MemorySpool spool = openSpool(storage);
    REQUIRE(spool.append("one").ok());
    REQUIRE(spool.sync().ok());
    REQUIRE(spool.append("two").ok());
    REQUIRE(spool.sync().ok());
    storage.damage("spool", 2);
    const absl::Status status = MemorySpool::open(storage, "spool").status();
    CHECK(core::errorCodeOf(status) == core::ErrorCode::StorageCorrupt);
    CHECK(core::messageOf(status).find("spool, offset 0") != std::string_view::npos);
}

TEST_CASE("after a failed sync every change of a spool fails")
{
    MemoryStorage storage;
    MemorySpool spool = openSpool(storage);
    REQUIRE(spool.append("one").ok());
    storage.refuseSyncAfter(0);
    CHECK(core::errorCodeOf(spool.sync()) == core::ErrorCode::SyncFailed);
    CHECK(core::errorCodeOf(spool.sync()) == core::ErrorCode::SyncFailed);
    CHECK(core::errorCodeOf(spool.append("two")) == core::ErrorCode::SyncFailed);
}
