#include <LibCore/Error.h>
#include <LibNode/SettingsWatch.h>

#include <Poco/TemporaryFile.h>

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>

using namespace Lovageward;

namespace {

class RecordingListener final : public SettingsListener
{
public:
    void settingsChanged(const GatewaySettings &changed) override
    {
        this->taken.push_back(changed);
    }

    void settingsRejected(const std::string &reason) override
    {
        this->rejections.push_back(reason);
    }

    std::vector<GatewaySettings> taken;
    std::vector<std::string> rejections;
};

void write(const std::string &path, const std::string &text)
{
    std::ofstream(path) << text;
}

SettingsWatch watch(const std::string &path)
{
    return { path, {}, [](const std::string & /*name*/) { return nullptr; } };
}

}

TEST_CASE("A changed settings file is taken over once, without a signal")
{
    Poco::TemporaryFile file;
    RecordingListener listener;
    auto settings = watch(file.path());
    write(file.path(), "grace-seconds = 8\n");
    CHECK(settings.readFirst().graceTime == seconds(8));
    settings.check(listener);
    CHECK(listener.taken.empty());

    write(file.path(), "grace-seconds = 5\nseeds = 10.0.0.7:1\n");
    settings.check(listener);
    settings.check(listener);
    REQUIRE(listener.taken.size() == 1);
    CHECK(listener.taken[0].graceTime == seconds(5));
    CHECK(listener.taken[0].seeds.size() == 1);
    CHECK(listener.rejections.empty());
}

TEST_CASE("A settings file that is broken or missing is reported once and read again when it changes")
{
    Poco::TemporaryFile file;
    RecordingListener listener;
    auto settings = watch(file.path());
    write(file.path(), "grace-seconds = 8\n");
    settings.readFirst();

    write(file.path(), "grace-seconds = ");
    settings.check(listener);
    settings.check(listener);
    CHECK(listener.rejections.size() == 1);
    std::remove(file.path().c_str());
    settings.check(listener);
    settings.check(listener);
    CHECK(listener.rejections.size() == 2);
    CHECK(listener.taken.empty());

    write(file.path(), "grace-seconds = 6\n");
    settings.check(listener);
    REQUIRE(listener.taken.size() == 1);
    CHECK(listener.taken[0].graceTime == seconds(6));
    CHECK_THROWS_AS(watch("/nonexistent/settings").readFirst(), Error);
}

TEST_CASE("Settings that a running node can't take over are named")
{
    GatewaySettings current;
    current.host = HostId("a");
    auto changed = current;
    changed.graceTime = seconds(3);
    changed.seeds = { "10.0.0.1:1" };
    CHECK(settingsThatNeedRestart(current, changed).empty());
    changed.host = HostId("b");
    changed.retryBound.slack = 9;
    CHECK(settingsThatNeedRestart(current, changed) == std::vector<std::string> { "host", "retry-slack" });
}
