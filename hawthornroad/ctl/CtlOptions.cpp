#include "hawthornroad/ctl/CtlOptions.h"
#include "hawthornroad/config/Names.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <sstream>

namespace hawthornroad {

namespace po = boost::program_options;

namespace {
constexpr std::int64_t MaxSeconds = 24 * 3600;
constexpr std::int64_t MaxRevision = 999999999999;
constexpr std::int64_t MaxLimit = 100000;
constexpr std::int64_t MaxChunkSize = std::int64_t{1} << 30;
constexpr std::size_t MaxReason = 4096;

struct CommandForm {
  std::string Name_;
  std::string Operand_;
  std::string Help_;
  // Options in addition to the general ones.
  std::vector<std::string> Options_;
  std::vector<std::string> Required_;
  bool OperandIsOptional_ = false;
  // Whether more operands, usually files, may follow.
  bool TakesMore_ = false;
};

const std::vector<CommandForm> &commandForms() {
  static const std::vector<std::string> Change = {"base", "change", "author",
                                                  "reason", "wait"};
  static const std::vector<CommandForm> Forms = {
      {"validate", "FILE", "check a text; all faults at once", {}, {}},
      {"diff", "FILE", "what a text would change", {}, {"table"}},
      {"apply",
       "FILE",
       "accept a text as the next revision",
       Change,
       {"table"}},
      {"rollback",
       "N",
       "accept revision N's text as the next revision",
       Change,
       {"table"}},
      {"history", "", "who changed what, when and why", {"limit"}, {"table"}},
      {"status",
       "",
       "processes, their revisions, who is behind",
       {},
       {"admin"}},
      {"explain",
       "NAME",
       "what is declared and reported of a service or VM",
       {},
       {}},
      {"drain",
       "VM",
       "begin the planned leave of a VM's agent",
       {},
       {"admin"},
       true},
      {"manifest",
       "",
       "make the manifest of a weights file",
       {"model", "blob", "path", "chunk-size", "out"},
       {"model", "blob", "path", "chunk-size"}},
      {"trace",
       "ID FILE...",
       "one request's story from the logs of many processes",
       {},
       {},
       false,
       true},
      {"logs",
       "FILE...",
       "refused and failed requests of logs, by cause",
       {},
       {},
       false,
       true},
      {"cuts",
       "FILE...",
       "answers cut and attempts ended by their process, by reason",
       {},
       {},
       false,
       true},
      {"starts",
       "FILE...",
       "when processes reached each step of their start, by role and zone",
       {},
       {},
       false,
       true},
  };
  return Forms;
}

const CommandForm &formOf(const std::string &Command) {
  for (const CommandForm &Each : commandForms())
    if (Each.Name_ == Command)
      return Each;
  throw UsageError("unknown command \"" + Command + "\"");
}

po::options_description generalOptions() {
  po::options_description All("General options");
  auto Add = All.add_options();
  Add("table", po::value<std::string>(), "IP:PORT of the platform's table");
  Add("objects", po::value<std::string>(),
      "IP:PORT of the platform's object store");
  Add("admin", po::value<std::vector<std::string>>(),
      "IP:PORT of a process's admin listener; may be repeated");
  Add("entry", po::value<std::vector<std::string>>(), "the same as --admin");
  Add("timeout", po::value<std::int64_t>(),
      "longest wait for one answer, seconds (2)");
  Add("charts", po::value<std::string>(),
      "folder of the state charts (beside the program)");
  Add("json", "print one JSON object in place of text");
  Add("help", "print this text");
  Add("version", "print the version");
  return All;
}

po::options_description changeOptions() {
  po::options_description All("Options of apply and rollback");
  auto Add = All.add_options();
  Add("base", po::value<std::int64_t>(),
      "revision the change was made against (the latest)");
  Add("change", po::value<std::string>(),
      "id of the change (random); a retry names it and --base again, and is "
      "then never applied twice");
  Add("author", po::value<std::string>(), "who changes it (the user's name)");
  Add("reason", po::value<std::string>(), "why");
  Add("wait", po::value<std::int64_t>(),
      "seconds to wait until no process known to the --admin addresses is "
      "behind");
  return All;
}

po::options_description otherOptions() {
  po::options_description All("Options of history and manifest");
  auto Add = All.add_options();
  Add("limit", po::value<std::int64_t>(), "the last N revisions (20)");
  Add("model", po::value<std::string>(), "name of the model");
  Add("blob", po::value<std::string>(), "the weights file");
  Add("path", po::value<std::string>(), "path of the weights at the origin");
  Add("chunk-size", po::value<std::int64_t>(), "bytes of a chunk");
  Add("out", po::value<std::string>(),
      "file to write the manifest to (none: only its digest is printed)");
  return All;
}

po::options_description hiddenOptions() {
  po::options_description All;
  All.add_options()("words", po::value<std::vector<std::string>>());
  return All;
}

po::variables_map parseRaw(const std::vector<std::string> &Arguments) {
  po::options_description All;
  All.add(generalOptions())
      .add(changeOptions())
      .add(otherOptions())
      .add(hiddenOptions());
  po::positional_options_description Positional;
  Positional.add("words", -1);
  int Style = po::command_line_style::unix_style &
              ~po::command_line_style::allow_guessing;
  po::variables_map Raw;
  po::store(po::command_line_parser(Arguments)
                .options(All)
                .positional(Positional)
                .style(Style)
                .run(),
            Raw);
  return Raw;
}

std::string textOf(const po::variables_map &Raw, const std::string &Key) {
  return Raw.count(Key) != 0 ? Raw[Key].as<std::string>() : std::string();
}

std::int64_t integerOf(const po::variables_map &Raw, const std::string &Key,
                       std::int64_t Min, std::int64_t Max,
                       std::int64_t Default) {
  if (Raw.count(Key) == 0)
    return Default;
  std::int64_t Value = Raw[Key].as<std::int64_t>();
  if (Value < Min || Value > Max)
    throw UsageError("--" + Key + ": expected a whole number from " +
                     std::to_string(Min) + " to " + std::to_string(Max));
  return Value;
}

std::string addressOf(const std::string &Key, const std::string &Text) {
  if (!Text.empty() && !isAddress(Text, PortRule::NotZero))
    throw UsageError("--" + Key + ": \"" + Text +
                     "\": expected IP:PORT with an IP number");
  return Text;
}

std::vector<std::string> adminsOf(const po::variables_map &Raw) {
  std::vector<std::string> All;
  for (std::string Key : {"admin", "entry"})
    if (Raw.count(Key) != 0)
      for (const std::string &Each : Raw[Key].as<std::vector<std::string>>())
        All.push_back(addressOf(Key, Each));
  return All;
}

void checkOptions(const po::variables_map &Raw, const CommandForm &Form) {
  po::options_description General = generalOptions();
  for (const auto &Option : Raw) {
    bool IsGeneral = General.find_nothrow(Option.first, false) != nullptr;
    bool IsOwn = std::find(Form.Options_.begin(), Form.Options_.end(),
                           Option.first) != Form.Options_.end();
    if (!IsGeneral && !IsOwn && Option.first != "words")
      throw UsageError("--" + Option.first + " is no option of " + Form.Name_);
  }
  for (const std::string &Each : Form.Required_) {
    bool IsGiven =
        Raw.count(Each) != 0 || (Each == "admin" && Raw.count("entry") != 0);
    if (!IsGiven)
      throw UsageError(Form.Name_ + " needs --" + Each);
  }
}

void checkOperands(const CtlOptions &O, const CommandForm &Form) {
  std::size_t Expected = Form.Operand_.empty() ? 0 : 1;
  if (Form.Name_ == "trace")
    Expected = 2;
  if (O.Operands_.size() > Expected && !Form.TakesMore_)
    throw UsageError(O.Command_ + ": too many operands: \"" +
                     O.Operands_.back() + "\"");
  if (O.Operands_.size() < Expected && !Form.OperandIsOptional_)
    throw UsageError(O.Command_ + " needs " + Form.Operand_);
}

// A change id alone does not locate its earlier record: without the base
// revision, the record could be anywhere in the history.
void checkChange(const CtlOptions &O) {
  if (!O.Change_.empty() && !isName(O.Change_))
    throw UsageError("--change: expected letters, digits and \"._-\"");
  if (!O.Change_.empty() && !O.Base_)
    throw UsageError("--change needs --base, the revision of the first try");
  if (O.Reason_.size() > MaxReason || O.Author_.size() > MaxName)
    throw UsageError("--reason or --author is too long");
  if (O.Wait_ && O.Admins_.empty())
    throw UsageError("--wait needs --admin");
}

std::string userName() {
  const char *User = std::getenv("USER");
  return User != nullptr && *User != '\0' ? User : "unknown";
}

CtlOptions toCtlOptions(const po::variables_map &Raw) {
  CtlOptions O;
  O.Help_ = Raw.count("help") != 0;
  O.Version_ = Raw.count("version") != 0;
  O.Json_ = Raw.count("json") != 0;
  if (Raw.count("words") != 0)
    O.Operands_ = Raw["words"].as<std::vector<std::string>>();
  O.Table_ = addressOf("table", textOf(Raw, "table"));
  O.Objects_ = addressOf("objects", textOf(Raw, "objects"));
  O.Admins_ = adminsOf(Raw);
  O.Charts_ = textOf(Raw, "charts");
  O.Timeout_ = Seconds(integerOf(Raw, "timeout", 1, MaxSeconds, 2));
  if (Raw.count("base") != 0)
    O.Base_ = static_cast<Revision>(integerOf(Raw, "base", 0, MaxRevision, 0));
  O.Change_ = textOf(Raw, "change");
  O.Author_ = Raw.count("author") != 0 ? textOf(Raw, "author") : userName();
  O.Reason_ = textOf(Raw, "reason");
  if (Raw.count("wait") != 0)
    O.Wait_ = Seconds(integerOf(Raw, "wait", 0, MaxSeconds, 0));
  O.Limit_ = static_cast<std::size_t>(integerOf(Raw, "limit", 1, MaxLimit, 20));
  O.Model_ = textOf(Raw, "model");
  O.Blob_ = textOf(Raw, "blob");
  O.Path_ = textOf(Raw, "path");
  O.ChunkSize_ = integerOf(Raw, "chunk-size", 1, MaxChunkSize, 0);
  O.Out_ = textOf(Raw, "out");
  return O;
}
} // namespace

CtlOptions parseCtlOptions(const std::vector<std::string> &Arguments) {
  try {
    po::variables_map Raw = parseRaw(Arguments);
    CtlOptions O = toCtlOptions(Raw);
    if (O.Help_ || O.Version_)
      return O;
    if (O.Operands_.empty())
      throw UsageError("no command");
    O.Command_ = O.Operands_.front();
    O.Operands_.erase(O.Operands_.begin());
    const CommandForm &Form = formOf(O.Command_);
    checkOptions(Raw, Form);
    checkOperands(O, Form);
    checkChange(O);
    return O;
  } catch (const po::error &E) {
    throw UsageError(E.what());
  }
}

std::string ctlHelp() {
  std::ostringstream Out;
  Out << "Usage: hawthornroadctl [OPTIONS] COMMAND [OPERAND]\n\nCommands:\n";
  for (const CommandForm &Each : commandForms()) {
    std::string Left = "  " + Each.Name_ + " " + Each.Operand_;
    constexpr std::size_t Column = 22;
    Left.resize(std::max(Left.size() + 1, Column), ' ');
    Out << Left << Each.Help_ << "\n";
  }
  Out << "\n"
      << generalOptions() << "\n"
      << changeOptions() << "\n"
      << otherOptions() << "\nExit codes:\n"
      << "  0  done\n"
         "  1  refused or failed; nothing was changed\n"
         "  2  wrong command line, or a text or file that is not valid\n"
         "  3  conflict: other changes were accepted first; nothing was "
         "written\n"
         "  4  the platform or a process cannot be reached; nothing was "
         "written\n"
         "  5  accepted, but --wait ended with processes still behind\n"
         "  6  not known whether the change was accepted; try again with the\n"
         "     same --change and --base\n";
  return Out.str();
}

} // namespace hawthornroad
