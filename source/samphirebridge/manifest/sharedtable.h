// A map whose copies share what they have in common: a copy costs one pointer for each shard, a
// change the copy of one shard.
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

// Not for concurrent change; copies that nobody changes may be read by any thread.
template <typename Value>
class SharedTable
{
public:
    // Returns the value of the key, or null.
    [[nodiscard]] const Value *find(std::string_view key) const
    {
        const std::shared_ptr<Shard> &shard = this->shards[indexOf(key)];
        if (shard == nullptr) {
            return nullptr;
        }
        const auto found = shard->find(absl::string_view(key.data(), key.size()));
        return found == shard->end() ? nullptr : found->second.get();
    }

    // Sets the value of the key.
    void set(std::string_view key, std::shared_ptr<const Value> value)
    {
        this->own(indexOf(key))[std::string(key)] = std::move(value);
    }

    // Forgets the key, if it is there.
    void erase(std::string_view key)
    {
        if (this->find(key) != nullptr) {
            this->own(indexOf(key)).erase(std::string(key));
        }
    }

    // Returns every value, ordered by its key.
    [[nodiscard]] std::vector<const Value *> values() const
    {
        using Item = std::pair<std::string_view, const Value *>;
        std::vector<Item> items;
        for (const std::shared_ptr<Shard> &shard : this->shards) {
            if (shard == nullptr) {
                continue;
            }
            for (const auto &[key, value] : *shard) {
                items.emplace_back(key, value.get());
            }
        }
        std::sort(items.begin(), items.end());
        std::vector<const Value *> values;
        values.reserve(items.size());
        for (const Item &item : items) {
            values.push_back(item.second);
        }
        return values;
    }

private:
    using Shard = absl::flat_hash_map<std::string, std::shared_ptr<const Value>>;
    static constexpr size_t ShardCount = 256;

    static size_t indexOf(std::string_view key)
    {
        return std::hash<std::string_view>{}(key) % ShardCount;
    }

    // Returns the shard for change, copied first if another table has it too. The table that this
    // one was copied from must still be there, so a count of one means that nobody else reads the
    // shard.
    Shard &own(size_t index)
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
