#include <LibCore/Error.h>
#include <LibPeer/DelayedCloser.h>
#include <LibPeer/NngPeerTransport.h>
#include <LibPeer/PeerEnvelope.h>

#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace Lovageward {

namespace {

// A restarted peer should be reachable within one probe period.
constexpr nng_duration minimumReconnectMilliseconds = 50;
constexpr nng_duration maximumReconnectMilliseconds = 200;
// An answer that arrives while nng closes its socket can block the close for ever, so a socket is closed only when late answers are unlikely.
constexpr auto closeDelay = seconds(2);
// Bound of the closes at a stop; nng closes a socket in far less than a millisecond unless it is blocked.
constexpr auto stopLimit = seconds(2);
// A worker that misses its cancellation sees after this time that it is to end.
constexpr nng_duration workerCheckMilliseconds = 1'000;
// nng counts its own headers against the limit.
constexpr std::size_t receiveLimit = maximumPeerMessageBytes + 64;

void check(int result, ResultCode code, const std::string &what)
{
    if (result != 0) {
        throw Error(code, RunState::NotRun, fmt::format("{}: {}", what, nng_strerror(result)));
    }
}

/** Owns an nng operation handle. */
class Operation
{
public:
    Operation()
    {
        check(nng_aio_alloc(&this->handle, nullptr, nullptr), ResultCode::Internal, "no memory for an nng operation");
    }

    Operation(const Operation &) = delete;
    Operation &operator=(const Operation &) = delete;

    ~Operation()
    {
        nng_aio_free(this->handle);
    }

    /** Receives into the operation. The caller owns the message that takeMessage() returns afterwards. */
    int receive(nng_ctx context, nng_duration timeout)
    {
        nng_aio_set_timeout(this->handle, timeout);
        nng_ctx_recv(context, this->handle);
        nng_aio_wait(this->handle);
        return nng_aio_result(this->handle);
    }

    int send(nng_ctx context, std::string_view bytes, nng_duration timeout)
    {
        nng_msg *message = nullptr;
        auto result = nng_msg_alloc(&message, 0);
        if (result != 0) {
            return result;
        }
        result = nng_msg_append(message, bytes.data(), bytes.size());
        if (result != 0) {
            nng_msg_free(message);
            return result;
        }
        nng_aio_set_timeout(this->handle, timeout);
        nng_aio_set_msg(this->handle, message);
        nng_ctx_send(context, this->handle);
        nng_aio_wait(this->handle);
        result = nng_aio_result(this->handle);
        if (result != 0) {
            // The message stays with the sender when a send fails.
            nng_msg_free(message);
        }
        return result;
    }

    /** Ends a wait in another thread with NNG_ECANCELED. */
    void cancel()
    {
        nng_aio_cancel(this->handle);
    }

    std::string takeMessage()
    {
        auto *message = nng_aio_get_msg(this->handle);
        std::string bytes(static_cast<const char *>(nng_msg_body(message)), nng_msg_len(message));
        nng_msg_free(message);
        return bytes;
    }

private:
    nng_aio *handle = nullptr;
};

/** Owns an nng context. */
class Context
{
public:
    explicit Context(nng_socket socket)
    {
        check(nng_ctx_open(&this->context, socket), ResultCode::PeerUnreachable, "no nng context");
    }

    Context(const Context &) = delete;
    Context &operator=(const Context &) = delete;

    ~Context()
    {
        nng_ctx_close(this->context);
    }

    nng_ctx handle() const
    {
        return this->context;
    }

private:
    nng_ctx context = NNG_CTX_INITIALIZER;
};

nng_duration remaining(TimePoint deadline, TimePoint now)
{
    constexpr Duration::rep longest = 3'600'000;
    auto rest = std::chrono::ceil<milliseconds>(deadline - now).count();
    return static_cast<nng_duration>(std::clamp<Duration::rep>(rest, 0, longest));
}

}

/** One socket with one dialer. The closer gets the socket when its last user is done. */
class NngPeerTransport::Connection
{
public:
    Connection(const PeerAddress &address, const Clock &clock, DelayedCloser &closer) : clock(clock), closer(closer)
    {
        check(nng_req0_open(&this->socket), ResultCode::PeerUnreachable, "no nng socket");
        nng_socket_set_size(this->socket, NNG_OPT_RECVMAXSZ, receiveLimit);
        nng_socket_set_ms(this->socket, NNG_OPT_RECONNMINT, minimumReconnectMilliseconds);
        nng_socket_set_ms(this->socket, NNG_OPT_RECONNMAXT, maximumReconnectMilliseconds);
        // Without this nng sends a request again after a lost connection, so a handler could run twice.
        nng_socket_set_ms(this->socket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
        auto result = nng_dial(this->socket, address.value().c_str(), nullptr, NNG_FLAG_NONBLOCK);
        if (result != 0) {
            nng_close(this->socket);
            check(result, ResultCode::PeerUnreachable, "can't dial " + address.value());
        }
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    ~Connection()
    {
        this->closer.runAt(this->clock.now() + closeDelay, [socket = this->socket] { nng_close(socket); });
    }

    nng_socket handle() const
    {
        return this->socket;
    }

private:
    const Clock &clock;
    DelayedCloser &closer;
    nng_socket socket = NNG_SOCKET_INITIALIZER;
};

class NngPeerTransport::Implementation
{
public:
    Implementation(const Clock &clock, LogSink &sink, PeerRouter &router, const NngPeerTransportOptions &options)
        : clock(clock), logger(sink, "peer"), router(router), options(options), closer(clock, sink)
    {
    }

    PeerAddress listen(const PeerAddress &address)
    {
        check(nng_rep0_open(&this->server), ResultCode::Internal, "no nng socket");
        this->isListening = true;
        nng_socket_set_size(this->server, NNG_OPT_RECVMAXSZ, receiveLimit);
        nng_listener listener = NNG_LISTENER_INITIALIZER;
        check(nng_listen(this->server, address.value().c_str(), &listener, 0), ResultCode::InvalidSettings, "can't listen at " + address.value());
        for (std::size_t worker = 0; worker < this->options.workers; ++worker) {
            auto &receive = *this->receives.emplace_back(std::make_unique<Operation>());
            this->workers.emplace_back([this, &receive] { this->answerMessages(receive); });
        }
        int port = 0;
        check(nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port), ResultCode::Internal, "no bound port");
        const auto &text = address.value();
        return PeerAddress(fmt::format("{}:{}", text.substr(0, text.rfind(':')), port));
    }

    void stop()
    {
        if (this->isStopped.exchange(true)) {
            return;
        }
        for (auto &receive : this->receives) {
            receive->cancel();
        }
        for (auto &worker : this->workers) {
            worker.join();
        }
        this->workers.clear();
        // nng aborts the process if a socket closes while a thread is within one of its calls, so the workers end first.
        if (this->isListening) {
            this->closer.runAt(this->clock.now(), [server = this->server] { nng_close(server); });
        }
        {
            std::lock_guard<std::mutex> guard(this->mutex);
            this->connections.clear();
        }
        this->closer.stop(this->clock.now() + stopLimit);
    }

    std::string request(const PeerAddress &address, const PeerMessage &message, TimePoint deadline)
    {
        auto bytes = encodePeerMessage(message);
        auto connection = this->connectionTo(address);
        try {
            auto answer = this->exchange(*connection, address, bytes, deadline);
            this->router.traffic().count(PeerDirection::Sent, message.kind, bytes.size());
            this->router.traffic().count(PeerDirection::Received, message.kind, answer.size());
            return answer;
        } catch (const Error &) {
            this->drop(address, connection);
            throw;
        }
    }

    std::size_t connectionCount() const
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        return this->connections.size();
    }

private:
    struct Cached
    {
        std::shared_ptr<Connection> connection;
        std::uint64_t lastUse = 0;
    };

    std::string exchange(const Connection &connection, const PeerAddress &address, const std::string &bytes, TimePoint deadline) const
    {
        Context context(connection.handle());
        Operation operation;
        // nng completes the send only when a connection takes the message, so a failed send delivered nothing.
        auto result = operation.send(context.handle(), bytes, remaining(deadline, this->clock.now()));
        check(result, ResultCode::PeerUnreachable, "can't reach " + address.value());
        result = operation.receive(context.handle(), remaining(deadline, this->clock.now()));
        if (result != 0) {
            throw Error(ResultCode::PeerTimeout, RunState::Unknown, fmt::format("no answer from {}: {}", address.value(), nng_strerror(result)));
        }
        return operation.takeMessage();
    }

    std::shared_ptr<Connection> connectionTo(const PeerAddress &address)
    {
        // The lock is not held while an evicted connection is handed to the closer.
        std::shared_ptr<Connection> evicted;
        std::lock_guard<std::mutex> guard(this->mutex);
        auto found = this->connections.find(address);
        if (found == this->connections.end()) {
            if (this->connections.size() >= this->options.maximumConnections) {
                evicted = this->takeLeastRecentlyUsed();
            }
            found = this->connections.emplace(address, Cached { std::make_shared<Connection>(address, this->clock, this->closer), 0 }).first;
        }
        found->second.lastUse = ++this->uses;
        return found->second.connection;
    }

    std::shared_ptr<Connection> takeLeastRecentlyUsed()
    {
        auto oldest = std::min_element(
            this->connections.begin(), this->connections.end(), [](const auto &left, const auto &right) { return left.second.lastUse < right.second.lastUse; });
        auto connection = oldest->second.connection;
        this->connections.erase(oldest);
        return connection;
    }

    void drop(const PeerAddress &address, const std::shared_ptr<Connection> &connection)
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        auto found = this->connections.find(address);
        // Another thread may have replaced the connection already.
        if (found != this->connections.end() && found->second.connection == connection) {
            this->connections.erase(found);
        }
    }

    void answerMessages(Operation &receive)
    {
        try {
            Context context(this->server);
            Operation send;
            while (!this->isStopped && this->answerOne(context, receive, send)) {
            }
        } catch (const Error &error) {
            this->logger.error("a worker stopped: {}", error.what());
        }
    }

    /** False once the wait was cancelled. */
    bool answerOne(const Context &context, Operation &receive, Operation &send)
    {
        auto result = receive.receive(context.handle(), workerCheckMilliseconds);
        if (result == NNG_ECLOSED || result == NNG_ECANCELED) {
            return false;
        }
        if (result == NNG_ETIMEDOUT) {
            return true;
        }
        if (result != 0) {
            this->logger.warning("can't receive: {}", nng_strerror(result));
            return true;
        }
        auto answer = this->router.route(receive.takeMessage());
        if (answer) {
            auto timeout = static_cast<nng_duration>(std::chrono::ceil<milliseconds>(this->options.answerSendTimeout).count());
            send.send(context.handle(), *answer, timeout);
        }
        return true;
    }

    const Clock &clock;
    Logger logger;
    PeerRouter &router;
    NngPeerTransportOptions options;
    mutable std::mutex mutex;
    std::map<PeerAddress, Cached> connections;
    std::uint64_t uses = 0;
    nng_socket server = NNG_SOCKET_INITIALIZER;
    bool isListening = false;
    std::atomic<bool> isStopped = false;
    DelayedCloser closer;
    /** One for each worker, so that stop() can end their waits. */
    std::vector<std::unique_ptr<Operation>> receives;
    std::vector<std::thread> workers;
};

NngPeerTransport::NngPeerTransport(const Clock &clock, LogSink &sink, PeerRouter &router, const NngPeerTransportOptions &options)
    : implementation(std::make_unique<Implementation>(clock, sink, router, options))
{
}

NngPeerTransport::~NngPeerTransport()
{
    this->stop();
}

PeerAddress NngPeerTransport::listen(const PeerAddress &address)
{
    return this->implementation->listen(address);
}

void NngPeerTransport::stop()
{
    this->implementation->stop();
}

std::string NngPeerTransport::request(const PeerAddress &address, const PeerMessage &message, TimePoint deadline)
{
    return this->implementation->request(address, message, deadline);
}

std::size_t NngPeerTransport::connectionCount() const
{
    return this->implementation->connectionCount();
}

}
