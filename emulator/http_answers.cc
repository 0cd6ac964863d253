#include "emulator/http_answers.h"

#include <xxhash.h>

#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace hingespan::emulator {

void AnswerJson(int status, const nlohmann::json& body, httplib::Response* response) {
  response->status = status;
  response->set_content(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                        "application/json");
}

void AnswerTaggedJson(const httplib::Request& request, const nlohmann::json& body,
                      httplib::Response* response) {
  AnswerJson(kHttpOk, body, response);
  const std::uint64_t hash = XXH3_64bits(response->body.data(), response->body.size());
  const std::string tag = absl::StrCat("\"", absl::Hex(hash), "\"");
  response->set_header("ETag", tag);
  if (request.get_header_value("If-None-Match") == tag) {
    response->status = kHttpNotModified;
    response->body.clear();
  }
}

void AnswerError(int status, const std::string& name, httplib::Response* response) {
  AnswerJson(status, nlohmann::json{{"error", name}}, response);
}

std::uint64_t NumberParameter(const httplib::Request& request, const char* name,
                              std::uint64_t fallback) {
  std::uint64_t value = 0;
  return absl::SimpleAtoi(request.get_param_value(name), &value) ? value : fallback;
}

}  // namespace hingespan::emulator
