#include "base/LogOutput.h"

#include <criterion/criterion.h>

#include <fcntl.h>
#include <ostream>
#include <unistd.h>

using namespace lovagerock;

namespace {

struct Pipe
{
  Pipe() { cr_assert_eq(pipe(mEnds), 0); }
  ~Pipe()
  {
    close(mEnds[0]);
    close(mEnds[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  // What is in the pipe now.
  std::string Read() const
  {
    fcntl(mEnds[0], F_SETFL, O_NONBLOCK);
    std::string text;
    char buf[4096];
    for (auto n = read(mEnds[0], buf, sizeof buf); n > 0; n = read(mEnds[0], buf, sizeof buf)) {
      text.append(buf, static_cast<std::size_t>(n));
    }
    return text;
  }

  int mEnds[2] = {};
};

} // namespace

// Guards against a process that stands still because nobody reads its log.
Test(LogOutput, drops_lines_while_the_reader_stands_still_and_tells_how_many)
{
  const Pipe pipe;
  LogOutput output(pipe.mEnds[1]);
  std::ostream stream(&output);
  const std::string line(999, 'x');
  constexpr int kLines = 1000;
  for (int i = 0; i < kLines; ++i) {
    stream << line << std::endl;
  }
  const auto kept = pipe.Read();
  cr_assert_eq(kept.size() / (line.size() + 1) + output.Dropped(), kLines);
  cr_assert_gt(output.Dropped(), 0);
  stream << "next" << std::endl;
  const auto expected =
    "event=log_lines_dropped lines=" + std::to_string(output.Dropped()) + "\nnext\n";
  cr_assert_eq(pipe.Read(), expected);
}

Test(LogOutput, writes_whole_lines)
{
  const Pipe pipe;
  LogOutput output(pipe.mEnds[1]);
  std::ostream stream(&output);
  stream << "a=" << 1 << ' ' << "b=2";
  cr_assert_eq(pipe.Read(), std::string());
  stream << "\nc=3\n";
  cr_assert_eq(pipe.Read(), std::string("a=1 b=2\nc=3\n"));
}
