"""Test environment for relays: stand-in backends, clients, discovery service and network links. Gradefront never
imports it."""
