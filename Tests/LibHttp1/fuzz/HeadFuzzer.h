#pragma once

#include <LibCore/RandomSource.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Lovageward {

/**
 * Feeds mutated messages to the decoders of LibHttp1. For every byte string, either it is rejected, or what is written for it is exactly one message to a
 * second reader, with the same first line, fields and body.
 */
class HeadFuzzer
{
public:
    /** Reads the seeds of the mutations, one per file. Throws std::runtime_error if there are none. */
    HeadFuzzer(RandomSource &random, const std::string &corpusFolder);

    /** Plays one mutation. Returns what went wrong, with the bytes, or an empty string. */
    std::string playOne();

    /** Messages that weren't rejected so far. */
    std::uint64_t accepted() const
    {
        return this->acceptedMessages;
    }

private:
    std::string mutate();
    std::string checkRequest(const std::string &bytes);
    std::string checkResponse(const std::string &bytes);
    std::string checkChunks(const std::string &bytes);

    RandomSource &random;
    std::vector<std::string> corpus;
    std::uint64_t acceptedMessages = 0;
};

}
