"""What relays know of each other, where they may talk. No I/O; imported only where deploy/fleet.json is on."""
