#include "hawthornroad/runtime/RequestReport.h"

#include "hawthornroad/runtime/Log.h"

namespace hawthornroad {

namespace {
double inSeconds(Duration D) {
  return std::chrono::duration<double>(D).count();
}

std::string millisecondsText(Duration D) {
  return std::to_string(std::chrono::duration_cast<Milliseconds>(D).count());
}
} // namespace

void RequestReport::done(const RequestDone &Done) {
  const CallerRequest &R = *Done.Request_;
  std::string OutcomeText(toString(Done.Outcome_));
  Metrics_.count("hawthornroad_requests_total",
                 {{"outcome", OutcomeText}, {"cause", Done.Cause_}});
  if (Done.Attempts_ > 1)
    Metrics_.count("hawthornroad_retries_total",
                   {{"service", R.Service_.str()}}, Done.Attempts_ - 1);
  Metrics::Labels CustomerLabels = {
      {"customer", R.Customer_.str()},
      {"priority", std::string(toString(R.Priority_))}};
  Metrics_.observe("hawthornroad_queue_seconds", inSeconds(Done.Queued_),
                   CustomerLabels);
  if (Done.FirstByte_)
    Metrics_.observe("hawthornroad_first_byte_seconds",
                     inSeconds(*Done.FirstByte_), CustomerLabels);
  if (Done.Outcome_ == Outcome::Answered)
    Metrics_.observe("hawthornroad_request_seconds", inSeconds(Done.Total_),
                     CustomerLabels);
  std::string FirstByteText =
      Done.FirstByte_ ? millisecondsText(*Done.FirstByte_) : "";
  log(LogLevel::Info, Step::Answer, "request done",
      {{"request", R.Id_.str()},
       {"customer", R.Customer_.str()},
       {"service", R.Service_.str()},
       {"outcome", OutcomeText},
       {"cause", Done.Cause_},
       {"status", std::to_string(Done.Status_)},
       {"attempts", std::to_string(Done.Attempts_)},
       {"vm", Done.LastVm_.str()},
       {"version", Done.Version_.str()},
       {"bytes", std::to_string(Done.Bytes_)},
       {"caller_gone", Done.CallerGone_ ? "true" : ""},
       {"queued_ms", millisecondsText(Done.Queued_)},
       {"first_byte_ms", FirstByteText},
       {"whole_ms", millisecondsText(Done.Total_)}});
}

} // namespace hawthornroad
