# The measurement program of the router. Built with the tests; not part of CI.
add_executable(routingbench
    ${PROJECT_SOURCE_DIR}/utilities/bench/routingbench.cpp
    ${PROJECT_SOURCE_DIR}/utilities/bench/routingsimulation.cpp
    ${PROJECT_SOURCE_DIR}/utilities/bench/routingtrace.cpp
)
target_link_libraries(routingbench PRIVATE samphirebridge::routing fmt::fmt)
target_include_directories(routingbench PRIVATE ${PROJECT_SOURCE_DIR})
samphirebridge_apply_options(routingbench)
