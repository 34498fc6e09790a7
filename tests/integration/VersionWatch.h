#pragma once

#include "integration/LocalSystem.h"

#include <map>
#include <string>
#include <thread>

namespace lovagerock::integration {

// The versions of the configuration that nodes have shown, in the order in which they were seen.
class VersionHistory
{
public:
  // Notes a version in force; a negative one stands for a node without an answer.
  void Note(int aNode, int aVersion);
  // Ends the test if a node showed a lower version than before, or none of the nodes showed one.
  void RequireNeverFell() const;

private:
  std::map<int, int> mHighest;
  std::string mFall;
};

// Reads the version in force of every node over and over, until it is destroyed or stopped.
class VersionWatch
{
public:
  explicit VersionWatch(const LocalSystem& aSystem);

  // Stops reading; gives what was seen.
  const VersionHistory& Stop();

private:
  VersionHistory mHistory;
  std::jthread mThread;
};

} // namespace lovagerock::integration
