"""The program under a wall clock that SIGUSR2 steps by STEP_S seconds, as an administrator or a time service would.

The monotonic clock runs on. Run as `python -m tests.stepped` in place of `python -m gradefront`.
"""

from __future__ import annotations

import os
import signal
import time

_time, _time_ns = time.time, time.time_ns
_stepped_s = 0.0


def _step(*_: object) -> None:
    global _stepped_s
    _stepped_s += float(os.environ["STEP_S"])


if __name__ == "__main__":
    time.time = lambda: _time() + _stepped_s  # before anything takes it by name
    time.time_ns = lambda: _time_ns() + int(_stepped_s * 1e9)
    signal.signal(signal.SIGUSR2, _step)
    from gradefront.__main__ import main

    main()
