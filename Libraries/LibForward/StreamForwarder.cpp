#include <LibForward/StreamForwarder.h>

#include <LibForward/StreamRelay.h>

namespace Lovageward {

ForwardOutcome StreamForwarder::forward(const AdmittedRequest &work, CallerChannel &caller, bool isKeepAlive) const
{
    StreamRelay relay(this->dependencies, this->dialer, work, caller, isKeepAlive);
    return relay.run();
}

}
