#ifndef AL_EDGE_SETTINGS_SETTINGS_READER_H_
#define AL_EDGE_SETTINGS_SETTINGS_READER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "al_core/errors/findings.h"

namespace TCLAP {  // NOLINT(readability-identifier-naming)
class CmdLine;
class Arg;
}  // namespace TCLAP

namespace auburnloft {

/** Declares the settings of a process and reads them from flags and environment
   variables.

    A flag `--log-address` can also be given as AUBURNLOFT_LOG_ADDRESS; the flag
   goes first. All faults are collected and reported together. `--help` and
   `--version` are answered by Read().

    Declare all settings, call Read(), then ask for their values.

    Thread safety: none; used before the loop runs.
*/
class SettingsReader {
 public:
  /** @param summary  one sentence that `--help` prints. */
  explicit SettingsReader(std::string_view summary);
  ~SettingsReader();

  SettingsReader(const SettingsReader&) = delete;
  auto operator=(const SettingsReader&) -> SettingsReader& = delete;

  //============================================================================
  // Declarations

  /** A text. A setting without a fallback is required. */
  auto DeclareText(std::string_view name,
                   std::string_view help,
                   std::string_view fallback) -> void;
  auto DeclareRequiredText(std::string_view name, std::string_view help)
      -> void;

  /** `ip:port`, required. */
  auto DeclareAddress(std::string_view name, std::string_view help) -> void;

  auto DeclareInteger(std::string_view name,
                      std::string_view help,
                      std::int64_t fallback,
                      std::int64_t least,
                      std::int64_t most) -> void;

  /** A switch, off unless given; in the environment `1` or `true`. */
  auto DeclareSwitch(std::string_view name, std::string_view help) -> void;

  /** Words after the flags, such as a subcommand. */
  auto DeclareArguments(std::string_view name, std::string_view help) -> void;

  //============================================================================

  /** Reads and checks everything. @return false where findings() is not empty.
     Ends the process after `--help` and `--version`. */
  [[nodiscard]] auto Read(int argc, char** argv) -> bool;

  //============================================================================
  // Queries, after Read(). @pre the name was declared with that type.

  [[nodiscard]] auto findings() const -> const Findings& { return this->found; }
  [[nodiscard]] auto Text(std::string_view name) const -> std::string;
  [[nodiscard]] auto Integer(std::string_view name) const -> std::int64_t;
  [[nodiscard]] auto Switch(std::string_view name) const -> bool;
  [[nodiscard]] auto positional_arguments() const -> std::vector<std::string>;

 private:
  enum class Kind { kText, kAddress, kInteger, kSwitch };
  struct Setting {
    std::string name;
    Kind kind = Kind::kText;
    bool required = false;
    std::int64_t least = 0;
    std::int64_t most = 0;
    std::string value;
  };

  auto Declare(Setting setting, std::string_view help) -> void;
  auto Check(const Setting& setting) -> void;
  [[nodiscard]] auto Find(std::string_view name) const -> const Setting&;

  std::unique_ptr<TCLAP::CmdLine> line;
  std::vector<std::unique_ptr<TCLAP::Arg>> arguments;
  std::unique_ptr<TCLAP::Arg> word_argument;
  std::vector<Setting> settings;
  Findings found;
};

}  // namespace auburnloft

#endif  // AL_EDGE_SETTINGS_SETTINGS_READER_H_
