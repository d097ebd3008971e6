#pragma once

#include <LibHttp1/Syntax.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lovageward {

struct HeaderField
{
    FieldName name;
    FieldValue value;
};

/** Parses a field line without its end (RFC 9112, section 5). Returns nothing for a line that isn't one, such as a folded one. */
std::optional<HeaderField> parseField(std::string_view line);

/** Header fields in the order of the message. A name may occur several times. Names are compared without regard to case. */
class HeaderFields
{
public:
    HeaderFields() = default;

    void add(FieldName name, FieldValue value);

    /** Throws Error(Internal) for text that isn't a name or a value. */
    void add(std::string name, std::string value);

    /** Replaces all fields of the name by one. Throws as add(). */
    void set(std::string name, std::string value);

    bool has(std::string_view name) const;

    /** Number of fields with the name. */
    std::size_t count(std::string_view name) const;

    /** Value of the first field with the name; empty if there is none. */
    const std::string &get(std::string_view name) const;

    /** True if a field with the name has the element, without regard to case, in its comma-separated list (RFC 9110, section 5.6.1). */
    bool hasListElement(std::string_view name, std::string_view element) const;

    std::size_t size() const
    {
        return this->fields.size();
    }

    bool empty() const
    {
        return this->fields.empty();
    }

    auto begin() const
    {
        return this->fields.begin();
    }

    auto end() const
    {
        return this->fields.end();
    }

private:
    std::vector<HeaderField> fields;
};

/** True for fields that concern one connection only (RFC 9110, section 7.6.1), including those that the Connection fields list. */
bool isHopByHopField(const HeaderFields &fields, std::string_view name);

}
