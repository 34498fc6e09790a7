#include "load/CommandLine.h"

#include <csignal>
#include <iostream>

int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  return lovagerock::load::RunCommandLine(aCount, aArguments, std::cout, std::cerr);
}
