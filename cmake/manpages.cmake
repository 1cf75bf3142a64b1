# Builds docs/man/*.scd with scdoc into BUILD/man and installs them.
find_program(SCDOC scdoc)
if(NOT SCDOC)
  message(STATUS "scdoc not found: no man pages")
  return()
endif()
file(GLOB pages CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/docs/man/*.scd)
set(outputs)
foreach(source ${pages})
  get_filename_component(page ${source} NAME_WLE)
  string(REGEX MATCH "[0-9]$" section ${page})
  set(output ${CMAKE_BINARY_DIR}/man/${page})
  add_custom_command(
    OUTPUT ${output}
    COMMAND ${CMAKE_COMMAND} -E make_directory ${CMAKE_BINARY_DIR}/man
    COMMAND sh -c "'${SCDOC}' <'${source}' >'${output}'"
    DEPENDS ${source}
    VERBATIM)
  list(APPEND outputs ${output})
  install(FILES ${output} DESTINATION share/man/man${section})
endforeach()
add_custom_target(manpages ALL DEPENDS ${outputs})
