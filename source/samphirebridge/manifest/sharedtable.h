// A copy-on-write map, split into shards by the hash of the key. Copying a table copies one pointer
// a shard; a change to it copies only the shard concerned.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace samphirebridge::manifest
{

// Not synchronised: only one thread may use a table while it is changed. Other tables that share
// shards with it may be read meanwhile by any number of threads.
template <typename Value>
class SharedTable
{
public:
    // Returns the value of the key, or null if the table has none.
    [[nodiscard]] const Value *find(std::string_view key) const
    {
        const std::shared_ptr<Shard> &shard = this->shards[shardIndex(key)];
        if (shard == nullptr) {
            return nullptr;
        }
        const auto found = shard->find(absl::string_view(key.data(), key.size()));
        return found == shard->end() ? nullptr : found->second.get();
    }

    // Inserts or replaces the value of the key.
    void set(std::string_view key, std::shared_ptr<const Value> value)
    {
        this->writableShard(shardIndex(key))[std::string(key)] = std::move(value);
    }

    // Removes the key and its value, if the table has them.
    void erase(std::string_view key)
    {
        if (this->find(key) != nullptr) {
            this->writableShard(shardIndex(key)).erase(std::string(key));
        }
    }

    // Returns all values, ordered by their keys.
    [[nodiscard]] std::vector<const Value *> values() const
    {
        using Entry = std::pair<std::string_view, const Value *>;
        std::vector<Entry> entries;
        for (const std::shared_ptr<Shard> &shard : this->shards) {
            if (shard == nullptr) {
                continue;
            }
            for (const auto &[key, value] : *shard) {
                entries.emplace_back(key, value.get());
            }
        }
        std::sort(entries.begin(), entries.end());
        std::vector<const Value *> values;
        values.reserve(entries.size());
        for (const Entry &entry : entries) {
            values.push_back(entry.second);
        }
        return values;
    }

private:
    using Shard = absl::flat_hash_map<std::string, std::shared_ptr<const Value>>;
    static constexpr size_t ShardCount = 256;

    static size_t shardIndex(std::string_view key)
    {
        return std::hash<std::string_view>{}(key) % ShardCount;
    }

    // Returns the shard for writing, and copies it first if another table shares it. The table that
    // this one was copied from must outlive the change: only then does a use count of one mean that
    // no other thread reads the shard.
    Shard &writableShard(size_t index)
    {
        std::shared_ptr<Shard> &shard = this->shards[index];
        if (shard == nullptr) {
            shard = std::make_shared<Shard>();
        } else if (shard.use_count() > 1) {
            shard = std::make_shared<Shard>(*shard);
        }
        return *shard;
    }

    std::array<std::shared_ptr<Shard>, ShardCount> shards;
};

} // namespace samphirebridge::manifest
