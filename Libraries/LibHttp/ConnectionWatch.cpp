#include <LibHttp/ConnectionWatch.h>

namespace Lovageward {

ConnectionWatch::Id ConnectionWatch::open()
{
    auto id = this->nextId++;
    this->connections[id] = Connection();
    return id;
}

void ConnectionWatch::close(Id id)
{
    auto &connection = this->connections.at(id);
    this->deadlines.erase({ connection.deadline, id });
    this->connections.erase(id);
}

bool ConnectionWatch::beginRequest(Id id, TimePoint deadline)
{
    if (this->isClosing) {
        return false;
    }
    this->connections.at(id) = Connection { State::Arriving, deadline };
    this->deadlines.insert({ deadline, id });
    return true;
}

bool ConnectionWatch::endArrival(Id id, TimePoint now)
{
    auto &connection = this->connections.at(id);
    if (connection.state == State::Arriving) {
        connection.state = now < connection.deadline ? State::Arrived : State::Overdue;
        this->deadlines.erase({ connection.deadline, id });
    }
    return connection.state != State::Overdue;
}

void ConnectionWatch::endRequest(Id id)
{
    auto &connection = this->connections.at(id);
    this->deadlines.erase({ connection.deadline, id });
    connection.state = State::Idle;
}

std::vector<ConnectionWatch::Id> ConnectionWatch::takeOverdue(TimePoint now)
{
    std::vector<Id> overdue;
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        auto id = this->deadlines.begin()->second;
        this->deadlines.erase(this->deadlines.begin());
        this->connections.at(id).state = State::Overdue;
        overdue.push_back(id);
    }
    return overdue;
}

std::optional<TimePoint> ConnectionWatch::nextDeadline() const
{
    return this->deadlines.empty() ? std::nullopt : std::optional(this->deadlines.begin()->first);
}

std::vector<ConnectionWatch::Id> ConnectionWatch::beginClosing()
{
    this->isClosing = true;
    std::vector<Id> idle;
    for (const auto &[id, connection] : this->connections) {
        if (connection.state == State::Idle) {
            idle.push_back(id);
        }
    }
    return idle;
}

}
