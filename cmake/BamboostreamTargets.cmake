# Helpers shared by the folders of this project.

# The warnings that every target of the project is built with.
function(bamboostream_warnings target)
    target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Werror
        # g++ 12 reports Asio's coroutine frames, whose new and delete are a pair, as mismatched.
        $<$<CXX_COMPILER_ID:GNU>:-Wno-mismatched-new-delete>)
endfunction()

# Adds a program that links the library: bamboostream_program(name source...).
function(bamboostream_program name)
    add_executable(${name} ${ARGN})
    target_link_libraries(${name} PRIVATE bamboostream)
    bamboostream_warnings(${name})
endfunction()
