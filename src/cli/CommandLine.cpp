#include "cli/CommandLine.h"

#include "base/Settings.h"
#include "cli/ApplyCommand.h"
#include "cli/ConfigCommands.h"
#include "cli/ExitCode.h"
#include "cli/Options.h"
#include "cli/ShowCommands.h"

#include <functional>
#include <limits>
#include <memory>

namespace lovagerock::cli {

namespace detail {
namespace {

using Command = std::function<ExitCode(AdminClient&, const Console&)>;

// The parser and what it fills in.
struct Arguments
{
  CLI::App mApp{ "Operators' command line of lovagerock", "lovagerock" };
  Options mOptions;
  std::string mFile;
  CheckOptions mCheck;
  ApplyOptions mApply;
  ChangeId mChange;
  JobId mJob;
  std::string mView;
  CLI::App* mHashToken = nullptr;
  Command mCommand;
};

void
AddGlobalFlags(Arguments& aArguments)
{
  auto& app = aArguments.mApp;
  // Global flags are accepted after the command as well.
  app.fallthrough();
  app.require_subcommand(1);
  app
    .add_option_function<std::vector<std::string>>(
      "--admin",
      [&aArguments](const std::vector<std::string>& aTexts) {
        for (const auto& it : aTexts) {
          aArguments.mOptions.mAdmin.push_back(SocketAddress::Parse(it).value_or(SocketAddress()));
        }
      },
      "Admin address of a node; may be given several times, tried in order")
    ->check(CLI::Validator(
      [](const std::string& aText) {
        return SocketAddress::Parse(aText) ? std::string()
                                           : "'" + aText + "' is not an IPv4 address and port";
      },
      "IP:PORT"))
    ->allow_extra_args(false)
    ->delimiter(',')
    ->envname(EnvironmentName("--admin"));
  AddSetting(app, "--timeout-ms", aArguments.mOptions.mTimeout, "Time for each step of a command",
             Duration(1));
  app.add_flag("--json", aArguments.mOptions.mJson, "Print JSON in place of tables");
}

// Adds a command that runs aRun.
CLI::App*
AddCommand(Arguments& aArguments, const std::string& aName, const std::string& aHelp, Command aRun)
{
  auto* command = aArguments.mApp.add_subcommand(aName, aHelp);
  command->callback([&aArguments, run = std::move(aRun)] { aArguments.mCommand = run; });
  return command;
}

void
AddConfigCommands(Arguments& aArguments)
{
  auto& a = aArguments;
  auto* check = AddCommand(a, "check", "Check a file", [&a](auto& aClient, const auto& aConsole) {
    return RunCheck(a.mCheck, a.mOptions, aClient, aConsole);
  });
  check->add_option("FILE", a.mCheck.mFile, "Configuration file")->required();
  check->add_option("--against", a.mCheck.mAgainst, "File to compare with, such as an earlier one");
  check->add_flag("--offline", a.mCheck.mIsOffline, "Ask no node");
  auto* diff = AddCommand(a, "diff", "Show what a file would change",
                          [&a](auto& aClient, const auto& aConsole) {
                            return RunDiff(a.mFile, a.mOptions, aClient, aConsole);
                          });
  diff->add_option("FILE", a.mFile, "Configuration file")->required();
  auto* change = AddCommand(a, "change", "Show the outcome of a change",
                            [&a](auto& aClient, const auto& aConsole) {
                              return RunChange(a.mChange, a.mOptions, aClient, aConsole);
                            });
  AddSetting(*change, "ID", a.mChange, "Change id")->required()->envname("");
  a.mHashToken = AddCommand(a, "hash-token", "Print the digest of a token read from standard input",
                            [](auto&, const auto& aConsole) { return RunHashToken(aConsole); });
}

void
AddApplyCommand(Arguments& aArguments)
{
  auto& a = aArguments;
  auto* apply = AddCommand(a, "apply", "Apply a file and wait until it is in force",
                           [&a](auto& aClient, const auto& aConsole) {
                             return ApplyCommand(a.mApply, a.mOptions, aClient, aConsole).Run();
                           });
  apply->add_option("FILE", a.mApply.mFile, "Configuration file")->required();
  apply
    ->add_option_function<std::int64_t>(
      "--base", [&a](std::int64_t aValue) { a.mApply.mBase = ConfigVersion(aValue); },
      "Version that the file was made from; default: the version in force")
    ->check(CLI::Range(std::int64_t(0), std::numeric_limits<std::int64_t>::max()));
  AddSetting(*apply, "--change", a.mApply.mChange,
             "Change id, to repeat a change whose outcome is unknown; default: a new one")
    ->envname("");
  a.mApply.mOperator = "unknown";
  apply->add_option("--operator", a.mApply.mOperator, "Name recorded with the change")
    ->envname(EnvironmentName("--operator"))
    ->capture_default_str();
}

void
AddViewCommands(Arguments& aArguments)
{
  auto& a = aArguments;
  auto* show = AddCommand(a, "show", "Show the state of the system",
                          [&a](auto& aClient, const auto& aConsole) {
                            return RunShow(a.mView, a.mOptions, aClient, aConsole);
                          });
  show->add_option("VIEW", a.mView, "What to show")
    ->required()
    ->check(CLI::IsMember({ "config", "nodes", "queues", "placements", "workers" }));
  auto* why =
    AddCommand(a, "why", "Show why a job waits", [&a](auto& aClient, const auto& aConsole) {
      return RunWhy(a.mJob, a.mOptions, aClient, aConsole);
    });
  AddSetting(*why, "JOB", a.mJob, "Job id")->required()->envname("");
}

} // namespace
} // namespace detail

int
RunCommandLine(int aCount, const char* const* aArguments, const Console& aConsole)
{
  detail::Arguments arguments;
  detail::AddGlobalFlags(arguments);
  detail::AddConfigCommands(arguments);
  detail::AddApplyCommand(arguments);
  detail::AddViewCommands(arguments);
  try {
    arguments.mApp.parse(aCount, aArguments);
  } catch (const CLI::ParseError& e) {
    const int status = arguments.mApp.exit(e, aConsole.mOut, aConsole.mErr);
    return static_cast<int>(status == 0 ? ExitCode::Done : ExitCode::Usage);
  }
  const bool needsNode = !arguments.mCheck.mIsOffline && !arguments.mHashToken->parsed();
  if (needsNode && arguments.mOptions.mAdmin.empty()) {
    aConsole.mErr << "--admin IP:PORT is required; it may also be set by LOVAGEROCK_ADMIN\n";
    return static_cast<int>(ExitCode::Usage);
  }
  AdminClient client(arguments.mOptions.mAdmin);
  return static_cast<int>(arguments.mCommand(client, aConsole));
}

} // namespace lovagerock::cli
