// A caller's request and an endpoint's answer as the traffic modules see them:
// plain values, decoded once where they come in.

#ifndef HAWTHORNROAD_TRAFFIC_CALL_H
#define HAWTHORNROAD_TRAFFIC_CALL_H

#include "hawthornroad/config/RoutingConfig.h"
#include "hawthornroad/routing/RequestTypes.h"
#include "hawthornroad/traffic/Endpoint.h"

#include <cstdint>
#include <optional>
#include <string>

namespace hawthornroad {

// A request of this process, counted up from 1.
using CallNumber = std::uint64_t;

// Tokens that a request to a model asks for.
struct TokenCount {
  std::uint32_t Prompt_ = 0;
  std::uint32_t Answer_ = 0;
  bool operator==(const TokenCount &) const = default;
};

struct Call {
  // The caller's own name for it, passed on as it came.
  std::string Id_;
  std::string Method_;
  // Path and query.
  std::string Target_;
  std::string Host_;
  // What is passed on unchanged.
  HeaderFields Headers_;
  std::string Body_;
  std::string Key_;
  // How long the caller waits; unset when it does not say.
  std::optional<Duration> TimeLeft_;
  // The caller has the events up to this one and wants those after it.
  std::string LastEvent_;
  TokenCount Tokens_;

  std::string_view path() const {
    return std::string_view(Target_).substr(0, Target_.find('?'));
  }
};

// What an attempt adds to the request.
struct AttemptOrder {
  CallNumber Call_ = 0;
  EndpointId Endpoint_;
  std::string Address_;
  Customer Customer_;
  Duration TimeLeft_ = Duration::zero();
  // 0 to 9, 0 first.
  int Urgency_ = 5;
  // Only this version may run it; 0: any.
  WeightVersion Version_ = 0;
  std::string LastEvent_;
};

// The head of an endpoint's answer.
struct EndpointHead {
  unsigned Status_ = 0;
  HeaderFields Headers_;
  // The endpoint states that it did not run the request and will not.
  bool NotRun_ = false;
  // Bears the endpoint's signature.
  bool IsSigned_ = false;
  // Body encoded by someone other than the endpoint.
  bool IsEncoded_ = false;
  // The request's id as the endpoint gives it back; empty when absent.
  std::string RequestId_;
  // It is not the endpoint that was expected, or lacks what was.
  bool IsOtherEndpoint_ = false;
  // Who answered, where it says so.
  std::string EndpointId_;
  bool HasLoad_ = false;
  unsigned Running_ = 0;
  unsigned Waiting_ = 0;
  WeightVersion Version_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_CALL_H
