// Which unreadable rows have been logged: each key and detail is logged once.
//
//   RowFaults F;
//   if (F.note(Key, Detail)) Log_.write(...);
//
// Rows are listed again and again, and another writer may write many. Limits:
// MaxRows entries, each of MaxText bytes of key and of detail; what is beyond
// is only counted.

#ifndef HAWTHORNROAD_ENTRY_ROWFAULTS_H
#define HAWTHORNROAD_ENTRY_ROWFAULTS_H

#include <cstddef>
#include <set>
#include <string>
#include <utility>

namespace hawthornroad {

class RowFaults {
public:
  static constexpr std::size_t MaxRows = 1000;
  static constexpr std::size_t MaxText = 200;

  // True when it is to be logged.
  bool note(const std::string &Key, const std::string &Detail) {
    return Logged_.size() < MaxRows &&
           Logged_.emplace(shortened(Key), shortened(Detail)).second;
  }
  static std::string shortened(const std::string &Text) {
    return Text.substr(0, MaxText);
  }
  std::size_t size() const { return Logged_.size(); }

private:
  std::set<std::pair<std::string, std::string>> Logged_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ENTRY_ROWFAULTS_H
