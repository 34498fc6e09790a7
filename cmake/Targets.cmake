# Options shared by all targets.
add_library(lr_options INTERFACE)
# g++ 12 warns of overlapping copies in its own string library when it optimizes for release.
target_compile_options(lr_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Werror
                       $<$<CONFIG:Release>:-Wno-restrict>)
target_include_directories(lr_options INTERFACE ${PROJECT_SOURCE_DIR}/src)
if(LOVAGEROCK_SANITIZE)
  target_compile_options(lr_options INTERFACE -fsanitize=address,undefined
                                              -fno-sanitize-recover=all -fno-omit-frame-pointer)
  target_link_options(lr_options INTERFACE -fsanitize=address,undefined)
endif()

# Adds the static library lr_<name> from all sources in the current directory.
# lovagerock_library(<name> [<dependency>...])
function(lovagerock_library name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_library(lr_${name} STATIC ${sources})
  target_link_libraries(lr_${name} PUBLIC lr_options ${ARGN})
endfunction()

# Adds a program from the given source file.
# lovagerock_program(<name> <source> [<dependency>...])
function(lovagerock_program name source)
  add_executable(${name} ${source})
  target_link_libraries(${name} PRIVATE lr_options ${ARGN})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# Adds the Criterion test program test_<name> from all sources in the current directory.
# lovagerock_test(<name> [<dependency>...])
function(lovagerock_test name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_executable(test_${name} ${sources})
  target_include_directories(test_${name} PRIVATE ${PROJECT_SOURCE_DIR}/tests)
  target_link_libraries(test_${name} PRIVATE lr_options ${CRITERION_LIBRARY} ${ARGN})
  add_test(NAME ${name} COMMAND test_${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 600)
endfunction()
