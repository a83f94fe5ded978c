// Reads the members of a JSON object by type and range, and gathers every
// fault in place of stopping at the first.
//
//   std::vector<Fault> Faults;
//   ObjectReader R(Root, "", Faults);
//   Port_ = R.integer("port", 0, 65535, 0);
//   Name_ = R.text("process");          // required
//   R.finish();                         // unknown keys become faults
//   if (!Faults.empty())
//     throw TextError(Step::Settings, File, Faults);
//
// Getters with a default are optional; those without are required. After a
// fault a getter returns its default or an empty value, so reading goes on.

#ifndef HAWTHORNROAD_CONFIG_OBJECTREADER_H
#define HAWTHORNROAD_CONFIG_OBJECTREADER_H

#include "hawthornroad/base/Types.h"
#include "hawthornroad/config/JsonText.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hawthornroad {

class ObjectReader {
public:
  // Node may be of any kind; one that is no object is a fault.
  ObjectReader(const JsonNode &Node, std::string Path,
               std::vector<Fault> &Faults);

  std::string text(std::string_view Key);
  std::string text(std::string_view Key, std::string Default);
  // One of Choices; returns its index.
  std::size_t choice(std::string_view Key,
                     const std::vector<std::string> &Choices,
                     std::optional<std::size_t> Default);
  std::int64_t integer(std::string_view Key, std::int64_t Min, std::int64_t Max,
                       std::optional<std::int64_t> Default = std::nullopt);
  double number(std::string_view Key, double Min, double Max,
                std::optional<double> Default = std::nullopt);
  bool boolean(std::string_view Key, std::optional<bool> Default);
  // A whole number of milliseconds; the key ends in "_ms".
  Duration milliseconds(std::string_view Key, std::int64_t Min,
                        std::int64_t Max, std::int64_t Default);
  std::vector<std::string> texts(std::string_view Key);
  // Calls Read(name, member) for each member of the object at Key; absent is
  // allowed and reads nothing.
  void
  members(std::string_view Key,
          const std::function<void(const std::string &, ObjectReader &)> &Read);
  // Calls Read for each object in the list at Key; absent reads nothing.
  void items(std::string_view Key,
             const std::function<void(ObjectReader &)> &Read);
  // A nested object; an absent one reads as empty.
  ObjectReader object(std::string_view Key);
  bool has(std::string_view Key) const;
  // The member at Key, for readers that take several kinds; null when absent.
  const JsonNode *take(std::string_view Key, bool Required);
  // Takes Key as known; its value is not looked at.
  void ignore(std::string_view Key) { take(Key, false); }

  // Makes each key that no getter asked for a fault.
  void finish();
  void fault(std::string_view Key, const std::string &Message);
  int line() const { return Line_; }
  const std::string &path() const { return Path_; }

private:
  void wrongKind(std::string_view Key, const JsonNode &Found,
                 const std::string &Expected);
  std::string pathOf(std::string_view Key) const;

  const JsonNode *Node_;
  int Line_;
  std::string Path_;
  std::vector<Fault> *Faults_;
  std::set<std::string, std::less<>> Asked_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_OBJECTREADER_H
