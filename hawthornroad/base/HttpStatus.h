// Status codes of HTTP answers (RFC 9110, section 15).
//
//   if (isInterimStatus(Status)) skip();
//   else if (!isFinalStatus(Status)) fail("status 042 is no final one");
//
// A status line has three digits, whatever they mean, so a parser accepts 000
// and 999 as well.

#ifndef HAWTHORNROAD_BASE_HTTPSTATUS_H
#define HAWTHORNROAD_BASE_HTTPSTATUS_H

namespace hawthornroad {

inline constexpr unsigned FirstInterimStatus = 100;
inline constexpr unsigned FirstFinalStatus = 200;
inline constexpr unsigned LastFinalStatus = 599;
inline constexpr unsigned SwitchingProtocols = 101;
inline constexpr unsigned BadGatewayStatus = 502;
// Interim answers before a final one.
inline constexpr unsigned MaxInterimAnswers = 16;

inline constexpr bool isFinalStatus(unsigned Status) {
  return Status >= FirstFinalStatus && Status <= LastFinalStatus;
}

// Whether another answer to the same request follows. None does after 101,
// which belongs to requests that ask for another protocol; none here does.
inline constexpr bool isInterimStatus(unsigned Status) {
  return Status >= FirstInterimStatus && Status < FirstFinalStatus &&
         Status != SwitchingProtocols;
}

// What is written for Status: another process's error must not become a status
// line that callers cannot read.
inline constexpr unsigned writableStatus(unsigned Status) {
  return isFinalStatus(Status) ? Status : BadGatewayStatus;
}

} // namespace hawthornroad

#endif // HAWTHORNROAD_BASE_HTTPSTATUS_H
