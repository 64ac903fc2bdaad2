#include "samphirebridge/core/digest.h"

#include <catch2/catch.hpp>

using namespace samphirebridge::core;

TEST_CASE("a fingerprint depends on the boundaries between its parts")
{
    CHECK(fingerprintOf({"ab", "c"}) != fingerprintOf({"a", "bc"}));
    CHECK(fingerprintOf({"ab", "c"}) == fingerprintOf({"ab", "c"}));
    CHECK(fingerprintOf({"ab"}).size() == FingerprintLength);
}

TEST_CASE("SHA-256 gives the published digest of a known input")
{
    CHECK(toHex(sha256Of("abc"))
          == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("digests of different length or content are unequal")
{
    CHECK(equalDigests("aa", "aa"));
    CHECK_FALSE(equalDigests("aa", "ab"));
    CHECK_FALSE(equalDigests("aa", "aaa"));
}
