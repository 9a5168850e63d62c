"""Tests of `play` without the bench: `python3 -m unittest discover deploy/days -p '*_test.py'`."""

import importlib.machinery
import importlib.util
import sys
import tempfile
import unittest
from pathlib import Path

DAYS_DIRECTORY = Path(__file__).resolve().parent


def load_play():
    """Loads the script as a module; the explicit loader is needed because its file name has no `.py` suffix."""
    sys.dont_write_bytecode = True
    loader = importlib.machinery.SourceFileLoader("play", str(DAYS_DIRECTORY / "play"))
    module = importlib.util.module_from_spec(importlib.util.spec_from_loader("play", loader))
    sys.modules["play"] = module
    loader.exec_module(module)
    return module


play = load_play()


def day_text(kinds: list[str], closing: str) -> str:
    entries = "".join(f'  {{ at = 1.0, kind = "{kind}" }},\n' for kind in kinds)
    return f'[[day]]\nname = "d"\nclosing = {{ kind = "{closing}", down_s = 1.0 }}\nplan = [\n{entries}]\nfaults = []\n'


class Coverage(unittest.TestCase):
    """The check reports kinds, closing faults and descriptions that are missing."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.root = Path(directory.name)

    def write(self, name: str, kinds: list[str], closing: str) -> None:
        file = self.root / name
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_text(day_text(kinds, closing))

    def write_all_closings(self) -> None:
        for closing in play.CLOSING_FAULTS:
            self.write(f"every/{closing}.toml", ["hup", "hup"], closing)

    def test_a_kind_that_occurs_twice_on_one_day_is_covered(self):
        self.write_all_closings()
        self.assertEqual(play.coverage_gaps(self.root, {"here": ["hup"]}), [])

    def test_a_kind_that_occurs_once_on_each_of_two_days_is_reported(self):
        self.write_all_closings()
        self.write("every/first.toml", ["core_cut"], "kill_all")
        self.write("every/second.toml", ["core_cut"], "kill_all")
        missing = play.coverage_gaps(self.root, {"here": ["hup", "core_cut"]})
        self.assertEqual(missing, ["here: no day contains core_cut at least 2 times"])

    def test_days_of_another_deployment_do_not_count(self):
        self.write_all_closings()
        self.write("small/there/own.toml", ["core_cut", "core_cut"], "kill_all")
        listed = {name: ["core_cut"] for name in ("there", "here", "there-grown")}
        missing = play.coverage_gaps(self.root, listed)
        self.assertEqual(len(missing), 2)
        self.assertFalse(any(line.startswith("there:") for line in missing))

    def test_a_closing_fault_that_no_day_ends_with_is_reported(self):
        self.write("every/first.toml", ["hup", "hup"], "kill_all")
        missing = play.coverage_gaps(self.root, {"here": ["hup"]})
        self.assertEqual(missing, ["here: no day ends with power_off_all", "here: no day ends with wipe_after_ack"])

    def test_a_day_that_the_readme_does_not_describe_is_reported(self):
        self.write("every/first.toml", ["hup"], "kill_all")
        self.assertEqual(play.undocumented_days(self.root, "`second`"), ["README.md does not describe the day first"])
        self.assertEqual(play.undocumented_days(self.root, "`first`"), [])


class Outcomes(unittest.TestCase):
    """Outcomes are read from journal entries and fail unless the day passed every check."""

    def day(self, **changed) -> dict:
        return {"seed": 1, "G": 0.8, "served": 0.9, "rules": {}, "fault": None, "short": [], "gate": True} | changed

    def read(self, **changed):
        return play.parse_outcome("d", {"id": "0a", "days": [self.day(**changed)]}, [], "-")

    def test_a_clean_day_passes(self):
        self.assertTrue(self.read().passed())

    def test_a_broken_rule_fails_the_day_and_is_printed(self):
        outcome = self.read(rules={"TWICE": 2}, gate=False)
        self.assertFalse(outcome.passed())
        self.assertIn("TWICE", outcome.summary())

    def test_a_missed_gate_or_a_fault_fails_the_day(self):
        self.assertFalse(self.read(gate=False).passed())
        self.assertFalse(self.read(fault="no program").passed())

    def test_a_day_without_a_result_does_not_pass(self):
        self.assertFalse(play.parse_outcome("d", None, [], "-").passed())
        self.assertFalse(play.parse_outcome("d", {"id": "0a", "days": []}, [], "-").passed())

    def test_an_event_that_the_bench_skipped_is_printed(self):
        day = {"plan": [{"kind": "hup"}], "faults": [{"kind": "core_cut"}, {"kind": "core_cut"}]}
        events = [{"kind": "hup "}, {"kind": "core_cut (leader)"}, {"kind": "scale_in"}]
        self.assertEqual(play.skipped_kinds(day, events), ["core_cut 1"])
        outcome = play.parse_outcome("d", {"id": "0a", "days": [self.day()]}, ["core_cut 1"], "-")
        self.assertTrue(outcome.passed())
        self.assertIn("not played: core_cut 1", outcome.summary())


if __name__ == "__main__":
    unittest.main()
