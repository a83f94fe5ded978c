// The caller's request and the endpoint's answer as plain values, decoded once
// on receipt and used by all traffic modules.

#ifndef HAWTHORNROAD_TRAFFIC_CALL_H
#define HAWTHORNROAD_TRAFFIC_CALL_H

#include "hawthornroad/config/RoutingConfig.h"
#include "hawthornroad/routing/RequestTypes.h"
#include "hawthornroad/traffic/Endpoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornroad {

// Number of a request within this process, starting at 1.
using CallNumber = std::uint64_t;

// Token counts stated by a request to a model.
struct TokenCount {
  std::uint32_t Prompt_ = 0;
  std::uint32_t Answer_ = 0;
  bool operator==(const TokenCount &) const = default;
};

// Id of a part of a prompt.
using PromptPart = std::uint64_t;

struct Call {
  // The caller's request id, forwarded unchanged.
  std::string Id_;
  std::string Method_;
  // Path and query.
  std::string Target_;
  std::string Host_;
  // Header fields that are forwarded unchanged.
  HeaderFields Headers_;
  std::string Body_;
  std::string Key_;
  // How long the caller will wait; unset when the request does not say.
  std::optional<Duration> TimeLeft_;
  // Id of the last event the caller received; it wants the events after it.
  std::string LastEvent_;
  TokenCount Tokens_;
  // The caller's estimate of the answer's length in tokens; 0: none.
  std::uint32_t AnswerHint_ = 0;
  // The parts of its prompt that other requests may share, in order. The last
  // part, its own, is left out.
  std::vector<PromptPart> Parts_;
  // The list of parts could not be read.
  bool HasUnreadableParts_ = false;

  std::string_view path() const {
    return std::string_view(Target_).substr(0, Target_.find('?'));
  }
};

// Parameters of one attempt, sent along with the request.
struct AttemptParams {
  CallNumber Call_ = 0;
  EndpointId Endpoint_;
  std::string Address_;
  Customer Customer_;
  Duration TimeLeft_ = Duration::zero();
  // 0 to 9; 0 is the most urgent.
  int Urgency_ = 5;
  // Only this weight version may serve the request; 0 means any.
  WeightVersion Version_ = 0;
  std::string LastEvent_;
};

// Status and header fields of an endpoint's answer.
struct EndpointHead {
  unsigned Status_ = 0;
  HeaderFields Headers_;
  // The endpoint states that it did not run the request and will not run it.
  bool NotRun_ = false;
  // The answer carries the endpoint's signature.
  bool IsSigned_ = false;
  // The body has a content encoding that the endpoint did not apply.
  bool IsEncoded_ = false;
  // The request id echoed by the endpoint; empty when absent.
  std::string RequestId_;
  // It arrived on a connection that has carried an earlier request, and may be
  // a late copy of that one's answer.
  bool MayBeCopy_ = false;
  // The answer is from another endpoint than expected, or lacks what was
  // expected.
  bool IsOtherEndpoint_ = false;
  // Id of the endpoint that answered, where stated.
  std::string EndpointId_;
  bool HasLoad_ = false;
  unsigned Running_ = 0;
  unsigned Waiting_ = 0;
  // How long work takes at the endpoint at this moment, relative to its usual
  // time; 1 is as usual. Unset when it is not stated.
  std::optional<double> Slowdown_;
  // It was stated, but not as a usable number, and is ignored.
  bool IsSlowdownUnreadable_ = false;
  // How long the endpoint stays cold; unset when it is not stated.
  std::optional<Duration> ColdLeft_;
  WeightVersion Version_ = 0;
  // Requests a second that the endpoint accepts from all processes together.
  std::optional<double> RateLimit_;
  // With a refusal: how long the endpoint wants no request from this process.
  std::optional<Duration> Rest_;
  // The endpoint is leaving and takes no new requests.
  bool IsLeaving_ = false;
  // Names of the fields whose values could not be read; they are ignored.
  std::vector<std::string_view> Unreadable_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_CALL_H
