// Rendezvous hashing: all processes that know the same candidates choose the same ones for a key,
// and adding or removing a candidate moves only the keys for which it has the highest weight.
#pragma once

#include <cstdint>

namespace samphirebridge::core
{

// Returns the weight of a candidate for a key, both given as 64-bit hashes. The candidates with the
// highest weights are chosen for the key.
constexpr uint64_t rendezvousWeight(uint64_t key, uint64_t candidate)
{
    uint64_t mixed = key ^ (candidate * 0x9e3779b97f4a7c15U);
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

} // namespace samphirebridge::core
