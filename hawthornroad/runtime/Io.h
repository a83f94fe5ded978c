// One I/O thread with its own Asio context.
//
//   IoThread Callers("callers", 4096);
//   if (!Callers.submit([=] { Exchange->write(Bytes); }))
//     ...  // the ring is full: refuse, or throttle the producer
//
// Everything that belongs to an IoThread (sockets, sessions, timers) is
// accessed only on that thread. Work is submitted through a bounded ring.

#ifndef HAWTHORNROAD_RUNTIME_IO_H
#define HAWTHORNROAD_RUNTIME_IO_H

#include "hawthornroad/base/Ring.h"
#include "hawthornroad/base/Types.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <thread>

namespace hawthornroad {

class IoThread {
public:
  using Task = std::function<void()>;

  IoThread(std::string Name, std::size_t RingCapacity);
  // Stops the context and joins the thread; pending tasks are dropped.
  ~IoThread();
  IoThread(const IoThread &) = delete;
  IoThread &operator=(const IoThread &) = delete;

  // Thread-safe. Returns false when the ring is full; T is then not run.
  bool submit(Task T);
  // Runs T once after Delay, on this thread. Call only on this thread.
  void after(Duration Delay, Task T);
  // Stops and joins before destruction; may be called twice.
  void stop();

  boost::asio::io_context &context() { return Context_; }
  bool onThisThread() const;
  // Whether stop() has ended the thread. The thread that called stop() may then
  // access what belongs to this one.
  bool stopped() const { return !Thread_.joinable(); }

private:
  void drain();

  std::string Name_;
  boost::asio::io_context Context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard_;
  Ring<Task> Tasks_;
  std::atomic<bool> Draining_{false};
  std::thread Thread_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_IO_H
