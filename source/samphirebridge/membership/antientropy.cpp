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

// Maximum number of versions in one answer. An instance that starts without targets receives them
// in several rounds.
constexpr int MaximumVersions = 1000;

using Version = proto::MembershipDigest::TargetVersion;

size_t bucketOf(std::string_view target)
{
    return core::checksumOf(target) % Buckets;
}

uint64_t versionChecksum(const TargetEntry &entry)
{
    const uint64_t id = core::checksumOf(entry.record.id());
    const uint64_t incarnationHash = core::rendezvousWeight(id, entry.record.incarnation());
    const uint64_t revisionHash = core::rendezvousWeight(incarnationHash, entry.record.revision());
    return core::rendezvousWeight(revisionHash, entry.checksum);
}

std::array<uint64_t, Buckets> bucketChecksums(const TargetEntries &entries)
{
    std::array<uint64_t, Buckets> checksums{};
    for (const auto &[id, entry] : entries) {
        if (entry.inDigests) {
            checksums.at(bucketOf(id)) ^= versionChecksum(entry);
        }
    }
    return checksums;
}

void addVersion(const TargetEntry &entry, proto::MembershipDigest &digest)
{
    Version *version = digest.add_targets();
    version->set_id(entry.record.id());
    version->set_incarnation(entry.record.incarnation());
    version->set_revision(entry.record.revision());
    version->set_checksum(entry.checksum);
}

// Answers a summary with the versions in the buckets that differ. Buckets that would exceed
// MaximumVersions are left for a later round; the first one is always included.
void answerSummary(const TargetEntries &entries,
                   const proto::MembershipDigest &digest,
                   proto::MembershipDigest &details)
{
    const auto ownChecksums = bucketChecksums(entries);
    std::array<std::vector<const TargetEntry *>, Buckets> buckets;
    for (const auto &[id, entry] : entries) {
        if (entry.inDigests) {
            buckets.at(bucketOf(id)).push_back(&entry);
        }
    }
    for (size_t bucket = 0; bucket < Buckets; ++bucket) {
        if (ownChecksums.at(bucket) == digest.bucket_checksums(static_cast<int>(bucket))) {
            continue;
        }
        const int versionsAfter
            = details.targets_size() + static_cast<int>(buckets.at(bucket).size());
        if (details.buckets_size() > 0 && versionsAfter > MaximumVersions) {
            continue;
        }
        details.add_buckets(static_cast<uint32_t>(bucket));
        for (const TargetEntry *entry : buckets.at(bucket)) {
            addVersion(*entry, details);
        }
    }
}

// Tells whether the entry is to be sent to a peer that has the given version.
bool isNewer(const TargetEntry &entry, const Version &version)
{
    if (entry.record.incarnation() != version.incarnation()) {
        return entry.record.incarnation() > version.incarnation();
    }
    if (entry.record.revision() != version.revision()) {
        return entry.record.revision() > version.revision();
    }
    // Same version, different content: both sides send their record, and the order in
    // TargetDirectory::supersedes decides.
    return entry.checksum != version.checksum();
}

// Tells whether a peer that has the given version is to be asked for its record.
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

// Answers a list of versions: sends the records that the peer lacks or has in an older version, and
// asks for those that this instance lacks or has in an older version.
void answerDetails(const TargetEntries &entries,
                   const proto::MembershipDigest &digest,
                   core::TimePoint now,
                   proto::MembershipUpdate &update,
                   proto::MembershipDigest &wanted)
{
    const std::set<uint32_t> coveredBuckets(digest.buckets().begin(), digest.buckets().end());
    std::set<std::string_view> listedIds;
    for (const Version &version : digest.targets()) {
        listedIds.insert(version.id());
        const auto found = entries.find(version.id());
        if (found == entries.end()) {
            wanted.add_targets()->set_id(version.id());
            continue;
        }
        if (isOlder(found->second, version)) {
            addVersion(found->second, wanted);
        }
        if (isNewer(found->second, version)) {
            *update.add_targets() = recordAt(found->second, now);
        }
    }
    for (const auto &[id, entry] : entries) {
        const bool inCoveredBucket = coveredBuckets.contains(static_cast<uint32_t>(bucketOf(id)));
        if (entry.inDigests && inCoveredBucket && !listedIds.contains(id)) {
            *update.add_targets() = recordAt(entry, now);
        }
    }
    wanted.set_wanted(true);
}

// Answers a request for records with those that are newer than the version that the peer has.
void answerWanted(const TargetEntries &entries,
                  const proto::MembershipDigest &digest,
                  core::TimePoint now,
                  proto::MembershipUpdate &update)
{
    for (const Version &version : digest.targets()) {
        const auto found = entries.find(version.id());
        if (found != entries.end() && isNewer(found->second, version)) {
            *update.add_targets() = recordAt(found->second, now);
        }
    }
}

} // namespace

proto::MembershipDigest summariseTargets(const core::InstanceId &self, const TargetEntries &entries)
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
                          const proto::MembershipDigest &digest,
                          core::TimePoint now)
{
    proto::MembershipUpdate update;
    proto::MembershipDigest next;
    if (digest.wanted()) {
        answerWanted(entries, digest, now, update);
    } else if (digest.bucket_checksums_size() == static_cast<int>(Buckets)) {
        answerSummary(entries, digest, next);
    } else {
        answerDetails(entries, digest, now, update, next);
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
