#include "samphirebridge/membership/antientropy.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/rendezvous.h"

#include <array>
#include <set>
#include <utility>

namespace samphirebridge::membership
{

namespace
{

constexpr size_t Buckets = 64;

// Most versions listed in one answer, so that an instance that starts fills up in steps.
constexpr int MaximumVersions = 1000;

using Version = proto::MembershipDigest::TargetVersion;

size_t bucketOf(std::string_view target)
{
    return core::checksumOf(target) % Buckets;
}

uint64_t mixVersion(const TargetEntry &entry)
{
    const uint64_t id = core::checksumOf(entry.record.id());
    const uint64_t life = core::rendezvousWeight(id, entry.record.incarnation());
    const uint64_t change = core::rendezvousWeight(life, entry.record.revision());
    return core::rendezvousWeight(change, entry.checksum);
}

std::array<uint64_t, Buckets> bucketChecksums(const TargetEntries &entries)
{
    std::array<uint64_t, Buckets> checksums{};
    for (const auto &[id, entry] : entries) {
        if (entry.listed) {
            checksums.at(bucketOf(id)) ^= mixVersion(entry);
        }
    }
    return checksums;
}

void listVersion(const TargetEntry &entry, proto::MembershipDigest &digest)
{
    Version *version = digest.add_targets();
    version->set_id(entry.record.id());
    version->set_incarnation(entry.record.incarnation());
    version->set_revision(entry.record.revision());
    version->set_checksum(entry.checksum);
}

// Lists the versions of the buckets that differ, as far as they fit into one answer.
void answerSummary(const TargetEntries &entries,
                   const proto::MembershipDigest &digest,
                   proto::MembershipDigest &details)
{
    const auto own = bucketChecksums(entries);
    std::array<std::vector<const TargetEntry *>, Buckets> buckets;
    for (const auto &[id, entry] : entries) {
        if (entry.listed) {
            buckets.at(bucketOf(id)).push_back(&entry);
        }
    }
    for (size_t bucket = 0; bucket < Buckets; ++bucket) {
        if (own.at(bucket) == digest.bucket_checksums(static_cast<int>(bucket))) {
            continue;
        }
        const int after = details.targets_size() + static_cast<int>(buckets.at(bucket).size());
        if (details.buckets_size() > 0 && after > MaximumVersions) {
            continue;
        }
        details.add_buckets(static_cast<uint32_t>(bucket));
        for (const TargetEntry *entry : buckets.at(bucket)) {
            listVersion(*entry, details);
        }
    }
}

bool isNewer(const TargetEntry &entry, const Version &version)
{
    if (entry.record.incarnation() != version.incarnation()) {
        return entry.record.incarnation() > version.incarnation();
    }
    if (entry.record.revision() != version.revision()) {
        return entry.record.revision() > version.revision();
    }
    // Equal versions with different content: both sides send, and merging decides.
    return entry.checksum != version.checksum();
}

bool isOlder(const TargetEntry &entry, const Version &version)
{
    if (entry.record.incarnation() != version.incarnation()) {
        return entry.record.incarnation() < version.incarnation();
    }
    if (entry.record.revision() != version.revision()) {
        return entry.record.revision() < version.revision();
    }
    return entry.checksum != version.checksum();
}

void answerDetails(const TargetEntries &entries,
                   const proto::MembershipDigest &digest,
                   proto::MembershipUpdate &update,
                   proto::MembershipDigest &wanted)
{
    const std::set<uint32_t> covered(digest.buckets().begin(), digest.buckets().end());
    std::set<std::string_view> listed;
    for (const Version &version : digest.targets()) {
        listed.insert(version.id());
        const auto found = entries.find(version.id());
        if (found == entries.end()) {
            wanted.add_targets()->set_id(version.id());
            continue;
        }
        if (isOlder(found->second, version)) {
            listVersion(found->second, wanted);
        }
        if (isNewer(found->second, version)) {
            *update.add_targets() = found->second.record;
        }
    }
    for (const auto &[id, entry] : entries) {
        const bool inCovered = covered.contains(static_cast<uint32_t>(bucketOf(id)));
        if (entry.listed && inCovered && !listed.contains(id)) {
            *update.add_targets() = entry.record;
        }
    }
    wanted.set_wanted(true);
}

void answerWanted(const TargetEntries &entries,
                  const proto::MembershipDigest &digest,
                  proto::MembershipUpdate &update)
{
    for (const Version &version : digest.targets()) {
        const auto found = entries.find(version.id());
        if (found != entries.end() && isNewer(found->second, version)) {
            *update.add_targets() = found->second.record;
        }
    }
}

} // namespace

proto::MembershipDigest summarise(const core::InstanceId &self, const TargetEntries &entries)
{
    proto::MembershipDigest digest;
    digest.set_from(self.value);
    for (const uint64_t checksum : bucketChecksums(entries)) {
        digest.add_bucket_checksums(checksum);
    }
    return digest;
}

DigestAnswer answerDigest(const core::InstanceId &self,
                          const TargetEntries &entries,
                          const proto::MembershipDigest &digest)
{
    proto::MembershipUpdate update;
    proto::MembershipDigest next;
    if (digest.wanted()) {
        answerWanted(entries, digest, update);
    } else if (digest.bucket_checksums_size() == static_cast<int>(Buckets)) {
        answerSummary(entries, digest, next);
    } else {
        answerDetails(entries, digest, update, next);
    }
    DigestAnswer answer;
    if (update.targets_size() > 0) {
        update.set_from(self.value);
        answer.update = std::move(update);
    }
    if (next.targets_size() > 0 || next.buckets_size() > 0) {
        next.set_from(self.value);
        answer.digest = std::move(next);
    }
    return answer;
}

} // namespace samphirebridge::membership
