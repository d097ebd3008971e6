#pragma once

#include <LibConfig/EntityCodec.h>

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lovageward {

/** Reads the fields of one JSON object with strict types. Every error is Error(InvalidValue) and names the field. */
class FieldReader
{
public:
    /** `name` stands for the whole object in error messages. Throws Error(MalformedJson) if the text is no JSON object. */
    FieldReader(std::string name, const std::string &json);

    bool has(const std::string &field);
    std::string text(const std::string &field);
    std::string text(const std::string &field, const std::string &fallback);
    std::uint64_t number(const std::string &field, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum);
    bool flag(const std::string &field, bool fallback);
    std::vector<std::string> texts(const std::string &field);

    /** Throws if the object has a field that was never asked for. */
    void rejectUnknownFields() const;

    [[noreturn]] void reject(const std::string &field, const std::string &problem) const;

private:
    Poco::Dynamic::Var valueOf(const std::string &field);

    std::string name;
    Poco::JSON::Object::Ptr object;
    std::set<std::string> askedFields;
};

}
