// hawthornroad-fakes KIND --listen IP:PORT [options]: runs one fake.
// Exit codes: 0 after SIGTERM, --help or --version; 1 when the fake could not
// start; 2 for an invalid command line.

#include "fakes/EngineFake.h"
#include "fakes/MembersFake.h"
#include "fakes/OriginFake.h"
#include "fakes/ProxyFake.h"
#include "fakes/ServiceFake.h"
#include "fakes/StoreFake.h"
#include "hawthornroad/base/Error.h"

#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

using namespace hawthornroad;
namespace po = boost::program_options;

namespace {
constexpr int ExitStartFailed = 1;
constexpr int ExitUsage = 2;
constexpr std::size_t RingSize = 16384;

po::options_description commonOptions() {
  po::options_description Options("Options of all kinds");
  auto Add = Options.add_options();
  Add("help", "print this text");
  Add("version", "print the version");
  Add("kind", po::value<std::string>(),
      "table, objects, origin, members, engine, service or proxy");
  Add("listen", po::value<std::string>()->default_value("127.0.0.1:0"),
      "IP:PORT to listen on; port 0 lets the kernel choose");
  return Options;
}

po::options_description platformOptions() {
  po::options_description Options("origin and members");
  auto Add = Options.add_options();
  Add("root", po::value<std::string>()->default_value("."),
      "origin: folder of the files");
  Add("rate", po::value<double>()->default_value(0),
      "origin: bytes per second of all answers; 0 means no limit");
  Add("lag-ms", po::value<int>()->default_value(0),
      "members: age of the returned list");
  return Options;
}

po::options_description endpointOptions() {
  po::options_description Options("engine and service");
  auto Add = Options.add_options();
  Add("capacity", po::value<std::size_t>()->default_value(8),
      "engine: maximum number of running requests");
  Add("token-ms", po::value<double>()->default_value(5),
      "engine: duration of one batch step");
  Add("prefill-ms", po::value<double>()->default_value(0),
      "engine: time before the first token");
  Add("load-ms", po::value<int>()->default_value(0),
      "engine: duration of a model load");
  Add("checks-fencing", po::bool_switch(),
      "engine: refuse load orders with an old fencing number");
  Add("report-lag-ms", po::value<int>()->default_value(0),
      "engine: age of the reported load");
  Add("prefix-cache", po::value<std::size_t>()->default_value(0),
      "engine: number of cached leading blocks of prompts");
  Add("name", po::value<std::string>()->default_value("service"),
      "service: name in answers");
  Add("work-ms", po::value<int>()->default_value(0),
      "service: duration of one call");
  return Options;
}

po::options_description proxyOptions() {
  po::options_description Options("proxy");
  auto Add = Options.add_options();
  Add("control", po::value<std::string>()->default_value("127.0.0.1:0"),
      "IP:PORT for setting faults and target and reading counters");
  Add("to", po::value<std::string>()->default_value(""),
      "IP:PORT to forward connections to; can be set by PUT /target");
  return Options;
}

Duration milliseconds(double Value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Value));
}

EngineFake::Options engineOptions(const po::variables_map &Args) {
  EngineFake::Options O;
  O.Capacity_ = Args["capacity"].as<std::size_t>();
  O.Token_ = milliseconds(Args["token-ms"].as<double>());
  O.Prefill_ = milliseconds(Args["prefill-ms"].as<double>());
  O.ReportLag_ = Milliseconds(Args["report-lag-ms"].as<int>());
  O.PrefixCache_ = Args["prefix-cache"].as<std::size_t>();
  O.Model_.LoadTime_ = Milliseconds(Args["load-ms"].as<int>());
  O.Model_.ChecksFencing_ = Args["checks-fencing"].as<bool>();
  return O;
}

// SIGTERM and SIGINT are blocked before any thread starts, so that only this
// wait receives them.
void blockStopSignals(sigset_t &Signals) {
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
}

void printReady(const boost::json::object &Line) {
  std::cout << boost::json::serialize(Line) << std::endl;
}

void waitForStop(const sigset_t &Signals) {
  int Signal = 0;
  sigwait(&Signals, &Signal);
}

template <FakeHandler T>
void serve(IoThread &Io, T &Fake, const po::variables_map &Args,
           const sigset_t &Signals) {
  FakeServer Server(Io, Fake);
  std::string Bound = Server.listen(Args["listen"].as<std::string>());
  printReady({{"ready", Args["kind"].as<std::string>()}, {"listen", Bound}});
  waitForStop(Signals);
  Io.stop();
}

void serveProxy(IoThread &Io, const po::variables_map &Args,
                const sigset_t &Signals) {
  ProxyFake Proxy(Io, Args["to"].as<std::string>());
  FakeServer Control(Io, Proxy);
  std::string ControlBound = Control.listen(Args["control"].as<std::string>());
  std::string Bound = Proxy.listen(Args["listen"].as<std::string>());
  printReady(
      {{"ready", "proxy"}, {"listen", Bound}, {"control", ControlBound}});
  waitForStop(Signals);
  Io.stop();
}

int run(const po::variables_map &Args, const sigset_t &Signals) {
  IoThread Io("fake", RingSize);
  std::string Kind = Args["kind"].as<std::string>();
  if (Kind == "table" || Kind == "objects") {
    StoreFake Store(Kind == "table" ? StoreFake::Kind::Table
                                    : StoreFake::Kind::Objects);
    serve(Io, Store, Args, Signals);
  } else if (Kind == "origin") {
    OriginFake Origin(Io, {.Root_ = Args["root"].as<std::string>(),
                           .Rate_ = Args["rate"].as<double>()});
    serve(Io, Origin, Args, Signals);
  } else if (Kind == "members") {
    MembersFake Members(Milliseconds(Args["lag-ms"].as<int>()));
    serve(Io, Members, Args, Signals);
  } else if (Kind == "engine") {
    EngineFake Engine(Io, engineOptions(Args));
    serve(Io, Engine, Args, Signals);
  } else if (Kind == "service") {
    ServiceFake Service(Io, {.Name_ = Args["name"].as<std::string>(),
                             .Work_ = Milliseconds(Args["work-ms"].as<int>())});
    serve(Io, Service, Args, Signals);
  } else if (Kind == "proxy") {
    serveProxy(Io, Args, Signals);
  } else {
    std::cerr << "unknown kind \"" << Kind << "\"\n";
    return ExitUsage;
  }
  return 0;
}

po::variables_map parseArguments(int Count, char **Texts,
                                 const po::options_description &Options) {
  po::positional_options_description Positions;
  Positions.add("kind", 1);
  po::variables_map Args;
  po::store(po::command_line_parser(Count, Texts)
                .options(Options)
                .positional(Positions)
                .run(),
            Args);
  po::notify(Args);
  return Args;
}
} // namespace

int main(int Count, char **Texts) {
  po::options_description Options = commonOptions();
  Options.add(platformOptions()).add(endpointOptions()).add(proxyOptions());
  sigset_t Signals;
  blockStopSignals(Signals);
  try {
    po::variables_map Args = parseArguments(Count, Texts, Options);
    if (Args.count("help") > 0) {
      std::cout << "hawthornroad-fakes KIND [options]\n" << Options;
      return 0;
    }
    if (Args.count("version") > 0) {
      std::cout << "hawthornroad-fakes " << HAWTHORNROAD_VERSION << "\n";
      return 0;
    }
    if (Args.count("kind") == 0) {
      std::cerr << "missing KIND; see --help\n";
      return ExitUsage;
    }
    return run(Args, Signals);
  } catch (const po::error &E) {
    std::cerr << E.what() << "\n";
    return ExitUsage;
  } catch (const std::exception &E) {
    std::cerr << E.what() << "\n";
    return ExitStartFailed;
  }
}
