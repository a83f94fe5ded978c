#include "hawthornroad/runtime/Deflate.h"

#include "hawthornroad/base/Error.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace hawthornroad {

namespace zlib = boost::beast::zlib;

namespace {
constexpr int FastestLevel = 1;
// A quarter of the usual memory: windows of 8 KB hold some 30 routes, and
// routes resemble their neighbours.
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

std::string inflate(std::string_view Short, std::size_t Length) {
  if (Length > MaxInflated)
    throw Error(Step::Receive, "", "inflate: the text is too long");
  zlib::inflate_stream Stream;
  // The largest window, for the sender's choice is not told.
  constexpr int MaxWindowBits = 15;
  Stream.reset(MaxWindowBits);
  // One byte more shows a text that is longer than told.
  std::string Out(Length + 1, '\0');
  // Beast's reader does not see the end of a stream that fills its last byte:
  // one in two hundred texts counted as cut short (4,000 tried). Bytes after
  // the end let it look on; it may take one of them for part of the stream, no
  // more.
  constexpr std::size_t Lookahead = 4;
  std::string Padded(Short);
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
                "inflate: " + (Code ? Code.message() : "cut short") +
                    " after " + std::to_string(P.total_out) + " of " +
                    std::to_string(Length) + " bytes, from " +
                    std::to_string(P.total_in) + " of " +
                    std::to_string(Short.size()));
  if (P.total_out != Length || P.total_in > Short.size() + 1)
    throw Error(Step::Receive, "", "inflate: not of the length told");
  Out.resize(Length);
  return Out;
}

} // namespace hawthornroad
