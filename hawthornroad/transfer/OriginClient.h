// HTTP client of weight transfers, for the origin of weights and for the ledger
// of origin reads in the platform's table.
//
//   OriginClient Origin(Client, Loop, "IP:port", "IP:port");
//   Origin.readChunk(Blob, Span, Owner, [=](OriginAnswer A, TimePoint Now) {});
//   Origin.claim("weights/origin/SERVICE/HEX/slice/3", Token, Owner,
//                [=](ClaimResult R, TimePoint Now) {...});
//
// Each callback runs once in the loop, unless its Owner has been destroyed.

#ifndef HAWTHORNROAD_TRANSFER_ORIGINCLIENT_H
#define HAWTHORNROAD_TRANSFER_ORIGINCLIENT_H

#include "hawthornroad/runtime/DecisionLoop.h"
#include "hawthornroad/runtime/Http.h"
#include "hawthornroad/weights/Swarm.h"

#include <functional>
#include <memory>
#include <string>

namespace hawthornroad {

struct OriginAnswer {
  // Good when bytes were received; they are not verified yet.
  OriginReadResult End_ = OriginReadResult::Nothing;
  std::string Bytes_;
  // Why no bytes were received.
  std::string Reason_;
};

class OriginClient {
public:
  using Owner = std::weak_ptr<void>;
  using OnAnswer = std::function<void(OriginAnswer, TimePoint)>;
  using OnClaim = std::function<void(ClaimResult, TimePoint)>;

  // An empty Table means that there is no ledger.
  OriginClient(HttpClient &Client, DecisionLoop &Loop, std::string Origin,
               std::string Table)
      : Client_(Client), Loop_(Loop), Origin_(std::move(Origin)),
        Table_(std::move(Table)) {}

  bool hasLedger() const { return !Table_.empty(); }
  const std::string &origin() const { return Origin_; }

  void readFile(const std::string &Path, Owner O, OnAnswer OnDone);
  void readChunk(const std::string &Blob, ChunkSpan Span, Owner O,
                 OnAnswer OnDone);
  // Creates Key with Token as its value, unless it exists; then reads the
  // token stored there, so that a claim whose answer was lost is recognised.
  void claim(const std::string &Key, const std::string &Token, Owner O,
             OnClaim OnDone);

private:
  using OnResult = std::function<void(HttpResult, TimePoint)>;
  void call(const std::string &Address, HttpRequest R, std::size_t MaxBody,
            Owner O, OnResult OnDone);

  HttpClient &Client_;
  DecisionLoop &Loop_;
  std::string Origin_;
  std::string Table_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRANSFER_ORIGINCLIENT_H
