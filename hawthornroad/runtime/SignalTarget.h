// Gives the signal thread access to the object of a running daemon.
//
//   SignalTarget<StoreAgent> Running;
//   StoreAgent Agent(Settings);
//   SignalTarget<StoreAgent>::Scope Published(Running, Agent);
//   Running.use([&](StoreAgent &A) { A.reload(File); });   // signal thread
//
// The object must outlive the scope. The end of the scope waits for a use in
// progress; later uses do nothing.

#ifndef HAWTHORNROAD_RUNTIME_SIGNALTARGET_H
#define HAWTHORNROAD_RUNTIME_SIGNALTARGET_H

#include <mutex>

namespace hawthornroad {

template <typename T> class SignalTarget {
public:
  class Scope {
  public:
    Scope(SignalTarget &Owner, T &Object) : Owner_(Owner) {
      Owner_.set(&Object);
    }
    ~Scope() { Owner_.set(nullptr); }
    Scope(const Scope &) = delete;
    Scope &operator=(const Scope &) = delete;

  private:
    SignalTarget &Owner_;
  };

  template <typename Use> void use(Use U) {
    std::lock_guard Lock(Mutex_);
    if (Object_ != nullptr)
      U(*Object_);
  }

private:
  void set(T *Object) {
    std::lock_guard Lock(Mutex_);
    Object_ = Object;
  }

  std::mutex Mutex_;
  T *Object_ = nullptr;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_SIGNALTARGET_H
