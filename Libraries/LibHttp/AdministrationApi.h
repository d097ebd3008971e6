#pragma once

#include <LibConfig/ConfigStore.h>
#include <LibHttp/AdministrationJson.h>
#include <LibHttp/AdministrationKeys.h>
#include <LibLease/OrderDesk.h>
#include <LibMembership/Membership.h>
#include <LibPolicy/UpstreamTable.h>

#include <map>

namespace Lovageward {

/** A request to the administration API without its transport. */
struct AdministrationRequest
{
    std::string method;
    /** Path without the query, for example "/admin/v1/teams/atelier". */
    std::string path;
    std::map<std::string, std::string> query;
    std::string bearerKey;
    std::string body;
};

struct AdministrationResponse
{
    int status = 200;
    /** JSON. */
    std::string body;
};

/** The administration API (docs/design.md, section 8) without its transport. Safe from several threads; it holds no lock. */
class AdministrationApi
{
public:
    /** `orderDesk` may be nullptr; orders are then rejected. A change is waited for during at most `changeTimeout`. */
    AdministrationApi(AdministrationKeys keys,
                      Duration changeTimeout,
                      const Clock &clock,
                      RandomSource &random,
                      LogSink &sink,
                      Counters &counters,
                      ConfigStore &store,
                      const AuditTrail &auditTrail,
                      const Membership &membership,
                      const UpstreamTable &upstreams,
                      OrderDesk *orderDesk);

    /** Never throws an Error; errors become JSON responses. */
    AdministrationResponse handle(const AdministrationRequest &request);

    /** True if the key is known. Lets the transport refuse a request before it reads the body. */
    bool isKnownKey(std::string_view bearerKey) const;

private:
    struct Call
    {
        const AdministrationRequest &request;
        AdministrationIdentity identity;
        /** Parts of the path after "/admin/v1". */
        std::vector<std::string> parts;
    };

    JsonObject dispatch(const Call &call);
    JsonObject entityCall(const Call &call, EntityKind kind);
    JsonObject listEntities(const Call &call, EntityKind kind) const;
    JsonObject showEntity(const Call &call, const EntityKey &key) const;
    JsonObject changeEntity(const Call &call, const EntityKey &key);
    JsonObject submit(const ChangeRequest &change);
    ChangeDecision decisionOn(const ChangeRequest &change);
    JsonObject status() const;
    JsonObject changeProgress(const std::string &recordId) const;
    JsonObject audit(const Call &call) const;
    JsonObject orders(const Call &call);
    JsonObject rotateTeamKey(const Call &call);
    void requireReader(const Call &call, EntityKind kind, const std::string &id) const;
    static void requireOperator(const Call &call);
    static void requireUnrestrictedReader(const Call &call);

    AdministrationKeys keys;
    Duration changeTimeout;
    const Clock &clock;
    RandomSource &random;
    Logger logger;
    Counters &counters;
    ConfigStore &store;
    const AuditTrail &auditTrail;
    const Membership &membership;
    const UpstreamTable &upstreams;
    OrderDesk *orderDesk;
};

}
