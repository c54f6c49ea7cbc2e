#ifndef PROGRAMS_LOAD_ENTRY_ADDRESS_TABLE_H_
#define PROGRAMS_LOAD_ENTRY_ADDRESS_TABLE_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "al_core/ids/ids.h"
#include "al_core/random/random_source.h"
#include "al_edge/loop/event_loop.h"
#include "al_http1/http_client.h"

namespace auburnloft::load {

/** Caches the entry list of each team: the router addresses that its callers
   use. A list is requested from any bootstrap router and kept until its
   `hold_seconds` have passed.

    Thread safety: none; used on the loop's thread.
*/
class EntryAddressTable {
 public:
  using OnAddress = std::function<void(std::string address)>;

  /** @param bootstrap  addresses of the routers that serve entry lists.
      @param uses_entry_lists  if false, PickAddress() chooses among the
     bootstrap routers themselves. */
  EntryAddressTable(EventLoop& loop,
                    HttpClient& http,
                    RandomSource& random,
                    std::vector<std::string> bootstrap,
                    bool uses_entry_lists);

  /** Passes a random entry address of `team` to `on_address`, after requesting
     a new list if the cached one has expired. If no router serves a new list,
     the expired one is used; without any list, the address is empty.
      @param avoid  an address that just failed; it is picked only if it is the
     only one. */
  auto PickAddress(const TeamId& team,
                   const std::string& key,
                   const std::string& avoid,
                   OnAddress on_address) -> void;

  /** Marks the cached list of `team` as expired, so that the next PickAddress()
   * requests a new one. */
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

#endif  // PROGRAMS_LOAD_ENTRY_ADDRESS_TABLE_H_
