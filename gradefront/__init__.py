"""gradefront: the relay between clients and the backends of one deployment."""

__version__ = "0.2.0"
