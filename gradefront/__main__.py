"""`python -m gradefront`: serves with no verb, as the platform's `run` line has it; else the command line."""

from __future__ import annotations

import sys


def main() -> int:
    """Run; the exit status. The command line is imported only where it is used: it costs start-up time and memory."""
    if len(sys.argv) == 1:
        from .early_signals import install_startup_handlers

        install_startup_handlers()
        from .service import serve

        return serve()
    from .cli import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
