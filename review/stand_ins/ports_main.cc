// Prints free ports of the loopback address, as many as the argument tells.
// They are below those that the system gives to outgoing connections, so that
// none is taken before a program listens on it.

#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <random>
#include <vector>

#include "net.h"

auto main(int argc, char** argv) -> int {
  constexpr int kCannotRun = 2;
  constexpr int kFirst = 15'000;
  constexpr int kLast = 30'000;
  constexpr int kMaxTries = 2'000;
  const int wanted = argc == 2 ? std::atoi(argv[1]) : 0;
  std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<int> any(kFirst, kLast);
  std::vector<int> sockets;
  for (int tries = 0; static_cast<int>(sockets.size()) < wanted; ++tries) {
    int port = any(random);
    const int socket = review::ListenOn(port);
    if (socket >= 0) {
      sockets.push_back(socket);
      std::cout << port << '\n';
    } else if (tries > kMaxTries) {
      return kCannotRun;
    }
  }
  for (const int socket : sockets) {
    close(socket);
  }
  return 0;
}
