"""gradefront: a relay that forwards client requests to the backends of one deployment."""

__version__ = "0.2.0"
