#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>

auto main(int argc, char** argv) -> int {
  // Leaks are the sanitizer build's to find. CppUTest's detector is left out:
  // it keeps its records in blocks that were allocated before main(), and reads
  // them after those were freed.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  CommandLineTestRunner runner(argc, argv, TestRegistry::getCurrentRegistry());
  return runner.runAllTestsMain();
}
