// The exception type of the system: the message, the step that failed and the
// peer concerned.
//
//   throw Error(Step::Fetch, "127.0.0.1:9000", "connection refused");
//
// what() reads "fetch: 127.0.0.1:9000: connection refused".

#ifndef HAWTHORNROAD_BASE_ERROR_H
#define HAWTHORNROAD_BASE_ERROR_H

#include <stdexcept>
#include <string>
#include <string_view>

namespace hawthornroad {

// The operation during which an error occurred.
enum class Step {
  Settings,    // reading a process's settings
  Declaration, // parsing the operators' declaration
  Chart,       // loading a state chart
  Listen,      // opening a listener
  Connect,     // opening a connection
  Receive,     // reading from a connection
  Send,        // writing to a connection
  Admission,   // admitting a request
  Choice,      // choosing an endpoint
  Claim,       // claiming an idempotency key
  Dispatch,    // handing an attempt to an agent
  Run,         // running an attempt at an engine or service
  Answer,      // relaying an answer to the caller
  Table,       // a call to the platform's table
  ObjectStore, // a call to the platform's object store
  Manifest,    // reading a weight manifest
  Fetch,       // fetching a chunk
  Verify,      // checking a chunk or a complete object
  Order,       // sending an order to an engine
  Apply,       // accepting or applying a configuration
  Gossip       // exchanging membership or revisions
};

std::string_view toString(Step S);

class Error : public std::runtime_error {
public:
  // Peer is the address or name of the remote side, or the name of the faulty
  // file; empty if there is none.
  Error(Step Where, std::string Peer, const std::string &Message);

  Step step() const { return Where_; }
  const std::string &peer() const { return Peer_; }
  // The message without step and peer.
  const std::string &message() const { return Message_; }

private:
  Step Where_;
  std::string Peer_;
  std::string Message_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_BASE_ERROR_H
