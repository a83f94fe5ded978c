#include "hawthornroad/runtime/Io.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <pthread.h>

namespace hawthornroad {

namespace {
// Linux limits thread names to 15 characters.
constexpr std::size_t MaxThreadName = 15;
// Maximum number of tasks run before socket events are handled again.
constexpr int DrainBatch = 256;
} // namespace

IoThread::IoThread(std::string Name, std::size_t RingCapacity)
    : Name_(std::move(Name)), Guard_(boost::asio::make_work_guard(Context_)),
      Tasks_(RingCapacity), Thread_([this] {
        pthread_setname_np(pthread_self(),
                           Name_.substr(0, MaxThreadName).c_str());
        Context_.run();
      }) {}

IoThread::~IoThread() { stop(); }

void IoThread::stop() {
  Context_.stop();
  if (Thread_.joinable())
    Thread_.join();
}

bool IoThread::submit(Task T) {
  if (!Tasks_.tryPush(std::move(T)))
    return false;
  if (!Draining_.exchange(true, std::memory_order_acq_rel))
    boost::asio::post(Context_, [this] { drain(); });
  return true;
}

void IoThread::drain() {
  // Cleared first, so that a task pushed during the loop posts another drain.
  Draining_.store(false, std::memory_order_release);
  for (int I = 0; I < DrainBatch; ++I) {
    std::optional<Task> Next = Tasks_.tryPop();
    if (!Next)
      return;
    (*Next)();
  }
  if (!Draining_.exchange(true, std::memory_order_acq_rel))
    boost::asio::post(Context_, [this] { drain(); });
}

void IoThread::after(Duration Delay, Task T) {
  auto Timer = std::make_shared<boost::asio::steady_timer>(Context_, Delay);
  Timer->async_wait([Timer, T = std::move(T)](boost::system::error_code Code) {
    if (!Code)
      T();
  });
}

bool IoThread::onThisThread() const {
  return Thread_.get_id() == std::this_thread::get_id();
}

} // namespace hawthornroad
