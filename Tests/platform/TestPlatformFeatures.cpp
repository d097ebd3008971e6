#include <platform/PlatformFeatures.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

// Guards against a deployment that names the feature and is served without it, and against one that is changed without naming it.
TEST_CASE("The platform's features select settings unless these are given, and unknown features have no effect")
{
    auto usesReportedLoad = [](const std::string &file) {
        return readGatewaySettings(
                   file, {}, [](const std::string & /*name*/) { return nullptr; }, translatePlatformFeature)
            .usesReportedLoadOfAllPools;
    };
    CHECK_FALSE(usesReportedLoad(""));
    CHECK_FALSE(usesReportedLoad("platform-features =\n"));
    CHECK_FALSE(usesReportedLoad("platform-features = unknown\n"));
    CHECK(usesReportedLoad("platform-features = pressure\n"));
    CHECK(usesReportedLoad("platform-features = unknown, pressure\n"));
    CHECK_FALSE(usesReportedLoad("platform-features = pressure\nreported-load = off\n"));
    CHECK(usesReportedLoad("reported-load = on\n"));
}
