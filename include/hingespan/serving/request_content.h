// Identifies a request over its caller's tries, which have different ids and deadlines.
#ifndef HINGESPAN_SERVING_REQUEST_CONTENT_H_
#define HINGESPAN_SERVING_REQUEST_CONTENT_H_

#include "absl/strings/string_view.h"
#include "hingespan/http/message_head.h"
#include "hingespan/serving/crashing_requests.h"
#include "hingespan/serving/request_dialect.h"

namespace hingespan::gateway {

// Hash of what a caller sends in each of its tries: method, host, target, model, token counts, all
// prompt parts and the body.
RequestContent ContentOf(const RequestHead& head, const RequestFacts& facts,
                         absl::string_view body);

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_REQUEST_CONTENT_H_
