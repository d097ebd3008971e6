#include <LibHttp1/Syntax.h>

#include <algorithm>

namespace Lovageward {

namespace {

bool isWhitespace(char character)
{
    return character == ' ' || character == '\t';
}

bool isLetterOrDigit(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9');
}

char toLower(char character)
{
    constexpr char distance = 'a' - 'A';
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character + distance) : character;
}

bool isVisible(char character)
{
    return character > ' ' && character <= '~';
}

}

bool isTokenCharacter(char character)
{
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return isLetterOrDigit(character) || punctuation.find(character) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isFieldContent(std::string_view text)
{
    constexpr unsigned char firstNonAscii = 0x80;
    return std::all_of(text.begin(), text.end(), [](char character) {
        return isVisible(character) || isWhitespace(character) || static_cast<unsigned char>(character) >= firstNonAscii;
    });
}

std::string_view trimWhitespaceAtFront(std::string_view text)
{
    while (!text.empty() && isWhitespace(text.front())) {
        text.remove_prefix(1);
    }
    return text;
}

std::string_view trimWhitespace(std::string_view text)
{
    text = trimWhitespaceAtFront(text);
    while (!text.empty() && isWhitespace(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char first, char second) { return toLower(first) == toLower(second); });
}

bool MethodRule::matches(std::string_view text)
{
    return isToken(text);
}

bool RequestTargetRule::matches(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char character) { return isVisible(character) && character != '#'; });
}

bool ReasonPhraseRule::matches(std::string_view text)
{
    return isFieldContent(text);
}

bool FieldNameRule::matches(std::string_view text)
{
    return isToken(text);
}

bool FieldValueRule::matches(std::string_view text)
{
    return isFieldContent(text) && trimWhitespace(text).size() == text.size();
}

}
