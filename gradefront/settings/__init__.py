"""Reading and validation of the operators' settings files.

`typed` imports msgspec: import it only where it is needed.
"""
