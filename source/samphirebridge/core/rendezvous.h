// Rendezvous hashing: every process that knows the same candidates picks the same few of them for a
// key, and a candidate that comes or goes moves only the keys that it wins.
#pragma once

#include <cstdint>

namespace samphirebridge::core
{

// Returns the weight of a candidate for a key, both given by a 64-bit hash. The candidates with the
// highest weights are the key's own.
constexpr uint64_t rendezvousWeight(uint64_t key, uint64_t candidate)
{
    uint64_t mixed = key ^ (candidate * 0x9e3779b97f4a7c15U);
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

} // namespace samphirebridge::core
