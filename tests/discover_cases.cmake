# Writes a CTest file that runs each case of a Boost.Test program by itself, so that cases run side by side.
#   cmake -DPROGRAM=FILE -DNAME=PREFIX -DKNOWN_RED=CASE;... -DOUTPUT=FILE -P discover_cases.cmake
# The cases are those that the program lists, so that none is left out; those of KNOWN_RED are run by known_red.sh.
cmake_minimum_required(VERSION 3.25)
execute_process(COMMAND ${PROGRAM} --list_content ERROR_VARIABLE listed OUTPUT_VARIABLE unused RESULT_VARIABLE status)
string(REGEX MATCHALL "[^\n]+" lines "${listed}")
if(NOT status EQUAL 0 OR NOT lines)
  message(FATAL_ERROR "${PROGRAM} lists no cases")
endif()

# Each line is indented by four spaces for each level; a line is a suite if the next one is indented further. A further
# line ends the last case.
set(path)
set(cases)
set(previous)
foreach(line IN LISTS lines ITEMS "end")
  string(REGEX REPLACE "[^ ].*$" "" indent "${line}")
  string(LENGTH "${indent}" level)
  math(EXPR level "${level} / 4")
  list(LENGTH path depth)
  if(previous AND NOT level GREATER_EQUAL depth)
    list(APPEND cases ${previous})
  endif()
  string(REGEX MATCH "[A-Za-z0-9_]+" name "${line}")
  list(SUBLIST path 0 ${level} path)
  list(APPEND path ${name})
  list(JOIN path "/" previous)
endforeach()

set(text)
foreach(case IN LISTS cases)
  if(NOT case IN_LIST KNOWN_RED)
    string(APPEND text "add_test(\"${NAME}/${case}\" \"${PROGRAM}\" \"--run_test=${case}\" --log_level=test_suite "
      "--report_level=short)\nset_tests_properties(\"${NAME}/${case}\" PROPERTIES TIMEOUT 600)\n")
  endif()
endforeach()
file(WRITE ${OUTPUT} "${text}")
