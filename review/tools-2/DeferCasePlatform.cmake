cmake_language(DEFER DIRECTORY ${CMAKE_SOURCE_DIR} CALL include
               ${CMAKE_SOURCE_DIR}/review/tools-2/AddCasePlatform.cmake)
