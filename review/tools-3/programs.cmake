# Adds the programs of this folder to the project's build, see review/build-3.sh.
function(lovagerock_review_programs)
  add_executable(review-slow-store ${CMAKE_SOURCE_DIR}/review/tools-3/SlowStore.cpp)
  target_link_libraries(review-slow-store PRIVATE lr_options lr_http lr_base)
  set_target_properties(review-slow-store PROPERTIES RUNTIME_OUTPUT_DIRECTORY
                                                     ${CMAKE_BINARY_DIR}/bin)
endfunction()
cmake_language(DEFER DIRECTORY ${CMAKE_SOURCE_DIR} CALL lovagerock_review_programs)
