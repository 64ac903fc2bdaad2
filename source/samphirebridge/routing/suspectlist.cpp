#include "samphirebridge/routing/suspectlist.h"

#include "samphirebridge/core/digest.h"

#include <algorithm>

namespace samphirebridge::routing
{

namespace
{

absl::string_view viewOf(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

SuspectList::SuspectList(const SuspectOptions &options)
    : options(options)
{
}

SuspectVerdict SuspectList::verdictOf(std::string_view fingerprint, core::TimePoint now) const
{
    const auto found = this->suspects.find(viewOf(fingerprint));
    if (found == this->suspects.end() || found->second.cleared) {
        return SuspectVerdict::Innocent;
    }
    const size_t confirmed = this->confirmedCrashes(found->second);
    const size_t likely = confirmed + this->pendingBreaks(found->second, now);
    if (likely >= this->options.crashesToRefuse) {
        return confirmed >= this->options.crashesToRefuse ? SuspectVerdict::Refuse
                                                          : SuspectVerdict::RefuseForNow;
    }
    if (confirmed > 0) {
        return SuspectVerdict::RunAlone;
    }
    return likely > 0 ? SuspectVerdict::PreferAlone : SuspectVerdict::Innocent;
}

void SuspectList::onBroken(std::string_view fingerprint,
                           const TargetLife &life,
                           core::TimePoint now)
{
    if (fingerprint.size() != core::FingerprintLength) {
        return;
    }
    Suspect &suspect = this->suspects[std::string(fingerprint)];
    suspect.breaks.try_emplace(life, Break{now, false});
    suspect.lastAt = now;
}

void SuspectList::onCrash(const TargetLife &life,
                          std::span<const std::string> inFlight,
                          core::TimePoint now)
{
    std::vector<std::string> involved(inFlight.begin(), inFlight.end());
    for (const auto &[fingerprint, suspect] : this->suspects) {
        const auto broken = suspect.breaks.find(life);
        const bool pending = broken != suspect.breaks.end() && !broken->second.confirmed
                             && now - broken->second.at < this->options.confirmWithin;
        if (pending && !suspect.cleared) {
            involved.push_back(fingerprint);
        }
    }
    for (const std::string &fingerprint : involved) {
        if (fingerprint.size() == core::FingerprintLength) {
            this->report(fingerprint, life, false);
            this->confirm(fingerprint, life, now);
        }
    }
}

void SuspectList::onAlive(const TargetLife &life)
{
    absl::erase_if(this->suspects, [&](auto &item) {
        Suspect &suspect = item.second;
        const auto broken = suspect.breaks.find(life);
        if (broken == suspect.breaks.end() || broken->second.confirmed) {
            return false;
        }
        suspect.breaks.erase(broken);
        return suspect.breaks.empty();
    });
}

void SuspectList::onFinished(std::string_view fingerprint)
{
    const auto found = this->suspects.find(viewOf(fingerprint));
    if (found == this->suspects.end()) {
        return;
    }
    if (this->confirmedCrashes(found->second) == 0) {
        this->suspects.erase(found);
        return;
    }
    if (!found->second.cleared) {
        found->second.cleared = true;
        this->report(found->first, found->second.breaks.begin()->first, true);
    }
}

void SuspectList::onReports(std::span<const proto::CrashReport> news, core::TimePoint now)
{
    for (const proto::CrashReport &report : news) {
        if (report.fingerprint().size() != core::FingerprintLength) {
            continue;
        }
        if (report.cleared()) {
            Suspect &suspect = this->suspects[report.fingerprint()];
            suspect.cleared = true;
            suspect.lastAt = now;
            continue;
        }
        const TargetLife life{core::TargetId(report.target()), report.target_incarnation()};
        this->confirm(report.fingerprint(), life, now);
    }
}

std::vector<proto::CrashReport> SuspectList::takeReports()
{
    return std::exchange(this->reports, {});
}

void SuspectList::tick(core::TimePoint now)
{
    absl::erase_if(this->suspects, [&](auto &item) {
        Suspect &suspect = item.second;
        absl::erase_if(suspect.breaks, [&](const auto &broken) {
            const core::Duration age = now - broken.second.at;
            return !broken.second.confirmed && age >= this->options.confirmWithin;
        });
        const bool forgotten = now - suspect.lastAt > this->options.remember;
        return forgotten || (suspect.breaks.empty() && !suspect.cleared);
    });
}

size_t SuspectList::confirmedCrashes(const Suspect &suspect) const
{
    return static_cast<size_t>(
        std::count_if(suspect.breaks.begin(), suspect.breaks.end(), [](const auto &broken) {
            return broken.second.confirmed;
        }));
}

size_t SuspectList::pendingBreaks(const Suspect &suspect, core::TimePoint now) const
{
    return static_cast<size_t>(
        std::count_if(suspect.breaks.begin(), suspect.breaks.end(), [&](const auto &broken) {
            return !broken.second.confirmed && now - broken.second.at < this->options.confirmWithin;
        }));
}

void SuspectList::confirm(const std::string &fingerprint,
                          const TargetLife &life,
                          core::TimePoint now)
{
    Suspect &suspect = this->suspects[fingerprint];
    Break &broken = suspect.breaks[life];
    const bool news = !broken.confirmed;
    broken.confirmed = true;
    broken.at = now;
    suspect.lastAt = now;
    // A new crash after it was cleared speaks against it again.
    suspect.cleared = suspect.cleared && !news;
    if (this->confirmedCrashes(suspect) == this->options.crashesToRefuse) {
        this->clearNeighbours(fingerprint);
    }
}

void SuspectList::clearNeighbours(const std::string &culprit)
{
    const auto crashes = this->suspects[culprit].breaks;
    for (auto &[fingerprint, suspect] : this->suspects) {
        const bool convicted = this->confirmedCrashes(suspect) >= this->options.crashesToRefuse;
        const bool explained
            = std::all_of(suspect.breaks.begin(), suspect.breaks.end(), [&](const auto &broken) {
                  return crashes.contains(broken.first);
              });
        if (!convicted && explained && !suspect.cleared && !suspect.breaks.empty()) {
            suspect.cleared = true;
            this->report(fingerprint, suspect.breaks.begin()->first, true);
        }
    }
}

void SuspectList::report(const std::string &fingerprint, const TargetLife &life, bool cleared)
{
    proto::CrashReport news;
    news.set_fingerprint(fingerprint);
    news.set_target(life.target.value);
    news.set_target_incarnation(life.incarnation);
    news.set_cleared(cleared);
    this->reports.push_back(std::move(news));
}

} // namespace samphirebridge::routing
