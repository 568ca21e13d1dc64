# peridot_library(name SOURCES... DEPENDS...): a static library in libs/<name> with its public headers in include/.
function(peridot_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_include_directories(${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include)
  target_link_libraries(${name} PUBLIC ${ARG_DEPENDS})
endfunction()

# peridot_test(name SOURCES... DEPENDS... LABELS...): one CppUnit program run by ctest.
function(peridot_test name)
  if(PERIDOT_ENTRY_ONLY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;LABELS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES} ${CMAKE_SOURCE_DIR}/tests/support/CppUnitMain.cpp)
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} PkgConfig::CPPUNIT)
  add_test(NAME ${name} COMMAND ${name})
  # Ends a test that hangs; sanitizer builds on a busy machine are up to 20 times slower.
  set_tests_properties(${name} PROPERTIES TIMEOUT 1200 LABELS "${ARG_LABELS}")
endfunction()

# peridot_fuzzer(name SOURCES... DEPENDS...): a libFuzzer program in build/bin.
function(peridot_fuzzer name)
  if(NOT PERIDOT_FUZZ)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  target_link_options(${name} PRIVATE -fsanitize=fuzzer)
  add_dependencies(fuzzers ${name})
endfunction()

# peridot_program(name SOURCES... DEPENDS...): a program in build/bin.
function(peridot_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  target_compile_definitions(${name} PRIVATE PERIDOT_VERSION="${PROJECT_VERSION}")
endfunction()
