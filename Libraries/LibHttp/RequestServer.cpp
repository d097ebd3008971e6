#include <LibHttp/RequestServer.h>

#include <LibCore/Error.h>
#include <LibHttp/Listener.h>

#include <Poco/Exception.h>

#include <algorithm>
#include <poll.h>

namespace Lovageward {

namespace {

/** Buffers and state of a connection: received bytes, the first part of a body and of a response. */
constexpr std::uint64_t bufferBytes = 49'152;

/** The clock is injected and may differ from the kernel's, so a wait is split and the deadlines are checked between the parts. */
constexpr Duration longestWait = milliseconds(200);

/** Time for which the answers to running requests may be taken while the server closes. */
constexpr Duration closingTime = milliseconds(500);

/** A new connection may take the place of any other one that keeps the server waiting: a prober sends its request at once and takes the short answer. */
ListenerLimits listenerLimits()
{
    return { bufferBytes + defaultUnreadBytes, Duration(0), Duration(0) };
}

}

RequestServer::RequestServer(
    const Clock &clock, MemoryAccount &memory, RequestHandler &handler, const Poco::Net::ServerSocket &listener, const RequestServerSettings &settings)
    : clock(clock), memory(memory), handler(handler), listener(listener), settings(settings), listenerId(memory.addListener(listenerLimits()))
{
    for (int number = 0; number < settings.maximumThreads; ++number) {
        this->workers.emplace_back([this] { this->handleJobs(); });
    }
    this->loop = std::thread([this] { this->run(); });
}

RequestServer::~RequestServer()
{
    this->isStopRequested = true;
    this->wakeUp.notify();
    this->loop.join();
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        this->isEnded = true;
    }
    this->jobAdded.notify_all();
    for (auto &worker : this->workers) {
        worker.join();
    }
}

std::uint16_t RequestServer::port() const
{
    return this->listener.address().port();
}

void RequestServer::run()
{
    while (!this->isClosing || !this->connections.empty()) {
        auto now = this->clock.now();
        auto waitUntil = now + longestWait;
        std::vector<pollfd> descriptors;
        descriptors.reserve(this->connections.size() + 2);
        descriptors.push_back({ this->wakeUp.descriptor(), POLLIN, 0 });
        // While the requests of all connections are being handled, a new connection waits in the kernel.
        descriptors.push_back({ this->isClosing || !this->hasPlaces ? -1 : this->listener.impl()->sockfd(), POLLIN, 0 });
        for (const auto &[id, connection] : this->connections) {
            auto events = connection->awaitedEvents();
            descriptors.push_back({ events == 0 ? -1 : connection->descriptor(), events, 0 });
            waitUntil = std::min(waitUntil, connection->nextDeadline().value_or(waitUntil));
        }
        auto waitTime = std::chrono::ceil<milliseconds>(std::max(waitUntil - now, Duration(0)));
        constexpr int forEver = -1;
        ::poll(descriptors.data(), descriptors.size(), this->connections.empty() ? forEver : static_cast<int>(waitTime.count()));
        this->wakeUp.clear();
        this->deliverResults();
        if (this->isStopRequested && !this->isClosing) {
            this->beginClosing();
        }
        now = this->clock.now();
        // No connection was added since the descriptors were listed.
        std::size_t index = 1;
        for (auto &[id, connection] : this->connections) {
            auto due = connection->nextDeadline();
            if (descriptors[++index].revents != 0 || (due && *due <= now)) {
                connection->advance();
            }
            this->takeRequest(id, *connection);
        }
        this->removeClosed();
        if (!this->isClosing && (descriptors[1].revents != 0 || !this->hasPlaces)) {
            this->acceptConnections();
        }
    }
}

bool RequestServer::makePlace()
{
    if (this->connections.size() >= this->settings.maximumConnections) {
        auto released = this->memory.makePlace(this->listenerId);
        if (released) {
            this->handler.connectionReleased(*released, this->connections.size());
            this->removeClosed();
        }
    }
    this->hasPlaces = this->connections.size() < this->settings.maximumConnections;
    return this->hasPlaces;
}

void RequestServer::acceptConnections()
{
    try {
        // Whether the descriptor is still readable is asked before each accept, which would block otherwise.
        while (this->listener.poll(Poco::Timespan(), Poco::Net::Socket::SELECT_READ) && this->makePlace()) {
            auto socket = this->listener.acceptConnection();
            ServedConnectionDependencies dependencies { this->clock, this->memory, this->handler, this->wakeUp, this->settings, this->listenerId };
            this->connections.emplace(ServedConnectionId(++this->lastConnection), std::make_unique<ServedConnection>(dependencies, socket));
        }
    } catch (const Poco::Exception &) {
        // The peer has closed the connection meanwhile, or the process has no descriptors left; the listener stays readable in that case.
        std::this_thread::sleep_for(milliseconds(1));
    }
}

void RequestServer::takeRequest(ServedConnectionId id, ServedConnection &connection)
{
    auto request = connection.takeRequest();
    if (!request) {
        return;
    }
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        this->jobs.push_back({ id, std::move(*request) });
    }
    this->jobAdded.notify_one();
}

void RequestServer::handleJobs()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (true) {
        this->jobAdded.wait(lock, [this] { return this->isEnded || !this->jobs.empty(); });
        if (this->jobs.empty()) {
            return;
        }
        auto job = std::move(this->jobs.front());
        this->jobs.pop_front();
        lock.unlock();
        this->handle(std::move(job));
        lock.lock();
    }
}

void RequestServer::handle(Job job)
{
    ServedResponse response;
    try {
        response = this->handler.handle(job.request.head, job.request.body);
    } catch (const Error &error) {
        response = this->handler.handleError(error);
    } catch (const std::exception &error) {
        response = this->handler.handleError(Error(ResultCode::Internal, RunState::Unknown, error.what()));
    }
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        this->results.push_back({ std::move(job), std::move(response) });
    }
    this->wakeUp.notify();
}

void RequestServer::deliverResults()
{
    std::vector<Result> delivered;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        delivered.swap(this->results);
    }
    for (auto &result : delivered) {
        this->connections.at(result.job.connection)->respond(result.job.request, std::move(result.response));
    }
}

void RequestServer::beginClosing()
{
    this->isClosing = true;
    auto answerDeadline = this->clock.now() + closingTime;
    for (auto &[id, connection] : this->connections) {
        connection->beginClosing(answerDeadline);
    }
}

void RequestServer::removeClosed()
{
    std::erase_if(this->connections, [](const auto &entry) {
        entry.second->closeIfReleased();
        return entry.second->isClosed();
    });
}

}
