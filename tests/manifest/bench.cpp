// Measures the time and peak memory of rendering, parsing, indexing and updating a manifest of the
// size that the project is planned for. Not a test: its figures go into
// docs/reference/manifest/index.md.
#include "samphirebridge/core/digest.h"
#include "samphirebridge/manifest/catalogue.h"
#include "samphirebridge/manifest/manifestdelta.h"
#include "samphirebridge/manifest/manifestfile.h"

#include <fmt/format.h>
#include <sys/resource.h>

#include <chrono>
#include <functional>

using namespace samphirebridge;
using namespace samphirebridge::manifest;

namespace
{

constexpr int OrganisationCount = 2900;
constexpr int BudgetCount = 55'000;

// Returns a manifest of the planned size.
proto::Manifest plannedSizeManifest()
{
    proto::Manifest manifest;
    proto::Service &chat = *manifest.add_entities()->mutable_service();
    chat.set_id("chat");
    chat.set_kind(proto::CHAT);
    chat.set_max_output_tokens(DefaultMaxOutputTokens);
    chat.set_stall_timeout_ms(DefaultStallTimeoutMs);
    chat.set_deadline_ms(DefaultDeadlineMs);
    chat.set_key_retention_s(DefaultKeyRetentionSeconds);
    for (int index = 0; index < OrganisationCount; ++index) {
        proto::Organisation &organisation = *manifest.add_entities()->mutable_organisation();
        organisation.set_id(fmt::format("org-{}", index));
        organisation.set_name(fmt::format("Organisation {}", index));
        organisation.set_weight(1);
        organisation.add_services("chat");
        proto::CallerKey &key = *manifest.add_entities()->mutable_caller_key();
        key.set_id(fmt::format("org-{}/key", index));
        key.set_organisation(organisation.id());
        key.set_budget(fmt::format("org-{}/b{}", index, index));
        key.set_sha256(core::sha256Of(key.id()));
    }
    for (int index = 0; index < BudgetCount; ++index) {
        const int organisation = index % OrganisationCount;
        proto::Budget &budget = *manifest.add_entities()->mutable_budget();
        budget.set_id(fmt::format("org-{}/b{}", organisation, index));
        budget.set_organisation(fmt::format("org-{}", organisation));
        budget.set_tokens(1'000'000);
    }
    sortEntities(manifest);
    return manifest;
}

// Returns how long the step takes, in milliseconds.
double measureMilliseconds(const std::function<void()> &step)
{
    const auto begin = std::chrono::steady_clock::now();
    step();
    const std::chrono::duration<double, std::milli> elapsed
        = std::chrono::steady_clock::now() - begin;
    return elapsed.count();
}

// Prints the step's time and the peak memory of the process so far.
void report(std::string_view step, double milliseconds)
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    fmt::print("{:<28} {:>10.3f} ms, peak {} MB\n", step, milliseconds, usage.ru_maxrss / 1024);
}

} // namespace

int main()
{
    proto::Manifest manifest = plannedSizeManifest();
    std::string text;
    report("generate", 0.0);
    report("render", measureMilliseconds([&] { text = renderManifest(manifest); }));
    fmt::print("{} bytes of text, {} bytes of protobuf\n", text.size(), manifest.ByteSizeLong());
    absl::StatusOr<proto::Manifest> parsed;
    report("parse", measureMilliseconds([&] { parsed = parseManifest(text, "bench"); }));
    if (!parsed.ok()) {
        fmt::print("refused: {}\n", core::messageOf(parsed.status()));
        return 1;
    }
    parsed->set_version(1);
    Catalogue catalogue;
    report("index", measureMilliseconds([&] { catalogue = Catalogue(*parsed); }));
    proto::Manifest next = *parsed;
    next.mutable_entities(OrganisationCount * 2)->mutable_budget()->set_tokens(7);
    proto::ManifestDelta delta;
    report("diff of one change",
           measureMilliseconds([&] { delta = diffManifests(*parsed, next); }));
    report("update by one change", measureMilliseconds([&] { (void)catalogue.updated(delta); }));
    const std::string digest = core::sha256Of("org-1234/key");
    constexpr int LookupCount = 1'000'000;
    size_t foundCount = 0;
    report("1,000,000 look-ups by digest", measureMilliseconds([&] {
               for (int round = 0; round < LookupCount; ++round) {
                   foundCount += catalogue.callerKeyByDigest(digest) == nullptr ? 0 : 1;
               }
           }));
    return foundCount == LookupCount ? 0 : 1;
}
