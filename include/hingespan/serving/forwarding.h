// Header fields of forwarded requests: the origin, which the forwarding node adds to the request,
// and the verdict, which the receiving node adds to an answer of its own. An answer without a
// verdict is a worker's.
#ifndef HINGESPAN_SERVING_FORWARDING_H_
#define HINGESPAN_SERVING_FORWARDING_H_

#include <optional>
#include <set>
#include <string>

#include "hingespan/http/message_head.h"
#include "hingespan/serving/stream_source.h"

namespace hingespan::gateway {

// Attempts and accounting of a request at the node that forwards it.
struct RequestOrigin {
  // False for a caller's own request. A forwarded request is not forwarded again.
  bool forwarded = false;
  // True if the request has earned its part of the retry budget at the forwarding node.
  bool counted = false;
  // Workers that may have received the request.
  std::set<std::string> tried_workers;
  // Source of the stream that the request goes on with; absent for a new stream.
  std::optional<StreamSource> source;
};

// A node's own answer to a forwarded request.
enum class PeerVerdict {
  // The node can't serve requests now; another one may. The request has not run.
  kUnavailable,
  // Refused as by this node itself. The request has not run.
  kRefused,
  // The request may have run.
  kFailed,
};

// The fields are named in a Connection field, so that they go no further than the next node.
HeaderFields OriginFields(const RequestOrigin& origin);
RequestOrigin ReadOrigin(const RequestHead& head);
// Removes a caller's fields that another node would take for those of this one.
void RemoveOrigin(HeaderFields* fields);

// The source of a stream, in a forwarded request or in a worker's answer that is passed back.
HeaderFields SourceFields(const StreamSource& source);
std::optional<StreamSource> ReadSource(const HeaderFields& fields);
void RemoveSource(HeaderFields* fields);

HeaderField VerdictField(PeerVerdict verdict);
// Returns std::nullopt if the answer is a worker's. An unknown verdict promises nothing.
std::optional<PeerVerdict> ReadVerdict(const AnswerHead& head);

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_FORWARDING_H_
