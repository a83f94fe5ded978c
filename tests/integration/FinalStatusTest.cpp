// Endpoints whose answers have a status that is no final one of HTTP.

#include "tests/integration/PlatformFixture.h"
#include "tests/integration/RawEndpoint.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
// Keeps the connection open after its answer, so that only the status shows
// that no answer follows.
void answerWithStatus(const RawSocket &S, const std::string &Status) {
  std::string Request = RawEndpoint::readRequest(S);
  if (Request.empty())
    return;
  S.trySend("HTTP/1.1 " + Status +
            " -\r\nContent-Length: 2\r\nX-Hawthornroad-Server-Stamp: s\r\n"
            "X-Hawthornroad-Request-Id: " +
            RawEndpoint::requestId(Request) + "\r\n\r\nok");
  RawEndpoint::readRequest(S);
}
} // namespace

// Guards against a caller that gets such an answer, or waits for another one
// until its route's timeout.
TEST_CASE_METHOD(PlatformFixture,
                 "store entry, whose endpoints answer with a status that is no "
                 "final one, answers 502 at once",
                 "[store-entry]") {
  std::string Status = GENERATE("000", "042", "101", "600", "999");
  CAPTURE(Status);
  RawEndpoint E("i-raw", "api",
                [&](const RawSocket &S) { answerWithStatus(S, Status); });
  Store_.remove("servers", A_.id());
  Store_.remove("servers", B_.id());
  Store_.put("servers", E.id(), E.row());
  configure();
  startEntry();
  eventually([&] { return isReady(); }, "the entry is ready");
  TimePoint Sent = std::chrono::steady_clock::now();
  HttpResponse R = call("/safe/1");
  CHECK(R.Status_ == 502);
  CHECK(std::chrono::steady_clock::now() - Sent < Seconds(1));
}
