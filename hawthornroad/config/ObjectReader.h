// Reads the members of a JSON object with checks of type and range, and
// collects all faults instead of stopping at the first.
//
//   std::vector<Fault> Faults;
//   ObjectReader R(Root, "", Faults);
//   Port_ = R.integer("port", 0, 65535, 0);
//   Name_ = R.text("process");          // required
//   R.finish();                         // unknown keys become faults
//   if (!Faults.empty())
//     throw TextError(Step::Settings, File, Faults);
//
// Scalar members read without a default are required, all others are optional.
// After a fault a getter returns its default, an empty value or its minimum, so
// reading continues.

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
  // Adds a fault when Node is not an object.
  ObjectReader(const JsonNode &Node, std::string Path,
               std::vector<Fault> &Faults);

  std::string text(std::string_view Key);
  std::string text(std::string_view Key, std::string Default);
  // Expects one of Choices and returns its index.
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
  // Calls Read(name, member) for each member of the object at Key; does nothing
  // when Key is absent.
  void
  members(std::string_view Key,
          const std::function<void(const std::string &, ObjectReader &)> &Read);
  // Calls Read for each object in the list at Key; does nothing when Key is
  // absent.
  void items(std::string_view Key,
             const std::function<void(ObjectReader &)> &Read);
  // A reader of the nested object at Key; an absent one counts as empty.
  ObjectReader object(std::string_view Key);
  bool has(std::string_view Key) const;
  // The member at Key, for callers that accept several kinds; null when absent.
  const JsonNode *take(std::string_view Key, bool Required);
  // Accepts Key without reading its value.
  void ignore(std::string_view Key) { take(Key, false); }

  // Adds a fault for each key that has not been read.
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
  std::set<std::string, std::less<>> KnownKeys_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_OBJECTREADER_H
