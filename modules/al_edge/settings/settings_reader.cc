#include "al_edge/settings/settings_reader.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <cstdlib>
#include <optional>

namespace auburnloft {

namespace {

constexpr std::string_view kVersion = "0.1.0";
constexpr std::string_view kEnvironmentPrefix = "AUBURNLOFT_";

auto EnvironmentVariable(std::string_view name) -> std::string {
  std::string variable(kEnvironmentPrefix);
  for (const char letter : name) {
    variable += letter == '-' ? '_'
                              : static_cast<char>(std::toupper(
                                    static_cast<unsigned char>(letter)));
  }
  return variable;
}

auto ParseInteger(std::string_view text) -> std::optional<std::int64_t> {
  std::int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

auto IsAddress(std::string_view text) -> bool {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return false;
  }
  const std::optional<std::int64_t> port = ParseInteger(text.substr(colon + 1));
  constexpr std::int64_t kMaxPort = 65'535;
  return port && *port > 0 && *port <= kMaxPort;
}

}  // namespace

SettingsReader::SettingsReader(std::string_view summary)
    : command_line(std::make_unique<TCLAP::CmdLine>(std::string(summary),
                                                    ' ',
                                                    std::string(kVersion))) {
  this->command_line->setExceptionHandling(false);
}

SettingsReader::~SettingsReader() = default;

//==============================================================================
// Declarations

auto SettingsReader::Declare(Setting setting, std::string_view help) -> void {
  const std::string text =
      std::string(help) + " [" + EnvironmentVariable(setting.name) + "]" +
      (setting.value.empty() ? std::string()
                             : " (default: " + setting.value + ")");
  if (setting.kind == Kind::kSwitch) {
    this->arguments.push_back(std::make_unique<TCLAP::SwitchArg>(
        "", setting.name, text, *this->command_line));
  } else {
    this->arguments.push_back(std::make_unique<TCLAP::ValueArg<std::string>>(
        "", setting.name, text, false, "",
        setting.kind == Kind::kInteger ? "number" : "text",
        *this->command_line));
  }
  this->settings.push_back(std::move(setting));
}

auto SettingsReader::DeclareText(std::string_view name,
                                 std::string_view help,
                                 std::string_view default_value) -> void {
  this->Declare(
      {std::string(name), Kind::kText, false, 0, 0, std::string(default_value)},
      help);
}

auto SettingsReader::DeclareRequiredText(std::string_view name,
                                         std::string_view help) -> void {
  this->Declare({std::string(name), Kind::kText, true, 0, 0, ""}, help);
}

auto SettingsReader::DeclareAddress(std::string_view name,
                                    std::string_view help) -> void {
  this->Declare({std::string(name), Kind::kAddress, true, 0, 0, ""}, help);
}

auto SettingsReader::DeclareInteger(std::string_view name,
                                    std::string_view help,
                                    std::int64_t default_value,
                                    std::int64_t min,
                                    std::int64_t max) -> void {
  this->Declare({std::string(name), Kind::kInteger, false, min, max,
                 std::to_string(default_value)},
                help);
}

auto SettingsReader::DeclareSwitch(std::string_view name, std::string_view help)
    -> void {
  this->Declare({std::string(name), Kind::kSwitch, false, 0, 0, ""}, help);
}

auto SettingsReader::DeclareArguments(std::string_view name,
                                      std::string_view help) -> void {
  this->positional_argument =
      std::make_unique<TCLAP::UnlabeledMultiArg<std::string>>(
          std::string(name), std::string(help), false, "word",
          *this->command_line);
}

//==============================================================================

auto SettingsReader::Read(int argc, char** argv) -> bool {
  try {
    this->command_line->parse(argc, argv);
  } catch (const TCLAP::ExitException& exit_request) {
    std::exit(exit_request.getExitStatus());
  } catch (const TCLAP::ArgException& error) {
    this->found.Add(error.argId(), error.error());
    return false;
  }
  for (std::size_t i = 0; i < this->settings.size(); ++i) {
    Setting& setting = this->settings[i];
    const char* const variable =
        std::getenv(EnvironmentVariable(setting.name).c_str());
    if (this->arguments[i]->isSet()) {
      const auto* const text =
          dynamic_cast<TCLAP::ValueArg<std::string>*>(this->arguments[i].get());
      setting.value = text == nullptr ? "true" : text->getValue();
    } else if (variable != nullptr) {
      setting.value = variable;
    }
    this->Check(setting);
  }
  return this->found.empty();
}

auto SettingsReader::Check(const Setting& setting) -> void {
  const std::string location =
      "--" + setting.name + " or " + EnvironmentVariable(setting.name);
  if (setting.required && setting.value.empty()) {
    this->found.Add(location, "is required");
  } else if (setting.kind == Kind::kAddress && !IsAddress(setting.value)) {
    this->found.Add(location, "\"" + setting.value + "\" is not ip:port");
  } else if (setting.kind == Kind::kInteger) {
    const std::optional<std::int64_t> value = ParseInteger(setting.value);
    if (!value || *value < setting.min || *value > setting.max) {
      this->found.Add(location, "\"" + setting.value +
                                    "\" is not a whole number from " +
                                    std::to_string(setting.min) + " to " +
                                    std::to_string(setting.max));
    }
  }
}

//==============================================================================
// Queries

auto SettingsReader::Find(std::string_view name) const -> const Setting& {
  const auto setting = std::ranges::find(this->settings, name, &Setting::name);
  assert(setting != this->settings.end());
  return *setting;
}

auto SettingsReader::Text(std::string_view name) const -> std::string {
  return this->Find(name).value;
}

auto SettingsReader::Integer(std::string_view name) const -> std::int64_t {
  return ParseInteger(this->Find(name).value).value_or(0);
}

auto SettingsReader::Switch(std::string_view name) const -> bool {
  const std::string& value = this->Find(name).value;
  return value == "true" || value == "1";
}

auto SettingsReader::positional_arguments() const -> std::vector<std::string> {
  const auto* const positional_arguments =
      dynamic_cast<TCLAP::UnlabeledMultiArg<std::string>*>(
          this->positional_argument.get());
  return positional_arguments == nullptr ? std::vector<std::string>()
                                         : positional_arguments->getValue();
}

}  // namespace auburnloft
