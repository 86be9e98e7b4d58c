"""Relays that fail together: the fleet's real protocol code on a made-up clock and network."""
