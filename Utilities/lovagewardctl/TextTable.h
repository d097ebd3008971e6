#pragma once

#include <string>
#include <vector>

namespace Lovageward {

/** A table with aligned columns for a terminal. */
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> header);

    /** Control characters in cells are replaced, so that stored values can't send commands to a terminal. */
    void addRow(std::vector<std::string> row);

    /** The lines with a final line break; an empty table has only the header. */
    std::string text() const;

private:
    std::vector<std::vector<std::string>> rows;
};

/** The text with control characters replaced by '?'. */
std::string printable(std::string text);

}
