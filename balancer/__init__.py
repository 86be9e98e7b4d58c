"""The decision module: a load balancer for long-lived connections, without I/O."""

from .balancer import Balancer
from .settings import Settings

__all__ = ["Balancer", "Settings"]
__version__ = "0.1.0"
