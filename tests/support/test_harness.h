#ifndef TESTS_SUPPORT_TEST_HARNESS_H_
#define TESTS_SUPPORT_TEST_HARNESS_H_

// Standard headers come before CppUTest, whose macros redefine `new`.
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <CppUTest/TestHarness.h>

/** Converts a text for CppUTest's failure messages. */
inline auto StringFrom(const std::string_view& text) -> SimpleString {
  return {std::string(text).c_str()};
}

#endif  // TESTS_SUPPORT_TEST_HARNESS_H_
