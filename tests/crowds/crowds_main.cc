// Plays each kind of crowd at each address of a gateway and prints what the
// gateway took.
#include <atomic>
#include <iostream>
#include <thread>

#include "al_edge/settings/settings_reader.h"
#include "crowds/crowd.h"
#include "crowds/crowd_kinds.h"
#include "crowds/crowd_target.h"

namespace {

using namespace auburnloft;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

constexpr int kBadUsage = 2;

/** A crowd that makes no progress for this time has done what it can; the
    longest time of one crowd. */
constexpr milliseconds kSettle{1'500};
constexpr milliseconds kMaxPlay{20'000};

/** Time within which an ordinary request is to be answered during a crowd. */
constexpr milliseconds kDuringTimeout{3'000};

auto PlayOne(const testing::CrowdKind& kind,
             const testing::CrowdAddress& address,
             std::size_t size,
             const std::string& memory_mb) -> void {
  const testing::CrowdTarget target(
      {.max_body_bytes = std::size_t{4} << 20,
       .environment = {{"AUBURNLOFT_MEMORY_MB", memory_mb}}});
  std::size_t open = 0;
  std::size_t descriptors = 0;
  std::size_t unread_kb = 0;
  std::size_t together_kb = 0;
  std::atomic<int> asked{0};
  std::atomic<int> served{0};
  std::atomic<bool> ends{false};
  std::thread ordinary([&] {
    while (!ends) {
      ++asked;
      served += testing::CrowdTarget::ServesRequest(kDuringTimeout) ? 1 : 0;
      std::this_thread::sleep_for(milliseconds(50));
    }
  });
  {
    testing::Crowd crowd(
        testing::CrowdTarget::AddressOf(std::string(address.listener)), size,
        kind.script(address));
    std::thread observer([&] {
      while (!ends) {
        const auto usage = target.MeasureUsage();
        descriptors = std::max(descriptors, usage.descriptors);
        unread_kb = std::max(unread_kb, usage.unread_kb);
        together_kb =
            std::max(together_kb, usage.resident_kb + usage.unread_kb);
        std::this_thread::sleep_for(milliseconds(100));
      }
    });
    crowd.Play(kSettle, kMaxPlay);
    ends = true;
    observer.join();
    open = crowd.open_connections();
  }
  ordinary.join();
  const bool after = testing::CrowdTarget::ServesEventually();
  const auto usage = target.MeasureUsage();
  std::cout << "| " << kind.name << " | " << address.name << " | "
            << (usage.peak_resident_kb + 512) / 1024 << " | "
            << (unread_kb + 512) / 1024 << " | " << (together_kb + 512) / 1024
            << " | " << descriptors << " | " << open << " | "
            << (usage.is_alive ? "yes" : "NO") << " | " << served << " of "
            << asked << " | " << (after ? "yes" : "NO") << " |" << std::endl;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  SettingsReader settings("Plays crowds of callers that misbehave.");
  settings.DeclareInteger("connections", "connections of a crowd", 2'500, 1,
                          10'000);
  settings.DeclareText("memory-mb", "the gateway's setting of that name", "0");
  settings.DeclareText("kind", "part of the names of the kinds to play", "");
  settings.DeclareText("address", "part of the names of the addresses", "");
  if (!settings.Read(argc, argv)) {
    std::cerr << settings.findings().ToText();
    return kBadUsage;
  }
  std::cout << "| kind | address | peak memory, MB | unread in the kernel, MB "
               "| both at a time, MB | descriptors | connections still open | "
               "alive | answered "
               "during | answered afterwards |\n"
               "|---|---|---|---|---|---|---|---|---|---|\n";
  for (const testing::CrowdKind& kind : testing::CrowdKinds()) {
    for (const testing::CrowdAddress& address : testing::CrowdAddresses()) {
      if ((kind.needs_route && !address.has_key) ||
          kind.name.find(settings.Text("kind")) == std::string_view::npos ||
          address.name.find(settings.Text("address")) ==
              std::string_view::npos) {
        continue;
      }
      PlayOne(kind, address,
              static_cast<std::size_t>(settings.Integer("connections")),
              settings.Text("memory-mb"));
    }
  }
  return 0;
}
