// Answers 405 with an `Allow` header if a path does not support the method.
#ifndef HINGESPAN_NODE_METHOD_REFUSALS_H_
#define HINGESPAN_NODE_METHOD_REFUSALS_H_

#include <string>

namespace httplib {
class Server;
}  // namespace httplib

namespace hingespan {

// Methods that a path supports.
enum class ServedMethods { kGet, kPost };

// Registers the answers. `path` is the pattern given to the server's own routes.
void RefuseOtherMethods(const std::string& path, ServedMethods served, httplib::Server* server);

}  // namespace hingespan

#endif  // HINGESPAN_NODE_METHOD_REFUSALS_H_
