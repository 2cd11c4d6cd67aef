# One libFuzzer program, fuzz-target, which runs the target that
# WAXWING_FUZZ_TARGET names. Needs clang; tools/fuzz builds and runs it.
file(GLOB fuzz_sources CONFIGURE_DEPENDS
    ${PROJECT_SOURCE_DIR}/test/fuzz/fuzz_target.cpp
    ${PROJECT_SOURCE_DIR}/test/fuzz/*_targets.cpp
    ${PROJECT_SOURCE_DIR}/test/fuzz/strict_answer.cpp
    ${PROJECT_SOURCE_DIR}/test/fuzz/libfuzzer/main.cpp)
add_executable(fuzz-target ${fuzz_sources})
target_include_directories(fuzz-target PRIVATE ${PROJECT_SOURCE_DIR}/test)
target_compile_definitions(fuzz-target PRIVATE
    WAXWING_SOURCE="${PROJECT_SOURCE_DIR}")
target_link_libraries(fuzz-target PRIVATE waxwing_administration
    waxwing_entry)
target_link_options(fuzz-target PRIVATE -fsanitize=fuzzer)
