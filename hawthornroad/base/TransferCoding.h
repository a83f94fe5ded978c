// Tells by a message's Transfer-Encoding fields whether its body can be
// delimited.
//
//   if (transferCodingOf(Parser.get()) == TransferCoding::Unsupported)
//     refuse(501);
//
// Source: RFC 9112, 6.1 and 6.3. A parser that does not know a coding takes the
// body of such a request for the next request.

#ifndef HAWTHORNROAD_BASE_TRANSFERCODING_H
#define HAWTHORNROAD_BASE_TRANSFERCODING_H

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <string_view>

namespace hawthornroad {

enum class TransferCoding {
  // There is no such field.
  None,
  Chunked,
  // Any other list of codings, an empty one too.
  Unsupported
};

// Fields: a set of fields or a message of Boost.Beast.
template <class Fields> TransferCoding transferCodingOf(const Fields &F) {
  constexpr std::string_view Blanks = " \t";
  auto [At, End] = F.equal_range(boost::beast::http::field::transfer_encoding);
  if (At == End)
    return TransferCoding::None;
  unsigned Chunked = 0;
  for (; At != End; ++At) {
    std::string_view Left(At->value().data(), At->value().size());
    while (!Left.empty()) {
      std::string_view Coding = Left.substr(0, Left.find(','));
      Left.remove_prefix(std::min(Left.size(), Coding.size() + 1));
      Coding.remove_prefix(
          std::min(Coding.size(), Coding.find_first_not_of(Blanks)));
      Coding = Coding.substr(0, Coding.find_last_not_of(Blanks) + 1);
      if (Coding.empty())
        continue;
      if (!boost::beast::iequals({Coding.data(), Coding.size()}, "chunked"))
        return TransferCoding::Unsupported;
      ++Chunked;
    }
  }
  return Chunked == 1 ? TransferCoding::Chunked : TransferCoding::Unsupported;
}

} // namespace hawthornroad

#endif // HAWTHORNROAD_BASE_TRANSFERCODING_H
