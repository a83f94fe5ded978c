// Decoders of what others write, given mutated texts: each returns or throws
// the project's error, and none takes long.

#include "platform/RequestWire.h"
#include "platform/StoreWire.h"

#include <catch2/catch.hpp>
#include <ctime>
#include <random>

using namespace hawthornroad;

namespace {
constexpr int Rounds = 20'000;
// Many times what a decoder takes; a quadratic one would take far longer.
constexpr Duration MostForOne = Milliseconds(500);

// Repeatable mutations of texts.
class Mutator {
public:
  explicit Mutator(unsigned Seed) : Random_(Seed) {}

  std::string mutate(std::string Text) {
    for (std::size_t N = 1 + below(4); N > 0; --N)
      mutateOnce(Text);
    return Text;
  }
  std::size_t below(std::size_t Bound) { return Random_() % Bound; }

private:
  void mutateOnce(std::string &Text) {
    static const std::vector<std::string> Tokens = {
        "null",  "-1",   "1e30", "18446744073709551616",
        "1e999", "-0.0", "\"\"", "[]",
        "{}",    "true", "\"",   "\\u0000",
        "\xff",  "{",    "[",    "}",
        ":",     ",",    "\\",   "9999999999999999999999999999999999",
        "-",     ";",    "\r\n", "%"};
    std::size_t At = below(Text.size() + 1);
    std::size_t Length = std::min(below(12), Text.size() - At);
    switch (below(7)) {
    case 0:
      Text.erase(At, Length);
      break;
    case 1:
      Text.insert(At, Tokens[below(Tokens.size())]);
      break;
    case 2:
      Text.replace(At, Length, Tokens[below(Tokens.size())]);
      break;
    case 3:
      if (At < Text.size())
        Text[At] = static_cast<char>(below(256));
      break;
    case 4:
      Text.insert(At, Text.substr(At, below(200)));
      break;
    case 5:
      Text.resize(At);
      break;
    default:
      Text.insert(At, std::string(below(3000), Text.empty() ? '[' : Text[0]));
    }
  }
  std::mt19937 Random_;
};

// Runs Decode; how long it took, or a failure of the test.
// Processor time of this thread, which other processes do not lengthen.
Duration threadTime() {
  timespec T{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &T);
  return Seconds(T.tv_sec) + std::chrono::nanoseconds(T.tv_nsec);
}

template <class Fn> Duration timeOf(const std::string &Text, Fn Decode) {
  Duration Begun = threadTime();
  try {
    Decode(Text);
  } catch (const Error &) {
  } catch (const std::exception &E) {
    FAIL("other exception " << E.what() << " on " << Text.substr(0, 500));
  }
  return threadTime() - Begun;
}

template <class Fn>
void fuzz(unsigned Seed, const std::vector<std::string> &Valid, Fn Decode) {
  Mutator M(Seed);
  Duration Longest = Duration::zero();
  for (int I = 0; I < Rounds; ++I) {
    std::string Text = M.mutate(Valid[M.below(Valid.size())]);
    Longest = std::max(Longest, timeOf(Text, Decode));
  }
  REQUIRE(Longest < MostForOne);
}

// Lines "Name: value" as header fields.
HeaderFields fieldsIn(const std::string &Text) {
  HeaderFields Out;
  std::size_t At = 0;
  while (At < Text.size()) {
    std::size_t End = std::min(Text.find('\n', At), Text.size());
    std::string Line = Text.substr(At, End - At);
    std::size_t Colon = std::min(Line.find(':'), Line.size());
    Out.push_back({Line.substr(0, Colon),
                   Colon + 2 <= Line.size() ? Line.substr(Colon + 2) : ""});
    At = End + 1;
  }
  return Out;
}
} // namespace

TEST_CASE("endpoint row decoding, given mutated rows, returns or throws an "
          "error",
          "[platform][fuzz]") {
  fuzz(1,
       {R"({"service":"lm","address":"10.0.0.1:80","zone":"z","version":"v9",
         "slots":16,"state":"draining","stage":"both","born":1700000000123,
         "models":[{"name":"m","version":3,"adapters":[]}],"seq":4,
         "cold_remaining_ms":1200})",
        R"({"service":"x","address":"[::1]:80","zone":"z","state":"ready"})"},
       [](const std::string &Text) { platform::decodeEndpoint("i", Text); });
}

TEST_CASE("configuration decoding, given mutated texts, returns or throws an "
          "error",
          "[platform][fuzz]") {
  fuzz(2, {R"({"version":7,"routes":[{"name":"r1","host":"h","prefix":"/a/",
         "kind":"streaming","timeout_ms":6000,"latency_goal_ms":400,
         "priority":1,"service":"lm","max_attempts":2,"public":false,
         "resumable":true,"gap_goal_ms":300,"allowed_regions":["r"],
         "split":[{"service":"x","weight":90}]}],
         "services":[{"name":"lm","max_conns":264,"cold_start_s":3,
         "cold_per_s":15,"engine":{"slots":16,"read_per_s":30600.0,
         "step_ms":6.73,"models":[{"name":"m1"}],"usual":{"prompt":964},
         "report_lag_ms":20}}],
         "limits":{"max_header_bytes":1000,"max_body_bytes":2000,
         "header_timeout_ms":3000},"tenants":[{"name":"t1",
         "api_keys":["k1"],"priority":0,"allowed_regions":[]}]})"},
       [](const std::string &Text) { platform::decodeConfig(Text); });
}

TEST_CASE("answer decoding, given mutated headers, returns",
          "[platform][fuzz]") {
  fuzz(3,
       {"X-Hawthornroad-Server-Load: 3,1,16,250\n"
        "X-Hawthornroad-Cold-Ms: 1200\nX-Hawthornroad-Weight-Versions: 2\n"
        "X-Hawthornroad-Not-Executed: 1\nRetry-After: 1.5\n"
        "X-Hawthornroad-Instance-Id: i-2\nConnection: close, X-Hop\nX-Hop: 1\n"
        "Content-Encoding: gzip\nX-Hawthornroad-Server-Stamp: s"},
       [](const std::string &Text) {
         platform::decodeAnswer(Text.size() % 2 == 0 ? 200 : 503,
                                fieldsIn(Text));
       });
}

TEST_CASE("request decoding, given mutated headers, returns and can be passed "
          "on",
          "[platform][fuzz]") {
  fuzz(4,
       {"Host: h.example\nX-Hawthornroad-Request-Id: r1\n"
        "X-Hawthornroad-Deadline-Ms: 6000\n"
        "X-Hawthornroad-Token-Usage: 1460,80\n"
        "X-Hawthornroad-Length-Hint: 90\nAuthorization: Token secret\n"
        "X-Hawthornroad-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\n"
        "Last-Event-Id: 12\nConnection: keep-alive, X-Hop\nX-Hop: 1"},
       [](const std::string &Text) {
         InboundRequest R;
         R.Method_ = "POST";
         R.Target_ = Text.substr(0, 100);
         R.Headers_ = fieldsIn(Text);
         Call C = platform::decodeCall(std::move(R));
         platform::encodeAttempt(C, {});
       });
}
