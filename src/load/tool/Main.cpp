#include "load/CommandLine.h"

#include <iostream>

int
main(int aCount, char** aArguments)
{
  return lovagerock::load::RunCommandLine(aCount, aArguments, std::cout, std::cerr);
}
