#pragma once

#include <LibCore/Error.h>

#include <string>
#include <string_view>

namespace Lovageward {

/** JSON of an error as callers get it (docs/design.md, section 8). `resumeId` is left out if empty. */
std::string errorBody(const Error &error, std::string_view requestId, std::string_view resumeId = {});

/** The text as a JSON string with quotes. */
std::string jsonText(std::string_view text);

}
