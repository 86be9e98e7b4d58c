"""The platform's wire: carers' lines, push boxes' lines, probes and the box list, on Twisted."""
