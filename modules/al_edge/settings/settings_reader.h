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

/** Reads the settings of a process from command-line flags and environment
   variables.

    The flag `--log-address` can also be given as AUBURNLOFT_LOG_ADDRESS; the
   flag takes precedence. All invalid values are reported together. Read()
   handles
   `--help` and `--version`.

    Declare all settings, then call Read(), then query the values.

    Thread safety: none; use on one thread.
*/
class SettingsReader {
 public:
  /** @param summary  a sentence for `--help`. */
  explicit SettingsReader(std::string_view summary);
  ~SettingsReader();

  SettingsReader(const SettingsReader&) = delete;
  auto operator=(const SettingsReader&) -> SettingsReader& = delete;

  //============================================================================
  // Declarations

  /** Declares a text setting with a default value, or a required one. */
  auto DeclareText(std::string_view name,
                   std::string_view help,
                   std::string_view default_value) -> void;
  auto DeclareRequiredText(std::string_view name, std::string_view help)
      -> void;

  /** Declares a required address, `ip:port`. */
  auto DeclareAddress(std::string_view name, std::string_view help) -> void;

  /** Declares an integer from `min` to `max`. */
  auto DeclareInteger(std::string_view name,
                      std::string_view help,
                      std::int64_t default_value,
                      std::int64_t min,
                      std::int64_t max) -> void;

  /** Declares a switch, off by default. The environment variable turns it on
     with `1` or `true`. */
  auto DeclareSwitch(std::string_view name, std::string_view help) -> void;

  /** Declares positional arguments, such as a subcommand. */
  auto DeclareArguments(std::string_view name, std::string_view help) -> void;

  //============================================================================

  /** Reads and checks all settings. @return true if findings() is empty. Exits
     the process after `--help` and `--version`. */
  [[nodiscard]] auto Read(int argc, char** argv) -> bool;

  //============================================================================
  // Queries. @pre Read() was called and the name was declared with that type.

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
    std::int64_t min = 0;
    std::int64_t max = 0;
    std::string value;
  };

  auto Declare(Setting setting, std::string_view help) -> void;
  auto Check(const Setting& setting) -> void;
  [[nodiscard]] auto Find(std::string_view name) const -> const Setting&;

  std::unique_ptr<TCLAP::CmdLine> command_line;
  std::vector<std::unique_ptr<TCLAP::Arg>> arguments;
  std::unique_ptr<TCLAP::Arg> positional_argument;
  std::vector<Setting> settings;
  Findings found;
};

}  // namespace auburnloft

#endif  // AL_EDGE_SETTINGS_SETTINGS_READER_H_
