// The crash reports of the whole fleet, so that every instance refuses the same requests.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/membership/membershipoptions.h"
#include "samphirebridge/membership/outgoing.h"

#include <absl/container/btree_map.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::membership
{

class CrashDirectory
{
public:
    CrashDirectory(core::InstanceId self, MembershipOptions options);

    // Takes reports that routing::Router made here. Returns the updates for the peers.
    std::vector<Outgoing> report(std::span<const proto::CrashReport> reports,
                                 std::span<const core::InstanceId> peers,
                                 core::TimePoint now);

    // Merges a peer's reports; cleared wins over not cleared. Returns those that are new here, for
    // routing::Router::onCrashReports; outgoing gets what is to be told on above directPeers.
    std::vector<proto::CrashReport> merge(const proto::MembershipUpdate &update,
                                          std::span<const core::InstanceId> peers,
                                          core::TimePoint now,
                                          std::vector<Outgoing> &outgoing);

    // Returns all reports, for an instance that starts or was out of contact.
    [[nodiscard]] proto::MembershipUpdate all() const;

    // Forgets reports older than keepCrashes.
    void tick(core::TimePoint now);

private:
    struct Key {
        std::string fingerprint;
        std::string target;
        core::Incarnation incarnation = 0;
        // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the zero in <=> for a pointer.
        friend auto operator<=>(const Key &, const Key &) = default;
    };
    struct Entry {
        bool cleared = false;
        core::TimePoint at;
    };

    bool store(const proto::CrashReport &report, core::TimePoint now);
    void push(std::span<const proto::CrashReport> reports,
              std::string_view source,
              std::span<const core::InstanceId> peers,
              std::vector<Outgoing> &outgoing) const;

    core::InstanceId self;
    MembershipOptions options;
    absl::btree_map<Key, Entry> entries;
};

} // namespace samphirebridge::membership
