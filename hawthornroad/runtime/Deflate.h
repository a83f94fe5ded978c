// Texts made shorter for the way between processes, by Beast's zlib.
//
//   std::string Short = deflate(Text);
//   std::string Text = inflate(Short, Length);  // throws Error(Step::Receive)
//
// A configuration is JSON that repeats its names for each route: 336 KB become
// a fifth at most (tests/unit/DeflateTest.cpp).

#ifndef HAWTHORNROAD_RUNTIME_DEFLATE_H
#define HAWTHORNROAD_RUNTIME_DEFLATE_H

#include <cstddef>
#include <string>
#include <string_view>

namespace hawthornroad {

// Raw deflate, at the fastest level: the time of the work counts more here than
// the last bytes.
std::string deflate(std::string_view Text);

// Length: of the text, which is what bounds the memory taken; more or fewer
// bytes are an error, and so is a length above MaxInflated.
inline constexpr std::size_t MaxInflated = 16 * 1024 * 1024;
std::string inflate(std::string_view Short, std::size_t Length);

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_DEFLATE_H
