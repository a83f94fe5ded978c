#include "hawthornroad/config/JsonText.h"
#include "hawthornroad/config/Settings.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <string_view>

using namespace hawthornroad;
using Catch::Matchers::Contains;

// A platform hands its operators' figures on as they wrote them. On one
// deployment the slack for repeats was 8.5; the reader wanted a whole number,
// every process ended at its start, and nobody was served. On another a bound
// of 2.5 s, with three zeros written behind it, became 2.5 ms.

namespace {
namespace json = boost::json;

constexpr const char *Templates[] = {"platform/agent.jsonc.template",
                                     "platform/entry.jsonc.template"};

// The fields that the templates name.
json::object platformFields() {
  return json::parse(R"({
    "node": "side-zg-1", "zone": "zg", "app": "10.1.0.9:8000",
    "service": "copywriter-lm", "ip": "10.1.0.9",
    "internal_ports": [7700, 7715],
    "listen": {"front": "10.1.0.9:8005", "ready": "10.1.0.9:8002"},
    "platform": {"address": "10.200.1.7:8007"},
    "limits": {"link_mbps": 7.3},
    "bounds": {"config_apply_ms": 2000, "drain_ms": 2000, "version_ms": 8000,
               "grace_s": 8, "revoke_ms": 5000, "retry_ratio": 0.2,
               "retry_window_s": 10, "retry_slack": 102}
  })")
      .as_object();
}

// The value at a dotted path; null when there is none.
const json::value *valueAt(const json::object &Fields, std::string_view Path) {
  const json::value *At = nullptr;
  const json::object *In = &Fields;
  for (;;) {
    auto Dot = Path.find('.');
    std::string_view Step = Path.substr(0, Dot);
    if (At != nullptr && At->is_array())
      At = &At->as_array().at(std::stoul(std::string(Step)));
    else
      At = In == nullptr ? nullptr : In->if_contains(Step);
    if (At == nullptr || Dot == std::string_view::npos)
      return At;
    In = At->if_object();
    Path.remove_prefix(Dot + 1);
  }
}

std::string shown(const json::value *V) {
  if (V == nullptr || V->is_null())
    return "";
  return V->is_string() ? std::string(V->as_string()) : json::serialize(*V);
}

// Fills in a template as the platform does: {{a.b}} is a value, and a section
// {{#a}} .. {{/a}} is left out where a has no value or is false.
std::string render(std::string Text, const json::object &Fields) {
  for (auto At = Text.find("{{"); At != std::string::npos;
       At = Text.find("{{", At)) {
    auto End = Text.find("}}", At);
    std::string Name = Text.substr(At + 2, End - At - 2);
    if (Name[0] != '#') {
      Text.replace(At, End + 2 - At, shown(valueAt(Fields, Name)));
      continue;
    }
    Name.erase(0, 1);
    std::string Closing = "{{/" + Name + "}}";
    auto Close = Text.find(Closing, End);
    const json::value *V = valueAt(Fields, Name);
    bool IsOff =
        V == nullptr || V->is_null() || (V->is_bool() && !V->as_bool());
    std::string Inner = Text.substr(End + 2, Close - End - 2);
    Text.replace(At, Close + Closing.size() - At, IsOff ? "" : Inner);
  }
  return Text;
}

std::string templateText(const std::string &Path) {
  return readTextFile(std::string(SOURCE_DIR) + "/" + Path, Step::Settings);
}

json::object withBound(const std::string &Name, std::string_view Value) {
  json::object Fields = platformFields();
  json::object &Bounds = Fields["bounds"].as_object();
  if (Value == "absent")
    Bounds.erase(Name);
  else
    Bounds[Name] = json::parse(Value);
  return Fields;
}

StoreEntrySettings entryOf(const json::object &Fields) {
  return StoreEntrySettings::parse(render(templateText(Templates[1]), Fields),
                                   "entry.jsonc");
}

StoreAgentSettings agentOf(const json::object &Fields) {
  return StoreAgentSettings::parse(render(templateText(Templates[0]), Fields),
                                   "agent.jsonc");
}

Duration milliseconds(double Count) {
  return std::chrono::round<Duration>(
      std::chrono::duration<double, std::milli>(Count));
}
} // namespace

TEST_CASE("store settings, rendered with usual figures, hold them in their "
          "units",
          "[settings]") {
  StoreEntrySettings Entry = entryOf(platformFields());
  CHECK(Entry.Common_.StopBound_ == Seconds(8));
  CHECK(Entry.Common_.RevokeBound_ == Milliseconds(5000));
  CHECK(Entry.RepeatWindow_ == Seconds(10));
  CHECK(Entry.RepeatSlack_ == 102);
  CHECK(Entry.LinkMbps_ == 7.3);
  StoreAgentSettings Agent = agentOf(platformFields());
  CHECK(Agent.Common_.StopBound_ == Seconds(8));
  CHECK(Agent.Common_.VersionBound_ == Milliseconds(8000));
  CHECK(Agent.LinkMbps_ == 7.3);
}

TEST_CASE("store settings, rendered with any kind of figure, are read with its "
          "unit",
          "[settings]") {
  // What the platform gives, and what comes of it. "None" is the default.
  struct Kind {
    const char *Given_;
    double Figure_; // negative: none is set
  };
  const Kind Kinds[] = {{"7", 7},         {"2500", 2500},  {"2.5", 2.5},
                        {"8.25e1", 82.5}, {"0", -1},       {"0.0", -1},
                        {"false", -1},    {"absent", -1},  {"null", -1},
                        {"1e18", 1e18},   {"0.0001", 1e-4}};
  struct Bound {
    const char *Name_;
    double UnitMs_;
    Duration Least_;
    Duration (*Of_)(const StoreEntrySettings &);
  };
  const Duration Second = Seconds(1);
  const Duration Tenth = Milliseconds(100);
  const Bound Bounds[] = {
      {"revoke_ms", 1, Second,
       [](const auto &S) { return S.Common_.RevokeBound_; }},
      {"version_ms", 1, Second,
       [](const auto &S) { return S.Common_.VersionBound_; }},
      {"config_apply_ms", 1, Tenth,
       [](const auto &S) { return S.Common_.ApplyBound_; }},
      {"drain_ms", 1, Tenth,
       [](const auto &S) { return S.Common_.DrainBound_; }},
      {"grace_s", 1000, Second,
       [](const auto &S) { return S.Common_.StopBound_; }},
      {"retry_window_s", 1000, Tenth,
       [](const auto &S) { return S.RepeatWindow_; }}};
  const Duration Longest = Seconds(30 * 86400);
  for (const Bound &B : Bounds)
    for (const Kind &K : Kinds) {
      INFO(B.Name_ << " = " << K.Given_);
      Duration Got = B.Of_(entryOf(withBound(B.Name_, K.Given_)));
      if (K.Figure_ < 0) {
        CHECK(Got == B.Of_(StoreEntrySettings{}));
        continue;
      }
      double Ms = std::min(K.Figure_ * B.UnitMs_, 30.0 * 86400 * 1000);
      CHECK(Got == std::clamp(milliseconds(Ms), B.Least_, Longest));
    }
}

TEST_CASE("store settings, rendered with a slack and a ratio of any kind, take "
          "them as they are",
          "[settings]") {
  CHECK(entryOf(withBound("retry_slack", "8.5")).RepeatSlack_ == 8.5);
  CHECK(entryOf(withBound("retry_slack", "1e12")).RepeatSlack_ == 1e12);
  CHECK(entryOf(withBound("retry_ratio", "3")).RepeatRatio_ == 3);
  CHECK(entryOf(withBound("retry_ratio", "absent")).RepeatRatio_ == 0.2);
  // Operators who allow no repeats mean none.
  CHECK(entryOf(withBound("retry_slack", "0")).RepeatSlack_ == 0);
  CHECK(entryOf(withBound("retry_ratio", "0")).RepeatRatio_ == 0);
}

TEST_CASE("store settings, both programs, take each figure that the platform "
          "may leave out",
          "[settings]") {
  json::object Fields = platformFields();
  Fields["bounds"].as_object().clear();
  Fields["limits"].as_object().clear();
  CHECK(entryOf(Fields).Common_.StopBound_ ==
        StoreProcessSettings{}.StopBound_);
  CHECK(agentOf(Fields).LinkMbps_ == StoreAgentSettings{}.LinkMbps_);
}

TEST_CASE("store settings, given a figure without meaning, name its key and "
          "line",
          "[settings]") {
  for (const char *Given : {"true", "{}", "[1]", "-1"}) {
    INFO(Given);
    std::string Text =
        render(templateText(Templates[1]), withBound("retry_slack", Given));
    try {
      StoreEntrySettings::parse(Text, "entry.jsonc");
      FAIL("it was taken");
    } catch (const TextError &E) {
      std::string Said = describeFaults("entry.jsonc", E.faults());
      auto Key = Text.find("\"repeat_slack\"");
      auto Line =
          1 + std::count(Text.begin(),
                         Text.begin() + static_cast<std::ptrdiff_t>(Key), '\n');
      CHECK_THAT(Said, Contains("repeat_slack"));
      CHECK_THAT(Said, Contains(std::to_string(Line)));
    }
  }
}

TEST_CASE("store settings, given a bound in both units, name the second",
          "[settings]") {
  std::string Text = render(templateText(Templates[1]), platformFields());
  Text.insert(Text.find("\"process\""), "\"stop_bound_ms\": 8000, ");
  REQUIRE_THROWS_AS(StoreEntrySettings::parse(Text, "entry.jsonc"), TextError);
}
