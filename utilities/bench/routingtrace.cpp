#include "utilities/bench/routingtrace.h"

#include "samphirebridge/core/rendezvous.h"

#include <cmath>
#include <random>

namespace bench
{

using namespace samphirebridge;

namespace
{

constexpr uint64_t Instructions = 40; // Distinct beginnings of short prompts.
constexpr uint64_t Documents = 400; // Distinct documents that letters are written about.
constexpr uint32_t InstructionBlocks = 24;
constexpr uint32_t DocumentBlocks = 120;
constexpr uint32_t TurnBlocks = 8;

constexpr double BurstFactor = 2.0;
constexpr double BurstEvery = 50.0;
constexpr double BurstLength = 10.0;

class Prompt
{
public:
    explicit Prompt(uint64_t root)
        : last(core::rendezvousWeight(root, root))
    {
    }

    void extend(uint32_t count, uint64_t content)
    {
        for (uint32_t block = 0; block < count; ++block) {
            this->last = core::rendezvousWeight(this->last, content + block);
            this->blocks.push_back(this->last);
        }
    }

    std::vector<routing::BlockFingerprint> take()
    {
        return std::move(this->blocks);
    }

private:
    uint64_t last;
    std::vector<routing::BlockFingerprint> blocks;
};

uint32_t draw(std::mt19937_64 &random, double mean)
{
    // A lognormal with that mean and a long tail.
    constexpr double Sigma = 0.6;
    std::lognormal_distribution<double> distribution(std::log(mean) - Sigma * Sigma / 2, Sigma);
    return 1 + static_cast<uint32_t>(std::min(distribution(random), mean * 8));
}

TracedRequest makeShort(std::mt19937_64 &random, bool hot)
{
    TracedRequest request;
    const uint64_t instructions = random() % Instructions;
    Prompt prompt(1 + (hot ? 0 : instructions));
    prompt.extend(InstructionBlocks, 0);
    prompt.extend(2 + random() % 4, random());
    request.prefix = prompt.take();
    request.outputTokens = draw(random, 60);
    return request;
}

TracedRequest makeLong(std::mt19937_64 &random, bool hot)
{
    TracedRequest request;
    request.isLong = true;
    const uint64_t document = random() % Documents;
    Prompt prompt(1000 + (hot ? 0 : document));
    prompt.extend(DocumentBlocks, 0);
    // Turns of one conversation repeat the turns before.
    const uint64_t conversation = random() % 4;
    const uint32_t turns = 1 + static_cast<uint32_t>(random() % 4);
    for (uint32_t turn = 0; turn < turns; ++turn) {
        prompt.extend(TurnBlocks, conversation * 1000 + uint64_t{turn} * TurnBlocks);
    }
    request.prefix = prompt.take();
    request.outputTokens = draw(random, 434);
    return request;
}

} // namespace

std::vector<TracedRequest> makeTrace(const TraceOptions &options)
{
    std::mt19937_64 random(options.seed);
    std::uniform_real_distribution<double> chance(0, 1);
    std::vector<TracedRequest> trace;
    double now = 0;
    while (now < options.seconds) {
        const bool burst = std::fmod(now, BurstEvery) < BurstLength;
        // The mean over bursts and quiet times is the rate asked for.
        const double mean = 1 + (BurstFactor - 1) * BurstLength / BurstEvery;
        const double rate = options.requestsPerSecond * (burst ? BurstFactor : 1.0) / mean;
        now += std::exponential_distribution<double>(rate)(random);
        const bool hot = chance(random) < options.hotPart;
        TracedRequest request
            = chance(random) < options.longPart ? makeLong(random, hot) : makeShort(random, hot);
        request.at = core::TimePoint(core::Duration(static_cast<int64_t>(now * 1e6)));
        request.instance = random() % options.instances;
        request.promptTokens = static_cast<uint32_t>(request.prefix.size()) * BlockTokens + 7;
        const bool greedy = chance(random) < options.greedyPart;
        request.organisation
            = greedy ? 0 : 1 + static_cast<uint32_t>(random() % (options.organisations - 1));
        trace.push_back(std::move(request));
    }
    return trace;
}

} // namespace bench
