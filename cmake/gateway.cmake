# The gateway alone: what a deployment builds, and nothing that only tests, tools or the other programs
# need. Heavy headers make each file slow to compile, not large.
file(GLOB gateway_sources CONFIGURE_DEPENDS
  ${CMAKE_SOURCE_DIR}/src/http/*.cc ${CMAKE_SOURCE_DIR}/src/serving/*.cc
  ${CMAKE_SOURCE_DIR}/src/fleet/*.cc ${CMAKE_SOURCE_DIR}/platform/*.cc)
list(APPEND gateway_sources
  ${CMAKE_SOURCE_DIR}/src/common/cbor_check.cc ${CMAKE_SOURCE_DIR}/src/common/clock.cc
  ${CMAKE_SOURCE_DIR}/src/common/error.cc ${CMAKE_SOURCE_DIR}/src/common/finding.cc
  ${CMAKE_SOURCE_DIR}/src/common/json_decoding.cc ${CMAKE_SOURCE_DIR}/src/common/json_structure.cc
  ${CMAKE_SOURCE_DIR}/src/common/log_line.cc ${CMAKE_SOURCE_DIR}/src/common/percent_encoding.cc
  ${CMAKE_SOURCE_DIR}/src/net/socket_address.cc ${CMAKE_SOURCE_DIR}/src/settings/toml_document.cc)

find_package(Threads REQUIRED)
find_package(absl REQUIRED)
find_package(Boost 1.74 REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED COMPONENTS core)
find_library(XXHASH_LIBRARY xxhash REQUIRED)
find_library(TOMLPLUSPLUS_LIBRARY tomlplusplus REQUIRED)

add_executable(hingespan-gateway ${CMAKE_SOURCE_DIR}/programs/hingespan_gateway.cc
               ${gateway_sources})
target_include_directories(hingespan-gateway PRIVATE ${CMAKE_SOURCE_DIR}/include
                           ${CMAKE_SOURCE_DIR})
target_compile_definitions(hingespan-gateway PRIVATE TOML_HEADER_ONLY=0)
target_link_libraries(hingespan-gateway PRIVATE prometheus-cpp::core ${XXHASH_LIBRARY}
  ${TOMLPLUSPLUS_LIBRARY} absl::flat_hash_map absl::flat_hash_set absl::strings absl::str_format
  absl::time absl::hash Threads::Threads Boost::headers)
set_target_properties(hingespan-gateway PROPERTIES
  RUNTIME_OUTPUT_DIRECTORY ${CMAKE_SOURCE_DIR}/target)
