// Manifests that the tests share.
#pragma once

#include "manifest.pb.h"

#include <cstdint>
#include <random>
#include <string>

namespace samples
{

// Returns the text of the example manifest.
std::string exampleText();

// Returns the example manifest under the given version.
samphirebridge::proto::Manifest example(uint64_t version);

// Returns a valid manifest drawn from the generator: few ids, so that two of them share some.
samphirebridge::proto::Manifest randomManifest(std::mt19937 &generator, uint64_t version);

} // namespace samples
