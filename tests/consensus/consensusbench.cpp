// Measures entries per second and per sync of DurableNodes on real files. Not a test, since the
// figures depend on the hardware. Usage: consensusbench FOLDER [BATCHES] [BYTES]
#include "chainmachine.h"

#include "samphirebridge/consensus/durablenode.h"
#include "samphirebridge/storage/filestorage.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace samphirebridge::consensus::tests
{

namespace
{

using namespace std::chrono_literals;

// A FileStorage that counts the syncs of files and of the folder.
class CountingStorage
{
public:
    explicit CountingStorage(storage::FileStorage files)
        : files(std::move(files))
    {
    }

    absl::Status append(std::string_view name, std::string_view bytes)
    {
        return this->files.append(name, bytes);
    }
    absl::StatusOr<std::string> read(std::string_view name)
    {
        return this->files.read(name);
    }
    absl::StatusOr<bool> exists(std::string_view name)
    {
        return this->files.exists(name);
    }
    absl::Status sync(std::string_view name)
    {
        ++this->syncCount;
        return this->files.sync(name);
    }
    absl::Status syncFolder()
    {
        ++this->syncCount;
        return this->files.syncFolder();
    }
    absl::Status rename(std::string_view from, std::string_view to)
    {
        return this->files.rename(from, to);
    }
    absl::Status truncate(std::string_view name, uint64_t length)
    {
        return this->files.truncate(name, length);
    }
    absl::Status remove(std::string_view name)
    {
        return this->files.remove(name);
    }
    absl::StatusOr<std::vector<std::string>> list()
    {
        return this->files.list();
    }

    uint64_t syncCount = 0;

private:
    storage::FileStorage files;
};

using BenchNode = DurableNode<CountingStorage, ChainMachine>;

// Returns the value, or throws the error.
template <typename Value>
Value valueOrThrow(absl::StatusOr<Value> value)
{
    if (!value.ok()) {
        throw std::runtime_error(value.status().ToString());
    }
    return *std::move(value);
}

// One member of a group.
struct Replica {
    std::string name;
    std::unique_ptr<CountingStorage> storage;
    ChainMachine machine;
    std::unique_ptr<BenchNode> node;
};

// A group whose messages are delivered at once. Time advances only for the election, which the
// first replica wins.
class Group
{
public:
    Group(const std::string &folder, size_t voters)
    {
        std::vector<std::string> names;
        for (size_t number = 0; number < voters; ++number) {
            names.push_back(storage::memberName(fmt::format("voter-{}", number), 0));
        }
        for (const std::string &name : names) {
            this->startReplica(folder, name, names);
        }
        this->now += 1s;
        this->replicas.front()->node->tick(this->now);
        this->deliverAllMessages();
    }

    // Proposes `batch` commands and returns when the leader has applied them.
    void commit(uint64_t batch, const std::string &command)
    {
        for (uint64_t count = 0; count < batch; ++count) {
            valueOrThrow(this->leader().node->propose(command, this->now));
        }
        this->deliverAllMessages();
    }

    Replica &leader()
    {
        return *this->replicas.front();
    }

private:
    void startReplica(const std::string &folder,
                      const std::string &name,
                      const std::vector<std::string> &voters)
    {
        const std::string path = fmt::format("{}/{}", folder, storage::instanceOf(name));
        std::filesystem::create_directories(path);
        auto replica = std::make_unique<Replica>();
        replica->name = name;
        replica->storage
            = std::make_unique<CountingStorage>(valueOrThrow(storage::FileStorage::open(path)));
        if (absl::Status status = initialise(*replica->storage, voters, name); !status.ok()) {
            throw std::runtime_error(status.ToString());
        }
        replica->node
            = valueOrThrow(BenchNode::open(*replica->storage, replica->machine, {}, this->now));
        this->replicas.push_back(std::move(replica));
    }

    // Flushes all replicas and delivers their messages until there are none.
    void deliverAllMessages()
    {
        bool hasMessages = true;
        while (hasMessages) {
            hasMessages = false;
            for (const auto &replica : this->replicas) {
                auto output = valueOrThrow(replica->node->flush());
                for (const proto::RaftMessage &message : output.messages) {
                    hasMessages = true;
                    this->deliver(message);
                }
            }
        }
    }

    void deliver(const proto::RaftMessage &message)
    {
        for (const auto &replica : this->replicas) {
            if (replica->name == message.to()) {
                replica->node->step(message, this->now);
            }
        }
    }

    std::vector<std::unique_ptr<Replica>> replicas;
    core::TimePoint now = core::TimePoint(1s);
};

// Commits `entries` commands in batches and prints throughput, entries per sync and latencies.
void measure(const std::string &folder,
             size_t voters,
             uint64_t batch,
             uint64_t entries,
             const std::string &command)
{
    const std::string path = fmt::format("{}/{}-{}", folder, voters, batch);
    Group group(path, voters);
    const uint64_t syncsBefore = group.leader().storage->syncCount;
    const uint64_t versionBefore = group.leader().machine.state.version;
    std::vector<double> latencies;
    const auto start = std::chrono::steady_clock::now();
    for (uint64_t done = 0; done < entries; done += batch) {
        const auto batchStart = std::chrono::steady_clock::now();
        group.commit(batch, command);
        const std::chrono::duration<double, std::milli> duration
            = std::chrono::steady_clock::now() - batchStart;
        latencies.push_back(duration.count());
    }
    const std::chrono::duration<double> seconds = std::chrono::steady_clock::now() - start;
    const uint64_t applied = group.leader().machine.state.version - versionBefore;
    const uint64_t syncCount = group.leader().storage->syncCount - syncsBefore;
    std::sort(latencies.begin(), latencies.end());
    fmt::print("voters {} batch {:4} entries {:6} entries/s {:8.0f} entries/sync {:6.1f} "
               "ms/batch p50 {:.2f} p99 {:.2f}\n",
               voters,
               batch,
               applied,
               static_cast<double>(applied) / seconds.count(),
               static_cast<double>(applied) / static_cast<double>(syncCount),
               latencies[latencies.size() / 2],
               latencies[latencies.size() * 99 / 100]);
}

} // namespace

} // namespace samphirebridge::consensus::tests

int main(int argc, char **argv)
{
    using samphirebridge::consensus::tests::measure;
    if (argc < 2) {
        fmt::print(stderr, "usage: {} FOLDER [BATCHES] [BYTES]\n", argv[0]);
        return 2;
    }
    const uint64_t batches = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 400;
    const size_t bytes = argc > 3 ? std::strtoull(argv[3], nullptr, 10) : 100;
    const std::string command(bytes, 'x');
    try {
        for (const size_t voters : {1, 3}) {
            for (const uint64_t batch : {1, 8, 64, 512}) {
                measure(argv[1], voters, batch, batches * batch, command);
            }
        }
    } catch (const std::exception &error) {
        fmt::print(stderr, "{}\n", error.what());
        return 1;
    }
    return 0;
}
