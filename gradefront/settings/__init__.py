"""The operators' own files, read and checked. `typed` imports msgspec: import it only where it is needed."""
