"""What .ci/packages finds."""

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
    def test_a_package_that_is_not_listed_is_named_with_what_it_brings(self):
        needed = {"gcc": "/usr/bin/cc", "bash": "/bin/bash", "cmake": "/usr/bin/cmake"}
        found = ci_packages.missing(needed, ["gcc"], essential=lambda package: package == "bash")
        self.assertEqual(found, ["cmake is not listed under `packages`, and brings /usr/bin/cmake"])

    def test_programs_belong_to_packages_also_through_links(self):
        self.assertEqual(ci_packages.owner("/usr/bin/cc"), "gcc")
        self.assertEqual(ci_packages.owner("/usr/bin/ld"), "binutils")
        with self.assertRaises(ci_packages.Unmapped):
            ci_packages.owner("/nowhere/at/all")

    def test_what_a_build_starts_is_recorded(self):
        with tempfile.TemporaryDirectory() as place:
            _, programs = ci_packages.clean_build("as --version >/dev/null", Path(place))
        self.assertEqual(programs, {"/usr/bin/as"})

    def test_the_libraries_of_a_program_are_found(self):
        self.assertTrue(any("libc.so" in path for path in ci_packages.libraries(Path("/bin/sh"))))


if __name__ == "__main__":
    unittest.main()
