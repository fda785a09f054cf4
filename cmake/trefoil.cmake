# Declares the library of the current folder: include/<name>/, src/, and tests/ if there are any.
function(trefoil_add_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;PRIVATE_DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cpp)
  add_library(trefoil_${name} STATIC ${sources})
  target_include_directories(trefoil_${name} PUBLIC include PRIVATE src)
  target_link_libraries(trefoil_${name} PUBLIC ${ARG_DEPENDS} PRIVATE ${ARG_PRIVATE_DEPENDS})
  file(GLOB test_sources CONFIGURE_DEPENDS tests/*.cpp)
  if(BUILD_TESTING AND test_sources)
    add_executable(${name}_tests ${test_sources})
    target_include_directories(${name}_tests PRIVATE src tests)
    target_link_libraries(${name}_tests PRIVATE trefoil_${name} Catch2::Catch2WithMain rapidcheck)
    # Fixed seed: a property test must give the same verdict on every run.
    catch_discover_tests(${name}_tests TEST_PREFIX "${name}: "
      PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 300)
  endif()
endfunction()

# Declares a program of the current folder.
function(trefoil_add_program name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
endfunction()
