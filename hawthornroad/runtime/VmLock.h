// The right to act for a VM: a listening port that one process can hold.
//
//   VmLock Lock("127.0.0.1:7900");
//   while (!Lock.tryAcquire()) ...          // another agent holds it
//
// Two agents on one VM would give its engine contradictory orders. The kernel
// lets one process listen on the port. It keeps the port for a process that is
// paused, so a replacement cannot act beside a frozen agent that thaws later,
// and frees it at death; nothing expires in between. Nobody connects to it.

#ifndef HAWTHORNROAD_RUNTIME_VMLOCK_H
#define HAWTHORNROAD_RUNTIME_VMLOCK_H

#include "hawthornroad/base/Error.h"

#include <memory>
#include <string>

namespace hawthornroad {

// The lock was still held by another process when a stop was asked for.
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

  // True when this process holds the lock now. Throws Error(Step::Listen) for
  // any cause but another holder.
  bool tryAcquire();
  const std::string &address() const { return Address_; }

private:
  struct State;
  std::string Address_;
  std::unique_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_VMLOCK_H
