"""Simulator host: runs one Balancer for each `nodeId` in the simulator's messages; makes no decisions."""

from __future__ import annotations

import json
import sys
from dataclasses import replace
from typing import IO

from . import simulator_wire
from .balancer import Balancer


class Node:
    """One simulated node: its balancer and the names of the figures in its load reports."""

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
    """Read batches of messages from `source` and write the replies to `sink`, until end of file.

    Raises WireError for an invalid message.
    """
    nodes: dict[int, Node] = {}
    replies: list[str] = []
    now_us = 0
    for line_number, line in enumerate(source, 1):
        if not line.strip():
            continue
        try:
            message = json.loads(line)
        except ValueError as error:
            raise simulator_wire.WireError(f"line {line_number}: not JSON: {error}") from None
        message_type = message.get("type") if isinstance(message, dict) else None
        if not isinstance(message_type, str):
            raise simulator_wire.WireError(f"line {line_number}: field 'type' is missing")
        if message_type == "Round":
            now_us = message.get("atTimeUs")
            if not isinstance(now_us, int):
                raise simulator_wire.WireError("Round: field 'atTimeUs' is missing")
        elif message_type == "EofBatch":
            replies.append('{"type":"Ready"}\n')
            sink.write("".join(replies).encode())
            sink.flush()
            replies.clear()
        else:
            _handle(nodes, message, message_type, now_us, replies)


def _handle(
    nodes: dict[int, Node],
    message: simulator_wire.Message,
    message_type: str,
    now_us: int,
    replies: list[str],
) -> None:
    node_id = message.get("nodeId")
    if not isinstance(node_id, int):
        raise simulator_wire.WireError(f"{message_type}: field 'nodeId' is missing")
    if message_type == "Retire":
        nodes.pop(node_id, None)
        return
    try:
        if message_type == "Up":
            nodes[node_id] = Node(message)
            return
        node = nodes.get(node_id)
        if node is None:
            raise simulator_wire.WireError(f"{message_type}: field 'nodeId' names an instance that is not up")
        event = simulator_wire.event(message, node.names)
        actions = node.balancer.handle(now_us, event) if event is not None else []
    except simulator_wire.WireError:
        raise
    except Exception as error:  # noqa: BLE001 - a defect in the module: the simulator reports its cause
        replies.append(
            json.dumps(
                {
                    "type": "Broken",
                    "nodeId": node_id,
                    "text": f"{message_type}: {type(error).__name__}: {error}",
                }
            )
            + "\n"
        )
        return
    for action in actions:
        replies.append(json.dumps(simulator_wire.action(action, node_id), separators=(",", ":")) + "\n")


def main() -> int:
    """Serve standard input. Return the exit status: 0 at end of file, 2 after an invalid message."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except simulator_wire.WireError as error:
        print(f"simhost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
