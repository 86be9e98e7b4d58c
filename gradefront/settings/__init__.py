"""The operators' own files: read, checked, one form of error. `typed` brings msgspec; import it only where needed."""
