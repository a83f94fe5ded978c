// Compresses text sent between processes, with Beast's zlib.
//
//   std::string Short = deflate(Text);
//   std::string Text = inflate(Short, Length);  // throws Error(Step::Receive)
//
// A configuration is JSON that repeats its field names for each route: 336 KB
// shrink to a fifth or less (tests/unit/DeflateTest.cpp).

#ifndef HAWTHORNROAD_RUNTIME_DEFLATE_H
#define HAWTHORNROAD_RUNTIME_DEFLATE_H

#include <cstddef>
#include <string>
#include <string_view>

namespace hawthornroad {

// Raw deflate at the fastest level: CPU time matters more here than the best
// compression ratio.
std::string deflate(std::string_view Text);

// Length is the size of the original text and bounds the memory used. Throws
// when the result has any other size, or when Length exceeds MaxInflated.
inline constexpr std::size_t MaxInflated = 16 * 1024 * 1024;
std::string inflate(std::string_view Compressed, std::size_t Length);

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_DEFLATE_H
