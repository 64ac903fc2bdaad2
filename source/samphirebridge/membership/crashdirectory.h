// The crash reports of the fleet, replicated to every instance so that all of them refuse the same
// requests.
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

// Stores crash reports by fingerprint, target and incarnation, and forwards new ones to the peers.
class CrashDirectory
{
public:
    CrashDirectory(core::InstanceId self, MembershipOptions options);

    // Stores reports that this instance made. Returns the updates to send to the peers; they carry
    // only reports that were new or newly cleared.
    std::vector<Outgoing> addLocalReports(std::span<const proto::CrashReport> reports,
                                          std::span<const core::InstanceId> peers,
                                          core::TimePoint now);

    // Merges a peer's reports. A cleared report replaces one that is not cleared, never the
    // reverse. Returns the reports that changed something here, to be passed to the router. In a
    // fleet above directPeerLimit, adds the updates that relay them to `outgoing`.
    std::vector<proto::CrashReport> merge(const proto::MembershipUpdate &update,
                                          std::span<const core::InstanceId> peers,
                                          core::TimePoint now,
                                          std::vector<Outgoing> &outgoing);

    // Returns an update with all reports, for an instance that starts or was out of contact.
    [[nodiscard]] proto::MembershipUpdate allReports() const;

    // Removes reports stored longer ago than crashReportRetention.
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
        core::TimePoint storedAt;
    };

    // Returns whether the report is new or clears a stored one. A malformed fingerprint is ignored.
    bool store(const proto::CrashReport &report, core::TimePoint now);
    // Adds an update with the reports for each receiver. `source` is the peer that sent them, which
    // is left out; empty for reports made here.
    void push(std::span<const proto::CrashReport> reports,
              std::string_view source,
              std::span<const core::InstanceId> peers,
              std::vector<Outgoing> &outgoing) const;

    core::InstanceId self;
    MembershipOptions options;
    absl::btree_map<Key, Entry> entries;
};

} // namespace samphirebridge::membership
