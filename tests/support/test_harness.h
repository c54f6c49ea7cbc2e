#ifndef TESTS_SUPPORT_TEST_HARNESS_H_
#define TESTS_SUPPORT_TEST_HARNESS_H_

// Standard headers go before CppUTest's macros.
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <CppUTest/TestHarness.h>

/** How CppUTest prints a text. */
inline auto StringFrom(const std::string_view& text) -> SimpleString {
  return {std::string(text).c_str()};
}

#endif  // TESTS_SUPPORT_TEST_HARNESS_H_
