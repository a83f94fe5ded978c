// Counts the answers that processes cut and the attempts that they ended, by
// reason, from their logs.
//
//   CutTable Table = cutTableOf(Timeline);
//   for (const auto &[Reason, C] : Table.Answers_) ...
//
// An attempt counts when the process ended it: it was cancelled, or given up
// for something other than its connection.

#ifndef HAWTHORNROAD_CTL_CUTTABLE_H
#define HAWTHORNROAD_CTL_CUTTABLE_H

#include "hawthornroad/ctl/LogReader.h"

#include <optional>

namespace hawthornroad {

struct CutCount {
  std::size_t Count_ = 0;
  // Age of the endpoint's last byte; unset where no line has it.
  std::optional<double> MedianSilentMs_;
  std::optional<double> MaxSilentMs_;
  // Cuts of which the process had paused within the last PauseMemorySeconds,
  // and its longest pause.
  std::size_t Paused_ = 0;
  double LongestPauseMs_ = 0;
  // Id of one such request, as an argument to "trace".
  std::string Example_;
  bool operator==(const CutCount &) const = default;
};

struct CutTable {
  std::map<std::string, CutCount> Answers_;
  std::map<std::string, CutCount> Attempts_;

  static constexpr double PauseMemorySeconds = 5;
  std::size_t answers() const;
  std::size_t attempts() const;
};

CutTable cutTableOf(const LogTimeline &Timeline);

// "12  no place in time  last byte 1510 ms ago (highest 2100 ms) ...".
std::string describe(const std::string &Reason, const CutCount &C);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CTL_CUTTABLE_H
