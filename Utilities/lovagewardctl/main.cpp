#include <lovagewardctl/Control.h>

#include <cstdlib>
#include <iostream>

int main(int argumentCount, char **arguments)
{
    auto environment = [](const std::string &name) {
        const auto *value = std::getenv(name.c_str());
        return value == nullptr ? std::string() : std::string(value);
    };
    return Lovageward::runControl(std::vector<std::string>(arguments + 1, arguments + argumentCount), environment, std::cout, std::cerr);
}
