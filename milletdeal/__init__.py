"""milletdeal: the decisions of a balancer for long-lived connections."""

from . import interface
from .balance import Balancer
from .interface import Settings

__all__ = ["Balancer", "Settings", "interface"]
__version__ = "0.1.0"
