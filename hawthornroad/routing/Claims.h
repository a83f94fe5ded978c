// The record of a claimed idempotency key in the platform's table, and the
// verdict it yields for a request with the same key.
//
// The table key is claim/SERVICE/CUSTOMER/KEY; the value is JSON.

#ifndef HAWTHORNROAD_ROUTING_CLAIMS_H
#define HAWTHORNROAD_ROUTING_CLAIMS_H

#include "hawthornroad/routing/RequestTypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace hawthornroad {

enum class ClaimPhase {
  Dispatched, // the holder may have handed the request to an endpoint
  NotRun,     // the holder reports that it did not: the key is free
  Answered,   // the run ended with a complete answer
  Unknown     // the run ended without a complete answer
};

struct ClaimRecord {
  ClaimPhase Phase_ = ClaimPhase::Dispatched;
  // The holder's request id and its process's incarnation.
  std::string Token_;
  // Process name of the holder, for diagnostics.
  std::string Holder_;
  // Hash of method, target and body: a key must not be reused for another call.
  std::string Call_;
  // Milliseconds since the epoch: the time until which the holder works on the
  // call, and the time after which the record may be replaced.
  std::int64_t DeadlineMs_ = 0;
  std::int64_t ExpiresMs_ = 0;
  std::optional<KeptAnswer> Answer_;
  bool operator==(const ClaimRecord &) const = default;
};

std::string toText(const ClaimRecord &Record);
// Nullopt when the text is not a claim record.
std::optional<ClaimRecord> parseClaim(std::string_view Text);

std::string claimKey(const CallerRequest &R);
// The hash stored in ClaimRecord::Call_.
std::string callHash(const CallerRequest &R);

// The verdict for a request that finds Record, held by another request and not
// free. ClockSlack is the largest difference between the clocks of VMs.
ClaimVerdict claimVerdict(const CallerRequest &R, const ClaimRecord &Record,
                          std::int64_t NowMs, Duration ClockSlack);

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_CLAIMS_H
