# Helper functions that keep the CMakeLists.txt of each library to one or two lines.

# lovageward_library(LibX DEPENDS LibY fmt::fmt ...) builds every source file beside the CMakeLists.txt.
function(lovageward_library name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    if(sources)
        add_library(${name} STATIC ${sources})
        target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/Libraries)
        target_link_libraries(${name} PUBLIC ${ARG_DEPENDS})
    else()
        add_library(${name} INTERFACE)
        target_include_directories(${name} INTERFACE ${PROJECT_SOURCE_DIR}/Libraries)
        target_link_libraries(${name} INTERFACE ${ARG_DEPENDS})
    endif()
endfunction()

# lovageward_tests(LibX DEPENDS LibX ...) builds all Test*.cpp beside the CMakeLists.txt into one Catch2 program. Each of its cases is a test of
# ctest's, named "LibX:TITLE", so that a result belongs to one case.
function(lovageward_tests name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    if(sources)
        add_executable(Test${name} ${sources})
        target_include_directories(Test${name} PRIVATE ${PROJECT_SOURCE_DIR}/Tests)
        target_link_libraries(Test${name} PRIVATE TestMain ${ARG_DEPENDS})
        # Without the warning, a title that selects no case would count as passed.
        catch_discover_tests(Test${name} TEST_PREFIX "${name}:" EXTRA_ARGS --warn NoTests PROPERTIES TIMEOUT 300)
    endif()
endfunction()
