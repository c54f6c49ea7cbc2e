#ifndef PROGRAMS_LOAD_ENTRY_BOOK_H_
#define PROGRAMS_LOAD_ENTRY_BOOK_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "al_core/ids/ids.h"
#include "al_core/random/random_source.h"
#include "al_edge/http/http_client.h"
#include "al_edge/loop/event_loop.h"

namespace auburnloft::load {

/** The addresses that callers use: asked for at any router, kept for as long as
   the answer holds.

    Thread safety: none; used on the loop's thread.
*/
class EntryAddressTable {
 public:
  using OnAddress = std::function<void(std::string address)>;

  /** @param bootstrap  routers to ask at first.  @param uses_entry_lists  false
   * keeps to them. */
  EntryAddressTable(EventLoop& loop,
                    HttpClient& http,
                    RandomSource& random,
                    std::vector<std::string> bootstrap,
                    bool uses_entry_lists);

  /** Gives an address for a request of `team`, asking for a new list where the
     old one has run out. @param avoid  an address that just failed. */
  auto PickAddress(const TeamId& team,
                   const std::string& key,
                   const std::string& avoid,
                   OnAddress on_address) -> void;

  /** Makes the next Pick() of `team` ask anew. */
  auto Expire(const TeamId& team) -> void;

 private:
  struct List {
    std::vector<std::string> addresses;
    Instant until;
    bool is_requesting = false;
    std::vector<std::pair<std::string, OnAddress>> waiting;
  };

  auto RequestList(const TeamId& team, const std::string& key, int attempt)
      -> void;
  auto DeliverAddress(List& list,
                      const std::string& avoid,
                      const OnAddress& on_address) -> void;

  EventLoop& loop;
  HttpClient& http;
  RandomSource& random;
  std::vector<std::string> bootstrap;
  bool uses_entry_lists;
  std::map<TeamId, List> lists;
};

}  // namespace auburnloft::load

#endif  // PROGRAMS_LOAD_ENTRY_BOOK_H_
