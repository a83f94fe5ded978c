// The only client of the platform's store: calls over persistent connections,
// each with a time limit.
//
//   StoreClient Store(Context, "10.200.1.7:8007", Codec);
//   Store.list("servers", "", "", [](StoreReply R) {...});
//   Store.feed("op", After, Seconds(2), [](StoreReply R) {...});
//   Store.write(Transaction, [](StoreReply R) {...});
//
//   StoreWatch W(Context, Store, {.Table_ = "op"}, Clock,
//                {.OnUpdate_ = [](const TableWatch::Update &U) {...}});
//   W.start();
//
// A call that gets no answer ends as Silent and its connection is not reused: a
// write may still be applied, at once or seconds later. Calls and bytes are
// counted because both are billed.

#ifndef HAWTHORNROAD_STORE_STORECLIENT_H
#define HAWTHORNROAD_STORE_STORECLIENT_H

#include "hawthornroad/http/HttpCalls.h"
#include "hawthornroad/store/TableWatch.h"

#include <functional>
#include <memory>
#include <variant>
#include <vector>

namespace hawthornroad {

using StoreReply = std::variant<StoreRows, StoreFailure>;

// Encodes calls and decodes answers. The platform folder has the
// implementation.
class StoreCodec {
public:
  virtual ~StoreCodec() = default;
  // Keys from FromKey (inclusive) to ToKey (exclusive); an empty key means no
  // bound.
  virtual HttpMessage list(const std::string &Table, const std::string &FromKey,
                           const std::string &ToKey) const = 0;
  virtual HttpMessage feed(const std::string &Table, StoreVersion After,
                           Duration Wait) const = 0;
  virtual HttpMessage write(const StoreTransaction &T) const = 0;
  virtual StoreReply read(unsigned Status, const std::string &Body) const = 0;
};

struct StoreCounters {
  std::uint64_t Calls_ = 0;
  std::uint64_t Failures_ = 0;
  std::uint64_t BytesSent_ = 0;
  std::uint64_t BytesReceived_ = 0;
  // Without the bytes of refusals.
  std::uint64_t AnswerBytes_ = 0;
};

class StoreClient {
public:
  using Done = std::function<void(StoreReply)>;
  // A healthy store answers within some ten milliseconds; a slow one takes
  // fifty times as long. Waiting longer would use up the lease of customers'
  // keys.
  static constexpr Duration AnswerTimeout = Milliseconds(900);
  // Limit for a call after an unanswered one. Opening a connection and getting
  // an answer takes two round trips over a saturated link, and the bytes of
  // abandoned calls still occupy it.
  static constexpr Duration RetryTimeout = 2 * AnswerTimeout;

  StoreClient(boost::asio::io_context &Context, std::string Address,
              const StoreCodec &Codec);

  HttpCalls::Cancel list(const std::string &Table, const std::string &FromKey,
                         const std::string &ToKey, Done D,
                         Duration Limit = AnswerTimeout);
  HttpCalls::Cancel feed(const std::string &Table, StoreVersion After,
                         Duration Wait, Done D, Duration Limit = AnswerTimeout);
  void write(const StoreTransaction &T, Done D);

  StoreCounters counters() const;

private:
  HttpCalls::Cancel call(const HttpMessage &M, Duration Limit, Done D);

  const StoreCodec &Codec_;
  HttpCalls Calls_;
  std::shared_ptr<std::uint64_t> Failures_ = std::make_shared<std::uint64_t>(0);
};

// Runs a TableWatch against the store until it is destroyed.
class StoreWatch {
public:
  struct Callbacks {
    std::function<void(const TableWatch::Update &)> OnUpdate_;
    // Called after every answer (Ok) and every failure.
    std::function<void(bool Ok, const TableWatch &)> OnCall_;
  };

  StoreWatch(boost::asio::io_context &Context, StoreClient &Store,
             TableWatch::Options O, std::function<TimePoint()> Clock,
             Callbacks C);
  ~StoreWatch();

  void start();
  // Cancels the call in progress and sends no more until start() or resume().
  void pause();
  // Continues from version V, as received from another process. Without such a
  // version call start().
  void resume(StoreVersion V);
  // Lists the table again, for a reader that has no data or is far behind.
  void list();
  bool isPaused() const;
  // Call when the store is reachable again: abandons the call in progress, or
  // the pause after a failed one, and sends a new call at once.
  void retry();
  // See TableWatch::Options; applies from the next call on.
  void setTiming(Duration Wait, Duration Pace);
  const TableWatch &watch() const;

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_STORE_STORECLIENT_H
