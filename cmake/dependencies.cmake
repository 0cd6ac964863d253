# Every library comes from the distribution's packages; scripts/setup lists them.
find_package(Threads REQUIRED)
find_package(absl REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS log log_setup thread filesystem)
find_package(prometheus-cpp CONFIG REQUIRED COMPONENTS core)
find_package(rapidcheck CONFIG REQUIRED)
find_package(PkgConfig REQUIRED)
find_library(HTTPLIB_LIBRARY cpp-httplib REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)
find_library(TOMLPLUSPLUS_LIBRARY tomlplusplus REQUIRED)

add_library(hingespan_httplib INTERFACE)
target_compile_definitions(hingespan_httplib INTERFACE CPPHTTPLIB_OPENSSL_SUPPORT
                           CPPHTTPLIB_ZLIB_SUPPORT CPPHTTPLIB_BROTLI_SUPPORT)
target_link_libraries(hingespan_httplib INTERFACE ${HTTPLIB_LIBRARY} OpenSSL::SSL OpenSSL::Crypto
                      Threads::Threads)

add_library(hingespan_third_party INTERFACE)
target_compile_definitions(hingespan_third_party INTERFACE BOOST_LOG_DYN_LINK
                           TOML_HEADER_ONLY=0)
target_link_libraries(hingespan_third_party INTERFACE
  hingespan_httplib Boost::log Boost::log_setup Boost::thread prometheus-cpp::core
  ${XXHASH_LIBRARY} ${TOMLPLUSPLUS_LIBRARY} absl::flat_hash_map absl::flat_hash_set absl::btree
  absl::strings absl::str_format absl::time absl::hash absl::synchronization absl::random_random
  absl::span absl::status Threads::Threads)
