// Exclusive lock on acting for a VM: a listening port that only one process can
// hold.
//
//   VmLock Lock("127.0.0.1:7900");
//   while (!Lock.tryAcquire()) ...          // another agent holds it
//
// Two agents on one VM would give its engine contradictory orders. The kernel
// lets only one process listen on the port. A paused process keeps the port, so
// a replacement cannot act beside an agent that resumes later; the kernel frees
// it when the process dies. The lock has no timeout, and nothing connects to
// the port.

#ifndef HAWTHORNROAD_RUNTIME_VMLOCK_H
#define HAWTHORNROAD_RUNTIME_VMLOCK_H

#include "hawthornroad/base/Error.h"

#include <memory>
#include <string>

namespace hawthornroad {

// The lock was still held by another process when a stop was requested.
class VmLockTaken : public Error {
public:
  using Error::Error;
};

class VmLock {
public:
  // Throws Error(Step::Settings) when Address is not "IP:port".
  explicit VmLock(const std::string &Address);
  ~VmLock();
  VmLock(const VmLock &) = delete;
  VmLock &operator=(const VmLock &) = delete;

  // Returns true when this process now holds the lock, false when another one
  // does. Throws Error(Step::Listen) for any other failure.
  bool tryAcquire();
  const std::string &address() const { return Address_; }

private:
  struct State;
  std::string Address_;
  std::unique_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_VMLOCK_H
