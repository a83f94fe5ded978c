#include "hawthornroad/config/Names.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cstdint>

namespace hawthornroad {

namespace {
bool isNameCharacter(char C) {
  bool IsLetter = (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z');
  bool IsDigit = C >= '0' && C <= '9';
  return IsLetter || IsDigit || C == '.' || C == '_' || C == '-';
}

bool isLowerHex(char C) {
  return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
}

bool isIp(int Family, const std::string &Text) {
  unsigned char Buffer[sizeof(in6_addr)];
  return inet_pton(Family, Text.c_str(), Buffer) == 1;
}

bool isPort(std::string_view Text, PortRule Rule) {
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  auto Result = std::from_chars(Text.data(), End, Port);
  if (Text.empty() || Result.ec != std::errc() || Result.ptr != End)
    return false;
  return Port != 0 || Rule == PortRule::AnyPort;
}
} // namespace

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxName &&
         std::all_of(Text.begin(), Text.end(), isNameCharacter);
}

bool isNamePattern(std::string_view Text) {
  auto Allowed = [](char C) { return C == '*' || isNameCharacter(C); };
  return !Text.empty() && Text.size() <= MaxName &&
         std::all_of(Text.begin(), Text.end(), Allowed);
}

bool isDigest(std::string_view Text) {
  constexpr std::string_view Prefix = "sha256:";
  constexpr std::size_t HexDigits = 64;
  if (!Text.starts_with(Prefix))
    return false;
  Text.remove_prefix(Prefix.size());
  return Text.size() == HexDigits &&
         std::all_of(Text.begin(), Text.end(), isLowerHex);
}

bool isAddress(std::string_view Text, PortRule Rule) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || !isPort(Text.substr(Colon + 1), Rule))
    return false;
  std::string Ip(Text.substr(0, Colon));
  bool IsBracketed = Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']';
  if (IsBracketed)
    return isIp(AF_INET6, Ip.substr(1, Ip.size() - 2));
  return isIp(AF_INET, Ip);
}

} // namespace hawthornroad
