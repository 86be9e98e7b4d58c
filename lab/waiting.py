"""Waiting with a time limit, without losing a cancellation."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

Result = TypeVar("Result")


async def within(timeout_s: float, awaitable: Awaitable[Result]) -> Result:
    """Await an awaitable and return its result. Raises TimeoutError after `timeout_s` seconds.

    Use this in place of asyncio.wait_for, which in Python 3.11 swallows a cancellation of the caller that arrives in
    the iteration of the event loop in which the awaitable completes.
    """
    async with asyncio.timeout(timeout_s):
        return await awaitable
