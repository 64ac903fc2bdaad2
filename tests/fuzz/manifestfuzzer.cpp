// Checks that any input is either a valid manifest, which survives rendering and indexing
// unchanged, or refused with InvalidManifest or TooLarge, without a crash.
#include "samphirebridge/manifest/catalogue.h"
#include "samphirebridge/manifest/manifestdelta.h"
#include "samphirebridge/manifest/manifestfile.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

using namespace samphirebridge;

namespace
{

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

void checkRoundTrip(const proto::Manifest &manifest)
{
    const auto reparsed = manifest::parseManifest(manifest::renderManifest(manifest), "rendered");
    require(reparsed.ok());
    require(reparsed->SerializeAsString() == manifest.SerializeAsString());
}

void checkCatalogue(const proto::Manifest &manifest)
{
    const proto::ManifestDelta delta = manifest::diffManifests(proto::Manifest(), manifest);
    const auto catalogue = manifest::Catalogue().updated(delta);
    require(catalogue.ok());
    proto::Manifest catalogued = (*catalogue)->manifest();
    catalogued.set_version(0);
    require(catalogued.SerializeAsString() == manifest.SerializeAsString());
    const auto match = (*catalogue)->matchRoute("GET", "/a/b");
    require(!match || !match->route->path_prefix().empty());
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const manifest::CheckedManifest checked = manifest::checkManifest(text, "fuzz");
    if (!checked.problems.empty()) {
        const absl::Status status = settings::statusOf(checked.problems);
        const core::ErrorCode code = core::errorCodeOf(status);
        require(code == core::ErrorCode::InvalidManifest || code == core::ErrorCode::TooLarge);
        return 0;
    }
    checkRoundTrip(checked.manifest);
    checkCatalogue(checked.manifest);
    return 0;
}
