"""Tests of .ci/packages."""

import importlib.machinery
import importlib.util
import sys
import tempfile
import unittest
from pathlib import Path

loader = importlib.machinery.SourceFileLoader("ci_packages", str(Path(__file__).with_name("packages")))
ci_packages = importlib.util.module_from_spec(importlib.util.spec_from_loader("ci_packages", loader))
sys.modules["ci_packages"] = ci_packages
loader.exec_module(ci_packages)


class Packages(unittest.TestCase):
    def test_an_unlisted_package_is_reported_with_a_file_that_it_provides(self):
        needed = {"gcc": "/usr/bin/cc", "bash": "/bin/bash", "cmake": "/usr/bin/cmake"}
        found = ci_packages.missing_packages(needed, ["gcc"], essential=lambda package: package == "bash")
        self.assertEqual(found, ["cmake provides /usr/bin/cmake but is not listed under `packages`"])

    def test_the_owning_package_is_found_through_symbolic_links(self):
        self.assertEqual(ci_packages.owning_package("/usr/bin/cc"), "gcc")
        self.assertEqual(ci_packages.owning_package("/usr/bin/ld"), "binutils")
        with self.assertRaises(ci_packages.UnownedFile):
            ci_packages.owning_package("/nowhere/at/all")

    def test_programs_that_a_build_starts_are_recorded(self):
        with tempfile.TemporaryDirectory() as scratch_dir:
            _, programs = ci_packages.clean_build("as --version >/dev/null", Path(scratch_dir))
        self.assertEqual(programs, {"/usr/bin/as"})

    def test_shared_libraries_of_a_program_are_found(self):
        self.assertTrue(any("libc.so" in path for path in ci_packages.libraries(Path("/bin/sh"))))


if __name__ == "__main__":
    unittest.main()
