# Adds compile and link options that every target of the project shares.
function(samphirebridge_apply_options target)
    target_compile_features(${target} PUBLIC cxx_std_20)
    target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Werror
                                             $<$<CXX_COMPILER_ID:GNU>:-Wshadow=local>
                                             -Wnon-virtual-dtor -Woverloaded-virtual)
    target_compile_definitions(${target} PRIVATE _GLIBCXX_ASSERTIONS)
    if(SAMPHIREBRIDGE_SANITIZERS)
        # With sanitizers g++ 12 takes initialised members of the standard library for uninitialised.
        target_compile_options(${target} PUBLIC -Wno-maybe-uninitialized
                                                -fsanitize=${SAMPHIREBRIDGE_SANITIZERS}
                                                -fno-omit-frame-pointer -fno-sanitize-recover=all)
        target_link_options(${target} PUBLIC -fsanitize=${SAMPHIREBRIDGE_SANITIZERS})
    endif()
    if(SAMPHIREBRIDGE_FUZZERS)
        target_compile_options(${target} PUBLIC -fsanitize=fuzzer-no-link,address)
        target_link_options(${target} PUBLIC -fsanitize=address)
    endif()
endfunction()

# Adds the library samphirebridge_<package> with the alias samphirebridge::<package>. SOURCES are
# files of the calling folder, DEPENDS the libraries whose headers appear in the package's headers.
function(samphirebridge_add_package package)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
    set(target samphirebridge_${package})
    add_library(${target} STATIC ${arg_SOURCES})
    add_library(samphirebridge::${package} ALIAS ${target})
    target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR}/source)
    target_link_libraries(${target} PUBLIC ${arg_DEPENDS})
    samphirebridge_apply_options(${target})
endfunction()

# Adds the Catch2 program test_<name> and registers each of its test cases with CTest under LABELS,
# with further PROPERTIES of CTest's if given.
function(samphirebridge_add_test name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS;LABELS;PROPERTIES" ${ARGN})
    set(target test_${name})
    add_executable(${target} ${arg_SOURCES})
    target_link_libraries(${target} PRIVATE ${arg_DEPENDS} samphirebridge_test_main)
    target_include_directories(${target} PRIVATE ${PROJECT_SOURCE_DIR})
    samphirebridge_apply_options(${target})
    catch_discover_tests(${target} TEST_PREFIX "${name}: " PROPERTIES LABELS "${arg_LABELS}" ${arg_PROPERTIES})
endfunction()

# Builds every libFuzzer target.
if(SAMPHIREBRIDGE_FUZZERS)
    add_custom_target(fuzzers)
endif()

# Adds a libFuzzer target and a CTest entry that runs a bounded number of inputs from a fixed seed
# over the corpus in tests/fuzz/corpus/<name>.
function(samphirebridge_add_fuzzer name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
    if(NOT SAMPHIREBRIDGE_FUZZERS)
        return()
    endif()
    set(target fuzz_${name})
    add_executable(${target} ${arg_SOURCES})
    target_link_libraries(${target} PRIVATE ${arg_DEPENDS})
    samphirebridge_apply_options(${target})
    target_link_options(${target} PRIVATE -fsanitize=fuzzer)
    add_dependencies(fuzzers ${target})
    # What an earlier run found must not steer this one, or the seed would not say what was run.
    set(found ${CMAKE_CURRENT_BINARY_DIR}/found_${name})
    set(options "-seed=1 -runs=20000 -max_len=4096 -timeout=60")
    add_test(NAME fuzz.${name}
             COMMAND bash -c "rm -rf '${found}' && mkdir '${found}' && exec '$<TARGET_FILE:${target}>' ${options} '${found}' '${PROJECT_SOURCE_DIR}/tests/fuzz/corpus/${name}'")
    set_tests_properties(fuzz.${name} PROPERTIES LABELS fuzz)
endfunction()
