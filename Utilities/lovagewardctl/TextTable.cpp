#include <lovagewardctl/TextTable.h>

#include <algorithm>

namespace Lovageward {

namespace {

constexpr std::size_t columnGap = 2;

}

TextTable::TextTable(std::vector<std::string> header)
{
    this->rows.push_back(std::move(header));
}

void TextTable::addRow(std::vector<std::string> row)
{
    for (auto &cell : row) {
        cell = printable(std::move(cell));
    }
    this->rows.push_back(std::move(row));
}

std::string TextTable::text() const
{
    std::vector<std::size_t> widths;
    for (const auto &row : this->rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    for (const auto &row : this->rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            auto cell = row[column];
            cell.resize(widths[column] + columnGap, ' ');
            line += cell;
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

std::string printable(std::string text)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    auto isControl = [](char letter) {
        auto code = static_cast<unsigned char>(letter);
        return code < firstPrintable || code == deleteCharacter;
    };
    std::replace_if(text.begin(), text.end(), isControl, '?');
    return text;
}

}
