#pragma once

#include "cli/AdminClient.h"
#include "cli/Console.h"
#include "cli/ExitCode.h"
#include "cli/Options.h"

#include <optional>
#include <string>

namespace lovagerock::cli {

// Applies a file and waits until it is in force. A change is sent to another node only if the
// earlier one did not get it or said that it was not applied. If an answer is lost, the outcome is
// read by the change id.
class ApplyCommand
{
public:
  ApplyCommand(ApplyOptions aArguments, const Options& aOptions, AdminClient& aClient,
               const Console& aConsole);

  ExitCode Run();

private:
  // An accepted change.
  struct Accepted
  {
    ConfigVersion mVersion;
    // Empty if the answer with it was lost.
    std::string mHash;
  };

  bool FindEarlierOutcome(ExitCode& aCode);
  bool FindBase(ExitCode& aCode);
  CallResult Send(const std::string& aText);
  ExitCode Judge(const CallResult& aResult);
  ExitCode ReportConflict(const CallResult& aResult) const;
  ExitCode ResolveLostAnswer();
  ExitCode ReportUnknown() const;
  ExitCode WaitUntilInForce() const;
  // The nodes that don't have the accepted version yet; nothing if no node answered.
  std::optional<Json> NodesBehind(Duration aTimeout) const;
  ExitCode ReportAccepted(const std::optional<Json>& aBehind) const;
  std::string ChangeTarget() const;

  ApplyOptions mArguments;
  const Options& mOptions;
  AdminClient& mClient;
  const Console& mConsole;
  Accepted mAccepted;
};

} // namespace lovagerock::cli
