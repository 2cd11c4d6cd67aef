# waxwing_library(NAME [DEPENDS targets...])
#
# Builds the static library waxwing_NAME from every source in src/NAME.
function(waxwing_library name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/${name}/*.cpp)
    list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
    if(sources)
        add_library(waxwing_${name} STATIC ${sources})
        set(scope PUBLIC)
        target_link_libraries(waxwing_${name} PRIVATE waxwing_warnings)
    else()
        add_library(waxwing_${name} INTERFACE)
        set(scope INTERFACE)
    endif()
    target_include_directories(waxwing_${name} ${scope}
        ${PROJECT_SOURCE_DIR}/include ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(waxwing_${name} ${scope} ${ARG_DEPENDS})
endfunction()

# waxwing_system_source(NAME FILE)
#
# Adds a source that a package ships to waxwing_NAME, without our warnings.
function(waxwing_system_source name file)
    add_library(waxwing_${name}_system OBJECT ${file})
    target_compile_options(waxwing_${name}_system PRIVATE -w)
    get_target_property(type waxwing_${name} TYPE)
    if(type STREQUAL "INTERFACE_LIBRARY")
        target_link_libraries(waxwing_${name} INTERFACE
            waxwing_${name}_system $<TARGET_OBJECTS:waxwing_${name}_system>)
    else()
        target_sources(waxwing_${name} PRIVATE
            $<TARGET_OBJECTS:waxwing_${name}_system>)
    endif()
endfunction()

# waxwing_programs()
#
# For every folder src/waxwing_X: the library waxwing_X_parts from all sources
# but main.cpp (so that tests can link it), and the program waxwing-X. The
# folder src/waxwingctl makes the program waxwingctl.
function(waxwing_programs)
    file(GLOB mains CONFIGURE_DEPENDS
        ${PROJECT_SOURCE_DIR}/src/waxwing*/main.cpp)
    foreach(main IN LISTS mains)
        get_filename_component(folder ${main} DIRECTORY)
        get_filename_component(folder_name ${folder} NAME)
        waxwing_library(${folder_name}
            DEPENDS waxwing_node)
        string(REPLACE "_" "-" program ${folder_name})
        add_executable(${program} ${main})
        target_link_libraries(${program} PRIVATE
            waxwing_${folder_name} waxwing_warnings)
    endforeach()
endfunction()

# waxwing_platform_program()
#
# The library waxwing_platform from the sources in platform/ but main.cpp, and
# the program waxwing-platform-node.
function(waxwing_platform_program)
    file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/platform/*.cpp)
    list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
    add_library(waxwing_platform STATIC ${sources})
    target_include_directories(waxwing_platform PUBLIC ${PROJECT_SOURCE_DIR})
    target_link_libraries(waxwing_platform PUBLIC waxwing_node)
    target_link_libraries(waxwing_platform PRIVATE waxwing_warnings)
    add_executable(waxwing-platform-node
        ${PROJECT_SOURCE_DIR}/platform/main.cpp)
    target_link_libraries(waxwing-platform-node PRIVATE
        waxwing_platform waxwing_warnings)
endfunction()
