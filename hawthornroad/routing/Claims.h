// The record of one claimed idempotency key in the platform's table, and what
// it says to a request with the same key.
//
// The key is claim/SERVICE/CUSTOMER/KEY; the value is JSON.

#ifndef HAWTHORNROAD_ROUTING_CLAIMS_H
#define HAWTHORNROAD_ROUTING_CLAIMS_H

#include "hawthornroad/routing/RequestTypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace hawthornroad {

enum class ClaimPhase {
  Dispatched, // the holder may have handed the request to an endpoint
  NotRun,     // the holder says it never did: the key is free again
  Answered,   // the run ended in a whole answer
  Unknown     // the run ended without one
};

struct ClaimRecord {
  ClaimPhase Phase_ = ClaimPhase::Dispatched;
  // The holder's request id and its process's incarnation.
  std::string Token_;
  // Process name of the holder, for people.
  std::string Holder_;
  // Hash of method, target and body: a key must not be used for another call.
  std::string Call_;
  // Milliseconds since the epoch: until when the holder works on it, and after
  // which the record may be replaced.
  std::int64_t DeadlineMs_ = 0;
  std::int64_t ExpiresMs_ = 0;
  std::optional<KeptAnswer> Answer_;
  bool operator==(const ClaimRecord &) const = default;
};

std::string toText(const ClaimRecord &Record);
// Nullopt for a text that is no claim.
std::optional<ClaimRecord> parseClaim(std::string_view Text);

std::string claimKey(const CallerRequest &R);
// The hash kept in ClaimRecord::Call_.
std::string callHash(const CallerRequest &R);

// What a request is told that finds Record held by another and not free.
// ClockSlack is how far the VMs' clocks may be apart.
ClaimWord claimVerdict(const CallerRequest &R, const ClaimRecord &Record,
                       std::int64_t NowMs, Duration ClockSlack);

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_CLAIMS_H
