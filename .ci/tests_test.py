"""What .ci/tests passes over and what it does not."""

import importlib.machinery
import importlib.util
import unittest
from pathlib import Path

loader = importlib.machinery.SourceFileLoader("ci_tests", str(Path(__file__).with_name("tests")))
ci_tests = importlib.util.module_from_spec(importlib.util.spec_from_loader("ci_tests", loader))
import sys

sys.modules["ci_tests"] = ci_tests
loader.exec_module(ci_tests)

OUTPUT = """
running 3 tests
test a::passes ... ok
test b::fails ... FAILED
test c::prints ... it says something FAILED
failures:

---- b::fails stdout ----
boom

failures:
    b::fails
    c::prints

test result: FAILED. 1 passed; 2 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.01s
""".splitlines()


class Tests(unittest.TestCase):
    def test_failures_are_found_by_result_and_by_list(self):
        self.assertEqual(ci_tests.failed_tests(OUTPUT), {"b::fails", "c::prints"})

    def test_only_listed_tests_are_passed_over(self):
        listed = ci_tests.known_red("# a comment\n\nb::fails, its disk is slow, issue 7\n")
        failed = ci_tests.failed_tests(OUTPUT)
        self.assertEqual(ci_tests.verdict(101, failed, listed), ["c::prints failed"])
        self.assertEqual(ci_tests.verdict(101, {"b::fails"}, listed), [])

    def test_a_listed_test_that_passes_fails_the_run(self):
        listed = ci_tests.known_red("b::fails, cause, issue")
        self.assertEqual(len(ci_tests.verdict(0, set(), listed)), 1)

    def test_a_command_that_ends_badly_without_a_failed_test_fails_the_run(self):
        self.assertEqual(len(ci_tests.verdict(101, set(), [])), 1)
        self.assertEqual(ci_tests.verdict(0, set(), []), [])

    def test_the_list_is_checked(self):
        for text in ["a, b", "a,,c", "a, b, c\n" * 4]:
            with self.assertRaises(ci_tests.Unreadable):
                ci_tests.known_red(text)


if __name__ == "__main__":
    unittest.main()
