"""The fuzz targets hold on bent seeds, and notice what they are there to notice."""

from __future__ import annotations

from pathlib import Path

import pytest

from fuzz import quic as fuzz
from gradefront.quic.tokens import TokenVerdict


def test_bent_seeds_break_no_parser() -> None:
    assert fuzz.smoke(600, seed=11) == 600 * len(fuzz.TARGETS)


def test_a_token_that_proves_what_it_must_not_is_noticed() -> None:
    assert (
        fuzz.MINT.read(fuzz.MINT._seal(2, fuzz.BODY[1:]), fuzz.CLIENT, b"retry-id", fuzz.NOW_US).verdict
        is TokenVerdict.PROVEN
    ), "the seed reaches the end of the reader"
    other = fuzz.MINT.make(fuzz.CLIENT, b"first-id", b"retry-id", fuzz.NOW_US)
    with pytest.raises(AssertionError):  # for the target, this is a forgery that works
        fuzz.tokens(other)


def test_the_corpus_is_made_and_replayed(tmp_path: Path) -> None:
    assert fuzz.main(["corpus", str(tmp_path)]) == 0
    for name in fuzz.TARGETS:
        files = [str(f) for f in (tmp_path / name).iterdir()]
        assert len(files) >= 3 and fuzz.main(["replay", name, *files]) == 0
    assert fuzz.main(["nonsense"]) == 2
