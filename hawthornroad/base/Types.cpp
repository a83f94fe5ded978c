#include "hawthornroad/base/Types.h"

#include <array>
#include <charconv>

namespace hawthornroad {

namespace {
constexpr std::size_t WordDigits = 16;
constexpr std::array<std::string_view, 3> PriorityNames = {"interactive",
                                                           "normal", "batch"};

void appendHex(std::string &Out, std::uint64_t Word) {
  constexpr std::string_view Digits = "0123456789abcdef";
  for (int Shift = 60; Shift >= 0; Shift -= 4)
    Out.push_back(Digits[(Word >> Shift) & 0xf]);
}

bool readHex(std::string_view Text, std::uint64_t &Word) {
  const char *End = Text.data() + Text.size();
  auto Result = std::from_chars(Text.data(), End, Word, 16);
  return Result.ec == std::errc() && Result.ptr == End;
}
} // namespace

template <class Tag> std::string Id<Tag>::str() const {
  std::string Out;
  Out.reserve(2 * WordDigits);
  appendHex(Out, Hi_);
  appendHex(Out, Lo_);
  return Out;
}

template <class Tag> Id<Tag> Id<Tag>::parse(std::string_view Text) {
  Id Result;
  if (Text.size() != 2 * WordDigits)
    return {};
  if (!readHex(Text.substr(0, WordDigits), Result.Hi_))
    return {};
  if (!readHex(Text.substr(WordDigits), Result.Lo_))
    return {};
  return Result;
}

template struct Id<RequestTag>;
template struct Id<AttemptTag>;

Priority parsePriority(std::string_view Text) {
  for (std::size_t I = 0; I < PriorityNames.size(); ++I)
    if (PriorityNames[I] == Text)
      return static_cast<Priority>(I);
  return Priority::Normal;
}

std::string_view toString(Priority P) {
  return PriorityNames[static_cast<std::size_t>(P)];
}

} // namespace hawthornroad
