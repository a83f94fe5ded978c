// Bounds how far a reader may get ahead of the consumer of its bytes.
//
//   ReadWindow Window(4 << 20);
//   Window.take(Bytes.size());       // read and passed on
//   if (!Window.isOpen()) stopReading();
//   Window.release(Offset);          // all bytes before Offset are consumed
//
// It is used on the reader's own thread, so the bound does not depend on timely
// messages from another thread: however late the consumer is, the bytes read
// and not released stay below the window's size plus one read.

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
  // Releases may be late, repeated or out of order. An offset beyond the bytes
  // taken counts as all of them; otherwise the reader could exceed the window.
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
