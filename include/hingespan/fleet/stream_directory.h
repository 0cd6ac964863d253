// Finds the workers at which a stream that a caller takes up again has begun.
//
// The node that passes on a stream's first event keeps a record of its source. Unless the service
// is known to have workers of one software version only, it also sends the record to the holders
// and archives it, so that it outlives the node, and all nodes. A node without the record asks the
// nodes that may hold it. If none has it, but half of them answer and know no other version than
// this node's only one, the stream goes on at that one: records of streams of another version would
// have been sent to the holders. If fewer answer, this node reads the workers from the store: what
// it knew before may be older than the stream.
#ifndef HINGESPAN_FLEET_STREAM_DIRECTORY_H_
#define HINGESPAN_FLEET_STREAM_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "hingespan/fleet/fleet_messages.h"
#include "hingespan/fleet/stream_holders.h"
#include "hingespan/fleet/stream_registry.h"
#include "hingespan/http/event_loop.h"
#include "hingespan/serving/gateway_metrics.h"
#include "hingespan/serving/stream_source.h"

namespace hingespan::gateway {

struct StreamDirectoryParts {
  EventLoop* loop = nullptr;
  GatewayMetrics* metrics = nullptr;
  // Sends a datagram to a node's address.
  std::function<void(const std::string& address, absl::string_view bytes)> send;
  // Archives the record of a stream that is kept for `lifetime`.
  std::function<void(const std::string& stream_id, const StreamSource& source,
                     absl::Duration lifetime)>
      archive;
  // Looks for a record in the archive; may call `done` within the call.
  std::function<void(const std::string& stream_id,
                     std::function<void(std::optional<StreamSource>)> done)>
      find_archived;
  // Returns the only software version of a service that this node knows of; std::nullopt if there
  // are others, or if it may not know all.
  std::function<std::optional<std::string>(const std::string& service)> only_version;
  // Reads all workers from the store, so that this node knows every version at which a stream may
  // have begun until now. Calls back whether it could, not from within the call.
  std::function<void(std::function<void(bool read)> done)> refresh_workers;
  // Returns all software versions of a service that this node knows of.
  std::function<std::set<std::string>(const std::string& service)> known_versions;
};

// Not thread-safe; runs on the thread of its event loop.
class StreamDirectory {
 public:
  // Gets std::nullopt if the source is not known.
  using Callback = std::function<void(std::optional<StreamSource>)>;

  StreamDirectory(std::string node, StreamDirectoryParts parts);
  ~StreamDirectory();
  StreamDirectory(const StreamDirectory&) = delete;
  StreamDirectory& operator=(const StreamDirectory&) = delete;

  // Sets this node's own address for datagrams.
  void SetAddress(std::string address) { address_ = std::move(address); }
  // Sets the nodes of the fleet. Records of streams that began here are sent to holders that are
  // new or have started again.
  void SetNodes(std::vector<StreamNode> nodes);
  // Sets the services whose workers have several software versions, as far as is known. Records of
  // streams that have begun before are sent to their holders now.
  void SetMixedServices(std::set<std::string> services);

  // Records a stream, just before its first event is passed on. `lifetime` is the time for which
  // its caller may take it up.
  void Add(const std::string& stream_id, const StreamSource& source, absl::Duration lifetime);
  std::optional<StreamSource> FindHere(const std::string& stream_id) const;
  // Asks the other nodes. `stream_id` is empty if the caller doesn't tell it, `service` if it may
  // be one of several. Calls `done` from the loop, never from within this call.
  void Ask(const std::string& stream_id, const std::string& service, Callback done);

  void OnNotice(const StreamNotice& notice);
  void OnQuestion(const StreamQuestion& question);
  void OnReply(const StreamReply& reply);

 private:
  enum class WorkersRead { kNo, kReading, kDone };
  struct Search {
    std::string stream_id;
    std::string service;
    Callback done;
    // Whether the workers were read from the store after the search had begun.
    WorkersRead workers = WorkersRead::kNo;
    // Nodes that have not replied, by name.
    std::map<std::string, std::string> addresses;
    std::unique_ptr<LoopTimer> timer;
    int rounds = 0;
    std::size_t asked = 0;
    // Replies of nodes that know versions of the service, and all those versions.
    std::size_t replies = 0;
    std::set<std::string> versions;
  };

  // Has the record outlive this node.
  void Spread(const std::string& stream_id, const StreamRegistry::Record& record);
  // Sends the record to its holders, except `but`.
  void SendNotice(const std::string& stream_id, const StreamRegistry::Record& record,
                  const std::vector<StreamNode>& but = {});
  // Asks those that have not replied, or ends the search.
  void NextRound(std::uint64_t number);
  // Ends the search if what is known is enough, or if nothing more is to come. Returns whether it
  // has ended. Reads the workers from the store if only that can decide.
  bool Conclude(std::uint64_t number);
  void ReadWorkers(std::uint64_t number);
  // Returns whether the replies, or the store, have told which versions there are.
  static bool KnowsVersions(const Search& search);
  // Returns whether this node and those that replied know one version of the service, the same.
  bool MayHaveOneVersion(const Search& search) const;
  // Returns what follows from the replies so far if none had a record.
  std::optional<StreamSource> Conclusion(const Search& search) const;
  void End(std::uint64_t number, std::optional<StreamSource> source);

  std::string node_;
  StreamDirectoryParts parts_;
  std::string address_;
  std::vector<StreamNode> nodes_;
  std::set<std::string> mixed_services_;
  StreamRegistry registry_;
  std::map<std::uint64_t, Search> searches_;
  std::uint64_t last_number_ = 0;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_STREAM_DIRECTORY_H_
