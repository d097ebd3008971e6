#pragma once

#include <LibHttp1/CheckedText.h>

namespace Lovageward {

/** True for the characters of a token (RFC 9110, section 5.6.2). */
bool isTokenCharacter(char character);

/** True for a token, which has at least one character. */
bool isToken(std::string_view text);

/** True for printable ASCII, space, tab and bytes from 0x80: what field values and reason phrases consist of (RFC 9110, section 5.5). */
bool isFieldContent(std::string_view text);

std::string_view trimWhitespaceAtFront(std::string_view text);

/** Removes spaces and tabs at both ends. */
std::string_view trimWhitespace(std::string_view text);

/** Compares ASCII letters without regard to their case, in every locale. */
bool equalsIgnoringCase(std::string_view left, std::string_view right);

struct MethodRule
{
    static bool matches(std::string_view text);
    static constexpr std::string_view name()
    {
        return "method";
    }
};

struct RequestTargetRule
{
    static bool matches(std::string_view text);
    static constexpr std::string_view name()
    {
        return "request target";
    }
};

struct ReasonPhraseRule
{
    static bool matches(std::string_view text);
    static constexpr std::string_view name()
    {
        return "reason phrase";
    }
};

struct FieldNameRule
{
    static bool matches(std::string_view text);
    static constexpr std::string_view name()
    {
        return "field name";
    }
};

struct FieldValueRule
{
    static bool matches(std::string_view text);
    static constexpr std::string_view name()
    {
        return "field value";
    }
};

/** A token (RFC 9110, section 9.1). */
using Method = CheckedText<MethodRule>;
/** Visible ASCII without a fragment (RFC 9112, section 3.2). */
using RequestTarget = CheckedText<RequestTargetRule>;
using ReasonPhrase = CheckedText<ReasonPhraseRule>;
/** A token (RFC 9110, section 5.1). */
using FieldName = CheckedText<FieldNameRule>;
/** Field content without whitespace at its ends (RFC 9110, section 5.5). */
using FieldValue = CheckedText<FieldValueRule>;

}
