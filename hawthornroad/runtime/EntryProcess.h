// The entry process: accepts requests from callers and dispatches them to
// agents.
//
//   EntryProcess Entry(EntrySettings::load(File));   // listens from here on
//   printReady(Entry.readyLine());
//   Stop.wait();
//   Entry.drain();
//
// Threads: "callers" (HTTP from callers), "peers" (frames), "platform" (calls
// to the table), "admin", and the DecisionLoop. Input is decoded on the thread
// that received it and posted to the loop as a closure; output leaves the loop
// through thread-safe senders. When the loop's ring is full, a caller gets a
// 503 "not-run" at once, and a frame is dropped and requested again.

#ifndef HAWTHORNROAD_RUNTIME_ENTRYPROCESS_H
#define HAWTHORNROAD_RUNTIME_ENTRYPROCESS_H

#include "hawthornroad/config/Settings.h"

#include <boost/json/object.hpp>
#include <memory>
#include <string>

namespace hawthornroad {

class EntryProcess {
public:
  // Loads settings and charts; throws the first error found.
  static void check(const std::string &SettingsFile);

  // Throws Error when a listener or a chart cannot be opened.
  explicit EntryProcess(EntrySettings Settings);
  ~EntryProcess();
  EntryProcess(const EntryProcess &) = delete;
  EntryProcess &operator=(const EntryProcess &) = delete;

  boost::json::object readyLine() const;
  // Planned stop: /readyz fails at once, the listener closes after the grace
  // period for the load balancer, then this blocks until the answers of all
  // requests in progress are written. Request deadlines bound the wait.
  void drain();

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_ENTRYPROCESS_H
