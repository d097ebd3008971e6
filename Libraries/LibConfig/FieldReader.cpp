#include <LibConfig/FieldReader.h>

#include <LibCore/Error.h>

#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

namespace Lovageward {

namespace {

// Longer texts are typing errors; the limit also bounds the size of a record.
constexpr std::size_t maximumTextLength = 512;
constexpr std::size_t maximumListLength = 256;
// Values are flat objects with lists; deeper input would only cost stack.
constexpr std::size_t maximumDepth = 8;

}

FieldReader::FieldReader(std::string name, const std::string &json) : name(std::move(name))
{
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(maximumDepth);
        this->object = parser.parse(json).extract<Poco::JSON::Object::Ptr>();
    } catch (const std::exception &) {
        this->object = nullptr;
    }
    if (this->object.isNull()) {
        throw Error(ResultCode::MalformedJson, RunState::NotRun, fmt::format("{}: the value is not a JSON object", this->name));
    }
}

bool FieldReader::has(const std::string &field)
{
    this->askedFields.insert(field);
    return this->object->has(field);
}

std::string FieldReader::text(const std::string &field)
{
    if (!this->has(field)) {
        this->reject(field, "is missing");
    }
    auto value = this->valueOf(field);
    if (!value.isString()) {
        this->reject(field, "is not a string");
    }
    auto content = value.extract<std::string>();
    if (content.size() > maximumTextLength) {
        this->reject(field, fmt::format("is longer than {} bytes", maximumTextLength));
    }
    return content;
}

std::string FieldReader::text(const std::string &field, const std::string &fallback)
{
    return this->has(field) ? this->text(field) : fallback;
}

std::uint64_t FieldReader::number(const std::string &field, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum)
{
    if (!this->has(field)) {
        return fallback;
    }
    auto value = this->valueOf(field);
    if (!value.isInteger() || value.isBoolean()) {
        this->reject(field, "is not a whole number");
    }
    auto isNegative = value.isSigned() && value.convert<std::int64_t>() < 0;
    auto content = isNegative ? 0 : value.convert<std::uint64_t>();
    if (isNegative || content < minimum || content > maximum) {
        this->reject(field, fmt::format("is not between {} and {}", minimum, maximum));
    }
    return content;
}

bool FieldReader::flag(const std::string &field, bool fallback)
{
    if (!this->has(field)) {
        return fallback;
    }
    auto value = this->valueOf(field);
    if (!value.isBoolean()) {
        this->reject(field, "is not true or false");
    }
    return value.convert<bool>();
}

std::vector<std::string> FieldReader::texts(const std::string &field)
{
    std::vector<std::string> contents;
    if (!this->has(field)) {
        return contents;
    }
    auto list = this->object->getArray(field);
    if (list.isNull() || list->size() > maximumListLength) {
        this->reject(field, fmt::format("is not a list of at most {} strings", maximumListLength));
    }
    for (const auto &item : *list) {
        if (!item.isString()) {
            this->reject(field, "holds something that is not a string");
        }
        contents.push_back(item.extract<std::string>());
        if (contents.back().size() > maximumTextLength) {
            this->reject(field, fmt::format("holds a text longer than {} bytes", maximumTextLength));
        }
    }
    return contents;
}

void FieldReader::rejectUnknownFields() const
{
    for (const auto &[field, value] : *this->object) {
        if (!this->askedFields.contains(field)) {
            this->reject(field, "is not known");
        }
    }
}

void FieldReader::reject(const std::string &field, const std::string &problem) const
{
    throw Error(ResultCode::InvalidValue, RunState::NotRun, fmt::format("{}: field '{}' {}", this->name, field, problem));
}

Poco::Dynamic::Var FieldReader::valueOf(const std::string &field)
{
    return this->object->get(field);
}

}
