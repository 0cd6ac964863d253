// hingespan: the command-line tool for operators.
#include <iostream>

#include "hingespan/operator/command_line.h"

int main(int argc, char** argv) {
  const hingespan::Terminal terminal{&std::cin, &std::cout, &std::cerr};
  return hingespan::RunOperatorCommand(argc, argv, terminal);
}
