// Helpers shared by the emulator's HTTP handlers.
#ifndef HINGESPAN_EMULATOR_HTTP_ANSWERS_H_
#define HINGESPAN_EMULATOR_HTTP_ANSWERS_H_

#include <httplib.h>

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace hingespan::emulator {

inline constexpr int kHttpOk = 200;
inline constexpr int kHttpNotModified = 304;
inline constexpr int kHttpBadRequest = 400;
inline constexpr int kHttpNotFound = 404;
inline constexpr int kHttpTimeout = 408;
inline constexpr int kHttpConflict = 409;
inline constexpr int kHttpTooManyRequests = 429;
inline constexpr int kHttpUnavailable = 503;
inline constexpr int kHttpInsufficientStorage = 507;

void AnswerJson(int status, const nlohmann::json& body, httplib::Response* response);
// Answers 200 with an entity tag of the body, or 304 without a body if the request has that tag.
void AnswerTaggedJson(const httplib::Request& request, const nlohmann::json& body,
                      httplib::Response* response);
// Answers with the body {"error":NAME}.
void AnswerError(int status, const std::string& name, httplib::Response* response);
// Returns the number in a query parameter; `fallback` if it is absent or not a number.
std::uint64_t NumberParameter(const httplib::Request& request, const char* name,
                              std::uint64_t fallback);

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_HTTP_ANSWERS_H_
