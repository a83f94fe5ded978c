#include "hawthornroad/runtime/Deflate.h"

#include "hawthornroad/base/Error.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace hawthornroad {

namespace zlib = boost::beast::zlib;

namespace {
constexpr int FastestLevel = 1;
// A quarter of the usual memory: an 8 KB window holds about 30 routes, and
// neighbouring routes resemble each other.
constexpr int WindowBits = 13;
constexpr int MemoryLevel = 6;
} // namespace

std::string deflate(std::string_view Text) {
  zlib::deflate_stream Stream;
  Stream.reset(FastestLevel, WindowBits, MemoryLevel, zlib::Strategy::normal);
  std::string Out(Stream.upper_bound(Text.size()), '\0');
  zlib::z_params P;
  P.next_in = Text.data();
  P.avail_in = Text.size();
  P.next_out = Out.data();
  P.avail_out = Out.size();
  boost::beast::error_code Code;
  Stream.write(P, zlib::Flush::finish, Code);
  if (Code && Code != zlib::error::end_of_stream)
    throw Error(Step::Send, "", "deflate: " + Code.message());
  Out.resize(P.total_out);
  return Out;
}

std::string inflate(std::string_view Compressed, std::size_t Length) {
  if (Length > MaxInflated)
    throw Error(Step::Receive, "",
                "inflate: declared length exceeds the limit");
  zlib::inflate_stream Stream;
  // The largest window, because the sender's window size is not transmitted.
  constexpr int MaxWindowBits = 15;
  Stream.reset(MaxWindowBits);
  // One extra byte reveals a text longer than declared.
  std::string Out(Length + 1, '\0');
  // Beast's inflate does not detect the end of a stream that fills its last
  // byte: one text in two hundred (of 4,000) was reported as truncated. Padding
  // after the end lets it read on; it may consume at most one padding byte.
  constexpr std::size_t Lookahead = 4;
  std::string Padded(Compressed);
  Padded.append(Lookahead, '\0');
  zlib::z_params P;
  P.next_in = Padded.data();
  P.avail_in = Padded.size();
  P.next_out = Out.data();
  P.avail_out = Out.size();
  boost::beast::error_code Code;
  Stream.write(P, zlib::Flush::sync, Code);
  if (Code != zlib::error::end_of_stream)
    throw Error(Step::Receive, "",
                "inflate: " + (Code ? Code.message() : "truncated") +
                    " after " + std::to_string(P.total_out) + " of " +
                    std::to_string(Length) + " bytes, from " +
                    std::to_string(P.total_in) + " of " +
                    std::to_string(Compressed.size()));
  if (P.total_out != Length || P.total_in > Compressed.size() + 1)
    throw Error(Step::Receive, "",
                "inflate: length differs from the declared one");
  Out.resize(Length);
  return Out;
}

} // namespace hawthornroad
