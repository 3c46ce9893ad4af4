# quetzal_library(name SOURCES ... DEPENDS ...): one static library.
function(quetzal_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  if(ARG_SOURCES)
    add_library(quetzal_${name} STATIC ${ARG_SOURCES})
    target_link_libraries(quetzal_${name} PUBLIC ${ARG_DEPENDS})
  else()
    add_library(quetzal_${name} INTERFACE)
    target_link_libraries(quetzal_${name} INTERFACE ${ARG_DEPENDS})
  endif()
endfunction()

# quetzal_test(name SOURCES ... DEPENDS ... [TIMEOUT seconds]): one CppUnit
# program that ctest runs.
function(quetzal_test name)
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE quetzal_test_main ${ARG_DEPENDS})
  add_test(NAME ${name} COMMAND ${name})
  if(ARG_TIMEOUT)
    set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
  endif()
endfunction()
