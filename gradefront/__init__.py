"""gradefront: the relay between clients and the push boxes of one deployment."""

__version__ = "0.2.0"
