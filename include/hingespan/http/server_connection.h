// A single accepted connection of an HttpServer.
#ifndef HINGESPAN_HTTP_SERVER_CONNECTION_H_
#define HINGESPAN_HTTP_SERVER_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <list>
#include <memory>
#include <string>

#include "absl/container/flat_hash_set.h"
#include "hingespan/http/http_server.h"

namespace hingespan::gateway {

class ServerConnection : public MemoryHolder {
 public:
  virtual void AddTo(ServerActivity* activity) const = 0;
  // Closes a connection that waits for a request, unless bytes are under way in either direction.
  virtual bool CloseIfIdle() = 0;
  // True if the client has not acknowledged all of its answers.
  virtual bool has_unread_answer() const = 0;
  // Closes the connection of a client that keeps the node waiting, for a new connection.
  virtual void GiveWayToConnection() = 0;
  // Refuses a request of which only a part has come, unless the client leaves earlier answers
  // unread. Returns whether it did.
  virtual bool RefuseUnfinished() = 0;
};

// State shared by all connections of a server.
struct ServerState {
  EventLoop* loop = nullptr;
  HttpServer::Handler handler;
  ServerLimits limits;
  bool ask_to_close = false;
  std::shared_ptr<ClientMemory> memory;
  // May be null.
  TurnedAwayCallback on_turned_away;
  absl::flat_hash_set<const ServerConnection*> connections;
  // Connections that wait for a request or for their client to read its answer, and those with a
  // part of a request; the one that has waited longest first.
  std::list<ServerConnection*> idle;
  std::list<ServerConnection*> unfinished;
};

// Returns the "ip:port" of the socket's peer; empty if it isn't connected any more.
std::string RemoteAddress(const boost::asio::ip::tcp::socket& socket);

// Reads requests from `socket` and passes them to the handler until the connection ends.
void StartServerConnection(const std::shared_ptr<ServerState>& server,
                           boost::asio::ip::tcp::socket socket);

}  // namespace hingespan::gateway

#endif  // HINGESPAN_HTTP_SERVER_CONNECTION_H_
