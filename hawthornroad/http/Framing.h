// Serializes HTTP/1.1 messages, and tells hop-by-hop from end-to-end headers.
//
//   std::string Wire = requestText(Request, "10.0.0.1:80");
//   Wire = responseHead(200, Fields, BodyFraming::Chunked, 0, true);
//   Wire += chunkText(Bytes); Wire += LastChunk;
//
// Parsing is left to Boost.Beast. Messages are serialized here so that headers
// keep the order and letter case in which they arrived.

#ifndef HAWTHORNROAD_HTTP_FRAMING_H
#define HAWTHORNROAD_HTTP_FRAMING_H

#include "hawthornroad/routing/RequestTypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace hawthornroad {

// A message to send; the sender chooses the body's framing.
struct HttpMessage {
  std::string Method_ = "GET";
  std::string Target_ = "/";
  HeaderFields Headers_;
  std::string Body_;
};

// How the end of a response's body is marked.
enum class BodyFraming { Length, Chunked };

inline constexpr std::string_view LastChunk = "0\r\n\r\n";

// Whether a parser of a body can use what has been received. Left: bytes of
// which its last call has used none; they begin a chunk header. Boost.Beast
// requires that a last chunk is not continued with less than the whole of the
// shortest one.
inline bool canContinue(std::size_t Left, std::size_t Received) {
  return Received > Left && (Left == 0 || Received >= LastChunk.size());
}

// Whether Name is a hop-by-hop header, which is never forwarded.
bool isConnectionHeader(std::string_view Name);
bool sameHeader(std::string_view A, std::string_view B);
// The first field named Name, ignoring case; null when absent.
const std::string *findField(const HeaderFields &Fields, std::string_view Name);
// Fields without the hop-by-hop ones, including those that the Connection
// header lists.
HeaderFields endToEnd(HeaderFields Fields);

std::string requestText(const HttpMessage &M, std::string_view Host);
// Length is used only with BodyFraming::Length.
std::string responseHead(unsigned Status, const HeaderFields &Fields,
                         BodyFraming Framing, std::size_t Length,
                         bool KeepOpen);
std::string chunkText(std::string_view Bytes);

} // namespace hawthornroad

#endif // HAWTHORNROAD_HTTP_FRAMING_H
