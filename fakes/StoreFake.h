// The platform's transactional table and its object store: keys with entity
// tags and HTTP conditional writes (RFC 9110). The two differ in their path
// and in that the table lists its keys; docs/STANDINS.md has the calls.
//
// Fault "lose_answers": N writes take effect and then lose their answer, which
// a client cannot tell from a write that never arrived. Fault "stale_reads":
// reads see the moment the fault was set, as from a replica that lags.

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
    // Rises with every write of the store, so no tag is ever used twice.
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
  bool Lists_;
  Entries Entries_;
  std::optional<Entries> Stale_;
  std::uint64_t LastTag_ = 0;
  std::int64_t LoseAnswers_ = 0;
  std::uint64_t Conflicts_ = 0;
  PeakRate Reads_;
  PeakRate Writes_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_STOREFAKE_H
