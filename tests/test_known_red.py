"""Known failing tests listed in KNOWN-RED.txt: each way in which the list could hide a fault fails the run."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from .known_red import NAME

ROOT = Path(__file__).parent.parent
TESTS = """
import pytest
def test_red(): assert False
def test_green(): pass
"""
SEEN = 'a fault: "assert False"'
RED = f"test_it.py::test_red | run it, seed 7 | {SEEN} | issue 1\n"
MALFORMED = (
    """must have the form 'file::test | command and seed | what was seen, with "text of the failure" | issue'"""
)


def run(folder: Path, listed: str | None, tests: str = TESTS, ci: bool = True) -> tuple[int, str]:
    (folder / "test_it.py").write_text(tests)
    (folder / "pytest.ini").write_text("[pytest]\n")
    if listed is not None:
        (folder / NAME).write_text(listed)
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "tests.known_red", "-p", "no:cacheprovider"],
        cwd=folder,
        capture_output=True,
        text=True,
        check=False,
        env={**os.environ, "PYTHONPATH": str(ROOT), "CI": "true" if ci else ""},
    )
    return done.returncode, done.stdout + done.stderr


def test_a_listed_failure_is_expected_in_ci_only_and_its_entry_is_printed(tmp_path: Path) -> None:
    code, output = run(tmp_path, RED)
    assert code == 0 and "1 passed, 1 xfailed" in output
    assert f"KNOWN RED test_it.py::test_red: {SEEN} (issue 1); run: run it, seed 7" in output
    code, output = run(tmp_path, RED, ci=False)
    assert code == 1 and "1 failed, 1 passed" in output


@pytest.mark.parametrize(("test", "counts"), [("test_red", "1 passed, 1 xfailed"), ("test_green", "1 xpassed")])
def test_a_test_listed_as_intermittent_may_fail_or_pass_in_ci_only(tmp_path: Path, test: str, counts: str) -> None:
    tests = TESTS if test == "test_red" else "def test_green(): pass\n"
    listed = f"test_it.py::{test} | run it, seed 7 | intermittent: {SEEN} | issue 1\n"
    code, output = run(tmp_path, listed, tests)
    assert code == 0 and counts in output
    assert f"KNOWN RED test_it.py::{test}: intermittent: {SEEN} (issue 1); run: run it, seed 7" in output
    if test == "test_red":
        code, output = run(tmp_path, listed, tests, ci=False)
        assert code == 1 and "1 failed, 1 passed" in output


def test_a_listed_test_that_passes_fails_the_run_unless_its_entry_begins_with_intermittent(tmp_path: Path) -> None:
    listed = f"test_it.py::test_green | run it, seed 7 | an intermittent: {SEEN} | issue 1\n"
    code, output = run(tmp_path, listed)
    assert code != 0 and "XPASS(strict)" in output


@pytest.mark.parametrize("seen", [SEEN, f"intermittent: {SEEN}"])
def test_a_listed_test_that_fails_in_another_way_fails_the_run(tmp_path: Path, seen: str) -> None:
    """Guards against a new fault that is hidden by the entry of the known one."""
    tests = "def test_red(): assert 1 == 2, 'another rule'\n"
    code, output = run(tmp_path, f"test_it.py::test_red | run it, seed 7 | {seen} | issue 1\n", tests)
    assert code == 1 and "1 failed" in output and "did not fail with 'assert False'" in output
    code, output = run(
        tmp_path, f"test_it.py::test_red | run it, seed 7 | {seen} | issue 1\n", "def test_red(x): pass"
    )
    assert code == 1 and "1 error" in output, "an error in the setup, here a missing fixture"


MULTIPART_FAILURE_TESTS = """
class BrokenRulesError(AssertionError):
    def __init__(self, *rules):
        super().__init__(*rules)
        self.broken_rules = rules
def test_red(): raise {}
"""


@pytest.mark.parametrize(
    ("failure", "is_expected"),
    [
        ("BrokenRulesError('n0: assert False', 'n1: assert False')", True),
        ("BrokenRulesError('n0: assert False', 'n1: another rule')", False),
        ("ExceptionGroup('all', [ValueError('assert False'), ValueError('assert False too')])", True),
        ("ExceptionGroup('assert False', [ValueError('assert False'), ValueError('another rule')])", False),
    ],
)
def test_a_failure_of_several_parts_is_expected_only_if_each_part_has_the_listed_text(
    tmp_path: Path, failure: str, is_expected: bool
) -> None:
    """Guards against a new fault that is reported together with the known one."""
    code, output = run(tmp_path, RED, MULTIPART_FAILURE_TESTS.format(failure))
    assert (code == 0) == is_expected and ("1 xfailed" in output) == is_expected


def test_an_entry_whose_seed_is_not_that_of_its_test_fails_the_run(tmp_path: Path) -> None:
    """Guards against a failure that is expected for seeds that never showed it."""
    tests = "import pytest\n@pytest.mark.parametrize('seed', [7, 8])\ndef test_red(seed): assert False\n"
    listed = f"test_it.py::test_red[8] | run it, seed 7 | {SEEN} | issue 1\n"
    code, output = run(tmp_path, listed, tests)
    assert code != 0 and "test_it.py::test_red[8] does not run with the seed of 'run it, seed 7'" in output
    code, output = run(tmp_path, listed.replace("[8]", "[7]"), tests)
    assert code == 1 and "1 failed, 1 xfailed" in output, "the other seed's failure is not listed"


def test_without_the_file_tests_run_as_usual(tmp_path: Path) -> None:
    code, output = run(tmp_path, None)
    assert code == 1 and "1 failed, 1 passed" in output and "KNOWN RED" not in output


@pytest.mark.parametrize(
    ("listed", "message"),
    [
        (f"test_it.py::test_green | run it, seed 7 | {SEEN} | issue 1\n", "XPASS(strict)"),
        (f"test_it.py::test_gone | run it, seed 7 | {SEEN} | issue 1\n", "no test has the name"),
        (f"test_gone.py::test_red | run it, seed 7 | {SEEN} | issue 1\n", "no test has the name"),
        ("test_it.py::test_red | run it, seed 7 | a fault | issue 1\n", MALFORMED),
        ("test_it.py::test_red | a fault | issue 1\n", MALFORMED),
        ("test_it.py::test_red | run it, seed 7 | a fault\n", MALFORMED),
        ("test_it.py::test_red |  | a fault | issue 1\n", MALFORMED),
        ("test_it.py::test_red | run it, seed 7 |  | issue 1\n", MALFORMED),
        (f"test_it.py | run it, seed 7 | {SEEN} | issue 1\n", MALFORMED),
        (RED + "\n", MALFORMED),
        (RED * 2, "listed twice"),
        ("".join(f"test_it.py::test_{n} | run it, seed 7 | {SEEN} | issue 1\n" for n in range(4)), "3 at most"),
    ],
)
def test_an_entry_that_is_invalid_or_no_longer_true_fails_the_run(tmp_path: Path, listed: str, message: str) -> None:
    code, output = run(tmp_path, listed)
    assert code != 0 and message in output


@pytest.mark.parametrize(
    "test",
    [
        "@pytest.mark.skip\ndef test_it(): pass",
        "@pytest.mark.xfail\ndef test_it(): assert False",
        "@pytest.mark.xfail\ndef test_it(): pass",
        "pytest.skip('no', allow_module_level=True)",
        "pytest.importorskip('no_such_module')",
        "def test_it(): pytest.skip('no')",
        "def test_it(): pytest.xfail('no')",
        "@pytest.fixture\ndef away(): pytest.skip('no')\ndef test_it(away): pass",
    ],
)
def test_a_test_that_is_skipped_or_expected_to_fail_without_an_entry_fails_the_run(tmp_path: Path, test: str) -> None:
    code, output = run(tmp_path, None, f"import pytest\n{test}\n")
    assert code in (1, 2) and ("1 failed" in output or "1 error" in output) and "not listed" in output
