#include "http/SocketOptions.h"

#include <criterion/criterion.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace lovagerock::http;

namespace {

int
GetOption(int aSocket, int aLevel, int aName)
{
  int value = 0;
  socklen_t n = sizeof value;
  cr_assert_eq(getsockopt(aSocket, aLevel, aName, &value, &n), 0);
  return value;
}

} // namespace

// Guards against a dead peer host that is never noticed because an option is missing.
Test(SocketOptions, are_all_set_on_a_new_socket)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  SetSocketOptions(fd);
  cr_assert_neq(GetOption(fd, IPPROTO_TCP, TCP_NODELAY), 0);
  cr_assert_neq(GetOption(fd, SOL_SOCKET, SO_KEEPALIVE), 0);
  cr_assert_eq(GetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE), 2);
  cr_assert_eq(GetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL), 1);
  cr_assert_eq(GetOption(fd, IPPROTO_TCP, TCP_KEEPCNT), 3);
  cr_assert_eq(GetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT), 5000);
  close(fd);
}
