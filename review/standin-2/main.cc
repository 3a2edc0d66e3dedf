// Plays one case of the review: standin2 CASE PROGRAM FOLDER RECORD. Ends with 1 if the rule was
// broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
#include <cstdlib>
#include <iostream>

#include "cases.h"

int main(int argc, char** argv) {
  using namespace standin;
  if (argc != 5) return 2;
  ::signal(SIGPIPE, SIG_IGN);
  record.open(argv[4]);
  const char* trouble = std::getenv("TROUBLE");
  const bool with_trouble = !(trouble && std::string(trouble) == "0");
  record.line("case %s, %s", argv[1], with_trouble ? "with the disruption" : "without the disruption");
  int result = 2;
  try {
    const auto found = cases().find(argv[1]);
    if (found == cases().end()) throw std::runtime_error("no such case");
    result = found->second({argv[2], argv[3], with_trouble});
  } catch (const std::exception& error) {
    record.line("could not run: %s", error.what());
  }
  record.line("result %d: %s", result,
              result == 1 ? "the rule was broken" : result == 0 ? "the rule held" : "the case could not run");
  std::cout << "result " << result << std::endl;
  std::_Exit(result);
}
