#include "tests/soak/SoakOperators.h"

namespace hawthornroad {

namespace {
TimePoint now() { return std::chrono::steady_clock::now(); }

// A row that differs in one field; an empty Value removes the field.
std::string rowWith(const std::string &Address, const std::string &Field,
                    const std::string &Value) {
  std::string Out = "{";
  for (const auto &[Name, Sound] :
       std::vector<std::pair<std::string, std::string>>{
           {"service", R"("api")"},
           {"address", Address},
           {"zone", R"("z0")"},
           {"state", R"("ready")"},
           {"slots", "16"},
           {"cold_remaining_ms", "0"}}) {
    std::string Text = Name == Field ? Value : Sound;
    if (!Text.empty())
      Out += (Out.size() > 1 ? ",\"" : "\"") + Name + "\":" + Text;
  }
  return Out + "}";
}

std::vector<std::string> foreignRows(const std::string &TrapAddress) {
  std::string Address = '"' + TrapAddress + '"';
  std::string Sound = rowWith(Address, "", "");
  return {"",
          "\xff{",
          "[]",
          "null",
          Sound + Sound,
          "[" + Sound + "]",
          Sound.substr(0, Sound.size() - 1) + R"(,"service":"aux"})",
          Sound.substr(0, Sound.size() - 1) + R"(,"x":")" +
              std::string(100'000, 'x') + "\"}",
          rowWith(Address, "service", ""),
          rowWith(Address, "service", "7"),
          rowWith(Address, "zone", ""),
          rowWith(Address, "zone", "[]"),
          rowWith(Address, "state", R"("asleep")"),
          rowWith(Address, "state", ""),
          rowWith(Address, "slots", R"("16")"),
          rowWith(Address, "slots", "-1"),
          rowWith(Address, "cold_remaining_ms", R"("0")"),
          Sound.substr(0, Sound.size() - 1) + R"(,"models":"m"})",
          rowWith(Address, "address", ""),
          rowWith(Address, "address", R"("127.0.0.1:0")"),
          Sound.substr(0, Sound.size() - 1) + R"(,"x":)" +
              std::string(30'000, '['),
          Sound.substr(0, Sound.size() - 1) + R"(,"x":)" +
              std::string(10'000, '[') + std::string(10'000, ']') + "}",
          rowWith(Address, "slots", "1e999"),
          rowWith(Address, "slots", "18446744073709551616"),
          Sound.substr(0, Sound.size() - 1) +
              R"(,"models":[{"name":"m","version":1e400}]})",
          rowWith(Address, "address", R"("127.0.0.1:65536")"),
          rowWith(Address, "address", R"("127.0.0.1:-1")"),
          rowWith(Address, "address", R"("127.0.0.1:99999999999999999999")")};
}

// More than are written in a run of 15 s.
constexpr std::uint64_t RowsOfASeed = 9;

std::string foreignKey(std::uint64_t Number) {
  return "foreign-" + std::to_string(Number);
}
} // namespace

SoakOperators::SoakOperators(StoreStandIn &Store, SoakRecord &Record,
                             std::uint64_t Seed)
    : Store_(Store), Record_(Record), FirstForeignRow_(Seed * RowsOfASeed) {
  Trap_ = std::make_unique<HttpServer>(
      Io_, HttpServer::Limits{},
      [this](const HttpRequest &, const std::shared_ptr<HttpExchange> &X) {
        ++Trapped_;
        X->respond({.Status_ = 200});
      });
  TrapAddress_ = "127.0.0.1:" + std::to_string(Trap_->listen("127.0.0.1", 0));
}

SoakOperators::~SoakOperators() { Io_.stop(); }

void SoakOperators::putForeignRow() {
  std::vector<std::string> Rows = foreignRows(TrapAddress_);
  ++ForeignRows_;
  Store_.put("servers", foreignKey(ForeignRows_),
             Rows[(FirstForeignRow_ + ForeignRows_) % Rows.size()]);
}

void SoakOperators::removeForeignRow() {
  Store_.remove("servers", foreignKey(ForeignRows_));
}

void SoakOperators::beginEndless(const std::string &Zone) {
  ++EndlessEndpoints_;
  Endless_ = std::make_unique<SoakEndless>(
      SoakEndless::Options{.Id_ =
                               "endless-" + std::to_string(EndlessEndpoints_),
                           .Zone_ = Zone,
                           .Seed_ = EndlessEndpoints_},
      Record_);
  Store_.put("servers", Endless_->id(), Endless_->row());
}

void SoakOperators::endEndless() {
  std::string Id = Endless_->id();
  Endless_.reset();
  Store_.remove("servers", Id);
}

// The store has acknowledged the row when put() returns.
void SoakOperators::evacuate(const std::string &Zone) {
  Store_.put("op", "evacuate/" + Zone, "{}");
  Record_.beginDisruption(SoakRecord::evacuation(Zone), now());
}

void SoakOperators::restore(const std::string &Zone) {
  Record_.endDisruption(SoakRecord::evacuation(Zone), now());
  Store_.remove("op", "evacuate/" + Zone);
}

} // namespace hawthornroad
