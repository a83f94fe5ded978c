#include "hawthornroad/http/ServerSession.h"

namespace hawthornroad {

std::string_view toString(SessionEnd E) {
  switch (E) {
  case SessionEnd::Idle:
    return "idle";
  case SessionEnd::Drained:
    return "drained";
  case SessionEnd::HeaderTimeout:
    return "header_timeout";
  case SessionEnd::BodyTimeout:
    return "body_timeout";
  case SessionEnd::Malformed:
    return "malformed";
  case SessionEnd::Backlog:
    return "backlog";
  case SessionEnd::Stalled:
    return "stalled";
  case SessionEnd::BuffersFull:
    return "buffers_full";
  case SessionEnd::SendFailed:
    return "send_failed";
  case SessionEnd::CallerClosed:
    return "caller_closed";
  case SessionEnd::ReceiveFailed:
    return "receive_failed";
  case SessionEnd::Stopped:
    return "stopped";
  }
  return "unknown";
}

bool isCallersEnd(SessionEnd E) {
  return E == SessionEnd::SendFailed || E == SessionEnd::CallerClosed ||
         E == SessionEnd::ReceiveFailed;
}

} // namespace hawthornroad
