#include <LibHttp1/HeaderFields.h>

#include <algorithm>
#include <array>

namespace Lovageward {

namespace {

/** Hop-by-hop fields of RFC 9110, section 7.6.1, and the fields that control the framing and the upgrade of a connection. */
constexpr auto hopByHopFields = std::to_array<std::string_view>(
    { "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect" });

bool listHasElement(std::string_view list, std::string_view element)
{
    while (true) {
        auto comma = list.find(',');
        if (equalsIgnoringCase(trimWhitespace(list.substr(0, comma)), element)) {
            return true;
        }
        if (comma == std::string_view::npos) {
            return false;
        }
        list.remove_prefix(comma + 1);
    }
}

}

std::optional<HeaderField> parseField(std::string_view line)
{
    auto colon = line.find(':');
    // Whitespace before the colon and folded lines aren't tokens either. Recipients read them in different ways.
    auto name = FieldName::parse(line.substr(0, colon));
    auto value = FieldValue::parse(colon == std::string_view::npos ? std::string_view() : trimWhitespace(line.substr(colon + 1)));
    if (colon == std::string_view::npos || !name || !value) {
        return std::nullopt;
    }
    return HeaderField { std::move(*name), std::move(*value) };
}

void HeaderFields::add(FieldName name, FieldValue value)
{
    this->fields.push_back(HeaderField { std::move(name), std::move(value) });
}

void HeaderFields::add(std::string name, std::string value)
{
    this->add(FieldName(std::move(name)), FieldValue(std::move(value)));
}

void HeaderFields::set(std::string name, std::string value)
{
    std::erase_if(this->fields, [&](const HeaderField &field) { return equalsIgnoringCase(field.name.value(), name); });
    this->add(std::move(name), std::move(value));
}

bool HeaderFields::has(std::string_view name) const
{
    return this->count(name) > 0;
}

std::size_t HeaderFields::count(std::string_view name) const
{
    auto found
        = std::count_if(this->fields.begin(), this->fields.end(), [&](const HeaderField &field) { return equalsIgnoringCase(field.name.value(), name); });
    return static_cast<std::size_t>(found);
}

const std::string &HeaderFields::get(std::string_view name) const
{
    static const std::string absent;
    auto found = std::find_if(this->fields.begin(), this->fields.end(), [&](const HeaderField &field) { return equalsIgnoringCase(field.name.value(), name); });
    return found == this->fields.end() ? absent : found->value.value();
}

bool HeaderFields::hasListElement(std::string_view name, std::string_view element) const
{
    return std::any_of(this->fields.begin(), this->fields.end(), [&](const HeaderField &field) {
        return equalsIgnoringCase(field.name.value(), name) && listHasElement(field.value.value(), element);
    });
}

bool isHopByHopField(const HeaderFields &fields, std::string_view name)
{
    auto isKnown = std::any_of(hopByHopFields.begin(), hopByHopFields.end(), [&](std::string_view known) { return equalsIgnoringCase(known, name); });
    return isKnown || fields.hasListElement("Connection", name);
}

}
