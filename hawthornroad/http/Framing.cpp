#include "hawthornroad/http/Framing.h"

#include "hawthornroad/base/HttpStatus.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdio>

namespace hawthornroad {

namespace beast = boost::beast;

bool sameHeader(std::string_view A, std::string_view B) {
  return beast::iequals({A.data(), A.size()}, {B.data(), B.size()});
}

bool isConnectionHeader(std::string_view Name) {
  static constexpr std::array<std::string_view, 9> Names = {
      "Connection", "Keep-Alive",        "Proxy-Connection",
      "TE",         "Trailer",           "Upgrade",
      "Expect",     "Transfer-Encoding", "Content-Length"};
  return std::any_of(Names.begin(), Names.end(), [&](std::string_view Each) {
    return sameHeader(Each, Name);
  });
}

const std::string *findField(const HeaderFields &Fields,
                             std::string_view Name) {
  for (const HeaderField &Each : Fields)
    if (sameHeader(Each.Name_, Name))
      return &Each.Value_;
  return nullptr;
}

HeaderFields endToEnd(HeaderFields Fields) {
  std::string Named;
  if (const std::string *Connection = findField(Fields, "Connection"))
    Named = *Connection;
  std::erase_if(Fields, [&](const HeaderField &F) {
    if (isConnectionHeader(F.Name_))
      return true;
    if (Named.empty())
      return false;
    for (auto Token : beast::http::token_list(Named))
      if (sameHeader({Token.data(), Token.size()}, F.Name_))
        return true;
    return false;
  });
  return Fields;
}

namespace {
void appendFields(std::string &Text, const HeaderFields &Fields) {
  for (const HeaderField &Each : Fields) {
    Text += Each.Name_;
    Text += ": ";
    Text += Each.Value_;
    Text += "\r\n";
  }
}
} // namespace

std::string requestText(const HttpMessage &M, std::string_view Host) {
  std::string Text;
  Text.reserve(512 + M.Body_.size());
  Text += M.Method_;
  Text += ' ';
  Text += M.Target_;
  Text += " HTTP/1.1\r\n";
  if (findField(M.Headers_, "Host") == nullptr) {
    Text += "Host: ";
    Text += Host;
    Text += "\r\n";
  }
  appendFields(Text, M.Headers_);
  if (!M.Body_.empty() || M.Method_ == "POST" || M.Method_ == "PUT")
    Text += "Content-Length: " + std::to_string(M.Body_.size()) + "\r\n";
  Text += "\r\n";
  Text += M.Body_;
  return Text;
}

std::string responseHead(unsigned Status, const HeaderFields &Fields,
                         BodyFraming Framing, std::size_t Length,
                         bool KeepOpen) {
  Status = writableStatus(Status);
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " ";
  auto Reason =
      beast::http::obsolete_reason(beast::http::int_to_status(Status));
  Text.append(Reason.data(), Reason.size());
  Text += "\r\n";
  appendFields(Text, Fields);
  if (!KeepOpen)
    Text += "Connection: close\r\n";
  if (Framing == BodyFraming::Chunked)
    Text += "Transfer-Encoding: chunked\r\n\r\n";
  else
    Text += "Content-Length: " + std::to_string(Length) + "\r\n\r\n";
  return Text;
}

std::string chunkText(std::string_view Bytes) {
  std::array<char, 20> Size;
  int Length = std::snprintf(Size.data(), Size.size(), "%zx\r\n", Bytes.size());
  std::string Text;
  Text.reserve(Bytes.size() + 16);
  Text.append(Size.data(), static_cast<std::size_t>(Length));
  Text += Bytes;
  Text += "\r\n";
  return Text;
}

} // namespace hawthornroad
