"""Tests of `play` without the bench: `python3 -m unittest discover deploy/days -p '*_test.py'`."""

import importlib.machinery
import importlib.util
import sys
import tempfile
import unittest
from pathlib import Path

FOLDER = Path(__file__).resolve().parent


def loaded_play():
    """The script as a module; its name has no ending, so that the import system needs to be told."""
    sys.dont_write_bytecode = True
    loader = importlib.machinery.SourceFileLoader("play", str(FOLDER / "play"))
    module = importlib.util.module_from_spec(importlib.util.spec_from_loader("play", loader))
    sys.modules["play"] = module
    loader.exec_module(module)
    return module


play = loaded_play()


def day_text(kinds: list[str], closing: str) -> str:
    entries = "".join(f'  {{ at = 1.0, kind = "{kind}" }},\n' for kind in kinds)
    return f'[[day]]\nname = "d"\nclosing = {{ kind = "{closing}", down_s = 1.0 }}\nplan = [\n{entries}]\nfaults = []\n'


class Coverage(unittest.TestCase):
    """The check finds what the days lack."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)

    def write(self, name: str, kinds: list[str], closing: str) -> None:
        file = self.root / name
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_text(day_text(kinds, closing))

    def write_all_closings(self) -> None:
        for closing in play.CLOSINGS:
            self.write(f"every/{closing}.toml", ["hup", "hup"], closing)

    def test_a_kind_that_comes_twice_on_one_day_is_covered(self):
        self.write_all_closings()
        self.assertEqual(play.faults_of_coverage(self.root, {"here": ["hup"]}), [])

    def test_a_kind_that_comes_once_on_two_days_is_missed(self):
        self.write_all_closings()
        self.write("every/first.toml", ["core_cut"], "kill_all")
        self.write("every/second.toml", ["core_cut"], "kill_all")
        missing = play.faults_of_coverage(self.root, {"here": ["hup", "core_cut"]})
        self.assertEqual(missing, ["here: no day brings core_cut 2 times"])

    def test_days_of_another_deployment_do_not_count(self):
        self.write_all_closings()
        self.write("small/there/own.toml", ["core_cut", "core_cut"], "kill_all")
        missing = play.faults_of_coverage(self.root, {"there": ["core_cut"], "here": ["core_cut"], "there-grown": ["core_cut"]})
        self.assertEqual(len(missing), 2)
        self.assertFalse(any(line.startswith("there:") for line in missing))

    def test_a_closing_fault_that_no_day_ends_with_is_missed(self):
        self.write("every/first.toml", ["hup", "hup"], "kill_all")
        missing = play.faults_of_coverage(self.root, {"here": ["hup"]})
        self.assertEqual(missing, ["here: no day ends with power_off_all", "here: no day ends with wipe_after_ack"])

    def test_a_day_that_the_readme_does_not_name_is_missed(self):
        self.write("every/first.toml", ["hup"], "kill_all")
        self.assertEqual(play.undescribed(self.root, "`second`"), ["README.md does not say what first is for"])
        self.assertEqual(play.undescribed(self.root, "`first`"), [])


class Outcomes(unittest.TestCase):
    """What a journal's entry tells is read as it stands there."""

    def day(self, **changed) -> dict:
        return {"seed": 1, "G": 0.8, "served": 0.9, "rules": {}, "fault": None, "short": [], "gate": True} | changed

    def read(self, **changed):
        return play.outcome("d", {"id": "0a", "days": [self.day(**changed)]}, [])

    def test_a_clean_day_passes(self):
        self.assertTrue(self.read().passed())

    def test_a_broken_rule_fails_the_day_and_is_shown(self):
        broken = self.read(rules={"TWICE": 2}, gate=False)
        self.assertFalse(broken.passed())
        self.assertIn("TWICE", broken.line())

    def test_a_missed_gate_or_a_fault_fails_the_day(self):
        self.assertFalse(self.read(gate=False).passed())
        self.assertFalse(self.read(fault="no program").passed())

    def test_no_result_is_no_pass(self):
        self.assertFalse(play.outcome("d", None, []).passed())
        self.assertFalse(play.outcome("d", {"id": "0a", "days": []}, []).passed())

    def test_an_entry_that_the_bench_left_out_is_named(self):
        day = {"plan": [{"kind": "hup"}], "faults": [{"kind": "core_cut"}, {"kind": "core_cut"}]}
        events = [{"kind": "hup "}, {"kind": "core_cut (leader)"}, {"kind": "scale_in"}]
        self.assertEqual(play.not_played(day, events), ["core_cut 1"])
        shown = play.outcome("d", {"id": "0a", "days": [self.day()]}, ["core_cut 1"])
        self.assertTrue(shown.passed())
        self.assertIn("not played: core_cut 1", shown.line())


if __name__ == "__main__":
    unittest.main()
