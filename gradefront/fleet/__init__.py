"""Membership among relays that may talk to each other. No I/O; imported only where deploy/fleet.json is on."""
