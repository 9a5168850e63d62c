"""Tests of .ci/tests: which failures the script tolerates and which fail the run."""

import contextlib
import importlib.machinery
import importlib.util
import io
import tempfile
import unittest
from pathlib import Path
from unittest import mock

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


class KnownRedList(unittest.TestCase):
    def test_failed_tests_are_read_from_result_lines_and_failure_lists(self):
        self.assertEqual(ci_tests.failed_tests(OUTPUT), {"b::fails", "c::prints"})

    def test_only_failures_of_listed_tests_are_tolerated(self):
        listed = ci_tests.parse_known_red("# a comment\n\nb::fails | cargo test b, seed 3 | slow disk | issue 7\n")
        failed = ci_tests.failed_tests(OUTPUT)
        self.assertEqual(ci_tests.failure_reasons(101, failed, listed), ["c::prints failed"])
        self.assertEqual(ci_tests.failure_reasons(101, {"b::fails"}, listed), [])

    def test_a_listed_test_that_passes_fails_the_run(self):
        listed = ci_tests.parse_known_red("b::fails | command | seen | issue")
        self.assertEqual(len(ci_tests.failure_reasons(0, set(), listed)), 1)

    def test_a_non_zero_exit_status_without_a_failed_test_fails_the_run(self):
        self.assertEqual(len(ci_tests.failure_reasons(101, set(), [])), 1)
        self.assertEqual(ci_tests.failure_reasons(0, set(), []), [])

    def test_entries_have_four_parts_in_order(self):
        listed = ci_tests.parse_known_red("b::fails | cargo test b, seed 3 | timed out, slow disk | issue 7\n")
        expected = ci_tests.KnownRed("b::fails", "cargo test b, seed 3", "timed out, slow disk", "issue 7")
        self.assertEqual(listed, [expected])
        self.assertEqual((listed[0].test, listed[0].command), ("b::fails", "cargo test b, seed 3"))
        self.assertEqual((listed[0].seen, listed[0].issue), ("timed out, slow disk", "issue 7"))

    def test_unreadable_entries_are_rejected(self):
        unreadable = ["a", "a, b, c", "a, b, c, d", "a | b", "a | b | c", "a | b | c | d | e"]
        unreadable += ["a | | c | d", "| b | c | d", "a | b | c |", "a || c | d"]
        for text in unreadable:
            for lines in (text, f"z | b | c | d\n{text}\n"):
                with self.subTest(lines), self.assertRaisesRegex(ci_tests.InvalidKnownRed, "is not"):
                    ci_tests.parse_known_red(lines)

    def test_at_most_three_tests_are_listed(self):
        self.assertEqual(len(ci_tests.parse_known_red("a | b | c | d\n" * 3)), 3)
        with self.assertRaisesRegex(ci_tests.InvalidKnownRed, "the limit is 3"):
            ci_tests.parse_known_red("a | b | c | d\n" * 4)


class CompleteRun(unittest.TestCase):
    """The whole script, with a shell command in place of cargo."""

    def run_with(self, listed: str | None, output: list[str], status: int) -> tuple[int, str]:
        with tempfile.TemporaryDirectory() as folder:
            known_red = Path(folder) / "KNOWN-RED.txt"
            if listed is not None:
                known_red.write_text(listed)
            command = ["sh", "-c", f"cat <<'END'\n{chr(10).join(output)}\nEND\nexit {status}"]
            with (
                mock.patch.object(ci_tests, "KNOWN_RED_FILE", known_red),
                mock.patch.object(sys, "argv", ["tests", *command]),
                contextlib.redirect_stdout(io.StringIO()) as printed,
            ):
                return ci_tests.main(), printed.getvalue()

    def test_each_listed_failure_is_printed_and_passes(self):
        listed = "b::fails | cargo test b, seed 3 | timed out | issue 7\nc::prints | cargo test c | hung | issue 8\n"
        status, printed = self.run_with(listed, OUTPUT, 101)
        self.assertEqual(status, 0)
        self.assertIn("known red: b::fails: timed out (issue 7); run: cargo test b, seed 3\n", printed)
        self.assertIn("known red: c::prints: hung (issue 8); run: cargo test c\n", printed)

    def test_an_unlisted_failure_fails_the_run(self):
        self.assertEqual(self.run_with(None, OUTPUT, 101)[0], 1)
        self.assertEqual(self.run_with("b::fails | command | seen | issue", OUTPUT, 101)[0], 1)

    def test_a_listed_test_that_passes_fails_the_whole_run(self):
        passing = ["test b::passes ... ok"]
        self.assertEqual(self.run_with("b::passes | command | seen | issue", passing, 0)[0], 1)
        self.assertEqual(self.run_with(None, passing, 0)[0], 0)

    def test_an_unreadable_entry_fails_the_run(self):
        status, printed = self.run_with("b::passes, cause, issue", ["test b::passes ... ok"], 0)
        self.assertEqual(status, 1)
        self.assertIn("KNOWN-RED.txt: 'b::passes, cause, issue' is not", printed)


if __name__ == "__main__":
    unittest.main()
