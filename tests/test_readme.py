"""Test that the example in the README runs and prints the output that the README shows."""

from __future__ import annotations

import contextlib
import io
import re
from pathlib import Path


def test_the_readme_example_prints_the_output_that_the_readme_shows() -> None:
    text = Path("README.md").read_text()
    code = re.search(r"```python\n(.*?)```", text, re.S)
    assert code
    expected = re.search(r"\nprints\n\n((?:    .*\n)+)", text)
    assert expected
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        exec(compile(code.group(1), "README.md", "exec"), {})
    assert output.getvalue() == re.sub(r"(?m)^    ", "", expected.group(1))
