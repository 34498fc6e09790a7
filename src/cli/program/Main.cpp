#include "cli/CommandLine.h"

#include <iostream>

int
main(int aCount, char** aArguments)
{
  return lovagerock::cli::RunCommandLine(aCount, aArguments, { std::cin, std::cout, std::cerr });
}
