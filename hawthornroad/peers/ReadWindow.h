// How far a reader may run ahead of those who take its bytes.
//
//   ReadWindow Window(4 << 20);
//   Window.take(Bytes.size());       // read and passed on
//   if (!Window.isOpen()) stopReading();
//   Window.release(Offset);          // all before Offset is free again
//
// It lives on the reader's own thread, so the bound needs nobody's word in
// time: however late the thread that consumes the bytes is, what is read and
// not released stays below the window's size and one read more.

#ifndef HAWTHORNROAD_PEERS_READWINDOW_H
#define HAWTHORNROAD_PEERS_READWINDOW_H

#include <algorithm>
#include <cstdint>

namespace hawthornroad {

class ReadWindow {
public:
  // Size in bytes, at least 1.
  explicit ReadWindow(std::uint64_t Size) : Size_(Size) {}

  void take(std::uint64_t Bytes) { Taken_ += Bytes; }
  // Releases may come late, twice and out of order; one beyond what was taken
  // counts as all of it, or it would let the reader run on past the window.
  void release(std::uint64_t Offset) {
    Released_ = std::max(Released_, std::min(Offset, Taken_));
  }
  bool isOpen() const { return Taken_ - Released_ < Size_; }

private:
  std::uint64_t Size_;
  std::uint64_t Taken_ = 0;
  std::uint64_t Released_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_PEERS_READWINDOW_H
