"""The commands of the admin interface. docs/operators/running.md documents their names, answers and metrics."""

from __future__ import annotations

from gradefront.core.relay import RelayCore

from .metrics import render_metrics
from .server import CommandHandler


def admin_commands(core: RelayCore) -> dict[str, CommandHandler]:
    """Return the handler of each command."""

    def state(is_ok: bool) -> list[str]:
        return [f"{'ok' if is_ok else 'fail'} {core.lifecycle.state.value}"]

    return {
        "PING": lambda: state(core.lifecycle.accepts_clients),
        "INFO": lambda: ["ok", *metric_lines(core), "eof"],
        "LAMEDUCK": lambda: state(core.lifecycle.lame_duck()),
        "REJOIN": lambda: state(core.lifecycle.rejoin()),
    }


def metric_lines(core: RelayCore) -> list[str]:
    """Return the current metrics, one per line."""
    return render_metrics(
        core.counters,
        core.request_classes.names,
        {
            "current": len(core.connections),
            "cluster_size": len(core.backends),
            "cluster_unhealthy": core.balancer.count_unavailable(core.clock()),
        },
    )
