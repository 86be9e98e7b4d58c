"""The second front: QUIC connections kept with their backends by connection id."""

from __future__ import annotations

from pathlib import Path

#: The front's file, unless GRADEFRONT_QUIC names another.
FILE = Path(__file__).resolve().parent.parent.parent / "deploy" / "quic.json"
