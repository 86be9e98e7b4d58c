"""The calls of the admin interface. Their names, answers and figures are published in docs/operators/running.md."""

from __future__ import annotations

from gradefront.core.relay import RelayCore

from .metrics import render_metrics
from .server import CommandHandler


def admin_commands(core: RelayCore) -> dict[str, CommandHandler]:
    """For each call, the function that answers it."""

    def state(is_ok: bool) -> list[str]:
        return [f"{'ok' if is_ok else 'fail'} {core.lifecycle.state.value}"]

    return {
        "PING": lambda: state(core.lifecycle.accepts_clients),
        "INFO": lambda: ["ok", *metric_lines(core), "eof"],
        "LAMEDUCK": lambda: state(core.lifecycle.lame_duck()),
        "REJOIN": lambda: state(core.lifecycle.rejoin()),
    }


def metric_lines(core: RelayCore) -> list[str]:
    """The figures now, a line each."""
    return render_metrics(
        core.counters,
        core.request_classes.names,
        {
            "current": len(core.connections),
            "cluster_size": len(core.backends),
            "cluster_unhealthy": core.balancer.count_unavailable(core.clock()),
        },
    )
