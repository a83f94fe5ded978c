// The client of the platform's store, the only one: calls over kept
// connections, with a time limit each.
//
//   StoreClient Store(Context, "10.200.1.7:8007", Codec, Counters);
//   Store.list("servers", "", "", [](StoreReply R) {...});
//   Store.feed("op", After, Seconds(2), [](StoreReply R) {...});
//   Store.write(Transaction, [](StoreReply R) {...});
//
//   StoreWatch W(Context, Store, {.Table_ = "op"}, [](TableWatch::Update U)
//   {...}); W.start();
//
// A call that gets no answer is Silent and its connection is never used again:
// a write may still be done, at once or seconds later. Calls and bytes are
// counted, for both are priced.

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

// How calls are written and answers read; the platform's folder has one.
class StoreCodec {
public:
  virtual ~StoreCodec() = default;
  // Keys from FromKey on, before ToKey; empty: from the first, to the last.
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
  // Without those of refusals.
  std::uint64_t AnswerBytes_ = 0;
};

class StoreClient {
public:
  using Done = std::function<void(StoreReply)>;
  // A healthy store answers within some ten milliseconds; a slow one takes
  // fifty times as long. Longer silences would eat into the lease of customers'
  // keys.
  static constexpr Duration AnswerLimit = Milliseconds(900);
  // After a silence. A new connection and its answer pass a full link twice,
  // and calls that are given up before leave their bytes on it.
  static constexpr Duration PatientLimit = 2 * AnswerLimit;

  StoreClient(boost::asio::io_context &Context, std::string Address,
              const StoreCodec &Codec);

  HttpCalls::Cancel list(const std::string &Table, const std::string &FromKey,
                         const std::string &ToKey, Done D,
                         Duration Limit = AnswerLimit);
  HttpCalls::Cancel feed(const std::string &Table, StoreVersion After,
                         Duration Wait, Done D, Duration Limit = AnswerLimit);
  void write(const StoreTransaction &T, Done D);

  StoreCounters counters() const;

private:
  HttpCalls::Cancel call(const HttpMessage &M, Duration Limit, Done D);

  const StoreCodec &Codec_;
  HttpCalls Calls_;
  std::shared_ptr<std::uint64_t> Failures_ = std::make_shared<std::uint64_t>(0);
};

// Runs a TableWatch against the store until destroyed.
class StoreWatch {
public:
  struct Callbacks {
    std::function<void(const TableWatch::Update &)> OnUpdate_;
    // After every answer (Ok) and failure.
    std::function<void(bool Ok, const TableWatch &)> OnCall_;
  };

  StoreWatch(boost::asio::io_context &Context, StoreClient &Store,
             TableWatch::Options O, std::function<TimePoint()> Clock,
             Callbacks C);
  ~StoreWatch();

  void start();
  // Asks no more until start() or resume(), and cancels the call under way.
  void pause();
  // Goes on from what another process told; whoever knows nothing start()s.
  void resume(StoreVersion V);
  // Lists the table anew: for one that knows nothing, or is far behind.
  void list();
  bool isPaused() const;
  // The store has returned: gives up the call under way, or the pause after a
  // failed one, for a new call at once.
  void retry();
  // From the next call on; TableWatch::Options.
  void setRhythm(Duration Wait, Duration Pace);
  const TableWatch &watch() const;

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_STORE_STORECLIENT_H
