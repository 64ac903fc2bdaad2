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

std::shared_ptr<ServerConnection> Responder::currentConnection() const
{
    std::shared_ptr<ServerConnection> owner = this->connection.lock();
    const bool isCurrent = owner != nullptr && owner->isAnswering(this->request);
    return isCurrent ? owner : nullptr;
}

void Responder::sendWhole(ResponseHead head, std::string_view body)
{
    if (const auto owner = this->currentConnection()) {
        owner->sendWhole(std::move(head), body);
    }
}

void Responder::begin(ResponseHead head)
{
    if (const auto owner = this->currentConnection()) {
        owner->begin(std::move(head));
    }
}

void Responder::write(std::string_view bytes)
{
    if (const auto owner = this->currentConnection()) {
        owner->write(bytes);
    }
}

void Responder::end()
{
    if (const auto owner = this->currentConnection()) {
        owner->end();
    }
}

void Responder::cutOff()
{
    if (const auto owner = this->currentConnection()) {
        owner->close(core::CloseReason::AnswerCutOff);
    }
}

void Responder::setOnCallerClosed(std::function<void()> onCallerClosed)
{
    if (const auto owner = this->currentConnection()) {
        owner->setOnCallerClosed(std::move(onCallerClosed));
    }
}

void Responder::setOnDrained(std::function<void()> onDrained)
{
    if (const auto owner = this->currentConnection()) {
        owner->setOnDrained(std::move(onDrained));
    }
}

size_t Responder::queuedBytes() const
{
    const auto owner = this->currentConnection();
    return owner == nullptr ? 0 : owner->queuedBytes();
}

} // namespace samphirebridge::net
