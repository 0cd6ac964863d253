#include "hingespan/node/method_refusals.h"

#include <httplib.h>

#include "absl/strings/str_cat.h"
#include "hingespan/node/answer_format.h"

namespace hingespan {
namespace {

constexpr int kMethodNotAllowed = 405;

}  // namespace

void RefuseOtherMethods(const std::string& path, ServedMethods served, httplib::Server* server) {
  const bool gets = served == ServedMethods::kGet;
  const httplib::Server::Handler refuse = [gets](const httplib::Request&,
                                                 httplib::Response& response) {
    response.status = kMethodNotAllowed;
    response.set_header("Allow", gets ? "GET, HEAD" : "POST");
    const std::string message = absl::StrCat("use ", gets ? "GET" : "POST");
    response.set_content(HttpErrorBody(kMethodNotAllowed, message), "application/json");
  };
  if (gets) {
    server->Post(path, refuse);
  } else {
    // Get routes also serve HEAD.
    server->Get(path, refuse);
  }
  server->Put(path, refuse);
  server->Patch(path, refuse);
  server->Delete(path, refuse);
  server->Options(path, refuse);
}

}  // namespace hingespan
