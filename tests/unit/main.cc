// Included before CppUTest, whose macros redefine `new`.
#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>

auto main(int argc, char** argv) -> int {
  const log4cplus::Initializer log_initializer;
  log4cplus::BasicConfigurator::doConfigure();
  log4cplus::Logger::getRoot().setLogLevel(log4cplus::ERROR_LOG_LEVEL);
  // Disables CppUTest's leak detector: it keeps its records in blocks that were
  // allocated before main(), and reads them after those were freed. The
  // sanitizer build finds leaks instead.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  CommandLineTestRunner runner(argc, argv, TestRegistry::getCurrentRegistry());
  return runner.runAllTestsMain();
}
