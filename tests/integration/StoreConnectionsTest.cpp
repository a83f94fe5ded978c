// What the log says of callers' connections that an entry ends.

#include "tests/integration/PlatformFixture.h"
#include "tests/unit/RawSocket.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

// Guards against requests whose connection ends without a trace in the log.
TEST_CASE_METHOD(PlatformFixture,
                 "store entry, ending a connection within a request, logs the "
                 "request and the reason") {
  configure();
  Process &Entry = startEntry();
  eventually([&] { return isReady(); }, "the entry is ready");
  std::string Address = callers();
  RawSocket Caller = RawSocket::connectTo(static_cast<std::uint16_t>(
      std::stoul(Address.substr(Address.rfind(':') + 1))));
  Caller.send("POST /safe/1 HTTP/1.1\r\nX-Hawthornroad-Request-Id: half\r\nHo");
  REQUIRE(Caller.readUntil("").find(" 408 ") != std::string::npos);
  REQUIRE(metrics().at("hawthornroad_caller_connections_ended_total{why="
                       "\"header_timeout\"}") == 1);
  Entry.terminate();
  REQUIRE(Entry.waitExit() == 0);
  std::string Log = Entry.restOfOutput();
  std::size_t At = Log.find("\"event\":\"connection_ended\"");
  REQUIRE(At != std::string::npos);
  std::string Line = Log.substr(At, Log.find('\n', At) - At);
  REQUIRE(Line.find("\"request\":\"half\"") != std::string::npos);
  REQUIRE(Line.find("\"why\":\"header_timeout\"") != std::string::npos);
}
