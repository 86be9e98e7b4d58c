"""Runs the program with a wall clock that steps by STEP_S seconds on SIGUSR2, as an administrator or NTP could do.

The monotonic clock is not affected. Run as `python -m tests.stepped` instead of `python -m gradefront`.
"""

from __future__ import annotations

import os
import signal
import time

_real_time, _real_time_ns = time.time, time.time_ns
_stepped_s = 0.0


def _step(*_: object) -> None:
    global _stepped_s
    _stepped_s += float(os.environ["STEP_S"])


if __name__ == "__main__":
    time.time = lambda: _real_time() + _stepped_s  # before another module imports it by name
    time.time_ns = lambda: _real_time_ns() + int(_stepped_s * 1e9)
    signal.signal(signal.SIGUSR2, _step)
    from gradefront.__main__ import main

    main()
