// HTTP for tests: whole calls, and streams whose events are read as they come.

#ifndef HAWTHORNROAD_TESTS_INTEGRATION_HTTPHELPERS_H
#define HAWTHORNROAD_TESTS_INTEGRATION_HTTPHELPERS_H

#include "hawthornroad/runtime/Http.h"
#include "tests/integration/Eventually.h"

#include <boost/json/object.hpp>
#include <memory>
#include <string>
#include <vector>

namespace hawthornroad {

// One call; throws Error when no whole answer comes.
HttpResponse fetch(const std::string &Address, HttpRequest R,
                   Duration Timeout = Patience);
HttpResponse get(const std::string &Address, const std::string &Target);
// GET of an object; throws unless it is answered 200.
boost::json::object getJson(const std::string &Address,
                            const std::string &Target);
// Throws unless answered 200 to 299.
void postJson(const std::string &Address, const std::string &Target,
              const boost::json::object &Body);
void putJson(const std::string &Address, const std::string &Target,
             const boost::json::object &Body);

// The number at Key of an object; 0 when absent.
std::int64_t numberAt(const boost::json::object &From, std::string_view Key);
// The text at Key of an object; empty when absent.
std::string textAt(const boost::json::object &From, std::string_view Key);

// What became of a streaming call.
struct StreamResult {
  // 0 when no head came.
  unsigned Status_ = 0;
  HttpHeaders Headers_;
  std::string Body_;
  // The "data:" texts, in order.
  std::vector<std::string> Events_;
  // Whether the body ended as its framing says.
  bool Whole_ = false;
  // Why not, when it did not.
  std::string Error_;
};

// A call whose answer is read while the test goes on.
class StreamCall {
public:
  StreamCall(const std::string &Address, HttpRequest R);
  ~StreamCall();
  StreamCall(const StreamCall &) = delete;
  StreamCall &operator=(const StreamCall &) = delete;

  // What has come so far.
  StreamResult sofar() const;
  bool done() const;
  // Waits until the call has ended; throws after Bound.
  StreamResult wait(Duration Bound = Patience);
  // Leaves, as a caller does that closes its connection.
  void leave();

private:
  struct State;
  std::shared_ptr<State> State_;
};

StreamResult fetchStream(const std::string &Address, HttpRequest R);

// A completion request as an OpenAI-style client sends it.
HttpRequest completionRequest(const std::string &Path,
                              const std::string &Prompt, int MaxTokens,
                              bool Stream);

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_INTEGRATION_HTTPHELPERS_H
