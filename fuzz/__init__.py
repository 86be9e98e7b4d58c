"""Fuzz targets for each parser of untrusted input; they are run outside CI, see `fuzz/quic.py`."""
