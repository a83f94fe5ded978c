#include "hawthornroad/config/Declaration.h"
#include "hawthornroad/config/DeclarationCheck.h"
#include "hawthornroad/config/JsonText.h"
#include "hawthornroad/config/Names.h"
#include "hawthornroad/config/ObjectReader.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// Limits of a declaration. Every process holds the whole declaration and parses
// it on each change; the limits keep that within a few milliseconds and
// megabytes.
constexpr std::int64_t FormatVersion = 1;
constexpr std::size_t MaxZones = 256;
constexpr std::size_t MaxServices = 512;
constexpr std::size_t MaxCustomers = 4096;
constexpr std::size_t MaxPatterns = 4096;
constexpr std::size_t MaxRules = 64;
constexpr std::int64_t MaxReplicas = 100000;
constexpr double MaxOriginCopies = 10000;
constexpr std::int64_t MaxInFlight = 1000000;
constexpr double MaxRate = 10000000;
constexpr double MinWeight = 0.001;
constexpr double MaxWeight = 1000;

const std::string NameRule =
    "expected a name of letters, digits and \"._-\", at most " +
    std::to_string(MaxName) + " characters";

// Reads the whole tree into a builder. Faulty parts are added as far as they
// could be read, so that the checks across parts report their faults as well.
class DeclarationParser {
public:
  DeclarationParser(const JsonNode &Root, std::vector<Fault> &Faults)
      : Root_(Root), Faults_(Faults) {}

  std::shared_ptr<const Declaration> parse() {
    ObjectReader Top(Root_, "", Faults_);
    Top.integer("format", FormatVersion, FormatVersion);
    readZones(Top);
    readServices(Top);
    readCustomers(Top);
    Top.finish();
    checkAcrossParts();
    if (!Faults_.empty())
      return nullptr;
    return Builder_.build();
  }

private:
  void checkCount(ObjectReader &R, std::string_view Key, std::size_t Count,
                  std::size_t Max) {
    if (Count > Max)
      R.fault(Key, std::to_string(Count) + " entries are above the limit of " +
                       std::to_string(Max));
  }

  void checkName(ObjectReader &R, const std::string &Name) {
    if (!isName(Name))
      R.fault("", NameRule);
  }

  void readZones(ObjectReader &Top) {
    std::size_t Count = 0;
    Top.members("zones", [&](const std::string &Name, ObjectReader &R) {
      ++Count;
      checkName(R, Name);
      Builder_.add(ZoneDeclaration{.Name_ = AvailabilityZone(Name),
                                   .Region_ = R.text("region")});
    });
    checkCount(Top, "zones", Count, MaxZones);
  }

  void readServices(ObjectReader &Top) {
    Top.members("services", [&](const std::string &Name, ObjectReader &R) {
      checkName(R, Name);
      Service S = readService(Name, R);
      PatternCount_ += S.Vms_.size();
      Services_.insert_or_assign(S.Name_, S);
      Builder_.add(std::move(S));
    });
    checkCount(Top, "services", Services_.size(), MaxServices);
    if (PatternCount_ > MaxPatterns)
      Top.fault("services", std::to_string(PatternCount_) +
                                " VM patterns are above the limit of " +
                                std::to_string(MaxPatterns));
  }

  Service readService(const std::string &Name, ObjectReader &R) {
    Service S;
    S.Name_ = ServiceName(Name);
    S.Kind_ = R.choice("kind", {"model", "plain"}, std::nullopt) == 0
                  ? ServiceKind::Model
                  : ServiceKind::Plain;
    readPatterns(R, S);
    S.Replicas_ =
        static_cast<std::size_t>(R.integer("replicas", 1, MaxReplicas, 1));
    for (std::string &Each : R.texts("depends_on"))
      S.DependsOn_.emplace_back(std::move(Each));
    readRules(R, S);
    readLimits(R, S);
    readModel(R, S);
    return S;
  }

  void readPatterns(ObjectReader &R, Service &S) {
    bool IsGiven = R.has("vms");
    S.Vms_ = R.texts("vms");
    if (!IsGiven)
      R.fault("vms", "is required");
    else if (S.Vms_.empty())
      R.fault("vms", "expected at least one VM name or pattern");
    for (const std::string &Each : S.Vms_)
      if (!isNamePattern(Each))
        R.fault("vms", "\"" + Each +
                           "\": expected letters, digits, \"._-\" and \"*\"");
  }

  void readRules(ObjectReader &R, Service &S) {
    R.items("non_repeatable", [&](ObjectReader &Item) {
      NonRepeatableRule Rule{.Method_ = Item.text("method", ""),
                             .Path_ = Item.text("path")};
      if (!std::all_of(Rule.Method_.begin(), Rule.Method_.end(),
                       [](char C) { return C >= 'A' && C <= 'Z'; }))
        Item.fault("method", "expected capital letters, as in \"POST\"");
      if (!Rule.Path_.empty() && Rule.Path_.front() != '/')
        Item.fault("path", "expected a path that begins with \"/\"");
      S.NonRepeatable_.push_back(std::move(Rule));
    });
    checkCount(R, "non_repeatable", S.NonRepeatable_.size(), MaxRules);
  }

  void readLimits(ObjectReader &R, Service &S) {
    const ServiceLimits Default;
    ObjectReader Limits = R.object("limits");
    S.Limits_.InFlightPerEndpoint_ = static_cast<std::size_t>(Limits.integer(
        "in_flight_per_endpoint", 1, MaxInFlight,
        static_cast<std::int64_t>(Default.InFlightPerEndpoint_)));
    S.Limits_.Queue_ = static_cast<std::size_t>(Limits.integer(
        "queue", 0, MaxInFlight, static_cast<std::int64_t>(Default.Queue_)));
    Limits.finish();
  }

  void readModel(ObjectReader &R, Service &S) {
    if (S.Kind_ == ServiceKind::Plain) {
      refuseModelKeys(R);
      return;
    }
    S.ChecksFencing_ = R.boolean("checks_fencing", false);
    readRollout(R, S.Rollout_);
    if (!R.has("model")) {
      R.fault("model", "is required for a service of kind \"model\"");
      return;
    }
    ObjectReader Model = R.object("model");
    S.Model_ =
        ModelDeclaration{.Manifest_ = Model.text("manifest"),
                         .Version_ = VersionDigest(Model.text("version"))};
    if (!S.Model_->Manifest_.empty() && S.Model_->Manifest_.front() != '/')
      Model.fault("manifest", "expected a path that begins with \"/\"");
    if (!S.Model_->Version_.empty() && !isDigest(S.Model_->Version_.str()))
      Model.fault("version",
                  "expected \"sha256:\" and 64 lower-case hex digits");
    Model.finish();
  }

  void refuseModelKeys(ObjectReader &R) {
    for (std::string_view Key : {"model", "rollout", "checks_fencing"})
      if (R.has(Key)) {
        R.fault(Key, "is only for a service of kind \"model\"");
        R.ignore(Key);
      }
  }

  void readRollout(ObjectReader &R, RolloutDeclaration &Rollout) {
    ObjectReader Section = R.object("rollout");
    Rollout.Preference_ =
        Section.choice("prefer", {"time", "origin_bytes"}, 0) == 0
            ? RolloutPreference::Time
            : RolloutPreference::OriginBytes;
    Rollout.MaxUnavailable_ = static_cast<std::size_t>(
        Section.integer("max_unavailable", 1, MaxReplicas,
                        static_cast<std::int64_t>(Rollout.MaxUnavailable_)));
    Rollout.OriginCopies_ = Section.number("origin_copies", 1, MaxOriginCopies,
                                           Rollout.OriginCopies_);
    Rollout.HaltAfterFailures_ = static_cast<std::size_t>(
        Section.integer("halt_after_failures", 1, MaxReplicas,
                        static_cast<std::int64_t>(Rollout.HaltAfterFailures_)));
    Section.finish();
  }

  void readCustomers(ObjectReader &Top) {
    std::size_t Count = 0;
    Top.members("customers", [&](const std::string &Name, ObjectReader &R) {
      ++Count;
      checkName(R, Name);
      CustomerLimits L;
      L.Name_ = Customer(Name);
      L.Weight_ = R.number("weight", MinWeight, MaxWeight, L.Weight_);
      L.RequestsPerSecond_ = R.number("requests_per_second", MinWeight, MaxRate,
                                      L.RequestsPerSecond_);
      L.Burst_ = R.number("burst", 1, MaxRate, L.Burst_);
      L.InFlight_ = static_cast<std::size_t>(R.integer(
          "in_flight", 1, MaxInFlight, static_cast<std::int64_t>(L.InFlight_)));
      Builder_.add(std::move(L));
    });
    checkCount(Top, "customers", Count, MaxCustomers);
  }

  void checkAcrossParts() {
    // Above the limit, comparing all pairs of patterns would take seconds.
    if (PatternCount_ > MaxPatterns)
      return;
    for (const DeclarationFault &Each : checkServices(Services_))
      Faults_.push_back({lineOf(Each.Service_, Each.Key_),
                         "services." + Each.Service_.str() + "." + Each.Key_,
                         Each.Message_});
  }

  int lineOf(const ServiceName &Name, const std::string &Key) const {
    const JsonNode *Found = &Root_;
    for (const std::string &Step : {std::string("services"), Name.str(), Key}) {
      const JsonNode *Next = Found->find(Step);
      if (Next == nullptr)
        break;
      Found = Next;
    }
    return Found->Line_;
  }

  const JsonNode &Root_;
  std::vector<Fault> &Faults_;
  DeclarationBuilder Builder_;
  std::map<ServiceName, Service> Services_;
  std::size_t PatternCount_ = 0;
};
} // namespace

std::shared_ptr<const Declaration> parseDeclaration(std::string_view Text,
                                                    const std::string &File) {
  JsonNode Root = parseJsonText(Text, File, Step::Declaration);
  std::vector<Fault> Faults;
  std::shared_ptr<const Declaration> Parsed =
      DeclarationParser(Root, Faults).parse();
  if (Faults.empty())
    return Parsed;
  std::stable_sort(
      Faults.begin(), Faults.end(),
      [](const Fault &A, const Fault &B) { return A.Line_ < B.Line_; });
  throw TextError(Step::Declaration, File, std::move(Faults));
}

} // namespace hawthornroad
