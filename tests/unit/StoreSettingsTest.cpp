#include "hawthornroad/config/JsonText.h"
#include "hawthornroad/config/Settings.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <string_view>

using namespace hawthornroad;
using Catch::Matchers::Contains;

// Guards against two failures. The platform passes on the operators' values as
// written. A repeat slack of 8.5 made every process exit at startup, because
// the reader required an integer, and no request was served. A bound of 2.5 s
// became 2.5 ms, because the template converted it to milliseconds by appending
// three zeros.

namespace {
namespace json = boost::json;

constexpr const char *Templates[] = {"platform/agent.jsonc.template",
                                     "platform/entry.jsonc.template"};

// Values for all fields that the templates use.
json::object platformFields() {
  return json::parse(R"({
    "node": "side-zg-1", "zone": "zg", "app": "10.1.0.9:8000",
    "service": "copywriter-lm", "ip": "10.1.0.9",
    "internal_ports": [7700, 7715],
    "listen": {"front": "10.1.0.9:8005", "ready": "10.1.0.9:8002"},
    "platform": {"address": "10.200.1.7:8007"},
    "limits": {"link_mbps": 7.3, "memory_mb": 160},
    "zones": {"zg": "zagreb", "st": "split"},
    "bounds": {"evacuate_ms": 4000, "cold_over": 1.25, "cold_slack": 7,
               "config_apply_ms": 2000, "drain_ms": 2000, "version_ms": 8000,
               "grace_s": 8, "revoke_ms": 5000, "retry_ratio": 0.2,
               "retry_window_s": 10, "retry_slack": 102}
  })")
      .as_object();
}

// The value at a dotted path; null when absent.
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

std::string toText(const json::value *V) {
  if (V == nullptr || V->is_null())
    return "";
  return V->is_string() ? std::string(V->as_string()) : json::serialize(*V);
}

std::string replaceAll(std::string Text, std::string_view What,
                       const std::string &With) {
  for (auto At = Text.find(What); At != std::string::npos;
       At = Text.find(What, At + With.size()))
    Text.replace(At, What.size(), With);
  return Text;
}

// A section over an object: once for each member, with {{@}} its key, {{.}} its
// value and {{,}} a comma except after the last one.
std::string renderEach(const std::string &Inner, const json::object &Members) {
  std::string Out;
  std::size_t Left = Members.size();
  for (const auto &Each : Members) {
    std::string Item =
        replaceAll(Inner, "{{@}}", std::string(std::string_view(Each.key())));
    Item = replaceAll(Item, "{{.}}", toText(&Each.value()));
    Out += replaceAll(Item, "{{,}}", --Left == 0 ? "" : ",");
  }
  return Out;
}

// Renders a template as the platform does: {{a.b}} is replaced with a value,
// and a section {{#a}} .. {{/a}} is omitted when a is absent, null or false.
std::string render(std::string Text, const json::object &Fields) {
  for (auto At = Text.find("{{"); At != std::string::npos;
       At = Text.find("{{", At)) {
    auto End = Text.find("}}", At);
    std::string Name = Text.substr(At + 2, End - At - 2);
    if (Name[0] != '#') {
      Text.replace(At, End + 2 - At, toText(valueAt(Fields, Name)));
      continue;
    }
    Name.erase(0, 1);
    std::string Closing = "{{/" + Name + "}}";
    auto Close = Text.find(Closing, End);
    const json::value *V = valueAt(Fields, Name);
    bool IsOmitted =
        V == nullptr || V->is_null() || (V->is_bool() && !V->as_bool());
    std::string Inner = Text.substr(End + 2, Close - End - 2);
    bool NamesMembers = Inner.find("{{@}}") != std::string::npos;
    if (!IsOmitted && NamesMembers)
      Inner = renderEach(Inner, V->as_object());
    Text.replace(At, Close + Closing.size() - At, IsOmitted ? "" : Inner);
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

TEST_CASE("store settings, rendered with typical values, hold them in their "
          "units",
          "[settings]") {
  StoreEntrySettings Entry = entryOf(platformFields());
  CHECK(Entry.Common_.StopBound_ == Seconds(8));
  CHECK(Entry.Common_.RevokeBound_ == Milliseconds(5000));
  CHECK(Entry.RepeatWindow_ == Seconds(10));
  CHECK(Entry.RepeatSlack_ == 102);
  CHECK(Entry.LinkMbps_ == 7.3);
  CHECK(Entry.Common_.EvacuateBound_ == Milliseconds(4000));
  CHECK(Entry.Common_.ColdFactor_ == 1.25);
  CHECK(Entry.Common_.ColdSlack_ == 7);
  CHECK(Entry.Common_.MemoryMb_ == 160);
  CHECK(Entry.Common_.Regions_ ==
        std::map<AvailabilityZone, Region>{
            {AvailabilityZone("zg"), Region("zagreb")},
            {AvailabilityZone("st"), Region("split")}});
  StoreAgentSettings Agent = agentOf(platformFields());
  CHECK(Agent.Common_.StopBound_ == Seconds(8));
  CHECK(Agent.Common_.VersionBound_ == Milliseconds(8000));
  CHECK(Agent.LinkMbps_ == 7.3);
  CHECK_FALSE(Agent.IsFirstStart_);
}

TEST_CASE("store settings, rendered with any kind of number, are read in its "
          "unit",
          "[settings]") {
  // The rendered value and the number that it stands for.
  struct Input {
    const char *Given_;
    double Number_; // negative: not set, the default applies
  };
  const Input Inputs[] = {{"7", 7},         {"2500", 2500},  {"2.5", 2.5},
                          {"8.25e1", 82.5}, {"0", -1},       {"0.0", -1},
                          {"false", -1},    {"absent", -1},  {"null", -1},
                          {"1e18", 1e18},   {"0.0001", 1e-4}};
  struct Bound {
    const char *Name_;
    double UnitMs_;
    Duration Least_;
    Duration (*Get_)(const StoreEntrySettings &);
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
    for (const Input &K : Inputs) {
      INFO(B.Name_ << " = " << K.Given_);
      Duration Actual = B.Get_(entryOf(withBound(B.Name_, K.Given_)));
      if (K.Number_ < 0) {
        CHECK(Actual == B.Get_(StoreEntrySettings{}));
        continue;
      }
      double Ms = std::min(K.Number_ * B.UnitMs_, 30.0 * 86400 * 1000);
      CHECK(Actual == std::clamp(milliseconds(Ms), B.Least_, Longest));
    }
}

TEST_CASE("store settings, rendered with a slack and a ratio of any kind, hold "
          "them unchanged",
          "[settings]") {
  CHECK(entryOf(withBound("retry_slack", "8.5")).RepeatSlack_ == 8.5);
  CHECK(entryOf(withBound("retry_slack", "1e12")).RepeatSlack_ == 1e12);
  CHECK(entryOf(withBound("retry_ratio", "3")).RepeatRatio_ == 3);
  CHECK(entryOf(withBound("retry_ratio", "absent")).RepeatRatio_ == 0.2);
  // Zero allows no repeats; it does not select the default.
  CHECK(entryOf(withBound("retry_slack", "0")).RepeatSlack_ == 0);
  CHECK(entryOf(withBound("retry_ratio", "0")).RepeatRatio_ == 0);
}

TEST_CASE("store settings, optional values left out by the platform, have "
          "defaults in both programs",
          "[settings]") {
  json::object Fields = platformFields();
  Fields["bounds"].as_object().clear();
  Fields["limits"].as_object().clear();
  Fields.erase("zones");
  CHECK(entryOf(Fields).Common_.Regions_.empty());
  CHECK(entryOf(Fields).Common_.StopBound_ ==
        StoreProcessSettings{}.StopBound_);
  CHECK(agentOf(Fields).LinkMbps_ == StoreAgentSettings{}.LinkMbps_);
}

TEST_CASE("store settings, given a meaningless value, name its key and "
          "line",
          "[settings]") {
  for (const char *Given : {"true", "{}", "[1]", "-1"}) {
    INFO(Given);
    std::string Text =
        render(templateText(Templates[1]), withBound("retry_slack", Given));
    try {
      StoreEntrySettings::parse(Text, "entry.jsonc");
      FAIL("the value was accepted");
    } catch (const TextError &E) {
      std::string Message = describeFaults("entry.jsonc", E.faults());
      auto Key = Text.find("\"repeat_slack\"");
      auto Line =
          1 + std::count(Text.begin(),
                         Text.begin() + static_cast<std::ptrdiff_t>(Key), '\n');
      CHECK_THAT(Message, Contains("repeat_slack"));
      CHECK_THAT(Message, Contains(std::to_string(Line)));
    }
  }
}

TEST_CASE("store settings, given a bound in both units, are rejected",
          "[settings]") {
  std::string Text = render(templateText(Templates[1]), platformFields());
  Text.insert(Text.find("\"process\""), "\"stop_bound_ms\": 8000, ");
  REQUIRE_THROWS_AS(StoreEntrySettings::parse(Text, "entry.jsonc"), TextError);
}
