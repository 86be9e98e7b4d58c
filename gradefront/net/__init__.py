"""The platform's wire: clients' lines, push boxes' lines, probes and the box list, on Twisted."""
