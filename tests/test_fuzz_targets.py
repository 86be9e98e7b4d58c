"""The fuzz targets pass on mutated seeds, detect a token that wrongly proves an address, and replay the corpus."""

from __future__ import annotations

from pathlib import Path

import pytest

from fuzz import quic as fuzz
from gradefront.quic.tokens import TokenVerdict


def test_mutated_seeds_break_no_parser() -> None:
    assert fuzz.smoke(600, seed=11) == 600 * len(fuzz.TARGETS)


def test_the_token_target_fails_on_a_token_that_wrongly_proves_an_address() -> None:
    assert (
        fuzz.MINT.read(fuzz.MINT._seal(2, fuzz.BODY[1:]), fuzz.CLIENT, b"retry-id", fuzz.NOW_US).verdict
        is TokenVerdict.PROVEN
    ), "the seed must pass all checks of the token reader"
    valid_token = fuzz.MINT.make(fuzz.CLIENT, b"first-id", b"retry-id", fuzz.NOW_US)
    with pytest.raises(AssertionError):  # the target takes each valid token for a successful forgery
        fuzz.tokens(valid_token)


def test_the_corpus_is_written_and_replayed_and_an_unknown_command_is_a_usage_error(tmp_path: Path) -> None:
    assert fuzz.main(["corpus", str(tmp_path)]) == 0
    for name in fuzz.TARGETS:
        files = [str(f) for f in (tmp_path / name).iterdir()]
        assert len(files) >= 3 and fuzz.main(["replay", name, *files]) == 0
    assert fuzz.main(["nonsense"]) == 2
