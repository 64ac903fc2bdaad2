#include "entries.h"

#include "samphirebridge/core/errors.h"
#include "samphirebridge/storage/filestorage.h"
#include "samphirebridge/storage/log.h"
#include "samphirebridge/storage/recordfile.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>

using namespace samphirebridge;
using namespace samphirebridge::storage;
using samphirebridge::storage::tests::entriesBetween;

namespace
{

// A new temporary folder, removed by the destructor.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string pattern
            = (std::filesystem::temp_directory_path() / "samphirebridge-XXXXXX").string();
        REQUIRE(::mkdtemp(pattern.data()) != nullptr);
        this->path = pattern;
    }
    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->path, ignored);
    }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    std::string path;
};

} // namespace

TEST_CASE("files are appended to, read, renamed, truncated, listed and removed")
{
    const TemporaryFolder folder;
    auto storage = FileStorage::open(folder.path);
    REQUIRE(storage.ok());
    REQUIRE(storage->append("b", "one ").ok());
    REQUIRE(storage->append("b", "two").ok());
    REQUIRE(storage->sync("b").ok());
    REQUIRE(storage->syncFolder().ok());
    CHECK(*storage->read("b") == "one two");
    REQUIRE(storage->append("a", "old").ok());
    REQUIRE(storage->rename("b", "a").ok());
    CHECK(*storage->read("a") == "one two");
    CHECK(*storage->list() == std::vector<std::string>{"a"});
    REQUIRE(storage->truncate("a", 3).ok());
    REQUIRE(storage->append("a", "!").ok());
    CHECK(*storage->read("a") == "one!");
    CHECK(*storage->exists("a"));
    REQUIRE(storage->remove("a").ok());
    REQUIRE(storage->remove("a").ok());
    CHECK_FALSE(*storage->exists("a"));
    CHECK(core::errorCodeOf(storage->read("a").status()) == core::ErrorCode::StorageUnavailable);
}

TEST_CASE("opening a missing data folder or one that is in use fails with its own error code")
{
    const TemporaryFolder folder;
    const absl::Status missing = FileStorage::open(folder.path + "/none").status();
    CHECK(core::errorCodeOf(missing) == core::ErrorCode::DataFolderMissing);
    const auto first = FileStorage::open(folder.path);
    REQUIRE(first.ok());
    const absl::Status locked = FileStorage::open(folder.path).status();
    CHECK(core::errorCodeOf(locked) == core::ErrorCode::StorageUnavailable);
}

TEST_CASE("with the fault lose_unsynced only synced bytes remain after the process ends")
{
    const TemporaryFolder folder;
    {
        auto storage = FileStorage::open(folder.path, {.losesUnsynced = true});
        REQUIRE(storage.ok());
        REQUIRE(storage->append("a", "synced").ok());
        REQUIRE(storage->sync("a").ok());
        REQUIRE(storage->append("a", " not").ok());
        REQUIRE(storage->append("b", "renamed").ok());
        REQUIRE(storage->rename("b", "c").ok());
        CHECK(*storage->read("a") == "synced not");
        CHECK(*storage->read("c") == "renamed");
        REQUIRE(storage->append("d", "cut short").ok());
        REQUIRE(storage->truncate("d", 3).ok());
        CHECK(*storage->read("d") == "cut");
    }
    auto storage = FileStorage::open(folder.path);
    REQUIRE(storage.ok());
    CHECK(*storage->read("a") == "synced");
    CHECK(storage->read("c")->empty());
}

TEST_CASE("the log and the record files are read back from files on disk")
{
    const TemporaryFolder folder;
    auto storage = FileStorage::open(folder.path);
    REQUIRE(storage.ok());
    REQUIRE(saveRecordFile(*storage, "record", "content").ok());
    CHECK(**loadRecordFile(*storage, "record") == "content");
    {
        auto log = Log<FileStorage>::open(*storage, {.segmentBytes = 100});
        REQUIRE(log.ok());
        REQUIRE(log->append(entriesBetween(1, 30)).ok());
        REQUIRE(log->sync().ok());
        REQUIRE(log->truncateFrom(20).ok());
        REQUIRE(log->dropBefore(10).ok());
    }
    auto reopened = Log<FileStorage>::open(*storage, {.segmentBytes = 100});
    REQUIRE(reopened.ok());
    CHECK(reopened->lastIndex() == 19);
    CHECK(reopened->firstIndex() <= 10);
    CHECK(reopened->takeEntries().back().data() == "command 19");
}

// Every write to /dev/full fails with the system's error for a full disk.
TEST_CASE("a write that the disk has no room for is told from other errors")
{
    const TemporaryFolder folder;
    std::filesystem::create_symlink("/dev/full", folder.path + "/full");
    std::filesystem::create_directory(folder.path + "/folder");
    auto storage = FileStorage::open(folder.path);
    REQUIRE(storage.ok());
    CHECK(core::errorCodeOf(storage->append("full", "bytes")) == core::ErrorCode::StorageFull);
    CHECK(core::errorCodeOf(storage->append("folder", "bytes"))
          == core::ErrorCode::StorageUnavailable);
    // The storage stays usable.
    CHECK(storage->append("file", "bytes").ok());
    CHECK(storage->sync("file").ok());
}
