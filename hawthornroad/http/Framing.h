// HTTP/1.1 messages as text, and the headers that concern one connection only.
//
//   std::string Wire = requestText(Request, "10.0.0.1:80");
//   Wire = responseHead(200, Fields, Framing::Chunked, true);
//   Wire += chunkText(Bytes); Wire += LastChunk;
//
// Parsing is Beast's; what is written is built here so that headers go out as
// they came, in order and letter case.

#ifndef HAWTHORNROAD_HTTP_FRAMING_H
#define HAWTHORNROAD_HTTP_FRAMING_H

#include "hawthornroad/routing/RequestTypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace hawthornroad {

// A message to be sent; the body's framing is set by what sends it.
struct HttpMessage {
  std::string Method_ = "GET";
  std::string Target_ = "/";
  HeaderFields Headers_;
  std::string Body_;
};

// How the end of a response's body is told.
enum class BodyFraming { Length, Chunked };

inline constexpr std::string_view LastChunk = "0\r\n\r\n";

// Whether Name concerns one connection and is never passed on.
bool isConnectionHeader(std::string_view Name);
bool sameHeader(std::string_view A, std::string_view B);
// The first field called Name, letter case ignored; null when absent.
const std::string *findField(const HeaderFields &Fields, std::string_view Name);
// Fields without those that concern one connection, also by Connection's word.
HeaderFields endToEnd(HeaderFields Fields);

std::string requestText(const HttpMessage &M, std::string_view Host);
// Length is used with BodyFraming::Length only.
std::string responseHead(unsigned Status, const HeaderFields &Fields,
                         BodyFraming Framing, std::size_t Length,
                         bool KeepOpen);
std::string chunkText(std::string_view Bytes);

} // namespace hawthornroad

#endif // HAWTHORNROAD_HTTP_FRAMING_H
