#include <fmt/format.h>

int main()
{
    fmt::print("lovageward {}\n", LOVAGEWARD_VERSION);
    return 0;
}
