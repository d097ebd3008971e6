#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <optional>
#include <string>
#include <string_view>

namespace Lovageward {

/** Data with which any node can continue a running generation for its caller. */
struct ResumeToken
{
    UpstreamId upstream;
    /** "IP:port". */
    std::string address;
    GenerationId generation;
    RequestId request;
    TeamId team;
    WorkClassId workClass;
    /** Node that cancels the generation if its caller doesn't resume in time, and that must be notified of a resume. */
    HostId owner;
    WallTime expiresAt;
};

/** A resume token and the first offset that the caller still needs. */
struct ResumePoint
{
    ResumeToken token;
    TokenOffset from;
};

/** Encodes and verifies resume tokens. They are authenticated with HMAC-SHA-256 but not encrypted. Thread-safe. */
class ResumeTokenCodec
{
public:
    /** `key` must be the same on every node. */
    explicit ResumeTokenCodec(std::string key) : key(std::move(key))
    {
    }

    /** Encodes a token as URL-safe Base64 text without padding. */
    std::string seal(const ResumeToken &token) const;

    /** Decodes and verifies a token. Throws Error(ResumeTokenInvalid, NotRun) if it is malformed, not authentic or expired. */
    ResumeToken open(std::string_view text, WallTime now) const;

    /** Id of an event: `<token>/<offset>`, or `<token>/none` if no token was delivered yet. */
    static std::string eventId(std::string_view sealed, std::optional<TokenOffset> lastDelivered);

    /** Parses the value of a Last-Event-ID header. Throws the same errors as open(). */
    ResumePoint parseEventId(std::string_view eventId, WallTime now) const;

private:
    std::string computeSignature(const std::string &content) const;

    std::string key;
};

}
