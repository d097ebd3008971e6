#include <LibCore/EventLog.h>

#include <fmt/format.h>

#include <cerrno>
#include <iterator>
#include <poll.h>
#include <unistd.h>

namespace Lovageward {

namespace {

constexpr std::size_t longestQueue = 2000;

/** Lines are gathered for so long, because each write costs a system call and a wake-up. */
constexpr Duration gatherTime = milliseconds(200);

/** Longest wait for a reader that takes nothing; afterwards the lines are lost. */
constexpr Duration writeLimit = seconds(1);

std::string jsonString(std::string_view text)
{
    std::string json = "\"";
    for (char letter : text) {
        auto code = static_cast<unsigned char>(letter);
        constexpr unsigned char firstPrintable = 0x20;
        if (letter == '"' || letter == '\\') {
            json += '\\';
            json += letter;
        } else if (code < firstPrintable) {
            fmt::format_to(std::back_inserter(json), "\\u{:04x}", code);
        } else {
            json += letter;
        }
    }
    return json + '"';
}

}

LogField::LogField(std::string_view name, std::string_view text) : json(fmt::format("\"{}\":{}", name, jsonString(text)))
{
}

LogField::LogField(std::string_view name, double number) : json(fmt::format("\"{}\":{:.3f}", name, number))
{
}

LogField::LogField(std::string_view name, bool flag) : json(fmt::format("\"{}\":{}", name, flag))
{
}

LogField::LogField(std::string_view name, std::int64_t number, int /*tag*/) : json(fmt::format("\"{}\":{}", name, number))
{
}

JsonEventLog::JsonEventLog(const Clock &clock, int descriptor, double linesPerSecond)
    : clock(clock), descriptor(descriptor), rate(clock, linesPerSecond, linesPerSecond), writer([this] { this->run(); })
{
}

JsonEventLog::~JsonEventLog()
{
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        this->isStopping = true;
    }
    this->changed.notify_all();
    this->writer.join();
    this->flush();
}

void JsonEventLog::write(std::string_view event, std::initializer_list<LogField> fields)
{
    auto line = fmt::format("{{\"time\":{},\"event\":\"{}\"", toMilliseconds(this->clock.wallNow()), event);
    for (const auto &field : fields) {
        line += ',';
        line += field.rendered();
    }
    line += "}\n";
    auto isWithinRate = this->rate.tryTake(1);
    std::lock_guard<std::mutex> guard(this->mutex);
    if (!isWithinRate || this->queue.size() >= longestQueue) {
        ++this->dropped;
        return;
    }
    this->queue.push_back(std::move(line));
    if (this->queue.size() == 1) {
        this->changed.notify_one();
    }
}

void JsonEventLog::flush()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    auto bytes = this->takeQueue();
    lock.unlock();
    this->writeOut(bytes, this->clock.now() + writeLimit);
}

void JsonEventLog::run()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->isStopping) {
        this->changed.wait(lock, [this] { return this->isStopping || !this->queue.empty(); });
        this->changed.wait_for(lock, gatherTime, [this] { return this->isStopping; });
        auto bytes = this->takeQueue();
        lock.unlock();
        this->writeOut(bytes, this->clock.now() + writeLimit);
        lock.lock();
    }
}

std::string JsonEventLog::takeQueue()
{
    std::string bytes;
    for (const auto &line : this->queue) {
        bytes += line;
    }
    this->queue.clear();
    if (this->dropped > 0) {
        fmt::format_to(
            std::back_inserter(bytes), "{{\"time\":{},\"event\":\"log_dropped\",\"lines\":{}}}\n", toMilliseconds(this->clock.wallNow()), this->dropped);
        this->dropped = 0;
    }
    return bytes;
}

void JsonEventLog::writeOut(std::string_view bytes, TimePoint deadline) const
{
    while (!bytes.empty()) {
        pollfd waiting { this->descriptor, POLLOUT, 0 };
        auto left = std::chrono::ceil<milliseconds>(deadline - this->clock.now()).count();
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            return;
        }
        // A pipe that can be written takes a page at once.
        constexpr std::size_t pageBytes = 4096;
        auto count = ::write(this->descriptor, bytes.data(), std::min(bytes.size(), pageBytes));
        if (count < 0 && errno != EINTR && errno != EAGAIN) {
            return;
        }
        bytes.remove_prefix(count > 0 ? static_cast<std::size_t>(count) : 0);
    }
}

}
