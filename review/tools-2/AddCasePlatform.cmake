# Adds the platform of the review's scripts to a build of the project without its tests. Included
# by review/build-2.sh at the end of the project's own list file.
set(standin ${CMAKE_SOURCE_DIR}/src/standin/platform)
add_executable(case-platform ${CMAKE_SOURCE_DIR}/review/tools-2/CasePlatform.cpp
               ${standin}/GangTable.cpp ${standin}/JobTable.cpp ${standin}/MetadataService.cpp
               ${standin}/MetadataTable.cpp ${standin}/PlatformWorker.cpp ${standin}/RunLedger.cpp
               ${standin}/StartWaits.cpp)
target_link_libraries(case-platform PRIVATE lr_options lr_kv lr_http lr_base)
set_target_properties(case-platform PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
