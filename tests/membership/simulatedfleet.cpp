#include "tests/membership/simulatedfleet.h"

#include <algorithm>

using namespace samphirebridge;

proto::TargetRecord makeTarget(const std::string &id, uint64_t incarnation)
{
    proto::TargetRecord record;
    record.set_id(id);
    record.set_incarnation(incarnation);
    record.set_address("127.0.0.1:9001");
    record.set_kind("engine");
    record.set_data_centre("quito-1");
    record.add_models("letters");
    record.set_state(proto::READY);
    record.mutable_load()->set_capacity(16);
    return record;
}

SimulatedFleet::SimulatedFleet(size_t instances, NetworkFaults faults, uint64_t seed)
    : faults(faults)
    , random(seed)
{
    std::vector<core::InstanceId> ids;
    for (size_t index = 0; index < instances; ++index) {
        ids.emplace_back("instance-" + std::to_string(index));
    }
    for (const core::InstanceId &id : ids) {
        this->fleet.push_back(SimulatedInstance{
            id, membership::TargetDirectory(id, {}), membership::InstanceDirectory(id, 1, {}), 0});
        this->fleet.back().targets.setFleetSize(instances);
        this->fleet.back().instances.addSeeds(ids, this->now);
    }
}

void SimulatedFleet::run(int milliseconds)
{
    for (int elapsed = 0; elapsed < milliseconds; elapsed += 100) {
        this->step();
    }
}

void SimulatedFleet::step()
{
    const core::TimePoint end = this->now + std::chrono::milliseconds(100);
    while (!this->network.empty() && this->network.begin()->first <= end) {
        const auto first = this->network.extract(this->network.begin());
        this->now = first.key();
        this->deliver(first.mapped());
    }
    this->now = end;
    ++this->steps;
    for (size_t index = 0; index < this->fleet.size(); ++index) {
        SimulatedInstance &member = this->fleet[index];
        this->sendAll(index, member.instances.tick(this->now));
        if (this->steps % 5 == 0) {
            const auto effect = member.targets.tick(member.instances.peers(this->now), this->now);
            this->sendAll(index, effect.outgoing);
        }
        const bool digestDue
            = this->antiEntropyEnabled && (this->steps + static_cast<int>(index)) % 20 == 0;
        const size_t peer = this->random() % this->fleet.size();
        if (digestDue && peer != index) {
            this->send(index, peer, member.targets.digest());
        }
    }
    if (this->steps % 10 != 0) {
        return;
    }
    for (const auto &[id, target] : this->runningTargets) {
        this->announce(
            target.record,
            target.reachableInstances[this->random() % target.reachableInstances.size()]);
    }
}

void SimulatedFleet::start(const proto::TargetRecord &record)
{
    Target &target = this->runningTargets[record.id()];
    target.record = record;
    if (target.reachableInstances.empty()) {
        for (size_t index = 0; index < this->fleet.size(); ++index) {
            target.reachableInstances.push_back(index);
        }
    }
    this->announce(record,
                   target.reachableInstances[this->random() % target.reachableInstances.size()]);
}

void SimulatedFleet::stop(const std::string &target)
{
    this->runningTargets.erase(target);
}

void SimulatedFleet::partition(const std::vector<size_t> &sides)
{
    for (size_t index = 0; index < sides.size(); ++index) {
        this->fleet[index].side = sides[index];
    }
}

void SimulatedFleet::restrictReach(const std::string &target, std::vector<size_t> instances)
{
    this->runningTargets[target].reachableInstances = std::move(instances);
}

void SimulatedFleet::announce(const proto::TargetRecord &record, size_t instance)
{
    SimulatedInstance &member = this->fleet[instance];
    const auto result
        = member.targets.announce(record, member.instances.peers(this->now), this->now);
    this->sendAll(instance, result.value().effect.outgoing);
}

bool SimulatedFleet::allHave(const std::vector<size_t> &instances,
                             const std::string &target,
                             uint64_t incarnation,
                             proto::TargetState state)
{
    return std::all_of(instances.begin(), instances.end(), [&](size_t index) {
        const proto::TargetRecord *record = this->fleet[index].targets.find(target);
        return record != nullptr && record->incarnation() == incarnation
               && record->state() == state;
    });
}

bool SimulatedFleet::allDigestsEqual()
{
    const auto first = this->fleet.front().targets.digest().bucket_checksums();
    return std::all_of(
        this->fleet.begin(), this->fleet.end(), [&](const SimulatedInstance &member) {
            const auto other = member.targets.digest().bucket_checksums();
            return std::equal(first.begin(), first.end(), other.begin(), other.end());
        });
}

size_t SimulatedFleet::takeMessageCount()
{
    return std::exchange(this->messages, 0);
}

size_t SimulatedFleet::takeByteCount()
{
    return std::exchange(this->bytes, 0);
}

size_t SimulatedFleet::inContact(size_t instance) const
{
    return this->fleet[instance].instances.peers(this->now).size();
}

size_t SimulatedFleet::indexOf(const core::InstanceId &id) const
{
    const auto found
        = std::find_if(this->fleet.begin(),
                       this->fleet.end(),
                       [&](const SimulatedInstance &member) { return member.id == id; });
    return static_cast<size_t>(found - this->fleet.begin());
}

void SimulatedFleet::send(size_t from, size_t to, const Payload &payload)
{
    this->bytes += std::visit([](const auto &message) { return message.ByteSizeLong(); }, payload);
    std::uniform_real_distribution<double> chance(0, 1);
    const int copies = chance(this->random) < this->faults.duplicate ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (chance(this->random) < this->faults.loss) {
            continue;
        }
        const auto delay
            = std::chrono::milliseconds(1 + this->random() % this->faults.longestDelayMs);
        this->network.emplace(this->now + delay, Message{from, to, payload});
    }
}

void SimulatedFleet::sendAll(size_t from, const std::vector<membership::Outgoing> &outgoing)
{
    for (const membership::Outgoing &message : outgoing) {
        this->messages += message.update.targets_size() > 0 ? 1 : 0;
        this->send(from, this->indexOf(message.to), message.update);
    }
}

void SimulatedFleet::deliver(const Message &message)
{
    SimulatedInstance &member = this->fleet[message.to];
    if (this->fleet[message.from].side != member.side) {
        return;
    }
    if (const auto *update = std::get_if<proto::MembershipUpdate>(&message.payload)) {
        member.instances.merge(*update, this->now);
        const auto effect
            = member.targets.merge(*update, member.instances.peers(this->now), this->now);
        this->sendAll(message.to, effect.outgoing);
        return;
    }
    const auto answer
        = member.targets.answer(std::get<proto::MembershipDigest>(message.payload), this->now);
    if (answer.update) {
        this->send(message.to, message.from, *answer.update);
    }
    if (answer.digest) {
        this->send(message.to, message.from, *answer.digest);
    }
}
