// Manifests that the tests of this folder share.
#pragma once

#include "manifest.pb.h"

#include <cstdint>
#include <random>
#include <string>

namespace samples
{

// Returns the text of examples/minimal/manifest.yaml.
std::string exampleText();

// Returns the example manifest with the given version.
samphirebridge::proto::Manifest exampleManifest(uint64_t version);

// Returns a random valid manifest. Its ids come from a small set, so that two such manifests have
// some in common.
samphirebridge::proto::Manifest randomManifest(std::mt19937 &generator, uint64_t version);

} // namespace samples
