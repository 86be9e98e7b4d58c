"""Simulator host: one Balancer for each `nodeId` on the simulator's wire. It only translates."""

from __future__ import annotations

import json
import sys
from dataclasses import replace
from typing import IO

from . import simulator_wire
from .balancer import Balancer


class Node:
    """One instance: its balancer and the names of its report's figures."""

    def __init__(self, message: simulator_wire.Message) -> None:
        info = message.get("bootInfo")
        if not isinstance(info, dict):
            raise simulator_wire.WireError("Up: field 'bootInfo' is missing")
        seed = message.get("initSeed")
        if not isinstance(seed, int):
            raise simulator_wire.WireError("Up: field 'initSeed' is missing")
        settings, self.names = simulator_wire.settings(info)
        self.balancer = Balancer(replace(settings, enforces_send_by=False), seed)


def serve(source: IO[bytes], sink: IO[bytes]) -> None:
    """Answer batches from `source` to `sink` until the input ends. Raises WireError."""
    nodes: dict[int, Node] = {}
    replies: list[str] = []
    now = 0
    for number, line in enumerate(source, 1):
        if not line.strip():
            continue
        try:
            message = json.loads(line)
        except ValueError as error:
            raise simulator_wire.WireError(f"line {number}: not JSON: {error}") from None
        kind = message.get("type") if isinstance(message, dict) else None
        if not isinstance(kind, str):
            raise simulator_wire.WireError(f"line {number}: field 'type' is missing")
        if kind == "Round":
            now = message.get("atTimeUs")
            if not isinstance(now, int):
                raise simulator_wire.WireError("Round: field 'atTimeUs' is missing")
        elif kind == "EofBatch":
            replies.append('{"type":"Ready"}\n')
            sink.write("".join(replies).encode())
            sink.flush()
            replies.clear()
        else:
            _handle(nodes, message, kind, now, replies)


def _handle(
    nodes: dict[int, Node], message: simulator_wire.Message, kind: str, now: int, replies: list[str]
) -> None:
    number = message.get("nodeId")
    if not isinstance(number, int):
        raise simulator_wire.WireError(f"{kind}: field 'nodeId' is missing")
    if kind == "Retire":
        nodes.pop(number, None)
        return
    try:
        if kind == "Up":
            nodes[number] = Node(message)
            return
        node = nodes.get(number)
        if node is None:
            raise simulator_wire.WireError(f"{kind}: field 'nodeId' names an instance that is not up")
        event = simulator_wire.event(message, node.names)
        actions = node.balancer.handle(now, event) if event is not None else []
    except simulator_wire.WireError:
        raise
    except Exception as error:  # noqa: BLE001 - a defect in the module: the bench must name its cause
        replies.append(
            json.dumps(
                {"type": "Broken", "nodeId": number, "text": f"{kind}: {type(error).__name__}: {error}"}
            )
            + "\n"
        )
        return
    for a in actions:
        replies.append(json.dumps(simulator_wire.action(a, number), separators=(",", ":")) + "\n")


def main() -> int:
    """Serve standard input; 0 at its end, 2 after a message that the wire does not allow."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except simulator_wire.WireError as error:
        print(f"simhost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
