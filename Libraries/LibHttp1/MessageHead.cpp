#include <LibHttp1/MessageHead.h>

namespace Lovageward {

ResponseHead forwardedHead(const ResponseHead &head)
{
    ResponseHead forwarded { head.status, head.reason, {} };
    for (const auto &field : head.fields) {
        if (!equalsIgnoringCase(field.name.value(), "Content-Length") && !isHopByHopField(head.fields, field.name.value())) {
            forwarded.fields.add(field.name, field.value);
        }
    }
    return forwarded;
}

}
