#pragma once

#include <LibCore/Clock.h>
#include <lovagewardctl/AdminClient.h>
#include <lovagewardctl/ControlOptions.h>
#include <lovagewardctl/EntityFields.h>

#include <ostream>

namespace Lovageward {

/** Runs the commands of lovagewardctl. */
class Control
{
public:
    /** `pause` waits between two looks at a change's progress. */
    Control(AdminTransport &transport, const Clock &clock, std::function<void(Duration)> pause, std::ostream &output, std::ostream &progress);

    /** Throws Error; exitCodeOf() maps it. */
    void run(const ControlOptions &options);

private:
    void runEntityCommand(const EntityCommand &command, const ControlOptions &options);
    void list(const EntityCommand &command, const ControlOptions &options);
    void set(const EntityCommand &command, const ControlOptions &options);
    void remove(const EntityCommand &command, const ControlOptions &options);
    void change(const std::string &method, const std::string &target, const std::string &body, const ControlOptions &options);
    void rotateKey(const ControlOptions &options);
    void order(const ControlOptions &options);
    void status(const ControlOptions &options);
    void audit(const ControlOptions &options);
    void wait(const std::string &recordId, const ControlOptions &options);
    bool isInForce(const std::string &recordId, const ControlOptions &options);
    void print(const JsonObject &json);

    AdminClient client;
    const Clock &clock;
    std::function<void(Duration)> pause;
    std::ostream &output;
    std::ostream &progress;
    std::string lastProgress;
};

/** Exit code of the program for a result: the hundreds of the code, which fit below 256. */
int exitCodeOf(ResultCode code);

/** The whole program; returns its exit code. */
int runControl(const std::vector<std::string> &arguments, const EnvironmentReader &environment, std::ostream &output, std::ostream &errors);

}
