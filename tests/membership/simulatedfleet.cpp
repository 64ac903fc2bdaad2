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
        this->nodes.push_back(Node{
            id, membership::TargetDirectory(id, {}), membership::InstanceDirectory(id, 1, {}), 0});
        this->nodes.back().targets.setFleetSize(instances);
        this->nodes.back().instances.setKnown(ids, this->now);
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
    for (size_t index = 0; index < this->nodes.size(); ++index) {
        Node &node = this->nodes[index];
        this->sendAll(index, node.instances.tick(this->now));
        if (this->steps % 5 == 0) {
            const auto effect = node.targets.tick(node.instances.peers(this->now), this->now);
            this->sendAll(index, effect.outgoing);
        }
        const bool digestDue = this->digests && (this->steps + static_cast<int>(index)) % 20 == 0;
        const size_t peer = this->random() % this->nodes.size();
        if (digestDue && peer != index) {
            this->send(index, peer, node.targets.digest());
        }
    }
    if (this->steps % 10 != 0) {
        return;
    }
    for (const auto &[id, target] : this->live) {
        this->announce(target.record, target.reaches[this->random() % target.reaches.size()]);
    }
}

void SimulatedFleet::start(const proto::TargetRecord &record)
{
    Target &target = this->live[record.id()];
    target.record = record;
    if (target.reaches.empty()) {
        for (size_t index = 0; index < this->nodes.size(); ++index) {
            target.reaches.push_back(index);
        }
    }
    this->announce(record, target.reaches[this->random() % target.reaches.size()]);
}

void SimulatedFleet::silence(const std::string &target)
{
    this->live.erase(target);
}

void SimulatedFleet::split(const std::vector<size_t> &sides)
{
    for (size_t index = 0; index < sides.size(); ++index) {
        this->nodes[index].side = sides[index];
    }
}

void SimulatedFleet::confine(const std::string &target, std::vector<size_t> instances)
{
    this->live[target].reaches = std::move(instances);
}

void SimulatedFleet::announce(const proto::TargetRecord &record, size_t instance)
{
    Node &node = this->nodes[instance];
    const auto result = node.targets.announce(record, node.instances.peers(this->now), this->now);
    this->sendAll(instance, result.value().effect.outgoing);
}

bool SimulatedFleet::agree(const std::vector<size_t> &instances,
                           const std::string &target,
                           uint64_t incarnation,
                           proto::TargetState state)
{
    return std::all_of(instances.begin(), instances.end(), [&](size_t index) {
        const proto::TargetRecord *record = this->nodes[index].targets.find(target);
        return record != nullptr && record->incarnation() == incarnation
               && record->state() == state;
    });
}

bool SimulatedFleet::converged()
{
    const auto first = this->nodes.front().targets.digest().bucket_checksums();
    return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const Node &node) {
        const auto other = node.targets.digest().bucket_checksums();
        return std::equal(first.begin(), first.end(), other.begin(), other.end());
    });
}

size_t SimulatedFleet::takeMessages()
{
    return std::exchange(this->messages, 0);
}

size_t SimulatedFleet::takeBytes()
{
    return std::exchange(this->bytes, 0);
}

size_t SimulatedFleet::inContact(size_t instance) const
{
    return this->nodes[instance].instances.peers(this->now).size();
}

size_t SimulatedFleet::indexOf(const core::InstanceId &id) const
{
    const auto found = std::find_if(
        this->nodes.begin(), this->nodes.end(), [&](const Node &node) { return node.id == id; });
    return static_cast<size_t>(found - this->nodes.begin());
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
    Node &node = this->nodes[message.to];
    if (this->nodes[message.from].side != node.side) {
        return;
    }
    if (const auto *update = std::get_if<proto::MembershipUpdate>(&message.payload)) {
        node.instances.merge(*update, this->now);
        const auto effect = node.targets.merge(*update, node.instances.peers(this->now), this->now);
        this->sendAll(message.to, effect.outgoing);
        return;
    }
    const auto answer = node.targets.answer(std::get<proto::MembershipDigest>(message.payload));
    if (answer.update) {
        this->send(message.to, message.from, *answer.update);
    }
    if (answer.digest) {
        this->send(message.to, message.from, *answer.digest);
    }
}
