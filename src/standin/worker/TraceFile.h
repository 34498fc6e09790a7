#pragma once

#include "standin/worker/LeaseTable.h"
#include "standin/worker/RequestTable.h"

#include <fstream>
#include <string>

namespace lovagerock::standin {

// An append-only file with one JSON line for each start and end of a task or request, for the
// checks of tests. Without a path it writes nothing.
class TraceFile
{
public:
  TraceFile() = default;
  explicit TraceFile(const std::string& aPath);

  // Whether the file could be opened.
  bool IsOpen() const { return mFile.is_open(); }

  void Record(const WorkerId& aWorker, const LeaseEvent& aEvent);
  void Record(const WorkerId& aWorker, const RequestEvent& aEvent);

private:
  void Write(const WorkerId& aWorker, bool aStarted, Json aLine);

  std::ofstream mFile;
};

} // namespace lovagerock::standin
