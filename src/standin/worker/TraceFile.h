#pragma once

#include "standin/worker/LeaseTable.h"
#include "standin/worker/RequestTable.h"

#include <fstream>
#include <string>

namespace lovagerock::standin {

// An append-only file with one JSON line for each start and end of a task or request and for each
// refused command, for the checks of tests. Without a path it writes nothing.
class TraceFile
{
public:
  TraceFile() = default;
  explicit TraceFile(const std::string& aPath);

  // Whether the file could be opened.
  bool IsOpen() const { return mFile.is_open(); }

  void Record(const WorkerId& aWorker, const LeaseEvent& aEvent);
  void Record(const WorkerId& aWorker, const RequestEvent& aEvent);
  // Notes that the worker says that it leaves.
  void RecordLeaving(const WorkerId& aWorker);
  // Notes a refused command ("reserve", "start" or "request") with the reason that was answered.
  void RecordRefusal(const WorkerId& aWorker, const char* aCommand, const std::string& aId,
                     const char* aReason);

private:
  void Write(const WorkerId& aWorker, const char* aEvent, Json aLine);

  std::ofstream mFile;
};

} // namespace lovagerock::standin
