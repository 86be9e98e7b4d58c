"""Entry point of `python -m gradefront`.

Without arguments, as in the `run` line of the deployment, the relay serves; otherwise the command line runs.
"""

from __future__ import annotations

import sys


def main() -> int:
    """Run the program and return its exit status.

    The command line is imported only when it is used, because its import costs start-up time and memory.
    """
    if len(sys.argv) == 1:
        from .early_signals import install_startup_handlers

        install_startup_handlers()
        from .service import serve

        return serve()
    from .cli import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
