// The entry process on a platform whose store holds the configuration and the
// list of endpoints: it accepts callers' requests, decides on them, and
// forwards them directly to endpoints.
//
//   DirectEntry Entry(StoreEntrySettings::load(File));   // opens listeners
//   printReady(Entry.readyLine());
//   Stop.wait();
//   Entry.drain();
//
// One thread handles requests from the caller's bytes to the endpoint's, since
// passing a request between threads costs more than deciding on it. A second
// thread writes the log.

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
  // Reads the settings file again and logs whether it differs from the settings
  // in force or is refused. The settings in force stay.
  void reload(const std::string &File);
  // Logs that a stop was requested again; thread-safe.
  void noteRepeatedStop();
  // Planned stop; blocks. Readiness is withdrawn at once. The listener and
  // keep-alive connections stay open until the balancer has detected that; then
  // the listener closes and each connection ends after its current request.
  void drain();

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ENTRY_DIRECTENTRY_H
