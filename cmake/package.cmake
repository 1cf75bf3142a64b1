# Declares the package packages/NAME: a static library of its *.c files, one
# program for each programs/*.c, one test program of test/*.cc, and one
# measurement program for each bench/*.c (its name is the file's name).
function(chestnutgap_package name)
  cmake_parse_arguments(ARG "" "" "DEPS;LIBS;TEST_DEPS" ${ARGN})
  set(dir ${CMAKE_SOURCE_DIR}/packages/${name})
  file(GLOB sources CONFIGURE_DEPENDS ${dir}/*.c ${dir}/generated/*.c)
  if(NOT sources)
    add_library(cg_${name} INTERFACE)
    set(scope INTERFACE)
  else()
    add_library(cg_${name} STATIC ${sources})
    set(scope PUBLIC)
  endif()
  target_include_directories(cg_${name} ${scope} ${CMAKE_SOURCE_DIR}/packages)
  list(TRANSFORM ARG_DEPS PREPEND cg_)
  target_link_libraries(cg_${name} ${scope} ${ARG_DEPS} ${ARG_LIBS})
  file(GLOB generated CONFIGURE_DEPENDS ${dir}/generated/*.c)
  if(generated)
    set_source_files_properties(${generated} PROPERTIES COMPILE_OPTIONS "-w")
  endif()

  file(GLOB programs CONFIGURE_DEPENDS ${dir}/programs/*.c ${dir}/bench/*.c)
  foreach(source ${programs})
    get_filename_component(program ${source} NAME_WE)
    add_executable(${program} ${source})
    target_link_libraries(${program} PRIVATE cg_${name} m)
  endforeach()

  file(GLOB tests CONFIGURE_DEPENDS ${dir}/test/*.cc)
  if(tests)
    add_executable(${name}_test ${tests})
    list(TRANSFORM ARG_TEST_DEPS PREPEND cg_)
    target_link_libraries(${name}_test PRIVATE cg_${name} ${ARG_TEST_DEPS}
                                               GTest::gtest_main)
    target_compile_options(${name}_test PRIVATE
      -Wno-missing-field-initializers)
    target_compile_definitions(${name}_test PRIVATE
      SOURCE_DIR="${CMAKE_SOURCE_DIR}" BUILD_DIR="${CMAKE_BINARY_DIR}")
    add_test(NAME ${name} COMMAND ${name}_test)
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
  endif()
endfunction()
