#include <fmt/format.h>

int main()
{
    fmt::print("lovageward-standin {}\n", LOVAGEWARD_VERSION);
    return 0;
}
