#include "integration/Process.h"

#include "integration/TestFailure.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace lovagerock::integration {

Process::Process(std::string aName, const std::string& aProgram,
                 const std::vector<std::string>& aArguments, std::string aLogFile)
  : mName(std::move(aName))
  , mLogFile(std::move(aLogFile))
{
  std::vector<std::string> text{ aProgram };
  text.insert(text.end(), aArguments.begin(), aArguments.end());
  std::vector<char*> arguments;
  std::transform(text.begin(), text.end(), std::back_inserter(arguments),
                 [](auto& aText) { return aText.data(); });
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, mLogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error =
    posix_spawn(&mPid, aProgram.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  Require(error == 0, "can't start " + aProgram);
}

Process::~Process()
{
  Kill();
}

void
Process::Signal(int aSignal) const
{
  if (!mStatus) {
    kill(mPid, aSignal);
  }
}

bool
Process::Reap(int aOptions)
{
  if (mStatus) {
    return true;
  }
  int status = 0;
  if (waitpid(mPid, &status, aOptions) != mPid) {
    return false;
  }
  mStatus = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return true;
}

bool
Process::IsRunning()
{
  return !Reap(WNOHANG);
}

int
Process::AwaitExit()
{
  AwaitTrue("end of " + mName, [this] { return Reap(WNOHANG); });
  return *mStatus;
}

void
Process::Kill()
{
  Signal(SIGKILL);
  Reap(0);
}

std::string
Process::LogTail(std::size_t aBytes) const
{
  std::ifstream file(mLogFile);
  std::stringstream text;
  text << file.rdbuf();
  const auto all = text.str();
  return all.size() > aBytes ? all.substr(all.size() - aBytes) : all;
}

} // namespace lovagerock::integration
