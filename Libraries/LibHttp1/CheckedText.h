#pragma once

#include <LibCore/Error.h>

#include <fmt/format.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace Lovageward {

/**
 * Text that follows a rule of the grammar of HTTP. `Rule` has the static functions `bool matches(std::string_view)` and `std::string_view name()`. Objects of
 * this type are the only input of the encoder of heads, so that no text can end a field or a head early.
 */
template<typename Rule>
class CheckedText
{
public:
    CheckedText() = default;

    /** Throws Error(Internal) for text that doesn't follow the rule. */
    explicit CheckedText(std::string text) : text(std::move(text))
    {
        if (!Rule::matches(this->text)) {
            throw Error(ResultCode::Internal, RunState::NotRun, fmt::format("{} bytes of text are not a {} of HTTP", this->text.size(), Rule::name()));
        }
    }

    static std::optional<CheckedText> parse(std::string_view text)
    {
        return Rule::matches(text) ? std::optional(CheckedText(std::string(text))) : std::nullopt;
    }

    const std::string &value() const
    {
        return this->text;
    }

    bool operator==(const CheckedText &) const = default;

private:
    std::string text;
};

}
