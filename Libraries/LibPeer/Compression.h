#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace Lovageward {

/** Deflates the bytes with little effort: records of one kind repeat each other's field names. */
std::string deflated(std::string_view bytes);

/** The bytes that were deflated. Throws Error(MalformedMessage) if they can't be read or are more than `maximumBytes`. */
std::string inflated(std::string_view bytes, std::size_t maximumBytes);

}
