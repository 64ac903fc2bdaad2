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
    MemorySpool again = openSpool(storage);
    CHECK(*again.readAll() == Records{"one", "", "three"});
    CHECK(again.bytes() > 0);
    REQUIRE(again.clear().ok());
    CHECK(again.bytes() == 0);
    storage.crash();
    MemorySpool third = openSpool(storage);
    CHECK(third.readAll()->empty());
    REQUIRE(third.append("four").ok());
    CHECK(*third.readAll() == Records{"four"});
}

TEST_CASE("a spool keeps its synced records through every crash and cuts a torn one")
{
    for (uint64_t seed = 1; seed <= 100; ++seed) {
        MemoryStorage storage(seed);
        MemorySpool spool = openSpool(storage);
        REQUIRE(spool.append("kept").ok());
        REQUIRE(spool.sync().ok());
        REQUIRE(spool.append("perhaps").ok());
        storage.crashTorn();
        MemorySpool again = openSpool(storage);
        const Records records = *again.readAll();
        CHECK((records == Records{"kept"} || records == Records{"kept", "perhaps"}));
        REQUIRE(again.append("later").ok());
        REQUIRE(again.sync().ok());
        CHECK(again.readAll()->back() == "later");
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

TEST_CASE("a spool's refused sync is final")
{
    MemoryStorage storage;
    MemorySpool spool = openSpool(storage);
    REQUIRE(spool.append("one").ok());
    storage.refuseSyncAfter(0);
    CHECK(core::errorCodeOf(spool.sync()) == core::ErrorCode::SyncFailed);
    CHECK(core::errorCodeOf(spool.sync()) == core::ErrorCode::SyncFailed);
    CHECK(core::errorCodeOf(spool.append("two")) == core::ErrorCode::SyncFailed);
}
