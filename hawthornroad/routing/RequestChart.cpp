#include "hawthornroad/routing/RequestChart.h"

namespace hawthornroad {

Chart loadRequestChart(const std::string &Directory) {
  return Chart::load(
      Directory, "request",
      {.States_ = {"arrived", "waiting", "claiming", "claiming_late", "running",
                   "asking", "lingering", "done"},
       .Events_ = {"admitted", "queued", "refused", "claim_won", "claim_ended",
                   "whole", "failed", "lost", "silent", "heard", "unreachable",
                   "caller_gone", "deadline", "given_up", "turned_away"},
       .Guards_ = {"needs_claim", "is_worthwhile", "can_retry", "can_leave",
                   "must_settle", "can_wait"},
       .Actions_ = {"claim", "dispatch", "ask", "cancel_attempt", "finish",
                    "answer", "settle_claim"}});
}

} // namespace hawthornroad
