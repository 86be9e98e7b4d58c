"""The handover of established connections from one process of a relay to the next."""
