"""What one process of a relay leaves the next."""
