// HTTP for tests: complete calls, and streams whose events are read as they
// arrive.

#ifndef HAWTHORNROAD_TESTS_INTEGRATION_HTTPHELPERS_H
#define HAWTHORNROAD_TESTS_INTEGRATION_HTTPHELPERS_H

#include "hawthornroad/runtime/Http.h"
#include "tests/integration/Eventually.h"

#include <boost/json/object.hpp>
#include <memory>
#include <string>
#include <vector>

namespace hawthornroad {

// One call; throws Error when no complete answer arrives.
HttpResponse fetch(const std::string &Address, HttpRequest R,
                   Duration Timeout = AwaitTimeout);
HttpResponse get(const std::string &Address, const std::string &Target);
// GETs a JSON object; throws unless the status is 200.
boost::json::object getJson(const std::string &Address,
                            const std::string &Target);
// Throw unless the status is 200 to 299.
void postJson(const std::string &Address, const std::string &Target,
              const boost::json::object &Body);
void putJson(const std::string &Address, const std::string &Target,
             const boost::json::object &Body);

// The number at Key of an object; 0 when absent.
std::int64_t numberAt(const boost::json::object &From, std::string_view Key);
// The text at Key of an object; empty when absent.
std::string textAt(const boost::json::object &From, std::string_view Key);

// Result of a streaming call.
struct StreamResult {
  // 0 when no response head arrived.
  unsigned Status_ = 0;
  HttpHeaders Headers_;
  std::string Body_;
  // The "data:" texts, in order.
  std::vector<std::string> Events_;
  // Whether the body is complete according to its framing.
  bool Whole_ = false;
  // The error, when it is not complete.
  std::string Error_;
};

// A call whose answer is read while the test continues.
class StreamCall {
public:
  StreamCall(const std::string &Address, HttpRequest R);
  ~StreamCall();
  StreamCall(const StreamCall &) = delete;
  StreamCall &operator=(const StreamCall &) = delete;

  // What has arrived so far.
  StreamResult resultSoFar() const;
  bool done() const;
  // Waits until the call has ended; throws after Bound.
  StreamResult wait(Duration Bound = AwaitTimeout);
  // Closes the connection, as a caller that disconnects does.
  void disconnect();

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
