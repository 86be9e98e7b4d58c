"""The QUIC front: accepts QUIC connections and routes their packets to backends by connection id."""

from __future__ import annotations

from pathlib import Path

#: Default path of the QUIC front's settings file; the environment variable GRADEFRONT_QUIC overrides it.
FILE = Path(__file__).resolve().parent.parent.parent / "deploy" / "quic.json"
