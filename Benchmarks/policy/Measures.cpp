#include <policy/Measures.h>

namespace Lovageward::Bench {

const std::vector<MeasureField> &measureFields()
{
    static const std::vector<MeasureField> fields = {
        { "stall_s", "stall time, s per 1,000 generations", &Measures::stallSeconds },
        { "preempt", "preemptions per 1,000 generations", &Measures::preemptions },
        { "gap_p95", "token gap p95, s", &Measures::gapP95 },
        { "gap_p99", "token gap p99, s", &Measures::gapP99 },
        { "gap_p999", "token gap p99.9, s", &Measures::gapP999 },
        { "first_p95", "first token p95, s", &Measures::firstTokenP95 },
        { "goodput", "goodput, share of requests", &Measures::goodput },
        { "refused", "refusals, share of requests", &Measures::refusals },
        { "jain", "Jain's fairness over teams", &Measures::fairness },
        { "service", "service calls in time, share", &Measures::serviceGoodput },
        { "good_out", "generations in time per s while the domain is out", &Measures::goodWhileOut },
        { "good_back", "generations in time per s after its return", &Measures::goodOnReturn },
        { "memory", "share of KV memory in use", &Measures::memoryUsed },
        { "blast", "share of teams with work on the killed engine", &Measures::blastRadius },
    };
    return fields;
}

}
