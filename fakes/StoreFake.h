// Fake of the platform's transactional table and of its object store: keys with
// entity tags and HTTP conditional writes (RFC 9110). The two differ in their
// path, and only the table lists its keys; docs/STANDINS.md describes the
// calls.
//
// Fault "lose_answers": N writes take effect but their answers are lost, which
// a client cannot distinguish from writes that never arrived. Fault
// "stale_reads": reads return the state at the time the fault was set, as from
// a lagging replica.

#ifndef HAWTHORNROAD_FAKES_STOREFAKE_H
#define HAWTHORNROAD_FAKES_STOREFAKE_H

#include "fakes/FakeServer.h"
#include "fakes/PeakRate.h"

#include <map>
#include <optional>

namespace hawthornroad {

class StoreFake {
public:
  enum class Kind { Table, Objects };

  explicit StoreFake(Kind K);

  void handle(const HttpRequest &R, const ExchangePtr &X);
  void setFaults(const Faults &Set);
  boost::json::object counters() const;

private:
  struct Entry {
    std::string Value_;
    // Increases with every write of the store, so that no tag is reused.
    std::uint64_t Tag_ = 0;
  };
  using Entries = std::map<std::string, Entry>;

  void list(const HttpRequest &R, const ExchangePtr &X);
  void read(const std::string &Key, const ExchangePtr &X);
  void write(const std::string &Key, const HttpRequest &R,
             const ExchangePtr &X);
  void apply(const std::string &Key, const HttpRequest &R);
  void answerWrite(const std::string &Key, const ExchangePtr &X);
  const Entries &readable() const;

  std::string Prefix_;
  bool CanList_;
  Entries Entries_;
  std::optional<Entries> Stale_;
  std::uint64_t LastTag_ = 0;
  std::int64_t AnswersToLose_ = 0;
  std::uint64_t Conflicts_ = 0;
  PeakRate Reads_;
  PeakRate Writes_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_STOREFAKE_H
