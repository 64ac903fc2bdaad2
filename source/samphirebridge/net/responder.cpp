#include "samphirebridge/net/responder.h"

#include "samphirebridge/net/serverconnection.h"

#include <utility>

namespace samphirebridge::net
{

Responder::Responder(std::weak_ptr<ServerConnection> serverConnection, uint64_t requestNumber)
    : connection(std::move(serverConnection))
    , request(requestNumber)
{
}

std::shared_ptr<ServerConnection> Responder::open() const
{
    std::shared_ptr<ServerConnection> answered = this->connection.lock();
    const bool current = answered != nullptr && answered->answering(this->request);
    return current ? answered : nullptr;
}

void Responder::sendWhole(ResponseHead head, std::string_view body)
{
    if (const auto answered = this->open()) {
        answered->sendWhole(std::move(head), body);
    }
}

void Responder::begin(ResponseHead head)
{
    if (const auto answered = this->open()) {
        answered->begin(std::move(head));
    }
}

void Responder::write(std::string_view bytes)
{
    if (const auto answered = this->open()) {
        answered->write(bytes);
    }
}

void Responder::end()
{
    if (const auto answered = this->open()) {
        answered->end();
    }
}

void Responder::cutOff()
{
    if (const auto answered = this->open()) {
        answered->close();
    }
}

void Responder::setOnGone(std::function<void()> onGone)
{
    if (const auto answered = this->open()) {
        answered->setOnGone(std::move(onGone));
    }
}

size_t Responder::queuedBytes() const
{
    const auto answered = this->open();
    return answered == nullptr ? 0 : answered->queuedBytes();
}

} // namespace samphirebridge::net
