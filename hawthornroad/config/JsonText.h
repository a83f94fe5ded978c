// JSON with comments, parsed into nodes that record their line.
//
//   JsonNode Root = parseJsonText(Text, "entry.jsonc");
//
// Comments (// and /* */) and one trailing comma are allowed. Boost.JSON parses
// the text and is fed one line at a time, which gives each node its line.
// Duplicate keys in an object are a fault; Boost.JSON's own value type would
// silently keep the last one.
// Limits: MaxJsonText bytes, MaxJsonDepth levels.

#ifndef HAWTHORNROAD_CONFIG_JSONTEXT_H
#define HAWTHORNROAD_CONFIG_JSONTEXT_H

#include "hawthornroad/base/Error.h"

#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornroad {

constexpr std::size_t MaxJsonText = 4 * 1024 * 1024;
constexpr std::size_t MaxJsonDepth = 32;

struct JsonMember;

struct JsonNode {
  enum class Kind { Null, Bool, Integer, Double, String, Array, Object };

  Kind Kind_ = Kind::Null;
  int Line_ = 0;
  bool Bool_ = false;
  std::int64_t Integer_ = 0;
  double Double_ = 0;
  std::string String_;
  std::vector<JsonNode> Items_;
  std::vector<JsonMember> Members_;

  const JsonNode *find(std::string_view Key) const;
  bool isObject() const { return Kind_ == Kind::Object; }
};

struct JsonMember {
  std::string Key_;
  JsonNode Value_;
};

std::string_view toString(JsonNode::Kind K);

// An error in a text. Path_ is like "services.copywriter-lm.replicas".
struct Fault {
  int Line_ = 0;
  std::string Path_;
  std::string Message_;
  auto operator<=>(const Fault &) const = default;
};

// One line per fault: "FILE:LINE: PATH: MESSAGE".
std::string describeFaults(const std::string &File,
                           const std::vector<Fault> &Faults);

// Thrown for a text that is not JSON or fails validation; lists all faults.
class TextError : public Error {
public:
  TextError(Step Where, const std::string &File, std::vector<Fault> Faults);
  const std::vector<Fault> &faults() const { return Faults_; }

private:
  std::vector<Fault> Faults_;
};

// Throws TextError(Where) on syntax errors, duplicate keys and exceeded limits.
JsonNode parseJsonText(std::string_view Text, const std::string &File,
                       Step Where = Step::Settings);

// Converts to a Boost.JSON value; lines are lost.
boost::json::value toJson(const JsonNode &Node);

// Reads a whole file; throws Error(Where, File, ...).
std::string readTextFile(const std::string &File, Step Where);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_JSONTEXT_H
