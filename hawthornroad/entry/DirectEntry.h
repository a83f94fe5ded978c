// An entry on a platform whose store holds configuration and endpoints: callers
// on one side, endpoints themselves on the other, the decisions between.
//
//   DirectEntry Entry(StoreEntrySettings::load(File));   // listens from here
//   on printReady(Entry.readyLine()); Stop.wait(); Entry.drain();
//
// One thread does the work of requests, from the caller's bytes to the
// endpoint's: handing a request from thread to thread costs more than deciding
// on it. A second one writes the log.

#ifndef HAWTHORNROAD_ENTRY_DIRECTENTRY_H
#define HAWTHORNROAD_ENTRY_DIRECTENTRY_H

#include "hawthornroad/config/Settings.h"

#include <boost/json/object.hpp>
#include <memory>

namespace hawthornroad {

class DirectEntry {
public:
  // Throws Error when a listener cannot be opened.
  explicit DirectEntry(StoreEntrySettings Settings);
  ~DirectEntry();
  DirectEntry(const DirectEntry &) = delete;
  DirectEntry &operator=(const DirectEntry &) = delete;

  boost::json::object readyLine() const;
  // The settings file may have changed.
  void reload(const std::string &File);
  // A planned stop: not ready at once; the listener and kept connections stay
  // until the balancer has noticed; then each ends after its request.
  void drain();

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ENTRY_DIRECTENTRY_H
