// One entry: callers on one side, agents on the other, the decisions between.
//
//   EntryProcess Entry(EntrySettings::load(File));   // listens from here on
//   printReady(Entry.readyLine());
//   Stop.wait();
//   Entry.drain();
//
// Threads: "callers" (HTTP from callers), "peers" (frames), "platform" (calls
// to the table), "admin", and the DecisionLoop. Whatever arrives is unpacked on
// its own thread and posted into the loop as a closure; whatever is decided
// leaves the loop through thread-safe senders. A full ring refuses: a caller
// gets a 503 "not-run" at once, a frame is dropped and asked for again.

#ifndef HAWTHORNROAD_RUNTIME_ENTRYPROCESS_H
#define HAWTHORNROAD_RUNTIME_ENTRYPROCESS_H

#include "hawthornroad/config/Settings.h"

#include <boost/json/object.hpp>
#include <memory>
#include <string>

namespace hawthornroad {

class EntryProcess {
public:
  // Loads settings and charts and throws the first fault found.
  static void check(const std::string &SettingsFile);

  // Throws Error when a listener or a chart cannot be opened.
  explicit EntryProcess(EntrySettings Settings);
  ~EntryProcess();
  EntryProcess(const EntryProcess &) = delete;
  EntryProcess &operator=(const EntryProcess &) = delete;

  boost::json::object readyLine() const;
  // A planned stop: /readyz fails at once, the listener closes after the
  // balancer's grace, then this waits until every request in progress has its
  // answer written. Every request has a deadline, so it ends.
  void drain();

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_ENTRYPROCESS_H
