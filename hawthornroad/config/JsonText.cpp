#include "hawthornroad/config/JsonText.h"

#include <algorithm>
#include <array>
#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/value.hpp>
#include <fstream>
#include <sstream>

namespace hawthornroad {

namespace json = boost::json;

const JsonNode *JsonNode::find(std::string_view Key) const {
  for (const JsonMember &Each : Members_)
    if (Each.Key_ == Key)
      return &Each.Value_;
  return nullptr;
}

std::string_view toString(JsonNode::Kind K) {
  static constexpr std::array<std::string_view, 7> Names = {
      "null", "true or false", "whole number", "number",
      "text", "list",          "object"};
  return Names[static_cast<std::size_t>(K)];
}

std::string describeFaults(const std::string &File,
                           const std::vector<Fault> &Faults) {
  std::string Out;
  for (const Fault &Each : Faults) {
    if (!Out.empty())
      Out += "\n";
    Out += File + ":" + std::to_string(Each.Line_) + ": ";
    if (!Each.Path_.empty())
      Out += Each.Path_ + ": ";
    Out += Each.Message_;
  }
  return Out;
}

TextError::TextError(Step Where, const std::string &File,
                     std::vector<Fault> Faults)
    : Error(Where, File, "\n" + describeFaults(File, Faults)),
      Faults_(std::move(Faults)) {}

namespace {

// SAX handler for Boost.JSON that builds nodes. The loop that feeds the parser
// increments Line_.
class TreeBuilder {
public:
  // Boost.JSON requires these names of handler members.
  // NOLINTBEGIN(readability-identifier-naming)
  static constexpr std::size_t max_object_size = SIZE_MAX;
  static constexpr std::size_t max_array_size = SIZE_MAX;
  static constexpr std::size_t max_key_size = 4096;
  static constexpr std::size_t max_string_size = 1024 * 1024;

  int Line_ = 1;
  JsonNode Root_;
  std::vector<Fault> Faults_;

  bool on_document_begin(json::error_code &) { return true; }
  bool on_document_end(json::error_code &) { return true; }
  bool on_array_begin(json::error_code &) {
    return open(JsonNode::Kind::Array);
  }
  bool on_array_end(std::size_t, json::error_code &) { return close(); }
  bool on_object_begin(json::error_code &) {
    return open(JsonNode::Kind::Object);
  }
  bool on_object_end(std::size_t, json::error_code &) { return close(); }
  bool on_key_part(json::string_view S, std::size_t, json::error_code &) {
    Key_.append(S.data(), S.size());
    return true;
  }
  bool on_key(json::string_view S, std::size_t, json::error_code &) {
    Key_.append(S.data(), S.size());
    return true;
  }
  bool on_string_part(json::string_view S, std::size_t, json::error_code &) {
    Text_.append(S.data(), S.size());
    return true;
  }
  bool on_string(json::string_view S, std::size_t, json::error_code &) {
    Text_.append(S.data(), S.size());
    JsonNode Node = make(JsonNode::Kind::String);
    Node.String_ = std::move(Text_);
    Text_.clear();
    return add(std::move(Node));
  }
  bool on_number_part(json::string_view, json::error_code &) { return true; }
  bool on_int64(std::int64_t Value, json::string_view, json::error_code &) {
    JsonNode Node = make(JsonNode::Kind::Integer);
    Node.Integer_ = Value;
    Node.Double_ = static_cast<double>(Value);
    return add(std::move(Node));
  }
  bool on_uint64(std::uint64_t Value, json::string_view, json::error_code &) {
    // Above the signed range: stored as a double, which fails every integer
    // range check.
    return on_double(static_cast<double>(Value), {}, Ignored_);
  }
  bool on_double(double Value, json::string_view, json::error_code &) {
    JsonNode Node = make(JsonNode::Kind::Double);
    Node.Double_ = Value;
    return add(std::move(Node));
  }
  bool on_bool(bool Value, json::error_code &) {
    JsonNode Node = make(JsonNode::Kind::Bool);
    Node.Bool_ = Value;
    return add(std::move(Node));
  }
  bool on_null(json::error_code &) { return add(make(JsonNode::Kind::Null)); }
  bool on_comment_part(json::string_view, json::error_code &) { return true; }
  bool on_comment(json::string_view, json::error_code &) { return true; }

  // NOLINTEND(readability-identifier-naming)

private:
  JsonNode make(JsonNode::Kind K) const {
    JsonNode Node;
    Node.Kind_ = K;
    Node.Line_ = Line_;
    return Node;
  }

  bool open(JsonNode::Kind K) {
    Stack_.push_back({std::move(Key_), make(K)});
    Key_.clear();
    return true;
  }

  bool close() {
    JsonMember Done = std::move(Stack_.back());
    Stack_.pop_back();
    Key_ = std::move(Done.Key_);
    return add(std::move(Done.Value_));
  }

  bool add(JsonNode Node) {
    if (Stack_.empty()) {
      Root_ = std::move(Node);
      return true;
    }
    JsonNode &Parent = Stack_.back().Value_;
    if (Parent.Kind_ == JsonNode::Kind::Array) {
      Parent.Items_.push_back(std::move(Node));
      return true;
    }
    if (Parent.find(Key_) != nullptr)
      Faults_.push_back({Node.Line_, Key_, "key stands twice in one object"});
    Parent.Members_.push_back({std::move(Key_), std::move(Node)});
    Key_.clear();
    return true;
  }

  std::vector<JsonMember> Stack_;
  std::string Key_;
  std::string Text_;
  json::error_code Ignored_;
};

json::parse_options parseOptions() {
  json::parse_options Options;
  Options.allow_comments = true;
  Options.allow_trailing_commas = true;
  Options.max_depth = MaxJsonDepth;
  return Options;
}

} // namespace

JsonNode parseJsonText(std::string_view Text, const std::string &File,
                       Step Where) {
  if (Text.size() > MaxJsonText)
    throw TextError(
        Where, File,
        {{1, "",
          "text of " + std::to_string(Text.size()) +
              " bytes is above the limit of " + std::to_string(MaxJsonText)}});
  json::basic_parser<TreeBuilder> Parser(parseOptions());
  TreeBuilder &Builder = Parser.handler();
  std::size_t At = 0;
  json::error_code Code;
  while (At < Text.size() && !Code) {
    std::size_t End = std::min(Text.find('\n', At), Text.size() - 1);
    std::string_view Line = Text.substr(At, End - At + 1);
    std::size_t Consumed =
        Parser.write_some(true, Line.data(), Line.size(), Code);
    if (!Code && Consumed < Line.size())
      Code = json::error::extra_data;
    At = End + 1;
    if (!Code)
      ++Builder.Line_;
  }
  if (!Code) {
    // Reports a premature end of the text at its last line.
    Builder.Line_ = std::max(1, Builder.Line_ - 1);
    Parser.write_some(false, "", 0, Code);
  }
  if (Code)
    throw TextError(Where, File,
                    {{Builder.Line_, "", "not JSON: " + Code.message()}});
  if (!Builder.Faults_.empty())
    throw TextError(Where, File, std::move(Builder.Faults_));
  return std::move(Builder.Root_);
}

json::value toJson(const JsonNode &Node) {
  switch (Node.Kind_) {
  case JsonNode::Kind::Null:
    return nullptr;
  case JsonNode::Kind::Bool:
    return Node.Bool_;
  case JsonNode::Kind::Integer:
    return Node.Integer_;
  case JsonNode::Kind::Double:
    return Node.Double_;
  case JsonNode::Kind::String:
    return json::string(Node.String_);
  case JsonNode::Kind::Array: {
    json::array Out;
    for (const JsonNode &Each : Node.Items_)
      Out.push_back(toJson(Each));
    return Out;
  }
  case JsonNode::Kind::Object: {
    json::object Out;
    for (const JsonMember &Each : Node.Members_)
      Out[Each.Key_] = toJson(Each.Value_);
    return Out;
  }
  }
  return nullptr;
}

std::string readTextFile(const std::string &File, Step Where) {
  std::ifstream In(File, std::ios::binary);
  if (!In)
    throw Error(Where, File, "cannot be opened");
  std::ostringstream Out;
  Out << In.rdbuf();
  if (In.bad())
    throw Error(Where, File, "cannot be read");
  return Out.str();
}

} // namespace hawthornroad
