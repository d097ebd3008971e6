#include <fmt/format.h>

int main()
{
    fmt::print("lovagewardctl {}\n", LOVAGEWARD_VERSION);
    return 0;
}
