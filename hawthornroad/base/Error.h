// The one exception type of the system: what went wrong, at which step, with
// which peer.
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

// Where in the system's work an error arose.
enum class Step {
  Settings,    // reading a process's settings
  Declaration, // reading the operators' text
  Chart,       // loading a state chart
  Listen,      // opening a listener
  Connect,     // opening a connection
  Receive,     // reading from a connection
  Send,        // writing to a connection
  Admission,   // deciding whether a request may enter
  Choice,      // choosing an endpoint
  Claim,       // claiming an idempotency key
  Dispatch,    // handing an attempt to an agent
  Run,         // running an attempt at an engine or service
  Answer,      // passing an answer back
  Table,       // a call to the platform's table
  ObjectStore, // a call to the platform's object store
  Manifest,    // reading a weight manifest
  Fetch,       // fetching a chunk
  Verify,      // checking a chunk or a whole
  Order,       // giving an engine an order
  Apply,       // accepting or applying a configuration
  Gossip       // exchanging membership or revisions
};

std::string_view toString(Step S);

class Error : public std::runtime_error {
public:
  // Peer is the address or name of the other side, or the file at fault;
  // empty when there is none.
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
