// Keeps the bytes that a process holds for slow callers and endpoints within
// its memory: decides whose answers are not read for now, whose connections
// end, and whether requests with a body are refused.
//
//   BufferBudget B(BufferBudget::limitFor(MemoryMb));
//   B.update(Total);
//   if (B.isFull()) BufferBudget::Choice C = B.choose(Holders);
//
// Load pattern: many callers, or endpoints, that turn slow together, each
// within its own bound. Above the limit the largest holders are paused, as many
// as bring the others below ResumeShare of it; the others go on and end, which
// frees memory. Below ResumeShare everything is read again. What is held can
// still grow while all that grows is paused: by requests that are being
// received and by answers in transit. Above EndShare the largest holders end.
//
// The limit is a quarter of the VM's memory. Held bytes cost up to twice their
// size in memory while buffers grow and are copied, and EndShare is 1.5: three
// quarters of the VM at worst; the rest of the process needs less than 20 MB.
//
// No I/O, no clock. Cost: choose() sorts all holders, and is only needed above
// ResumeShare.

#ifndef HAWTHORNROAD_HTTP_BUFFERBUDGET_H
#define HAWTHORNROAD_HTTP_BUFFERBUDGET_H

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace hawthornroad {

class BufferBudget {
public:
  using HolderId = std::uint64_t;
  struct Holder {
    HolderId Id_ = 0;
    std::size_t Bytes_ = 0;
  };
  struct Choice {
    std::set<HolderId> Paused_;
    // To be ended, the largest first.
    std::vector<HolderId> Ended_;
  };
  static constexpr double ResumeShare = 0.75;
  static constexpr double EndShare = 1.5;

  // Of the memory of a VM in MB; 0: not known.
  static std::size_t limitFor(double MemoryMb);

  explicit BufferBudget(std::size_t Limit) : Limit_(Limit) {}

  // Notes what is held in all; true when the state has changed.
  bool update(std::size_t Total);
  // Above the limit, until the total is below ResumeShare of it.
  bool isFull() const { return IsFull_; }
  std::size_t limit() const { return Limit_; }
  // Whose reading stops, and who ends; empty unless isFull().
  Choice choose(std::vector<Holder> All) const;

private:
  std::size_t Limit_;
  bool IsFull_ = false;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_HTTP_BUFFERBUDGET_H
